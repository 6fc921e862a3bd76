"""Serves the requests of one shard on the entry host that owns it."""

from collections import deque
from dataclasses import replace

import anyio

from basilwind.errors import LeaseLost
from basilwind.journal.state import outcome_of
from basilwind.models import Outcome, OutcomeKind, Reason, refused, unknown
from basilwind.placement.at_most_once import (
    CLOCK_SKEW_S,
    PendingOutcome,
    StartGuard,
    digest_of,
    key_time,
)
from basilwind.placement.executor import Executor

LEASE_POLL_INTERVAL_S = 0.05
LEASE_WAIT_S = 1.0
MAX_PROVEN_NOT_RUN = 10_000
TAKE_OVER_RETRY_AFTER_S = 1.0


class ShardService:
    """Runs the requests of one shard while this process owns it.

    Args:
        shard: The ``Shard``.
        zone_context: ``ZoneContext`` shared by the zone's shards.
    """

    def __init__(self, shard, zone_context):
        self.shard = shard
        self._zone_context = zone_context
        self._executor = Executor(
            shard,
            zone_context.workers,
            zone_context.task_monitor,
            zone_context.clock,
            zone_context.wall_clock,
        )
        self._in_flight = {}
        self._proven_not_run = deque(maxlen=MAX_PROVEN_NOT_RUN)

    @property
    def pool(self):
        """Pool of the shard."""
        return self.shard.pool

    @property
    def in_flight(self):
        """``PendingOutcome`` of at-most-once work in this process, by identity."""
        return self._in_flight

    @property
    def unsettled_count(self):
        """Number of at-most-once requests that have no outcome yet."""
        return sum(not pending.settled.is_set() for pending in self._in_flight.values())

    async def serve(self, spec, deadline, execution):
        """Runs a request to its outcome.

        Args:
            spec: The request.
            deadline: Its deadline, on the monotonic clock in seconds.
            execution: Its ``Execution``.

        Returns:
            The final ``Outcome``.
        """
        now = self._zone_context.clock()
        if not self._zone_context.ownership.acts_for(self.pool, now):
            return refused(Reason.NO_OWNER, TAKE_OVER_RETRY_AFTER_S)
        if spec.idempotent:
            return await self._serve_idempotent(spec, deadline, execution)
        return await self._serve_at_most_once(spec, deadline, execution)

    async def _serve_idempotent(self, spec, deadline, execution):
        refusal = self.shard.refusal(spec, deadline, self._zone_context.clock())
        if refusal is not None:
            return refusal
        return await self.run_attempts(spec, deadline, execution, guard=None)

    async def _serve_at_most_once(self, spec, deadline, execution):
        pending = self._in_flight.get(spec.identity)
        if pending is not None:
            return await self._join_pending(pending, spec, deadline)
        if self._is_job(spec):
            return refused(Reason.KEY_REUSED)
        known = await self.outcome_from_journal(spec, deadline)
        if known is not None:
            return known
        epoch = await self.wait_for_epoch(deadline)
        if epoch is None:
            return _unproven_outcome(spec)
        # The journal may have brought an entry on the work in the meantime.
        if self._is_known(spec):
            return await self._serve_at_most_once(spec, deadline, execution)
        if self._may_have_expired(spec):
            return unknown(Reason.OUTCOME_LOST)
        refusal = self.shard.refusal(spec, deadline, self._zone_context.clock())
        if refusal is not None:
            return refusal
        pending = self.register(spec)
        guard = self.guard(spec, epoch)
        self._zone_context.tasks.start_soon(
            self._run_pending, pending, spec, deadline, execution, guard
        )
        await pending.settled.wait()
        return pending.outcome

    def register(self, spec):
        """Registers a request as in flight in this process.

        Returns:
            Its ``PendingOutcome``.
        """
        pending = PendingOutcome(digest_of(spec))
        self._in_flight[spec.identity] = pending
        return pending

    def settle(self, spec, pending, outcome):
        """Sets the outcome of a request that was in flight in this process."""
        self._settle(spec.identity, pending, outcome)

    def register_work_item(self, work_item):
        """Registers the previous owner's work item as in flight, to be resolved.

        Returns:
            Its ``PendingOutcome``.
        """
        pending = PendingOutcome(work_item.digest)
        self._in_flight[work_item.identity] = pending
        return pending

    def settle_work_item(self, work_item, pending, outcome):
        """Sets the outcome of the previous owner's work item."""
        self._settle(work_item.identity, pending, outcome)

    def guard(self, spec, epoch):
        """Returns the ``StartGuard`` of a request under an epoch."""
        return StartGuard(
            spec,
            epoch,
            self._zone_context.journal,
            self._zone_context.ownership,
            self._zone_context.copy_sender,
            self._zone_context.clock,
        )

    async def wait_for_epoch(self, deadline):
        """Waits for a lease under which non-idempotent work may start.

        Args:
            deadline: Longest wait, on the monotonic clock in seconds.

        Returns:
            The epoch, or None if the lease is lost or the deadline came first.
        """
        ownership = self._zone_context.ownership
        lapsed_at = None
        while True:
            now = self._zone_context.clock()
            owned = ownership.owned.get(self.pool)
            if owned is not None and now >= owned.usable_at:
                # A late heartbeat may renew the lease within LEASE_WAIT_S.
                if ownership.has_lease(now):
                    return owned.epoch
                lapsed_at = now if lapsed_at is None else lapsed_at
                if now - lapsed_at >= LEASE_WAIT_S:
                    return None
            may_get_epoch = owned is not None or ownership.acts_for(self.pool, now)
            if not may_get_epoch or now >= deadline or not ownership.may_claim:
                return None
            await anyio.sleep(LEASE_POLL_INTERVAL_S)

    async def run_attempts(self, spec, deadline, execution, guard, history=None):
        """Runs a request in its execution's cancel scope; see ``Executor.execute``."""
        outcome = refused(Reason.CANCELLED_BY_CALLER)
        with execution.open_scope():
            outcome = await self._executor.execute(
                spec, deadline, execution, guard, history
            )
        return apply_cancellation(execution, outcome)

    async def _run_pending(self, pending, spec, deadline, execution, guard):
        outcome = unknown(Reason.OUTCOME_LOST)
        try:
            outcome = await self.run_attempts(spec, deadline, execution, guard)
            if outcome.kind in (OutcomeKind.DONE, OutcomeKind.FAILED):
                guard.record_finish(outcome)
            elif outcome.kind is OutcomeKind.REFUSED and spec.key:
                outcome = self._confirm_refusal(outcome, guard)
        finally:
            self.settle(spec, pending, outcome)

    def _confirm_refusal(self, outcome, guard):
        # Another owner may have run a request under this key in the meantime.
        if outcome.reason is Reason.NO_OWNER:
            return outcome
        try:
            guard.check_lease()
        except LeaseLost:
            return unknown(Reason.LOG_UNAVAILABLE, TAKE_OVER_RETRY_AFTER_S)
        return outcome

    async def _join_pending(self, pending, spec, deadline):
        if pending.digest != digest_of(spec):
            return refused(Reason.KEY_REUSED)
        with anyio.move_on_after(max(deadline - self._zone_context.clock(), 0.0)):
            await pending.settled.wait()
        if pending.outcome is None:
            return unknown(Reason.KEY_IN_USE, TAKE_OVER_RETRY_AFTER_S)
        return replace(pending.outcome, replayed=True)

    def _settle(self, identity, pending, outcome):
        pending.outcome = outcome
        pending.settled.set()
        if outcome.kind is OutcomeKind.REFUSED or self._is_journaled(identity, pending):
            del self._in_flight[identity]

    def drop_journaled(self):
        """Drops settled outcomes that the journal's state contains by now.

        While the log is down, only this process knows these outcomes.
        """
        for identity, pending in list(self._in_flight.items()):
            if pending.settled.is_set() and self._is_journaled(identity, pending):
                del self._in_flight[identity]

    def _is_journaled(self, identity, pending):
        work_item = self._zone_context.journal.state.work_items.get(identity)
        if work_item is None:
            return False
        if pending.outcome.kind is OutcomeKind.UNKNOWN:
            return work_item.started is not None or work_item.finished is not None
        return work_item.finished is not None

    def _is_job(self, spec):
        work_item = self._zone_context.journal.state.work_items.get(spec.identity)
        return work_item is not None and work_item.job is not None

    def _is_known(self, spec):
        work_item = self._zone_context.journal.state.work_items.get(spec.identity)
        if spec.identity in self._in_flight:
            return True
        if work_item is None or self._is_proven_not_run(work_item):
            return False
        return work_item.started is not None or work_item.finished is not None

    def _is_proven_not_run(self, work_item):
        return work_item.started and work_item.started.task_id in self._proven_not_run

    async def outcome_from_journal(self, spec, deadline):
        """Returns the outcome of earlier work with the same identity, or None.

        None means that the journal proves that nothing has run, or that it
        has no entry for the identity.

        Args:
            spec: The request.
            deadline: Longest wait, on the monotonic clock in seconds.
        """
        work_item = self._zone_context.journal.state.work_items.get(spec.identity)
        if work_item is None:
            return None
        if work_item.digest and work_item.digest != digest_of(spec):
            return refused(Reason.KEY_REUSED)
        if work_item.finished is not None:
            return _replayed(work_item.finished)
        if work_item.started is None or self._is_proven_not_run(work_item):
            return None
        outcome = None
        is_resolved = False
        with anyio.move_on_after(max(deadline - self._zone_context.clock(), 0.0)):
            outcome = await self.resolve(work_item)
            is_resolved = True
        if not is_resolved:
            return unknown(Reason.KEY_IN_USE, TAKE_OVER_RETRY_AFTER_S)
        return replace(outcome, replayed=True) if outcome is not None else None

    async def resolve(self, work_item):
        """Determines the outcome of a started work item and records it.

        See ``OutcomeResolver.resolve``.
        """
        started = work_item.started
        outcome = await self._zone_context.resolver.resolve(started)
        owned = self._zone_context.ownership.owned.get(self.pool)
        if owned is None:
            return outcome if outcome is not None else unknown(Reason.OUTCOME_LOST)
        guard = self.guard(WorkRef(work_item.identity, self.pool), owned.epoch)
        if outcome is None:
            guard.record_not_run(started.task_id)
            self._proven_not_run.append(started.task_id)
        else:
            guard.record_finish(outcome)
        return outcome

    def _may_have_expired(self, spec):
        if not spec.key:
            return False
        key_created_at = key_time(spec.key)
        if (
            key_created_at
            <= self._zone_context.journal.state.retained_since + CLOCK_SKEW_S
        ):
            if self._zone_context.journal.state.retained_since > 0:
                return True
        owned = self._zone_context.ownership.owned.get(self.pool)
        if owned is None or not owned.succeeds_unreleased:
            return False
        # While the log is down, starts are copied to the peers that are up;
        # this process has no copies from before its own start.
        return key_created_at <= self._zone_context.started_wall_time


class WorkRef:
    """Identifies work for a ``StartGuard`` where the request is not known.

    Args:
        identity: Identity of the work item.
        pool: Pool of its shard.
    """

    def __init__(self, identity, pool):
        self.identity = identity
        self.pool = pool


def apply_cancellation(execution, outcome):
    """Replaces a refused or failed outcome with cancelled if the caller cancelled."""
    if execution.is_cancelled and outcome.kind in (
        OutcomeKind.REFUSED,
        OutcomeKind.FAILED,
    ):
        return Outcome(OutcomeKind.CANCELLED, Reason.CANCELLED_BY_CALLER)
    return outcome


def _unproven_outcome(spec):
    # Without a key the request is new; with one it may have run before.
    if not spec.key:
        return refused(Reason.LOG_UNAVAILABLE, TAKE_OVER_RETRY_AFTER_S)
    return unknown(Reason.LOG_UNAVAILABLE, TAKE_OVER_RETRY_AFTER_S)


def _replayed(finished):
    outcome = outcome_of(finished)
    if finished.has_body:
        return outcome
    return Outcome(
        kind=finished.kind,
        reason=Reason.OUTCOME_LOST,
        status=finished.status,
        worker=finished.worker,
        replayed=True,
    )
