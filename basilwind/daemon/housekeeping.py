"""Periodic work of a daemon: applying settings, drains and catching up."""

import uuid

import anyio

from basilwind.control.records import (
    CONTROL_STREAM,
    HostAction,
    HostRecord,
    encode_record,
)
from basilwind.control.state import HostPhase
from basilwind.errors import (
    JournalUnavailable,
    PeerUnreachable,
    PlatformUnavailable,
    WorkerUnreachable,
)
from basilwind.logs import log
from basilwind.peers.messages import ControlQuery

TICK_S = 0.25
CATCH_UP_INTERVAL_S = 0.5
RENEWAL_SHARE = 0.25
ACKNOWLEDGE_RETRY_S = 2.0


class Housekeeping:
    """Keeps the daemon's parts in step with the control state.

    Args:
        daemon: The ``Daemon``.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self._acknowledged = {}
        self._renewed_at = daemon.clock()
        self._changed = anyio.Event()
        self._is_changed = True

    def note_control_change(self):
        """Notes that the control state has changed."""
        self._is_changed = True
        self._changed.set()

    async def run(self):
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._catch_up_from_peers)
            while True:
                self._tick()
                await self._acknowledge_drains()
                self._changed = anyio.Event()
                if not self._is_changed:
                    with anyio.move_on_after(TICK_S):
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
        for pool, service in daemon.desk.services.items():
            hosts = [host.settings for host in state.hosts_of(pool, daemon.zone)]
            service.shard.update_hosts(hosts, self._is_placeable)
        daemon.desk.book.expire(now)
        if now - self._renewed_at > daemon.settings.log_retention_s * RENEWAL_SHARE:
            self._renewed_at = now
            self._renew()

    def _renew(self):
        try:
            self._daemon.ownership.renew()
        except JournalUnavailable:
            log("renewals do not fit while the log is out; they follow later")

    def _apply_settings(self, state):
        daemon = self._daemon
        zone_hosts = [
            host.settings
            for host in state.hosts.values()
            if host.settings.zone == daemon.zone
        ]
        daemon.workers.update(zone_hosts)
        for pool in daemon.zone_pools():
            if pool not in daemon.desk.services:
                daemon.desk.add_pool(pool)
        for service in daemon.desk.services.values():
            for team, settings in state.tree.teams.items():
                service.shard.update_team(team, settings)

    def _is_placeable(self, name):
        host = self._daemon.control.state.hosts.get(name)
        if host is None or host.phase is not HostPhase.ACTIVE:
            return False
        return self._daemon.workers.is_healthy(name)

    async def _acknowledge_drains(self):
        daemon = self._daemon
        now = daemon.clock()
        for host in list(daemon.control.state.hosts.values()):
            if host.phase is HostPhase.DRAINING and self._is_due(host, now):
                if await self._is_worker_idle(host):
                    await self._acknowledge(host, now)

    def _is_due(self, host, now):
        daemon = self._daemon
        if host.settings.zone != daemon.zone or daemon.name in host.acknowledged:
            return False
        if self._has_in_flight(host):
            return False
        version, sent_at = self._acknowledged.get(host.name, (0, 0.0))
        return version != host.version or now - sent_at > ACKNOWLEDGE_RETRY_S

    def _has_in_flight(self, host):
        for service in self._daemon.desk.services.values():
            worker = service.shard.slots.workers.get(host.name)
            if worker is not None and worker.running:
                return True
        return False

    async def _is_worker_idle(self, host):
        # Tasks of an entry host that died are known to the worker alone.
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
            at=daemon.wall(),
            host=host.name,
            action=HostAction.ACKNOWLEDGE,
            version=host.version,
            entry_host=daemon.name,
        )
        self._acknowledged[host.name] = (host.version, now)
        try:
            await daemon.platform.append(CONTROL_STREAM, encode_record(record))
        except PlatformUnavailable:
            log("drain acknowledgement not confirmed; it is sent again")

    async def _catch_up_from_peers(self):
        while True:
            await anyio.sleep(CATCH_UP_INTERVAL_S)
            if not self._daemon.control.follower.is_available:
                await self._fetch_control()

    async def _fetch_control(self):
        daemon = self._daemon
        ahead = [
            heartbeat
            for heartbeat in daemon.members.live(daemon.clock())
            if heartbeat.control_offset > daemon.control.next_offset
        ]
        if not ahead:
            if daemon.control.state.is_loaded:
                daemon.control.mark_current()
            return
        best = max(ahead, key=lambda heartbeat: heartbeat.control_offset)
        link = daemon.mesh.link(best.name)
        try:
            reply = await link.call(ControlQuery(daemon.control.next_offset))
        except PeerUnreachable:
            return
        daemon.control.apply_from_peer(reply.records)
