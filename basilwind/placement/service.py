"""Serves the requests of one shard on the entry host that owns it."""

from collections import deque
from dataclasses import replace

import anyio

from basilwind.errors import LeaseLost
from basilwind.journal.state import outcome_of
from basilwind.models import Outcome, OutcomeKind, Reason, refused, unknown
from basilwind.placement.at_most_once import (
    CLOCK_SKEW_S,
    InFlight,
    StartGuard,
    digest_of,
    key_time,
)
from basilwind.placement.executor import Executor

LEASE_POLL_S = 0.05
LEASE_PATIENCE_S = 1.0
PROVEN_KEPT = 10_000
TAKE_OVER_RETRY_AFTER_S = 1.0


class ShardService:
    """Runs requests under the shard's ownership.

    Args:
        shard: The ``Shard``.
        zone: ``ZoneParts`` shared by the zone's shards.
    """

    def __init__(self, shard, zone):
        self.shard = shard
        self._zone = zone
        self._executor = Executor(
            shard, zone.workers, zone.watch, zone.clock, zone.wall
        )
        self._in_flight = {}
        self._proven_not_run = deque(maxlen=PROVEN_KEPT)

    @property
    def pool(self):
        """Pool of the shard."""
        return self.shard.pool

    @property
    def in_flight(self):
        """Work at most once that runs in this process, by identity."""
        return self._in_flight

    @property
    def unsettled(self):
        """How much work at most once has no outcome yet."""
        return sum(not f.settled.is_set() for f in self._in_flight.values())

    async def serve(self, spec, deadline, custody):
        """Runs a request to its outcome.

        Args:
            spec: The request.
            deadline: Its deadline, on the monotonic clock in seconds.
            custody: Its ``Execution``.

        Returns:
            The final ``Outcome``.
        """
        now = self._zone.clock()
        if not self._zone.ownership.acts_for(self.pool, now):
            return refused(Reason.NO_OWNER, TAKE_OVER_RETRY_AFTER_S)
        if spec.idempotent:
            return await self._serve_idempotent(spec, deadline, custody)
        return await self._serve_once(spec, deadline, custody)

    async def _serve_idempotent(self, spec, deadline, custody):
        refusal = self.shard.refusal(spec, deadline, self._zone.clock())
        if refusal is not None:
            return refusal
        return await self.run_attempts(spec, deadline, custody, guard=None)

    async def _serve_once(self, spec, deadline, custody):
        flight = self._in_flight.get(spec.identity)
        if flight is not None:
            return await self._join(flight, spec, deadline)
        if self._is_job(spec):
            return refused(Reason.KEY_REUSED)
        known = await self.outcome_from_journal(spec, deadline)
        if known is not None:
            return known
        epoch = await self.usable_epoch(deadline)
        if epoch is None:
            return _not_proven(spec)
        # The fold may have learned of the work while the lease was awaited.
        if self._is_known(spec):
            return await self._serve_once(spec, deadline, custody)
        if self._may_be_forgotten(spec):
            return unknown(Reason.OUTCOME_LOST)
        refusal = self.shard.refusal(spec, deadline, self._zone.clock())
        if refusal is not None:
            return refusal
        flight = self.take_off(spec)
        guard = self.guard(spec, epoch)
        self._zone.tasks.start_soon(self._fly, flight, spec, deadline, custody, guard)
        await flight.settled.wait()
        return flight.outcome

    def take_off(self, spec):
        """Registers work as running in this process.

        Returns:
            Its ``InFlight``.
        """
        flight = InFlight(digest_of(spec))
        self._in_flight[spec.identity] = flight
        return flight

    def land(self, spec, flight, outcome):
        """Settles work that ran in this process."""
        self._settle(spec.identity, flight, outcome)

    def take_off_work(self, work):
        """Registers work of an earlier owner as being resolved here."""
        flight = InFlight(work.digest)
        self._in_flight[work.identity] = flight
        return flight

    def land_work(self, work, flight, outcome):
        """Settles work of an earlier owner."""
        self._settle(work.identity, flight, outcome)

    def guard(self, spec, epoch):
        """Returns the ``StartGuard`` of a request under an epoch."""
        return StartGuard(
            spec,
            epoch,
            self._zone.journal,
            self._zone.ownership,
            self._zone.copies,
            self._zone.clock,
        )

    async def usable_epoch(self, deadline):
        """Waits for a lease that admits non-idempotent work.

        Returns:
            The epoch, or None if the lease is lost or the deadline came first.
        """
        ownership = self._zone.ownership
        lapsed_at = None
        while True:
            now = self._zone.clock()
            owned = ownership.owned.get(self.pool)
            if owned is not None and now >= owned.usable_at:
                # A heartbeat that is late by a moment is waited for.
                if ownership.has_lease(now):
                    return owned.epoch
                lapsed_at = now if lapsed_at is None else lapsed_at
                if now - lapsed_at >= LEASE_PATIENCE_S:
                    return None
            is_coming = owned is not None or ownership.acts_for(self.pool, now)
            if not is_coming or now >= deadline or not ownership.may_claim:
                return None
            await anyio.sleep(LEASE_POLL_S)

    async def run_attempts(self, spec, deadline, custody, guard):
        """Runs a request in its custody's scope; see ``Executor.execute``."""
        outcome = refused(Reason.CANCELLED_BY_CALLER)
        with custody.open_scope():
            outcome = await self._executor.execute(spec, deadline, custody, guard)
        return cancelled_if_asked(custody, outcome)

    async def _fly(self, flight, spec, deadline, custody, guard):
        outcome = unknown(Reason.OUTCOME_LOST)
        try:
            outcome = await self.run_attempts(spec, deadline, custody, guard)
            if outcome.kind in (OutcomeKind.DONE, OutcomeKind.FAILED):
                guard.record_finish(outcome)
            elif outcome.kind is OutcomeKind.REFUSED and spec.key:
                outcome = self._still_refused(outcome, guard)
        finally:
            self.land(spec, flight, outcome)

    def _still_refused(self, outcome, guard):
        # Another owner may have run the key while the request waited here.
        if outcome.reason is Reason.NO_OWNER:
            return outcome
        try:
            guard.check()
        except LeaseLost:
            return unknown(Reason.LOG_UNAVAILABLE, TAKE_OVER_RETRY_AFTER_S)
        return outcome

    async def _join(self, flight, spec, deadline):
        if flight.digest != digest_of(spec):
            return refused(Reason.KEY_REUSED)
        with anyio.move_on_after(max(deadline - self._zone.clock(), 0.0)):
            await flight.settled.wait()
        if flight.outcome is None:
            return unknown(Reason.KEY_IN_USE, TAKE_OVER_RETRY_AFTER_S)
        return replace(flight.outcome, replayed=True)

    def _settle(self, identity, flight, outcome):
        flight.outcome = outcome
        flight.settled.set()
        if outcome.kind is OutcomeKind.REFUSED or self._is_journaled(identity, flight):
            del self._in_flight[identity]

    def forget_journaled(self):
        """Forgets settled work that the fold knows by now.

        While the log is out, the work's end is known in this process alone.
        """
        for identity, flight in list(self._in_flight.items()):
            if flight.settled.is_set() and self._is_journaled(identity, flight):
                del self._in_flight[identity]

    def _is_journaled(self, identity, flight):
        work = self._zone.journal.state.work_items.get(identity)
        if work is None:
            return False
        if flight.outcome.kind is OutcomeKind.UNKNOWN:
            return work.started is not None or work.finished is not None
        return work.finished is not None

    def _is_job(self, spec):
        work = self._zone.journal.state.work_items.get(spec.identity)
        return work is not None and work.job is not None

    def _is_known(self, spec):
        work = self._zone.journal.state.work_items.get(spec.identity)
        if spec.identity in self._in_flight:
            return True
        if work is None or self._is_proven_not_run(work):
            return False
        return work.started is not None or work.finished is not None

    def _is_proven_not_run(self, work):
        return work.started and work.started.task_id in self._proven_not_run

    async def outcome_from_journal(self, spec, deadline):
        """Returns the outcome that earlier work of the identity had, or None.

        None is returned when the journal proves that nothing ran so far, or
        knows nothing.
        """
        work = self._zone.journal.state.work_items.get(spec.identity)
        if work is None:
            return None
        if work.digest and work.digest != digest_of(spec):
            return refused(Reason.KEY_REUSED)
        if work.finished is not None:
            return _replayed(work.finished)
        if work.started is None or self._is_proven_not_run(work):
            return None
        outcome = None
        is_resolved = False
        with anyio.move_on_after(max(deadline - self._zone.clock(), 0.0)):
            outcome = await self.resolve(work)
            is_resolved = True
        if not is_resolved:
            return unknown(Reason.KEY_IN_USE, TAKE_OVER_RETRY_AFTER_S)
        return replace(outcome, replayed=True) if outcome is not None else None

    async def resolve(self, work):
        """Finds out what became of started work; see ``Resolver.resolve``."""
        started = work.started
        outcome = await self._zone.resolver.resolve(started)
        owned = self._zone.ownership.owned.get(self.pool)
        if owned is None:
            return outcome if outcome is not None else unknown(Reason.OUTCOME_LOST)
        guard = self.guard(WorkRef(work.identity, self.pool), owned.epoch)
        if outcome is None:
            guard.record_not_run(started.task_id)
            self._proven_not_run.append(started.task_id)
        else:
            guard.record_finish(outcome)
        return outcome

    def _may_be_forgotten(self, spec):
        if not spec.key:
            return False
        made_at = key_time(spec.key)
        if made_at <= self._zone.journal.state.retained_since + CLOCK_SKEW_S:
            if self._zone.journal.state.retained_since > 0:
                return True
        owned = self._zone.ownership.owned.get(self.pool)
        if owned is None or not owned.succeeds_unreleased:
            return False
        # While the log is out, starts are copied to the peers that are up;
        # this process has no copies from before its own start.
        return made_at <= self._zone.started_at_wall


class WorkRef:
    """Names work by identity and pool where its request is not at hand.

    Args:
        identity: Identity of the work.
        pool: Pool of its shard.
    """

    def __init__(self, identity, pool):
        self.identity = identity
        self.pool = pool


def cancelled_if_asked(custody, outcome):
    """Returns the cancelled outcome if the caller cancelled before the start."""
    if custody.is_cancelled and outcome.kind in (
        OutcomeKind.REFUSED,
        OutcomeKind.FAILED,
    ):
        return Outcome(OutcomeKind.CANCELLED, Reason.CANCELLED_BY_CALLER)
    return outcome


def _not_proven(spec):
    # A request without a key is new; one with a key may have run before.
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
