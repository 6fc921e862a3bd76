"""Builds the daemon of one entry host from the other packages."""

import uuid

import anyio

from basilwind.api.app import ApiApp
from basilwind.api.asgi import HttpServer
from basilwind.application import Application
from basilwind.control.replica import ControlReplica
from basilwind.daemon.housekeeping import Housekeeping
from basilwind.daemon.planner import Planner
from basilwind.daemon.status import make_status
from basilwind.errors import PlatformUnavailable
from basilwind.journal.journal import Journal
from basilwind.journal.rate_limit import AppendRateLimiter
from basilwind.logs import log
from basilwind.membership.copies import CopySender, CopyStore
from basilwind.membership.heartbeats import HeartbeatExchange
from basilwind.membership.members import LocalStatus, Members, ShardHint
from basilwind.membership.ownership import Ownership
from basilwind.membership.promises import Promises
from basilwind.metrics import Metrics
from basilwind.peers.mesh import Mesh
from basilwind.peers.server import PeerServer
from basilwind.peers.service import PeerService
from basilwind.placement.dispatcher import RequestDispatcher
from basilwind.placement.resolver import OutcomeResolver
from basilwind.placement.router import Router
from basilwind.placement.task_monitor import TaskMonitor
from basilwind.placement.zone import ZoneContext
from basilwind.platform.client import PlatformClient
from basilwind.workers.directory import WorkerDirectory

HOST_LIST_INTERVAL_S = 2.5
STOP_POLL_INTERVAL_S = 0.05
LEAVE_NOTICE_S = 0.6
LEASE_POLL_FRACTION = 0.4  # of the lease; longest wait of a journal read


