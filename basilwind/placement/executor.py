"""Runs admitted requests on workers, with retries."""

import uuid
from collections.abc import Awaitable, Callable
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
class AttemptHistory:
    """Results of a request's earlier attempts.

    Attributes:
        failures: Number of failed attempts that may have run.
        not_run: Number of attempts proven not to have run.
        last: Outcome to return if there is no further attempt.
        record_lost: Called with the number of failures after an attempt was lost with
            its worker; or None.
    """

    failures: int = 0
    not_run: int = 0
    last: Outcome = field(default_factory=lambda: refused(Reason.DEADLINE_EXCEEDED))
    record_lost: Callable[[int], Awaitable[None]] | None = None


class Executor:
    """Runs the requests of one shard on its workers.

    Args:
        shard: The ``Shard``.
        workers: ``WorkerDirectory`` of the zone.
        task_monitor: ``TaskMonitor`` of the daemon.
        clock: Monotonic clock, in seconds.
        wall_clock: Wall clock, in seconds since the Unix epoch.
    """

    def __init__(self, shard, workers, task_monitor, clock, wall_clock):
        self._shard = shard
        self._workers = workers
        self._task_monitor = task_monitor
        self._clock = clock
        self._wall_clock = wall_clock

    async def execute(self, spec, deadline, execution, guard=None, history=None):
        """Runs a request and returns its outcome.

        Args:
            spec: The request.
            deadline: Its deadline, on the monotonic clock in seconds.
            execution: Its ``Execution``.
            guard: ``StartGuard`` of a request that runs at most once, or None.
            history: ``AttemptHistory`` of a job's attempts under earlier owners.

        Returns:
            The final ``Outcome``.
        """
        history = history or AttemptHistory()
        if history.failures >= MAX_ATTEMPTS:
            return history.last
        self._shard.retry_budget(spec.team).record_request()
        while True:
            ticket = await self._shard.acquire(spec, deadline)
            if ticket is None:
                return self._deadline_outcome(spec, history)
            if ticket.is_returned:
                return self._returned_outcome(history)
            try:
                result = await self._attempt(spec, deadline, execution, guard, ticket)
            finally:
                self._shard.release(ticket)
            if isinstance(result, Outcome):
                return result
            outcome = await self._finish_or_back_off(spec, deadline, history, result)
            if outcome is not None:
                return outcome

    def _deadline_outcome(self, spec, history):
        if history.failures:
            return history.last
        return refused(Reason.DEADLINE_EXCEEDED, self._shard.retry_after_s(spec))

    def _returned_outcome(self, history):
        if history.failures:
            return history.last
        return refused(Reason.NO_OWNER)

    async def _attempt(self, spec, deadline, execution, guard, ticket):
        worker = ticket.reservation.worker
        task_id = str(uuid.uuid4())
        execution.task_id, execution.worker = task_id, worker.name
        if guard is not None:
            refusal = await self._record_start(spec, deadline, guard, task_id, worker)
            if refusal is not None:
                return refusal

        def before_first_byte():
            if not execution.start():
                raise NotStarted("the request was recalled")
            if guard is not None:
                guard.check_lease()

        started_at = self._clock()
        try:
            result = await self._run(spec, deadline, task_id, worker, before_first_byte)
        except (LeaseLost, NotStarted) as error:
            self._record_not_run(execution, guard, task_id)
            return self._start_failed_outcome(spec, error)
        if isinstance(result, TaskNotRun):
            self._record_not_run(execution, guard, task_id)
        self._record_result(spec, worker, result, self._clock() - started_at)
        return _AttemptResult(result, worker)

    async def _record_start(self, spec, deadline, guard, task_id, worker):
        deadline_at = self._wall_clock() + deadline - self._clock()
        incarnation = self._workers.incarnation(worker.name)
        try:
            guard.check_lease()
            await guard.record_start(task_id, worker.name, incarnation, deadline_at)
        except (LeaseLost, JournalUnavailable) as error:
            return self._start_failed_outcome(spec, error)
        return None

    def _start_failed_outcome(self, spec, error):
        # The journal may hold a start under this key that is not known here.
        if isinstance(error, NotStarted) or not spec.key:
            return refused(Reason.LOG_UNAVAILABLE, NOT_RUN_RETRY_AFTER_S)
        return unknown(Reason.LOG_UNAVAILABLE, NOT_RUN_RETRY_AFTER_S)

    def _record_not_run(self, execution, guard, task_id):
        execution.return_to_waiting()
        if guard is not None:
            guard.record_not_run(task_id)

    def _record_result(self, spec, worker, result, run_time_s):
        now = self._clock()
        if isinstance(result, TaskAnswer):
            self._shard.record_result(worker.name, result.is_success, now)
            self._shard.run_times.record(spec, run_time_s)
            self._shard.resource_estimates.record(spec, result.usage)
        elif isinstance(result, TaskIndeterminate):
            self._shard.record_result(worker.name, False, now)
            self._workers.mark_suspect(worker.name)
        elif not result.is_reachable:
            self._workers.mark_unreachable(worker.name)
            worker.backoff_until = now + retry_delay_s(6)
        else:
            worker.backoff_until = now + retry_delay_s(2)

    async def _finish_or_back_off(self, spec, deadline, history, attempt_result):
        result = attempt_result.result
        if isinstance(result, TaskAnswer):
            outcome = _answer_outcome(result, attempt_result.worker.name)
            if result.is_success or not spec.idempotent:
                return outcome
            history.last = outcome
        elif isinstance(result, TaskIndeterminate):
            outcome = unknown(Reason.WORKER_ANSWER_LOST)
            if not spec.idempotent:
                return outcome
            history.last = outcome
        else:
            history.not_run += 1
            return await self._back_off(deadline, history.not_run)
        history.failures += 1
        budget = self._shard.retry_budget(spec.team)
        if history.failures >= MAX_ATTEMPTS or not budget.try_take():
            return history.last
        if isinstance(result, TaskIndeterminate) and history.record_lost is not None:
            await history.record_lost(history.failures)
        return await self._back_off(deadline, history.failures)

    async def _back_off(self, deadline, attempt):
        delay_s = min(retry_delay_s(attempt), max(deadline - self._clock(), 0.0))
        await anyio.sleep(delay_s)

    async def _run(self, spec, deadline, task_id, worker, before_first_byte):
        client = self._workers.client(worker.name)
        if client is None:
            return TaskNotRun("the worker has left the pool", is_reachable=False)
        timeout_s = max(deadline - self._clock(), 0.0)
        incarnation = self._workers.incarnation(worker.name)
        result = await self._task_monitor.run_task(
            client, task_id, incarnation, spec, before_first_byte, timeout_s
        )
        if isinstance(result, TaskIndeterminate):
            await client.close_idle_connections()
        return result


@dataclass(frozen=True, slots=True)
class _AttemptResult:
    """Result of one attempt, and the worker that it was made on."""

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


def outcome_from_task_record(record: TaskRecord, worker):
    """Returns the ``Outcome`` that a worker's task record proves, or None."""
    if record.state is TaskState.FINISHED:
        return _answer_outcome(record.answer, worker)
    if record.state is TaskState.STOPPED:
        return Outcome(OutcomeKind.FAILED, Reason.TASK_STOPPED, worker=worker)
    return None
