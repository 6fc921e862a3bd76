"""Plans drains, reboots and returns for the hosts of one zone.

One entry host of the zone is its planner, chosen by hash. It appends its
proposals as control records, and applying them to the control state decides
whether they are accepted. Two planners at a time are therefore harmless: they
cost an additional append, but cannot exceed a budget.
"""

import uuid
from dataclasses import dataclass

import anyio

from basilwind.control.budget import remaining_budget, tightest_budget
from basilwind.control.records import (
    CONTROL_STREAM,
    HostAction,
    HostRecord,
    encode_record,
)
from basilwind.control.state import HostPhase, WaveStatus
from basilwind.control.waves import hosts_out_in_wave
from basilwind.errors import PlatformUnavailable, WorkerUnreachable
from basilwind.logs import log
from basilwind.membership.rendezvous import choose_by_hash
from basilwind.workers.client import TASK_LEASE_S

PLAN_INTERVAL_S = 0.5
IDLE_PLAN_INTERVAL_S = 5.0
MIN_BUDGET_FOR_HEADROOM = 3


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change of a host's phase that is due.

    Attributes:
        host: ``HostState`` of the host.
        action: The change.
        reason: Why it is due, for the audit trail.
        wave: For a drain, the name of its wave.
        entry_host: For an acknowledgement, the gone entry host that it is
            made for.
    """

    host: object
    action: HostAction
    reason: str
    wave: str = ""
    entry_host: str = ""


def headroom(state, pool):
    """Returns how many hosts of a pool's budget are reserved for failures."""
    limit = tightest_budget(state, pool)
    return 1 if limit is not None and limit.max_out >= MIN_BUDGET_FOR_HEADROOM else 0


def due_drains(state, zone):
    """Returns a ``Proposal`` for each drain that waves and budgets allow now.

    Args:
        state: ``ControlState``.
        zone: The availability zone.
    """
    proposals, planned_by_pool = [], {}
    for wave in state.waves.values():
        if wave.status is not WaveStatus.RUNNING:
            continue
        wave_capacity = wave.at_once - hosts_out_in_wave(state, wave)
        for name in wave.remaining:
            host = state.hosts.get(name)
            if wave_capacity <= 0:
                break
            if host is None or host.settings.zone != zone or host.is_out:
                continue
            remaining = remaining_budget(state, host.pool)
            planned = planned_by_pool.get(host.pool, 0)
            if (
                remaining is not None
                and remaining - planned - headroom(state, host.pool) <= 0
            ):
                continue
            planned_by_pool[host.pool] = planned + 1
            wave_capacity -= 1
            reason = f"wave {wave.name}"
            proposals.append(Proposal(host, HostAction.DRAIN, reason, wave.name))
    return proposals


def due_undrains(state, zone):
    """Returns proposals to undrain hosts where failures exceed a budget.

    Only hosts that have not started to reboot can be undrained.
    """
    proposals = []
    for pool in {host.pool for host in state.hosts.values()}:
        remaining = remaining_budget(state, pool)
        excess = -remaining if remaining is not None else 0
        for host in state.hosts_of(pool, zone):
            is_before_reboot = host.phase in (HostPhase.DRAINING, HostPhase.DRAINED)
            if excess > 0 and is_before_reboot and host.wave:
                excess -= 1
                reason = "failures of other hosts need the budget"
                proposals.append(Proposal(host, HostAction.UNDRAIN, reason))
    return proposals


