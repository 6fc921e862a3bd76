"""Periodic tasks of a daemon: settings, drains, snapshots and catching up."""

import uuid

import anyio

from basilwind.control.records import (
    CONTROL_STREAM,
    HostAction,
    HostRecord,
    encode_record,
)
from basilwind.control.snapshot import make_snapshot_records
from basilwind.control.state import HostPhase
from basilwind.errors import (
    JournalUnavailable,
    PeerUnreachable,
    PlatformUnavailable,
    RecordInvalid,
    WorkerUnreachable,
)
from basilwind.logs import log
from basilwind.membership.rendezvous import choose_by_hash
from basilwind.peers.messages import ControlQuery

TICK_INTERVAL_S = 0.5
CATCH_UP_INTERVAL_S = 0.5
RENEWAL_FRACTION = 0.25  # of the time for which the log retains records
SNAPSHOT_CHECK_INTERVAL_S = 0.5
MAX_RECORDS_WITHOUT_SNAPSHOT = 500
ACKNOWLEDGE_INTERVAL_S = 0.3
ACKNOWLEDGE_RETRY_INTERVAL_S = 2.0


class Housekeeping:
    """Keeps the daemon in step with the control state.

    Args:
        daemon: The ``Daemon``.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self._acknowledged = {}
        self._renewed_at = daemon.clock()
        self._changed = anyio.Event()
        self._is_changed = True
        self._diverged_peers = set()
        self._hosts = {}
        self._draining = []

    def on_control_change(self):
        """Schedules the next tick at once, since the control state has changed."""
        self._is_changed = True
        self._changed.set()

    async def run(self):
        """Ticks and runs the other periodic tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._catch_up_from_peers)
            tasks.start_soon(self._publish_snapshots)
            tasks.start_soon(self._acknowledge_drains)
            while True:
                self._tick()
                self._changed = anyio.Event()
                if not self._is_changed:
                    with anyio.move_on_after(TICK_INTERVAL_S):
                        await self._changed.wait()

    def _tick(self):
        daemon = self._daemon
        state = daemon.control.state
        if not state.is_loaded:
            self._is_changed = False
            return
        now = daemon.clock()
        if self._is_changed:
            self._is_changed = False
            self._apply_settings(state)
        for pool, service in daemon.dispatcher.services.items():
            service.shard.update_hosts(self._hosts[pool], self._is_placeable)
            if daemon.ownership.acts_for(pool, now):
                self._report_metrics(pool, service.shard, now)
            else:
                service.shard.queue.return_all()
        self._draining = [
            host for host in state.hosts.values() if host.phase is HostPhase.DRAINING
        ]
        daemon.dispatcher.executions.expire(now)
        self._compare_digests(now)
        if now - self._renewed_at > daemon.settings.log_retention_s * RENEWAL_FRACTION:
            self._renewed_at = now
            self._renew_ownership()

    def _report_metrics(self, pool, shard, now):
        metrics = self._daemon.metrics
        metrics.gauge(f"shard.{pool}.waiting", shard.queue.waiting)
        metrics.gauge(f"shard.{pool}.free_slots", shard.free_slots(now))

    def _compare_digests(self, now):
        control = self._daemon.control
        for heartbeat in self._daemon.members.live(now):
            if heartbeat.control_offset != control.next_offset:
                continue
            if heartbeat.control_digest == control.state.digest:
                self._diverged_peers.discard(heartbeat.name)
            elif heartbeat.name not in self._diverged_peers:
                self._diverged_peers.add(heartbeat.name)
                log(
                    "control state differs from a peer's at the same offset",
                    peer=heartbeat.name,
                    offset=control.next_offset,
                )

    def _renew_ownership(self):
        try:
            self._daemon.ownership.renew()
        except JournalUnavailable:
            log("journal's append queue is full: ownership renewal is postponed")

    def _apply_settings(self, state):
        daemon = self._daemon
        zone_hosts = [
            host.settings
            for host in state.hosts.values()
            if host.settings.zone == daemon.zone
        ]
        daemon.workers.update(zone_hosts)
        for pool in daemon.zone_pools():
            if pool not in daemon.dispatcher.services:
                daemon.dispatcher.add_pool(pool)
        for pool, service in daemon.dispatcher.services.items():
            hosts = state.hosts_of(pool, daemon.zone)
            self._hosts[pool] = [host.settings for host in hosts]
            for team, settings in state.tree.teams.items():
                service.shard.update_team(team, settings)

    def _is_placeable(self, name):
        host = self._daemon.control.state.hosts.get(name)
        if host is None or host.phase is not HostPhase.ACTIVE:
            return False
        return self._daemon.workers.is_healthy(name)

    async def _acknowledge_drains(self):
        # Not part of the tick, which must not wait for slow workers. A host is
        # in _draining only once a tick has stopped placing work on it.
        while True:
            async with anyio.create_task_group() as tasks:
                for host in self._draining:
                    tasks.start_soon(self._acknowledge_if_due, host)
            await anyio.sleep(ACKNOWLEDGE_INTERVAL_S)

    async def _acknowledge_if_due(self, host):
        now = self._daemon.clock()
        if self._is_acknowledgement_due(host, now) and await self._is_worker_idle(host):
            await self._acknowledge(host, now)

    def _is_acknowledgement_due(self, host, now):
        daemon = self._daemon
        if host.settings.zone != daemon.zone or daemon.name in host.acknowledged:
            return False
        if self._has_in_flight(host):
            return False
        version, sent_at = self._acknowledged.get(host.name, (0, 0.0))
        return version != host.version or now - sent_at > ACKNOWLEDGE_RETRY_INTERVAL_S

    def _has_in_flight(self, host):
        for service in self._daemon.dispatcher.services.values():
            worker = service.shard.slots.workers.get(host.name)
            if worker is not None and worker.running:
                return True
        return False

    async def _is_worker_idle(self, host):
        # Only the worker knows the tasks of an entry host that has crashed.
        client = self._daemon.workers.client(host.name)
        if client is None:
            return False
        try:
            report = await client.report()
        except WorkerUnreachable:
            return False
        return report.running == 0

    async def _acknowledge(self, host, now):
        daemon = self._daemon
        record = HostRecord(
            id=uuid.uuid4().hex,
            author=daemon.name,
            at=daemon.wall_clock(),
            host=host.name,
            action=HostAction.ACKNOWLEDGE,
            version=host.version,
            entry_host=daemon.name,
        )
        self._acknowledged[host.name] = (host.version, now)
        try:
            await daemon.platform.append(CONTROL_STREAM, encode_record(record))
        except PlatformUnavailable:
            log("drain acknowledgement not confirmed; it will be sent again")

    async def _catch_up_from_peers(self):
        while True:
            await anyio.sleep(CATCH_UP_INTERVAL_S)
            if not self._daemon.control.follower.is_available:
                await self._fetch_control_records()

    async def _publish_snapshots(self):
        daemon = self._daemon
        published_at = daemon.clock()
        while True:
            await anyio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            now = daemon.clock()
            control = daemon.control
            records_since = control.next_offset - control.snapshot_offset
            is_old = (
                now - published_at > daemon.settings.log_retention_s * RENEWAL_FRACTION
            )
            # The log drops old snapshots as well, so a new one is due even if
            # nothing has changed.
            is_due = is_old or records_since > MAX_RECORDS_WITHOUT_SNAPSHOT
            if is_due and self._is_snapshot_publisher(now):
                published_at = now
                await self._publish_snapshot()

    def _is_snapshot_publisher(self, now):
        daemon = self._daemon
        if daemon.not_ready_reason() or not daemon.control.follower.is_available:
            return False
        names = [
            heartbeat.name
            for heartbeat in daemon.members.live(now)
            if heartbeat.is_ready
        ]
        return choose_by_hash("control-snapshot", [*names, daemon.name]) == daemon.name

    async def _publish_snapshot(self):
        daemon = self._daemon
        state = daemon.control.state
        for record in make_snapshot_records(state, daemon.name, daemon.wall_clock()):
            try:
                await daemon.platform.append(CONTROL_STREAM, encode_record(record))
            except PlatformUnavailable:
                log("snapshot append not confirmed; the next snapshot will replace it")
                return

    async def _fetch_control_records(self):
        daemon = self._daemon
        peers_ahead = [
            heartbeat
            for heartbeat in daemon.members.live(daemon.clock())
            if heartbeat.control_offset > daemon.control.next_offset
        ]
        if not peers_ahead:
            if daemon.control.state.is_loaded:
                daemon.control.mark_current()
            return
        best = max(peers_ahead, key=lambda heartbeat: heartbeat.control_offset)
        link = daemon.mesh.link(best.name)
        try:
            reply = await link.call(ControlQuery(daemon.control.next_offset))
        except PeerUnreachable:
            return
        try:
            daemon.control.apply_from_peer(reply)
        except RecordInvalid as error:
            log(
                "peer sent an invalid control snapshot",
                peer=best.name,
                reason=str(error),
            )
