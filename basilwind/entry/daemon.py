"""The application of an entry host."""

import uuid
from functools import partial

import anyio

from basilwind.api.asgi import HttpResponse, HttpServer, read_request, send_response
from basilwind.application import Application
from basilwind.entry.clock import boot_time, wall_time
from basilwind.entry.configuration import ConfigurationWatch
from basilwind.entry.duties import FLEET_DUTY, POOL_PREFIX, Duties
from basilwind.entry.front import Front
from basilwind.entry.holdings import Holdings
from basilwind.entry.intake import Intake
from basilwind.entry.metrics import EntryMetrics
from basilwind.entry.outage import OutageWatch
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peers import PeerApp, PeerCalls
from basilwind.entry.planner import Planner
from basilwind.entry.registry import WorkerRegistry
from basilwind.entry.reload import SettingsWatch
from basilwind.entry.services import Services
from basilwind.entry.store_watch import StoreWatch
from basilwind.logs import log
from basilwind.platform.advice import AdviceClient
from basilwind.platform.machines import MachineClient
from basilwind.platform.store import StoreClient
from basilwind.platform.transport import MAX_WORKER_CONNECTIONS, Transport
from basilwind.platform.workers import WorkerControlClient

READY_CHECK_S = 1.0  # the balancer takes a daemon out after two failed checks
LEAVE_AFTER_S = 2.6  # two failed checks and a new connection in flight
STOP_MARGIN_S = 1.9  # closing connections and leaving the event loop on a slow host