class Planner:
    """Plans the zone's maintenance while this daemon is the zone's planner.

    Args:
        daemon: The ``Daemon``.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self._incarnations = {}
        self._rebooting_since = {}
        self._gone_since = {}
        self._last_versions = None
        self._planned_at = 0.0

    async def run(self):
        """Plans periodically until cancelled."""
        while True:
            await anyio.sleep(PLAN_INTERVAL_S)
            now = self._daemon.clock()
            if self._is_planner(now) and self._is_due(now):
                await self._plan(now)

    def _is_due(self, now):
        # Without a change, only hosts that are out of use need planning.
        state = self._daemon.control.state
        list_version = self._daemon.workers.host_list_version
        versions = (state.next_offset, list_version)
        is_out = any(host.is_out for host in state.hosts.values())
        is_due = (
            versions != self._last_versions
            or is_out
            or now - self._planned_at > IDLE_PLAN_INTERVAL_S
        )
        if is_due:
            self._last_versions, self._planned_at = versions, now
        return is_due

    def _is_planner(self, now):
        daemon = self._daemon
        if daemon.not_ready_reason() or not daemon.control.follower.is_available:
            return False
        names = daemon.members.live_in_zone(daemon.zone, now)
        return (
            choose_by_hash(f"planner/{daemon.zone}", [*names, daemon.name])
            == daemon.name
        )

    async def _plan(self, now):
        state = self._daemon.control.state
        zone = self._daemon.zone
        undrains = due_undrains(state, zone)
        proposals = undrains or due_drains(state, zone)
        for proposal in proposals:
            await self._propose(proposal)
        for host in list(state.hosts.values()):
            if host.settings.zone == zone:
                await self._advance_host(host, now)

    async def _advance_host(self, host, now):
        if host.phase is HostPhase.DRAINING:
            await self._acknowledge_for_gone(host, now)
        elif host.phase is HostPhase.DRAINED and host.wave:
            await self._propose_reboot(host)
        elif host.phase is HostPhase.REBOOTING:
            await self._check_return(host, now)
        elif host.phase is HostPhase.ACTIVE:
            self._rebooting_since.pop(host.name, None)
            if self._daemon.workers.is_listed_gone(host.name):
                reason = "the platform lists it as gone"
                await self._propose(Proposal(host, HostAction.FAIL, reason))

    async def _acknowledge_for_gone(self, host, now):
        # A gone entry host does not acknowledge drains. Once the leases of its
        # tasks have expired and the worker is idle, the planner does so for it.
        daemon = self._daemon
        entry_hosts = daemon.control.state.entry_hosts_of(daemon.zone)
        for name in sorted(entry_hosts - host.acknowledged):
            is_gone = daemon.workers.is_listed_gone(name)
            if not is_gone or daemon.members.is_live(name, now):
                self._gone_since.pop(name, None)
                continue
            since = self._gone_since.setdefault(name, now)
            if now - since > TASK_LEASE_S and await self._is_worker_idle(host):
                reason = f"{name} is gone"
                action = HostAction.ACKNOWLEDGE
                await self._propose(Proposal(host, action, reason, entry_host=name))

    async def _is_worker_idle(self, host):
        client = self._daemon.workers.client(host.name)
        if client is None:
            return False
        try:
            return (await client.report()).running == 0
        except WorkerUnreachable:
            return False

    async def _propose_reboot(self, host):
        incarnation = await self._incarnation(host)
        if not incarnation:
            return
        self._incarnations[host.name] = incarnation
        await self._propose(Proposal(host, HostAction.REBOOT, f"wave {host.wave}"))

    async def _check_return(self, host, now):
        since = self._rebooting_since.get(host.name)
        if since is None:
            self._rebooting_since[host.name] = now
            await self._request_reboot(host)
            return
        previous = self._incarnations.get(host.name, "")
        incarnation = await self._incarnation(host)
        if incarnation and previous and incarnation != previous:
            reason = "back from its reboot"
            await self._propose(Proposal(host, HostAction.RETURN, reason))
        elif incarnation and not previous:
            # The planner that requested the reboot was lost, and with it the
            # incarnation from before the reboot: reboot once more.
            self._incarnations[host.name] = incarnation
            await self._request_reboot(host)
        elif now - since > self._daemon.settings.reboot_patience_s:
            reason = "not back from its reboot in time"
            await self._propose(Proposal(host, HostAction.FAIL, reason))

    async def _request_reboot(self, host):
        try:
            await self._daemon.platform.reboot(host.name)
        except PlatformUnavailable:
            self._rebooting_since.pop(host.name, None)

    async def _incarnation(self, host):
        client = self._daemon.workers.client(host.name)
        if client is None:
            return ""
        try:
            return (await client.report()).incarnation
        except WorkerUnreachable:
            return ""

    async def _propose(self, proposal):
        daemon = self._daemon
        record = HostRecord(
            id=uuid.uuid4().hex,
            author=daemon.name,
            at=daemon.wall_clock(),
            host=proposal.host.name,
            action=proposal.action,
            version=proposal.host.version,
            reason=proposal.reason,
            wave=proposal.wave,
            entry_host=proposal.entry_host,
        )
        try:
            await daemon.platform.append(CONTROL_STREAM, encode_record(record))
        except PlatformUnavailable:
            log(
                "proposal not confirmed; it will be made again", host=proposal.host.name
            )