class Daemon:
    """The daemon of one entry host.

    Args:
        settings: ``DaemonSettings``.
        context: ``Context`` that provides the clocks.
    """

    def __init__(self, settings, context):
        self.settings = settings
        self.name = settings.name
        self.zone = settings.zone
        self.clock = context.monotonic
        self.wall_clock = context.wall_clock
        self.incarnation = uuid.uuid4().hex[:12]
        self.started_at = self.clock()
        self.is_leaving = False
        self.application = Application()
        self.metrics = Metrics(settings.statsd, self.name)
        self._build_state()
        self._build_placement()
        self._build_servers()
        self._add_services()

    def _build_state(self):
        self.platform = PlatformClient(self.settings.platform)
        self.control = ControlReplica(self.platform, self.clock, self._on_control_entry)
        self.journal = Journal(
            self.platform,
            self.zone,
            self.name,
            self.incarnation,
            self.clock,
            self.wall_clock,
            AppendRateLimiter(
                self.settings.appends_per_s,
                self.settings.append_burst,
                self.settings.group_commit_ms / 1000.0,
            ),
            poll_wait_s=self.settings.lease_s * LEASE_POLL_FRACTION,
        )
        self.members = Members(self.name, self.zone)
        self.promises = Promises(self.settings.lease_s, self.zone_peers)
        self.copy_store = CopyStore(lambda: self.journal.state)
        self.ownership = Ownership(
            self.journal,
            self.members,
            self.promises,
            self.copy_store,
            self.name,
            self.zone,
            self.incarnation,
            self.settings.lease_s,
            self.clock,
        )
        self.heartbeat_exchange = HeartbeatExchange(
            self.name,
            self.zone,
            self.incarnation,
            self.members,
            self.promises,
            self._local_status,
            self.ownership.may_miss_claims,
        )

    def _build_placement(self):
        self.mesh = Mesh(self.name, self.heartbeat_exchange, self.clock)
        self.workers = WorkerDirectory()
        self.task_monitor = TaskMonitor(self.clock)
        copy_sender = CopySender(
            self.name, self.incarnation, self.zone_peers, self.mesh.link
        )
        self._zone_context = ZoneContext(
            name=self.zone,
            journal=self.journal,
            ownership=self.ownership,
            copy_sender=copy_sender,
            workers=self.workers,
            task_monitor=self.task_monitor,
            resolver=OutcomeResolver(self.workers, self.clock),
            clock=self.clock,
            wall_clock=self.wall_clock,
            started_wall_time=self.wall_clock(),
        )
        self.dispatcher = RequestDispatcher(self._zone_context)
        self.router = Router(
            self.name,
            self.zone,
            self.incarnation,
            self.dispatcher,
            self.mesh,
            self.members,
            self.ownership,
            lambda: self.control.state,
            self.clock,
        )
        self.housekeeping = Housekeeping(self)
        self.planner = Planner(self)

    def _build_servers(self):
        self.app = ApiApp(self)
        self.http_server = HttpServer(self.app, self.settings.http)
        self.peer_service = PeerService(
            self.dispatcher,
            self.heartbeat_exchange,
            self.copy_store,
            self.control,
            self.clock,
        )

    def _add_services(self):
        application = self.application
        application.on_start(self._start)
        application.add_service(self.control.run)
        application.add_service(self.journal.run)
        application.add_service(self.mesh.run, self.settings.peers)
        application.add_service(self.ownership.run, self.zone_pools)
        application.add_service(self.workers.run, self.is_worker_wanted)
        application.add_service(self.task_monitor.run)
        application.add_service(self.app.disconnect_watcher.run)
        application.add_service(self.housekeeping.run)
        application.add_service(self.planner.run)
        application.add_service(self._refresh_host_list)
        application.add_service(self.http_server.serve_until_stopped)
        application.on_stop(self._stop)

    async def run(self, handle_signals=True):
        """Runs the daemon until it is stopped."""
        await self.application.run(handle_signals)
        log("daemon stopped", name=self.name)

    async def _start(self):
        self._zone_context.tasks = self.application.tasks
        self.peer_server = PeerServer(self.peer_service, self.application.tasks)
        host, _, port = self.settings.peer.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        self.application.tasks.start_soon(self.peer_server.serve, listener)
        log("daemon started", name=self.name, zone=self.zone)

    async def _stop(self):
        log("daemon stopping", name=self.name)
        self.is_leaving = True
        self.ownership.is_leaving = True
        self.heartbeat_exchange.invalidate_status()
        with anyio.move_on_after(self.settings.drain_patience_s):
            # The load balancer and the peers must learn that this daemon is
            # leaving before it refuses requests.
            await anyio.sleep(LEAVE_NOTICE_S)
            await self.ownership.release_all()
            self.dispatcher.return_waiting_requests()
            while self.app.open_requests or self.dispatcher.unfinished_count:
                await anyio.sleep(STOP_POLL_INTERVAL_S)
            while self.journal.pending:
                await anyio.sleep(STOP_POLL_INTERVAL_S)
        self.http_server.stop()
        await self.platform.aclose()

    def not_ready_reason(self):
        """Returns why this daemon accepts no requests, or an empty string."""
        if self.is_leaving:
            return "leaving"
        if not self.control.state.is_loaded:
            return "no settings yet: the log has none or cannot be reached"
        if not self.control.is_current:
            return "the settings have not been read to their end yet"
        return ""

    def zone_peers(self):
        """Returns the names of the zone's other entry hosts, or None if unknown."""
        if not self.control.state.is_loaded:
            return None
        return self.control.state.entry_hosts_of(self.zone) - {self.name}

    def zone_pools(self):
        """Returns the names of the pools that span this zone."""
        if not self.control.state.is_loaded:
            return []
        fleet = self.control.state.tree.fleet
        return [pool.name for pool in fleet.pools if self.zone in pool.zones]

    def is_worker_wanted(self, name):
        """Whether this entry host places work on a worker."""
        host = self.control.state.hosts.get(name)
        if host is None:
            return False
        return self.ownership.acts_for(host.pool, self.clock())

    def status(self):
        """Returns the ``DaemonStatus`` for operators."""
        return make_status(self, self.clock())

    def count_outcome(self, spec, outcome):
        """Counts the outcome of a request in the metrics."""
        self.metrics.count(f"outcome.{outcome.kind.value}")
        if self.settings.log_level == "debug":
            log(
                "request finished",
                request_id=spec.request_id,
                team=spec.team,
                outcome=outcome.kind.value,
                reason=outcome.reason.value,
            )

    def _on_control_entry(self, entry):
        self.housekeeping.on_control_change()
        if entry is None:
            return
        if entry.accepted and self.control.is_current:
            rollout_s = max(self.wall_clock() - entry.at, 0.0)
            self.metrics.timing("control.rollout", rollout_s)
        log(
            "control record applied" if entry.accepted else "control record refused",
            offset=entry.offset,
            author=entry.author,
            action=entry.action,
            target=entry.target,
            reason=entry.reason,
        )

    def _local_status(self, now):
        shards = []
        for pool, service in self.dispatcher.services.items():
            if self.ownership.acts_for(pool, now):
                shard = service.shard
                hint = ShardHint(pool, shard.free_slots(now), shard.queue.waiting)
                shards.append(hint)
        return LocalStatus(
            is_leaving=self.is_leaving,
            is_ready=not self.not_ready_reason(),
            control_offset=self.control.next_offset,
            control_digest=self.control.state.digest,
            journal_offset=self.journal.next_offset,
            shards=tuple(shards),
        )

    async def _refresh_host_list(self):
        while True:
            try:
                hosts = await self.platform.hosts()
                self.workers.update_host_list({host.name: host.state for host in hosts})
            except PlatformUnavailable:
                pass
            await anyio.sleep(HOST_LIST_INTERVAL_S)
