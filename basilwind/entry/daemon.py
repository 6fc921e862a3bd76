"""The daemon of an entry host."""

import uuid
from functools import partial

import anyio

from basilwind.api.asgi import HttpResponse, HttpServer, read_request, send_response
from basilwind.application import Application
from basilwind.entry.caller_app import CallerApp
from basilwind.entry.clock import boot_time, wall_time
from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.entry.duties import (
    FLEET_DUTY,
    POOL_PREFIX,
    QUOTA_DUTY,
    DutyManager,
)
from basilwind.entry.duty_runner import DutyRunner
from basilwind.entry.intake import Intake
from basilwind.entry.intake_router import IntakeRouter
from basilwind.entry.metrics import EntryMetrics
from basilwind.entry.outage_detector import OutageDetector
from basilwind.entry.outage_witnesses import OutageWitnesses
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peer_app import PeerApp
from basilwind.entry.peer_client import PeerClient
from basilwind.entry.planner import FleetPlanner
from basilwind.entry.pool_arbiter import PoolArbiter
from basilwind.entry.quota_granter import QuotaGranter
from basilwind.entry.registry import WorkerRegistry
from basilwind.entry.route_history import RouteHistory
from basilwind.entry.services import Services
from basilwind.entry.settings_reloader import SettingsReloader
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.entry.supervisor import supervise
from basilwind.entry.where import WhereAnswers
from basilwind.logs import log
from basilwind.platform.advice import AdviceClient
from basilwind.platform.machines import MachineClient
from basilwind.platform.store import StoreClient
from basilwind.platform.transport import MAX_WORKER_CONNECTIONS, Transport
from basilwind.platform.workers import WorkerControlClient
from basilwind.scheduling.quota import has_limit

READY_CHECK_S = 1.0  # the balancer drops a daemon after two failed checks
BALANCER_REMOVAL_S = 2.6  # two failed checks, plus time for a new connection in flight
LAST_RESPONSES_S = 0.3  # sending the responses of interrupted requests
STOP_MARGIN_S = 1.9  # closing connections and the event loop on a slow host