class EntryDaemon(Application):
    """Takes callers' jobs and holds duties for the fleet.

    Args:
        settings: ``EntryHostSettings``.
        settings_file: Path of their file, which may change.
        dropped_lines: Returns how many log lines were left out.
    """

    def __init__(self, settings, settings_file, dropped_lines=lambda: 0):
        super().__init__()
        self._settings = settings
        self._is_stopping = False
        self._intakes = {}
        self._store_watch = StoreWatch(boot_time)
        self._metrics = EntryMetrics(self._owners, dropped_lines)
        self._shared = self._make_services(settings)
        self._holdings = Holdings(self._shared.duties, self._make_work)
        self._peers = PeerCalls(
            self._shared.transport, self._loaded_owner, self._owner_address
        )
        self._shared.outage = OutageWatch(
            settings.zone,
            self._store_watch,
            self._shared.duties.claims,
            self._peers.store_silence_s,
            boot_time,
        )
        front = Front(
            self._shared,
            self._peers,
            self._intake_of,
            lambda: self._is_stopping,
            self._metrics.count_answer,
        )
        self._front_server = HttpServer(front, settings.front_address)
        self._servers = [
            self._front_server,
            HttpServer(self._answer_ready, settings.ready_address),
            HttpServer(
                PeerApp(
                    self._loaded_owner, self._shared.incarnation, self._store_watch
                ),
                f"{settings.ip}:{settings.peer_port}",
            ),
            HttpServer(self._metrics, f"{settings.ip}:{settings.metrics_port}"),
        ]
        self.on_start(self._shared.transport.start)
        self.on_start(self._worker_transport.start)
        for server in self._servers:
            self.add_service(server.serve_until_stopped)
        watch = SettingsWatch(settings_file, settings, self._on_settings)
        for service in (
            watch.run,
            partial(self._store_watch.run, self._shared.store),
            self._shared.outage.run,
            self._shared.configuration.run,
            self._shared.registry.run,
            self._shared.duties.follow,
            self._shared.duties.follow_heartbeats,
            self._shared.duties.claim_free,
            self._shared.duties.beat,
        ):
            self.add_service(service)
        self.on_stop(self._stop_serving)
        self.on_stop(self._hand_over)

    async def run(self, handle_signals=True):
        """Runs until stopped, then closes all connections."""
        await super().run(handle_signals)
        await self._shared.transport.stop()
        await self._worker_transport.stop()

    def _make_services(self, settings):
        incarnation = f"{settings.name}#{uuid.uuid4().hex[:8]}"
        transport = Transport()
        self._worker_transport = Transport(MAX_WORKER_CONNECTIONS)
        store = StoreClient(transport, settings.store_address, self._note_store_call)
        return Services(
            settings=settings,
            incarnation=incarnation,
            transport=transport,
            store=store,
            worker_calls=WorkerControlClient(self._worker_transport),
            machine_calls=MachineClient(transport, settings.machines_address),
            advice_calls=AdviceClient(transport, settings.advice_address),
            configuration=ConfigurationWatch(store, boot_time, self._on_configuration),
            registry=WorkerRegistry(
                store, boot_time, self._on_registry, lambda: bool(self._owners())
            ),
            duties=Duties(
                store,
                settings,
                incarnation,
                f"{settings.ip}:{settings.peer_port}",
                boot_time,
                self._on_duties,
            ),
            clock=boot_time,
            wall=wall_time,
            report=self._report,
            store_watch=self._store_watch,
            duties_changed=self._on_fenced,
        )

    def _on_settings(self, settings):
        """Takes over what may change while the daemon runs."""
        self._settings = settings
        self._shared.settings = settings
        self._shared.store.set_address(settings.store_address)
        self._shared.machine_calls.set_address(settings.machines_address)
        self._shared.advice_calls.set_address(settings.advice_address)

    def _report(self, event, **fields):
        self._metrics.count_event(event)
        log(event, **fields)

    def _note_store_call(self, name, is_answered):
        self._metrics.count_store_call(name, is_answered)
        if is_answered:
            self._store_watch.note_answer()

    # Duties

    def _loaded_owner(self, pool):
        owner = self._holdings.find(POOL_PREFIX + pool)
        return owner if owner is not None and owner.is_loaded else None

    def _owner_address(self, pool):
        claim = self._shared.duties.claim_of(POOL_PREFIX + pool)
        return claim.address if claim else None

    def _on_configuration(self):
        configuration = self._shared.configuration.current
        if configuration is None:
            return
        pools = [pool for pool in configuration.pools.values() if not pool.is_spare]
        self._shared.duties.want(
            [POOL_PREFIX + pool.name for pool in pools] + [FLEET_DUTY]
        )
        for owner in self._owners():
            owner.wake()

    def _on_registry(self):
        for owner in self._owners():
            owner.refresh_workers()

    def _on_duties(self):
        if self.tasks is not None:
            self._holdings.follow(self.tasks)

    def _make_work(self, duty, token):
        """Returns the ``PoolOwner`` or ``Planner`` of a duty, or None."""
        duties = self._shared.duties
        if duty == FLEET_DUTY:
            if not self._settings.machines_address:
                return None
            return Planner(token, self._shared, self._peers, duties.former_of(duty))
        return PoolOwner(
            duty.removeprefix(POOL_PREFIX),
            token,
            self._shared,
            duties.former_of(duty),
            duties.is_handed_over(duty),
        )

    def _owners(self):
        return self._holdings.with_prefix(POOL_PREFIX)

    def _on_fenced(self, pool, token):
        self._holdings.note_fenced(POOL_PREFIX + pool, token)

    def _intake_of(self, pool):
        intake = self._intakes.get(pool)
        if intake is None:
            intake = Intake(
                self._shared.store, pool, self._shared.incarnation, self._store_watch
            )
            self._intakes[pool] = intake
            self.tasks.start_soon(intake.run)
        return intake

    # Life cycle

    async def _answer_ready(self, scope, receive, send):
        await read_request(scope, receive)
        await send_response(send, HttpResponse(200 if self._is_ready() else 503))

    def _is_ready(self):
        """Tells whether callers are served better here than by other daemons.

        Without the store no job can be accepted; if that holds for all daemons, the
        balancer uses them all the same.
        """
        return (
            not self._is_stopping
            and self._shared.configuration.current is not None
            and not self._store_watch.is_away
        )

    async def _hand_over(self):
        log("stopping", host=self._settings.name)
        self._is_stopping = True
        self._shared.outage.stop()
        self.tasks.start_soon(self._release_duties)

    async def _release_duties(self):
        """Gives the duties back; a successor finds every start in the journal."""
        for owner in self._owners():
            await owner.flush()
        await self._shared.duties.release()

    async def _stop_serving(self):
        await anyio.sleep(LEAVE_AFTER_S)
        self._front_server.stop()
        left_s = self._settings.termination_grace_s - LEAVE_AFTER_S - STOP_MARGIN_S
        with anyio.move_on_after(max(0.0, left_s)):
            while self._front_server.server_state.connections:
                await anyio.sleep(0.02)
        log("stopped", host=self._settings.name)
