"""Routes requests from the entry host that received them to the shard's owner."""

import itertools
from dataclasses import dataclass

import anyio

from basilwind.errors import PeerUnreachable
from basilwind.membership.rendezvous import choose_by_hash
from basilwind.models import OutcomeKind, Reason, refused, unknown
from basilwind.peers.messages import Handoff, JobQuery, JobReply, RecallState
from basilwind.placement.jobs import make_job_id
from basilwind.placement.retry import retry_delay_s

OWNER_WAIT_S = 8.0  # how long a request waits for an owner to take it
ANSWER_GRACE_S = 0.3  # wait for an owner's answer after the deadline
RETRY_AFTER_S = 1.0
ROUTING_REASONS = frozenset({Reason.NO_OWNER, Reason.LEAVING, Reason.OWNER_UNREACHABLE})
UNPROVEN_REASONS = ROUTING_REASONS | {Reason.NO_STATE}


@dataclass(frozen=True, slots=True)
class Target:
    """The shard that a request is routed to, and its owner.

    Attributes:
        zone: Availability zone of the shard.
        owner: Entry host that owns it.
    """

    zone: str
    owner: str


@dataclass
class RoutingState:
    """Progress of a request's routing.

    Attributes:
        pinned_zone: The only zone that may still run it, because of its key or
            because an owner there may have run it; empty for any zone.
        may_have_run: Whether an owner was lost that might have run it.
        attempts: How often it was handed off to an owner.
    """

    pinned_zone: str = ""
    may_have_run: bool = False
    attempts: int = 0