class EntryDaemon(Application):
    """Accepts callers' jobs and runs this daemon's share of the fleet's duties.

    Args:
        settings: ``EntryHostSettings``.
        settings_file: Path of the settings file, which is reloaded when it changes.
        count_dropped_lines: Returns how many log lines were dropped to limit the rate.
    """

    def __init__(self, settings, settings_file, count_dropped_lines=lambda: 0):
        super().__init__()
        self._settings = settings
        self._is_stopping = False
        self._intakes = {}
        self._store_monitor = StoreMonitor(boot_time)
        self._metrics = EntryMetrics(self._pool_owners, count_dropped_lines)
        transport = Transport()
        self._peers = PeerClient(
            transport,
            self._find_loaded_owner,
            self._find_owner_address,
            self._find_granter,
            self._find_granter_address,
        )
        self._shared_services = self._create_services(settings, transport)
        self._duty_runner = DutyRunner(
            self._shared_services.duties, self._create_duty_work
        )
        self._shared_services.outage = OutageDetector(
            settings.zone,
            self._store_monitor,
            self._shared_services.duties.current_claims,
            self._shared_services.duties.known_daemons,
            self._peers.query_daemon,
            boot_time,
        )
        self._shared_services.arbiter = PoolArbiter(
            self._shared_services.routes,
            self._shared_services.configuration,
            self._peers.decline,
            boot_time,
        )
        self._shared_services.request_grants = self._peers.request_grants
        self._shared_services.has_previous_owner_recorded_all = (
            self._peers.has_previous_owner_recorded_all
        )
        self._shared_services.outage_witnesses = OutageWitnesses(
            self._shared_services.duties,
            self._store_monitor,
            self._peers.announce_takeover,
        )
        self._caller_app = CallerApp(
            self._shared_services,
            self._peers,
            IntakeRouter(
                self._get_intake,
                self._store_monitor,
                self._shared_services.outage.relays,
                self._peers.relay,
            ),
            lambda: self._is_stopping,
            self._metrics.count_response,
        )
        self._caller_server = HttpServer(self._caller_app, settings.front_address)
        self._servers = [
            self._caller_server,
            HttpServer(self._serve_readiness, settings.ready_address),
            HttpServer(
                PeerApp(
                    self._find_loaded_owner,
                    self._get_intake,
                    self._shared_services,
                    WhereAnswers(self._shared_services, self._peers).answer,
                    self._find_granter,
                ),
                f"{settings.ip}:{settings.peer_port}",
            ),
            HttpServer(self._metrics, f"{settings.ip}:{settings.metrics_port}"),
        ]
        self.on_start(self._shared_services.transport.start)
        self.on_start(self._worker_transport.start)
        for server in self._servers:
            self.add_service(server.serve_until_stopped)
        reloader = SettingsReloader(settings_file, settings, self._on_settings)
        duties = self._shared_services.duties
        for name, service in (
            ("settings", reloader.run),
            (
                "store monitor",
                partial(self._store_monitor.run, self._shared_services.store),
            ),
            ("outage detector", self._shared_services.outage.run),
            ("configuration", self._shared_services.configuration.run),
            ("routes", self._shared_services.routes.run),
            ("registry", self._shared_services.registry.run),
            ("claims", duties.follow_claims),
            ("heartbeats", duties.follow_heartbeats),
            ("claiming", duties.claim_free_duties),
            ("own heartbeats", duties.send_heartbeats),
        ):
            self.add_service(supervise, name, service)
        self.on_stop(self._stop_serving)
        self.on_stop(self._begin_shutdown)

    async def run(self, handle_signals=True):
        """Runs until stopped, then closes all connections."""
        await super().run(handle_signals)
        await self._shared_services.transport.stop()
        await self._shared_services.worker_control.close()
        await self._worker_transport.stop()

    def _create_services(self, settings, transport):
        incarnation = f"{settings.name}#{uuid.uuid4().hex[:8]}"
        self._worker_transport = Transport(MAX_WORKER_CONNECTIONS)
        store = StoreClient(
            transport,
            settings.store_address,
            self._on_store_call,
            boot_time,
            lambda: self._store_monitor.is_suspected,
        )
        routes = RouteHistory(store, boot_time)
        return Services(
            settings=settings,
            incarnation=incarnation,
            transport=transport,
            store=store,
            worker_control=WorkerControlClient(self._worker_transport),
            machine_client=MachineClient(transport, settings.machines_address),
            advice_client=AdviceClient(transport, settings.advice_address),
            configuration=ConfigurationWatcher(
                store,
                boot_time,
                self._on_configuration,
                routes.note_configuration,
            ),
            routes=routes,
            registry=WorkerRegistry(
                store, boot_time, self._on_registry, lambda: bool(self._pool_owners())
            ),
            duties=DutyManager(
                store,
                settings,
                incarnation,
                f"{settings.ip}:{settings.peer_port}",
                boot_time,
                self._on_duties,
                self._peers.query_daemon,
            ),
            clock=boot_time,
            wall_clock=wall_time,
            report=self._report,
            store_monitor=self._store_monitor,
            on_fenced=self._on_fenced,
        )

    def _on_settings(self, settings):
        """Applies the settings that may change while the daemon runs."""
        self._settings = settings
        self._shared_services.settings = settings
        self._shared_services.store.set_address(settings.store_address)
        self._shared_services.machine_client.set_address(settings.machines_address)
        self._shared_services.advice_client.set_address(settings.advice_address)

    def _report(self, event, **fields):
        self._metrics.count_event(event)
        log(event, **fields)

    def _on_store_call(self, name, is_answered, sent_at):
        self._metrics.count_store_call(name, is_answered)
        if is_answered:
            self._store_monitor.record_answer(sent_at)

    # Duties

    def _find_loaded_owner(self, pool):
        owner = self._duty_runner.find(POOL_PREFIX + pool)
        return owner if owner is not None and owner.is_loaded else None

    def _find_owner_address(self, pool):
        claim = self._shared_services.duties.find_claim(POOL_PREFIX + pool)
        return claim.address if claim else None

    def _find_granter(self):
        return self._duty_runner.find(QUOTA_DUTY)

    def _find_granter_address(self):
        claim = self._shared_services.duties.find_claim(QUOTA_DUTY)
        return claim.address if claim else None

    def _on_configuration(self):
        configuration = self._shared_services.configuration.current
        if configuration is None:
            return
        pools = [pool for pool in configuration.pools.values() if not pool.is_spare]
        wanted = [POOL_PREFIX + pool.name for pool in pools] + [FLEET_DUTY]
        if any(map(has_limit, (configuration.customers or {}).values())):
            wanted.append(QUOTA_DUTY)
        self._shared_services.duties.set_wanted(wanted)
        granter = self._find_granter()
        if granter is not None:
            granter.apply_configuration()
        for owner in self._pool_owners():
            owner.apply_configuration()

    def _on_registry(self):
        for owner in self._pool_owners():
            owner.update_workers()

    def _on_duties(self):
        if self.tasks is not None:
            self._duty_runner.sync(self.tasks)

    def _create_duty_work(self, duty, token):
        """Returns the work of a duty: an object to run, or None."""
        duties = self._shared_services.duties
        if duty == FLEET_DUTY:
            if not self._settings.machines_address:
                return None
            return FleetPlanner(
                token, self._shared_services, self._peers, duties.previous_claim(duty)
            )
        if duty == QUOTA_DUTY:
            return QuotaGranter(token, self._shared_services)
        return PoolOwner(
            duty.removeprefix(POOL_PREFIX),
            token,
            self._shared_services,
            duties.previous_claim(duty),
            duties.is_handed_over(duty),
        )

    def _pool_owners(self):
        return self._duty_runner.find_by_prefix(POOL_PREFIX)

    def _on_fenced(self, pool, token):
        self._duty_runner.handle_fenced(POOL_PREFIX + pool, token)

    def _get_intake(self, pool):
        intake = self._intakes.get(pool)
        if intake is None:
            intake = Intake(
                self._shared_services.store,
                pool,
                self._shared_services.incarnation,
                self._store_monitor,
            )
            self._intakes[pool] = intake
            self.tasks.start_soon(supervise, f"intake of pool {pool}", intake.run)
        return intake

    # Lifecycle

    async def _serve_readiness(self, scope, receive, send):
        await read_request(scope, receive)
        await send_response(send, HttpResponse(200 if self._is_ready() else 503))

    def _is_ready(self):
        """Returns whether the balancer should send callers to this daemon.

        Without the store no job can be accepted. If no daemon is ready, the balancer
        sends callers to all of them.
        """
        return (
            not self._is_stopping
            and self._shared_services.configuration.current is not None
            and self._shared_services.routes.is_loaded
            and not self._store_monitor.is_unavailable
        )

    async def _begin_shutdown(self):
        log("stopping", host=self._settings.name)
        self._is_stopping = True
        self._shared_services.outage.stop()
        self.tasks.start_soon(self._release_duties)

    async def _release_duties(self):
        """Journals every start for the next owners, then releases the duties."""
        for owner in self._pool_owners():
            await owner.flush()
        await self._shared_services.duties.release_all(
            self._is_settled, lambda: self._store_monitor.is_unavailable
        )

    def _is_settled(self, duty):
        """Returns whether all runs of a duty's previous holders are known here."""
        if not duty.startswith(POOL_PREFIX):
            return True
        owner = self._duty_runner.find(duty)
        return owner is not None and owner.knows_all_runs

    async def _stop_serving(self):
        await anyio.sleep(BALANCER_REMOVAL_S)
        self._caller_server.stop()
        remaining_s = (
            self._settings.termination_grace_s - BALANCER_REMOVAL_S - STOP_MARGIN_S
        )
        await self._wait_until_callers_left(max(0.0, remaining_s))
        self._caller_app.answer_open_requests()
        await self._wait_until_callers_left(LAST_RESPONSES_S)
        log("stopped", host=self._settings.name)

    async def _wait_until_callers_left(self, timeout_s):
        """Waits until all callers' connections are closed, or for ``timeout_s``."""
        with anyio.move_on_after(timeout_s):
            while self._caller_server.server_state.connections:
                await anyio.sleep(0.02)
