"""Routes each request from the entry host that took it to its shard's owner."""

import itertools
from dataclasses import dataclass

import anyio

from basilwind.errors import PeerUnreachable
from basilwind.membership.rendezvous import choose_by_hash
from basilwind.models import OutcomeKind, Reason, refused, unknown
from basilwind.peers.messages import Handoff, JobQuery, JobReply, RecallState
from basilwind.placement.jobs import make_job_id
from basilwind.placement.retry import retry_delay_s

OWNER_PATIENCE_S = 8.0
ANSWER_GRACE_S = 0.3
RETRY_AFTER_S = 1.0
ROUTING_REASONS = frozenset({Reason.NO_OWNER, Reason.LEAVING, Reason.OWNER_UNREACHABLE})
UNPROVEN_REASONS = ROUTING_REASONS | {Reason.NO_STATE}


@dataclass(frozen=True, slots=True)
class Target:
    """Where a request goes.

    Attributes:
        zone: Availability zone of the shard.
        owner: Entry host that owns it.
    """

    zone: str
    owner: str


@dataclass
class Journey:
    """What a request has been through so far.

    Attributes:
        pinned_zone: The only zone that may run it, once one might have.
        may_have_run: Whether an owner was lost that might have run it.
        attempts: How often it was handed to an owner.
    """

    pinned_zone: str = ""
    may_have_run: bool = False
    attempts: int = 0


