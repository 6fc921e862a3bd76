"""Proposes drains, reboots and returns for the hosts of one zone.

Whoever has the duty proposes; the control fold decides. Two planners at once
cost an append, never a promise.
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

INTERVAL_S = 0.5
IDLE_PLAN_S = 5.0
HEADROOM_FROM = 3


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change of a host that is due.

    Attributes:
        host: ``HostState`` of the host.
        action: What to do.
        reason: Why, for the audit trail.
        wave: For a drain, its wave.
        entry_host: For an acknowledgement, the entry host that is gone.
    """

    host: object
    action: HostAction
    reason: str
    wave: str = ""
    entry_host: str = ""


def headroom(state, pool):
    """Returns how many hosts of a budget are kept free for failures."""
    limit = tightest_budget(state, pool)
    return 1 if limit is not None and limit.max_out >= HEADROOM_FROM else 0


def due_drains(state, zone):
    """Returns a ``Proposal`` for each drain that the waves and budgets admit.

    Args:
        state: ``ControlState``.
        zone: The availability zone.
    """
    proposals, taken = [], {}
    for wave in state.waves.values():
        if wave.status is not WaveStatus.RUNNING:
            continue
        room = wave.at_once - hosts_out_in_wave(state, wave)
        for name in wave.remaining:
            host = state.hosts.get(name)
            if room <= 0:
                break
            if host is None or host.settings.zone != zone or host.is_out:
                continue
            left = remaining_budget(state, host.pool)
            used = taken.get(host.pool, 0)
            if left is not None and left - used - headroom(state, host.pool) <= 0:
                continue
            taken[host.pool] = used + 1
            room -= 1
            reason = f"wave {wave.name}"
            proposals.append(Proposal(host, HostAction.DRAIN, reason, wave.name))
    return proposals


def due_undrains(state, zone):
    """Returns proposals to return hosts where failures broke a budget.

    Only hosts that have not begun to reboot can be returned.
    """
    proposals = []
    for pool in {host.pool for host in state.hosts.values()}:
        left = remaining_budget(state, pool)
        excess = -left if left is not None else 0
        for host in state.hosts_of(pool, zone):
            is_early = host.phase in (HostPhase.DRAINING, HostPhase.DRAINED)
            if excess > 0 and is_early and host.wave:
                excess -= 1
                reason = "failures of other hosts need the budget"
                proposals.append(Proposal(host, HostAction.UNDRAIN, reason))
    return proposals


class Planner:
    """Runs the zone's planning while this daemon has the duty.

    Args:
        daemon: The ``Daemon``.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self._incarnations = {}
        self._rebooting_since = {}
        self._gone_since = {}
        self._seen = None
        self._planned_at = 0.0

    async def run(self):
        """Plans until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_S)
            now = self._daemon.clock()
            if self._has_duty(now) and self._is_due(now):
                await self._plan(now)

    def _is_due(self, now):
        # Without a change there is something to do only for hosts that are out.
        state = self._daemon.control.state
        listed = self._daemon.workers.host_list_version
        seen = (state.next_offset, listed)
        is_out = any(host.is_out for host in state.hosts.values())
        is_due = seen != self._seen or is_out or now - self._planned_at > IDLE_PLAN_S
        if is_due:
            self._seen, self._planned_at = seen, now
        return is_due

    def _has_duty(self, now):
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
                await self._tend(host, now)

    async def _tend(self, host, now):
        if host.phase is HostPhase.DRAINING:
            await self._acknowledge_for_gone(host, now)
        elif host.phase is HostPhase.DRAINED and host.wave:
            await self._reboot(host)
        elif host.phase is HostPhase.REBOOTING:
            await self._await_return(host, now)
        elif host.phase is HostPhase.ACTIVE:
            self._rebooting_since.pop(host.name, None)
            if self._daemon.workers.is_listed_gone(host.name):
                reason = "the platform lists it as gone"
                await self._propose(Proposal(host, HostAction.FAIL, reason))

    async def _acknowledge_for_gone(self, host, now):
        # A gone entry host acknowledges no more. Once the leases of its tasks
        # have lapsed and the worker is idle, the duty speaks for it.
        daemon = self._daemon
        entry_hosts = daemon.control.state.entry_hosts_of(daemon.zone)
        for name in sorted(entry_hosts - host.acknowledged):
            is_gone = daemon.workers.is_listed_gone(name)
            if not is_gone or daemon.members.is_live(name, now):
                self._gone_since.pop(name, None)
                continue
            since = self._gone_since.setdefault(name, now)
            if now - since > TASK_LEASE_S and await self._is_idle(host):
                reason = f"{name} is gone"
                action = HostAction.ACKNOWLEDGE
                await self._propose(Proposal(host, action, reason, entry_host=name))

    async def _is_idle(self, host):
        client = self._daemon.workers.client(host.name)
        if client is None:
            return False
        try:
            return (await client.report()).running == 0
        except WorkerUnreachable:
            return False

    async def _reboot(self, host):
        incarnation = await self._incarnation(host)
        if not incarnation:
            return
        self._incarnations[host.name] = incarnation
        await self._propose(Proposal(host, HostAction.REBOOT, f"wave {host.wave}"))

    async def _await_return(self, host, now):
        since = self._rebooting_since.get(host.name)
        if since is None:
            self._rebooting_since[host.name] = now
            await self._ask_for_reboot(host)
            return
        before = self._incarnations.get(host.name, "")
        incarnation = await self._incarnation(host)
        if incarnation and before and incarnation != before:
            reason = "back from its reboot"
            await self._propose(Proposal(host, HostAction.RETURN, reason))
        elif incarnation and not before:
            # Taken over from a planner that was lost: reboot it once more.
            self._incarnations[host.name] = incarnation
            await self._ask_for_reboot(host)
        elif now - since > self._daemon.settings.reboot_patience_s:
            reason = "not back from its reboot in time"
            await self._propose(Proposal(host, HostAction.FAIL, reason))

    async def _ask_for_reboot(self, host):
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
            at=daemon.wall(),
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
            log("proposal not confirmed; it is made again", host=proposal.host.name)