class Router:
    """Finds the owners of shards from heartbeats and hands requests off to them.

    Args:
        own_name: Name of this entry host.
        own_zone: Its availability zone.
        incarnation: Id of this process.
        dispatcher: ``RequestDispatcher`` of this host.
        mesh: ``Mesh`` of the peers.
        members: ``Members``, as known from heartbeats.
        ownership: ``Ownership`` of this zone's shards.
        get_control_state: Function that returns the current ``ControlState``.
        clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        own_name,
        own_zone,
        incarnation,
        dispatcher,
        mesh,
        members,
        ownership,
        get_control_state,
        clock,
    ):
        self._own_name = own_name
        self._own_zone = own_zone
        self._incarnation = incarnation
        self._handoff_ids = itertools.count(1)
        self._dispatcher = dispatcher
        self._mesh = mesh
        self._members = members
        self._ownership = ownership
        self._get_control_state = get_control_state
        self._clock = clock

    async def submit(self, spec, deadline, is_job=False):
        """Routes a request or job to an owner and returns the outcome.

        Args:
            spec: The request.
            deadline: Its deadline, on the monotonic clock in seconds.
            is_job: Whether it is a job.

        Returns:
            The final ``Outcome``.
        """
        routing = RoutingState(pinned_zone=self.home_zone(spec, is_job))
        owner_wait_end = min(deadline, self._clock() + OWNER_WAIT_S)
        while True:
            target = self.choose_target(spec, routing, self._clock())
            if target is not None:
                outcome = await self._run_on_owner(
                    spec, deadline, is_job, target, routing
                )
                if outcome is not None:
                    return unknown_if_unproven(outcome, spec, routing.may_have_run)
            now = self._clock()
            if now >= (deadline if routing.may_have_run else owner_wait_end):
                outcome = refused(Reason.NO_OWNER, RETRY_AFTER_S)
                return unknown_if_unproven(outcome, spec, routing.may_have_run)
            await anyio.sleep(min(retry_delay_s(routing.attempts + 3), 0.3))

    def home_zone(self, spec, is_job):
        """Returns the only zone that may run a request, or an empty string.

        A key has one home zone, chosen by hash, so that requests under the
        same key reach the same owner from every entry host.
        """
        if not spec.key or (spec.idempotent and not is_job):
            return ""
        zones = self._get_control_state().pool_zones.get(spec.pool, ())
        return choose_by_hash(spec.identity, zones) or ""

    def choose_target(self, spec, routing, now):
        """Chooses the shard to run a request and looks up its owner.

        Args:
            spec: The request.
            routing: Its ``RoutingState``.
            now: Current time on the monotonic clock, in seconds.

        Returns:
            A ``Target``, or None if no owner is known.
        """
        if routing.pinned_zone:
            owner = self._owner(spec.pool, routing.pinned_zone, now)
            return Target(routing.pinned_zone, owner) if owner else None
        return self._least_loaded_target(spec, now)

    async def query_job(self, query):
        """Sends a ``JobQuery`` to the owner of the job's shard.

        Returns:
            The ``JobReply``, or None if the owner cannot be reached.
        """
        pool, zone, _ = (query.job_id.split("~") + ["", ""])[:3]
        owner = self._owner(pool, zone, self._clock())
        if owner is None:
            return None
        return await self._query_owner(owner, query)

    async def cancel_label(self, team, label):
        """Cancels a team's unfinished jobs with a label on every owner.

        Returns:
            A ``JobReply`` whose ``found`` tells whether every live entry host
            answered.
        """
        query = JobQuery("", team, cancel=True, label=label)
        replies = [await self._dispatcher.answer_job_query(query)]
        now = self._clock()
        async with anyio.create_task_group() as tasks:
            for heartbeat in self._members.live(now):
                tasks.start_soon(self._collect_reply, heartbeat.name, query, replies)
        cancelled = sum(reply.cancelled for reply in replies if reply is not None)
        return JobReply(None not in replies, "cancelling", cancelled=cancelled)

    async def _collect_reply(self, owner, query, replies):
        replies.append(await self._query_owner(owner, query))

    async def _query_owner(self, owner, query):
        if owner == self._own_name:
            return await self._dispatcher.answer_job_query(query)
        link = self._mesh.link(owner)
        try:
            return await link.call(query) if link is not None else None
        except PeerUnreachable:
            return None

    def _least_loaded_target(self, spec, now):
        zones = self._get_control_state().pool_zones.get(spec.pool, ())
        local_spare = (
            self._spare_slots(spec.pool, self._own_zone, now)
            if self._own_zone in zones
            else None
        )
        if local_spare is not None and local_spare > 0:
            return Target(self._own_zone, self._owner(spec.pool, self._own_zone, now))
        best, best_spare = None, None
        for zone in sorted(zones, key=lambda zone: zone != self._own_zone):
            spare = self._spare_slots(spec.pool, zone, now)
            if spare is not None and (best is None or spare > best_spare):
                best, best_spare = zone, spare
        if best is None:
            return None
        if best_spare <= 0 and local_spare is not None:
            # No zone has a free slot: waiting in this zone saves a hop.
            best = self._own_zone
        return Target(best, self._owner(spec.pool, best, now))

    def _spare_slots(self, pool, zone, now):
        owner = self._owner(pool, zone, now)
        if owner is None:
            return None
        if owner == self._own_name:
            shard = self._dispatcher.shard(pool)
            return shard.free_slots(now) - shard.queue.waiting if shard else None
        hint = self._members.hint_of(pool, zone, now)
        return hint.free_slots - hint.waiting if hint is not None else 0

    def _owner(self, pool, zone, now):
        if zone == self._own_zone:
            owner = self._ownership.acting_owner(pool, now)
            if owner == self._own_name or self._link_is_up(owner):
                return owner
            return None
        owner = self._members.owner_of(pool, zone, now)
        return owner if self._link_is_up(owner) else None

    def _link_is_up(self, owner):
        link = self._mesh.link(owner) if owner else None
        return link is not None and link.is_connected

    async def _run_on_owner(self, spec, deadline, is_job, target, routing):
        routing.attempts += 1
        remaining_s = deadline - self._clock()
        if remaining_s <= 0:
            return None
        job_id = make_job_id(spec.pool, target.zone, spec.request_id) if is_job else ""
        handoff_id = f"{self._incarnation}.{next(self._handoff_ids)}"
        handoff = Handoff(handoff_id, spec, remaining_s, is_job, job_id)
        if target.owner == self._own_name:
            outcome = await self._run_locally(handoff)
        else:
            outcome = await self._run_remotely(handoff, target, routing)
        if outcome is None:
            return None
        is_misrouted = outcome.reason in ROUTING_REASONS
        return None if is_misrouted else outcome

    async def _run_locally(self, handoff):
        execution = self._dispatcher.executions.open(handoff.handoff_id)
        return await self._dispatcher.run_execution(handoff, execution)

    async def _run_remotely(self, handoff, target, routing):
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
        routing.may_have_run = True
        if not handoff.spec.idempotent or handoff.is_job:
            routing.pinned_zone = target.zone
        return None

    async def _is_recalled(self, link, handoff):
        if not link.is_connected:
            return False
        reply = await link.recall(handoff.handoff_id)
        return reply is not None and reply.state is RecallState.NOT_RUN


def unknown_if_unproven(outcome, spec, may_have_run=False):
    """Returns the outcome, or unknown in place of a refusal without proof.

    A refusal claims that the request has not run. After the loss of an owner
    nobody can prove that, and only the home zone of a key can prove that
    nothing ran under the key earlier.

    Args:
        outcome: The outcome so far.
        spec: The request.
        may_have_run: Whether an owner was lost that might have run it.
    """
    if outcome.kind is not OutcomeKind.REFUSED:
        return outcome
    is_home_unconfirmed = bool(spec.key) and outcome.reason in UNPROVEN_REASONS
    if may_have_run or is_home_unconfirmed:
        return unknown(Reason.OWNER_UNREACHABLE, outcome.retry_after_s)
    return outcome