class Router:
    """Finds owners by heartbeats and hands requests to them.

    Args:
        name: This entry host.
        zone: Its availability zone.
        incarnation: This process.
        desk: ``RequestDispatcher`` of this host.
        mesh: ``Mesh`` of the peers.
        members: ``Members`` as heard of.
        ownership: ``Ownership`` of this zone's shards.
        control: Function that returns the ``ControlState`` in force.
        clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        name,
        zone,
        incarnation,
        desk,
        mesh,
        members,
        ownership,
        control,
        clock,
    ):
        self._name = name
        self._zone = zone
        self._incarnation = incarnation
        self._handoff_ids = itertools.count(1)
        self._desk = desk
        self._mesh = mesh
        self._members = members
        self._ownership = ownership
        self._control = control
        self._clock = clock

    async def submit(self, spec, deadline, is_job=False):
        """Has a request run, or a job accepted, and returns the outcome.

        Args:
            spec: The request.
            deadline: Its deadline, on the monotonic clock in seconds.
            is_job: Whether it is a job.

        Returns:
            The final ``Outcome``.
        """
        journey = Journey(pinned_zone=self.home_zone(spec, is_job))
        patience_end = min(deadline, self._clock() + OWNER_PATIENCE_S)
        while True:
            target = self.choose(spec, journey, self._clock())
            if target is not None:
                outcome = await self._hand_over(spec, deadline, is_job, target, journey)
                if outcome is not None:
                    return honest(outcome, spec, journey.may_have_run)
            now = self._clock()
            if now >= (deadline if journey.may_have_run else patience_end):
                outcome = refused(Reason.NO_OWNER, RETRY_AFTER_S)
                return honest(outcome, spec, journey.may_have_run)
            await anyio.sleep(min(retry_delay_s(journey.attempts + 3), 0.3))

    def home_zone(self, spec, is_job):
        """Returns the only zone that may run a request, or an empty string.

        Work under a key has one home, chosen by the key, so that the same key
        sent to any entry host meets the same owner.
        """
        if not spec.key or (spec.idempotent and not is_job):
            return ""
        zones = self._control().pool_zones.get(spec.pool, ())
        return choose_by_hash(spec.identity, zones) or ""

    def choose(self, spec, journey, now):
        """Chooses the shard's owner.

        Args:
            spec: The request.
            journey: What it has been through.
            now: Present time on the monotonic clock, in seconds.

        Returns:
            A ``Target``, or None if no owner is known.
        """
        if journey.pinned_zone:
            owner = self._owner(spec.pool, journey.pinned_zone, now)
            return Target(journey.pinned_zone, owner) if owner else None
        return self._roomiest(spec, now)

    async def query_job(self, query):
        """Asks a job's owner; see ``JobQuery``.

        Returns:
            The ``JobReply``, or None if the owner cannot be reached.
        """
        pool, zone, _ = (query.job_id.split("~") + ["", ""])[:3]
        owner = self._owner(pool, zone, self._clock())
        if owner is None:
            return None
        return await self._ask(owner, query)

    async def cancel_label(self, team, label):
        """Cancels a team's unfinished jobs of a label on every owner.

        Returns:
            A ``JobReply`` whose ``found`` tells whether every live entry host
            answered.
        """
        query = JobQuery("", team, cancel=True, label=label)
        replies = [await self._desk.answer_job_query(query)]
        now = self._clock()
        async with anyio.create_task_group() as tasks:
            for heartbeat in self._members.live(now):
                tasks.start_soon(self._collect, heartbeat.name, query, replies)
        cancelled = sum(reply.cancelled for reply in replies if reply is not None)
        return JobReply(None not in replies, "cancelling", cancelled=cancelled)

    async def _collect(self, owner, query, replies):
        replies.append(await self._ask(owner, query))

    async def _ask(self, owner, query):
        if owner == self._name:
            return await self._desk.answer_job_query(query)
        link = self._mesh.link(owner)
        try:
            return await link.call(query) if link is not None else None
        except PeerUnreachable:
            return None

    def _roomiest(self, spec, now):
        zones = self._control().pool_zones.get(spec.pool, ())
        local = self._room(spec.pool, self._zone, now) if self._zone in zones else None
        if local is not None and local > 0:
            return Target(self._zone, self._owner(spec.pool, self._zone, now))
        best, best_room = None, None
        for zone in sorted(zones, key=lambda zone: zone != self._zone):
            room = self._room(spec.pool, zone, now)
            if room is not None and (best is None or room > best_room):
                best, best_room = zone, room
        if best is None:
            return None
        if best_room <= 0 and local is not None:
            # No zone has room: waiting at home costs no hop.
            best = self._zone
        return Target(best, self._owner(spec.pool, best, now))

    def _room(self, pool, zone, now):
        owner = self._owner(pool, zone, now)
        if owner is None:
            return None
        if owner == self._name:
            shard = self._desk.shard(pool)
            return shard.free_slots(now) - shard.queue.waiting if shard else None
        hint = self._members.hint_of(pool, zone, now)
        return hint.free_slots - hint.waiting if hint is not None else 0

    def _owner(self, pool, zone, now):
        if zone == self._zone:
            owner = self._ownership.acting_owner(pool, now)
            if owner == self._name or self._link_is_up(owner):
                return owner
            return None
        owner = self._members.owner_of(pool, zone, now)
        return owner if self._link_is_up(owner) else None

    def _link_is_up(self, owner):
        link = self._mesh.link(owner) if owner else None
        return link is not None and link.is_connected

    async def _hand_over(self, spec, deadline, is_job, target, journey):
        journey.attempts += 1
        remaining_s = deadline - self._clock()
        if remaining_s <= 0:
            return None
        job_id = make_job_id(spec.pool, target.zone, spec.request_id) if is_job else ""
        handoff_id = f"{self._incarnation}.{next(self._handoff_ids)}"
        handoff = Handoff(handoff_id, spec, remaining_s, is_job, job_id)
        if target.owner == self._name:
            outcome = await self._run_here(handoff)
        else:
            outcome = await self._run_there(handoff, target, journey)
        if outcome is None:
            return None
        is_misrouted = outcome.reason in ROUTING_REASONS
        return None if is_misrouted else outcome

    async def _run_here(self, handoff):
        custody = self._desk.executions.open(handoff.handoff_id)
        return await self._desk.run_execution(handoff, custody)

    async def _run_there(self, handoff, target, journey):
        link = self._mesh.link(target.owner)
        timeout_s = handoff.remaining_s + ANSWER_GRACE_S
        result = await link.hand_off(
            handoff,
            lambda: self._members.is_live(target.owner, self._clock()),
            timeout_s,
        )
        if result.outcome is not None:
            return result.outcome
        if result.is_not_run or await self._is_recalled(link, handoff):
            return None
        journey.may_have_run = True
        if not handoff.spec.idempotent or handoff.is_job:
            journey.pinned_zone = target.zone
        return None

    async def _is_recalled(self, link, handoff):
        if not link.is_connected:
            return False
        reply = await link.recall(handoff.handoff_id)
        return reply is not None and reply.state is RecallState.NOT_RUN


def honest(outcome, spec, may_have_run=False):
    """Returns an outcome that claims "not run" only with a proof.

    After the loss of an owner nobody can say that nothing ran. And only the
    home of a key can say that nothing ran under the key earlier.

    Args:
        outcome: The outcome as it came about.
        spec: The request.
        may_have_run: Whether an owner was lost that might have run it.
    """
    if outcome.kind is not OutcomeKind.REFUSED:
        return outcome
    is_home_unheard = bool(spec.key) and outcome.reason in UNPROVEN_REASONS
    if may_have_run or is_home_unheard:
        return unknown(Reason.OWNER_UNREACHABLE, outcome.retry_after_s)
    return outcome
