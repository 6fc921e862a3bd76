"""Runs admitted requests on workers, attempt by attempt."""

import uuid
from dataclasses import dataclass, field

import anyio

from basilwind.errors import (
    JournalUnavailable,
    LeaseLost,
    NotStarted,
)
from basilwind.models import Outcome, OutcomeKind, Reason, refused, unknown
from basilwind.placement.retry import MAX_ATTEMPTS, retry_delay_s
from basilwind.workers.results import (
    TaskAnswer,
    TaskIndeterminate,
    TaskNotRun,
    TaskRecord,
    TaskState,
)

NOT_RUN_RETRY_AFTER_S = 1.0


@dataclass
class Attempts:
    """What earlier attempts of a request left behind.

    Attributes:
        failures: Attempts that may have run.
        not_run: Attempts proven not to have run.
        last: Outcome to give if there is no further attempt.
    """

    failures: int = 0
    not_run: int = 0
    last: Outcome = field(default_factory=lambda: refused(Reason.DEADLINE_EXCEEDED))


class Executor:
    """Places the requests of one shard on its workers.

    Args:
        shard: The ``Shard``.
        workers: ``WorkerDirectory`` of the zone.
        watch: ``TaskMonitor`` of the daemon.
        clock: Monotonic clock, in seconds.
        wall: Wall clock, in seconds since the epoch.
    """

    def __init__(self, shard, workers, watch, clock, wall):
        self._shard = shard
        self._workers = workers
        self._watch = watch
        self._clock = clock
        self._wall = wall

    async def execute(self, spec, deadline, custody, guard=None):
        """Runs a request and returns its outcome.

        Args:
            spec: The request.
            deadline: Its deadline, on the monotonic clock in seconds.
            custody: Its ``Execution``.
            guard: ``StartGuard`` of work that runs at most once, or None.

        Returns:
            The final ``Outcome``.
        """
        attempts = Attempts()
        self._shard.retry_budget(spec.team).note_request()
        while True:
            ticket = await self._shard.acquire(spec, deadline)
            if ticket is None:
                return self._late(spec, attempts)
            if ticket.is_returned:
                return self._returned(attempts)
            try:
                result = await self._attempt(spec, deadline, custody, guard, ticket)
            finally:
                self._shard.release(ticket)
            if isinstance(result, Outcome):
                return result
            outcome = await self._next_step(spec, deadline, attempts, result)
            if outcome is not None:
                return outcome

    def _late(self, spec, attempts):
        if attempts.failures:
            return attempts.last
        return refused(Reason.DEADLINE_EXCEEDED, self._shard.retry_after_s(spec))

    def _returned(self, attempts):
        if attempts.failures:
            return attempts.last
        return refused(Reason.NO_OWNER)

    async def _attempt(self, spec, deadline, custody, guard, ticket):
        worker = ticket.reservation.worker
        task_id = str(uuid.uuid4())
        custody.task_id, custody.worker = task_id, worker.name
        if guard is not None:
            refusal = await self._record_start(spec, deadline, guard, task_id, worker)
            if refusal is not None:
                return refusal

        def before_first_byte():
            if not custody.start():
                raise NotStarted("the request was recalled")
            if guard is not None:
                guard.check()

        started_at = self._clock()
        try:
            result = await self._run(spec, deadline, task_id, worker, before_first_byte)
        except (LeaseLost, NotStarted) as error:
            self._note_not_run(custody, guard, task_id)
            return self._given_up(spec, error)
        if isinstance(result, TaskNotRun):
            self._note_not_run(custody, guard, task_id)
        self._note_result(spec, worker, result, self._clock() - started_at)
        return _Attempted(result, worker)

    async def _record_start(self, spec, deadline, guard, task_id, worker):
        deadline_at = self._wall() + deadline - self._clock()
        incarnation = self._workers.incarnation(worker.name)
        try:
            guard.check()
            await guard.record_start(task_id, worker.name, incarnation, deadline_at)
        except (LeaseLost, JournalUnavailable) as error:
            return self._given_up(spec, error)
        return None

    def _given_up(self, spec, error):
        # The journal of a keyed request may hold a start that is not seen here.
        if isinstance(error, NotStarted) or not spec.key:
            return refused(Reason.LOG_UNAVAILABLE, NOT_RUN_RETRY_AFTER_S)
        return unknown(Reason.LOG_UNAVAILABLE, NOT_RUN_RETRY_AFTER_S)

    def _note_not_run(self, custody, guard, task_id):
        custody.return_to_waiting()
        if guard is not None:
            guard.record_not_run(task_id)

    def _note_result(self, spec, worker, result, run_time_s):
        now = self._clock()
        if isinstance(result, TaskAnswer):
            self._shard.note_result(worker.name, result.is_success, now)
            self._shard.run_times.note(spec, run_time_s)
            self._shard.sizes.note(spec, result.usage)
        elif isinstance(result, TaskIndeterminate):
            self._shard.note_result(worker.name, False, now)
            self._workers.mark_suspect(worker.name)
        elif not result.is_reachable:
            self._workers.mark_unreachable(worker.name)
            worker.busy_until = now + retry_delay_s(6)
        else:
            worker.busy_until = now + retry_delay_s(2)

    async def _next_step(self, spec, deadline, attempts, attempted):
        result = attempted.result
        if isinstance(result, TaskAnswer):
            outcome = _answer_outcome(result, attempted.worker.name)
            if result.is_success or not spec.idempotent:
                return outcome
            attempts.last = outcome
        elif isinstance(result, TaskIndeterminate):
            outcome = unknown(Reason.WORKER_ANSWER_LOST)
            if not spec.idempotent:
                return outcome
            attempts.last = outcome
        else:
            attempts.not_run += 1
            return await self._pause(deadline, attempts.not_run)
        attempts.failures += 1
        budget = self._shard.retry_budget(spec.team)
        if attempts.failures >= MAX_ATTEMPTS or not budget.take():
            return attempts.last
        return await self._pause(deadline, attempts.failures)

    async def _pause(self, deadline, attempt):
        delay_s = min(retry_delay_s(attempt), max(deadline - self._clock(), 0.0))
        await anyio.sleep(delay_s)

    async def _run(self, spec, deadline, task_id, worker, before_first_byte):
        client = self._workers.client(worker.name)
        if client is None:
            return TaskNotRun("the worker has left the pool", is_reachable=False)
        timeout_s = max(deadline - self._clock(), 0.0)
        incarnation = self._workers.incarnation(worker.name)
        result = await self._watch.run_task(
            client, task_id, incarnation, spec, before_first_byte, timeout_s
        )
        if isinstance(result, TaskIndeterminate):
            await client.close_idle_connections()
        return result


@dataclass(frozen=True, slots=True)
class _Attempted:
    """The result of one attempt and the worker it was made on."""

    result: object
    worker: object


def _answer_outcome(answer, worker):
    kind = OutcomeKind.DONE if answer.is_success else OutcomeKind.FAILED
    reason = Reason.NONE if answer.is_success else Reason.WORKER_FAILED
    return Outcome(
        kind=kind,
        reason=reason,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        worker=worker,
    )


def record_outcome(record: TaskRecord, worker):
    """Returns the outcome that a worker's task record proves, or None."""
    if record.state is TaskState.FINISHED:
        return _answer_outcome(record.answer, worker)
    if record.state is TaskState.STOPPED:
        return Outcome(OutcomeKind.FAILED, Reason.TASK_STOPPED, worker=worker)
    return None
