"""Checks running tasks over connections other than their own."""

from dataclasses import dataclass, field

import anyio

from basilwind.errors import WorkerUnreachable
from basilwind.workers.results import TaskIndeterminate, TaskNotRun, TaskState

CHECK_INTERVAL_S = 2.0  # between checks of the same task
MAX_UNANSWERED_QUERIES = 3
ANSWER_GRACE_S = 0.5  # for the answer of a finished task to arrive
POLL_INTERVAL_S = 0.3  # between queries for an answer that was lost
SCAN_INTERVAL_S = 0.5  # between searches for tasks whose check is due


@dataclass(eq=False)
class RunningTask:
    """A task whose answer is awaited.

    Attributes:
        client: ``WorkerClient`` of the worker.
        task_id: Id of the task.
        incarnation: The worker's process, as last reported.
        checked_at: When its last check ended, on the monotonic clock in
            seconds; at first, when it was started.
        scope: Cancel scope of the call; cancelled to abandon its connection.
        is_sent: Whether the first byte has been sent.
        is_checking: Whether a check is under way.
        unanswered_queries: Consecutive queries without an answer.
        abandon_result: Result to return once the connection is abandoned.
    """

    client: object
    task_id: str
    incarnation: str
    checked_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    is_sent: bool = False
    is_checking: bool = False
    unanswered_queries: int = 0
    abandon_result: TaskIndeterminate | None = None

    def abandon(self, cause):
        """Stops waiting for an answer on the task's own connection."""
        self.abandon_result = TaskIndeterminate(cause)
        self.scope.cancel()


class TaskMonitor:
    """Runs tasks on workers and detects connections that have gone silent.

    A connection can go silent without an error. While an answer is awaited,
    the worker is therefore asked for the task's record on new connections.
    This renews the task's lease and finds answers and requests that were lost
    on a silent connection.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._running = set()

    async def run(self):
        """Checks the tasks whose answers are awaited, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(SCAN_INTERVAL_S)
                now = self._clock()
                for task in list(self._running):
                    is_due = now - task.checked_at >= CHECK_INTERVAL_S
                    if task.is_sent and is_due and not task.is_checking:
                        task.is_checking = True
                        tasks.start_soon(self._check, task)

    async def run_task(
        self, client, task_id, incarnation, spec, before_first_byte, timeout_s
    ):
        """Runs a task and checks on it until it is answered.

        See ``WorkerClient.run_task``.

        Args:
            client: ``WorkerClient`` of the worker.
            task_id: Id of the task.
            incarnation: The worker's process, as last reported.
            spec: The ``RequestSpec``.
            before_first_byte: Called right before the first byte is sent; may
                raise to prevent it.
            timeout_s: Longest wait for the answer, in seconds.

        Returns:
            A ``TaskAnswer``, ``TaskNotRun`` or ``TaskIndeterminate``.
        """
        started_at = self._clock()
        task = RunningTask(client, task_id, incarnation, started_at)

        def on_first_byte():
            before_first_byte()
            task.is_sent = True

        result = None
        self._running.add(task)
        try:
            with task.scope:
                result = await client.run_task(task_id, spec, on_first_byte, timeout_s)
        finally:
            self._running.discard(task)
        result = result or task.abandon_result
        if isinstance(result, TaskIndeterminate):
            return await self._resolve(task, result, started_at + timeout_s)
        return result

    async def _check(self, task):
        try:
            record = await task.client.task_record(task.task_id)
        except WorkerUnreachable:
            record = None
        task.checked_at = self._clock()
        task.is_checking = False
        if record is None:
            task.unanswered_queries += 1
            if task.unanswered_queries >= MAX_UNANSWERED_QUERIES:
                task.abandon("the worker stopped answering")
            return
        task.unanswered_queries = 0
        if record.state is not TaskState.RUNNING:
            await anyio.sleep(ANSWER_GRACE_S)
            task.abandon("the connection has gone silent")

    async def _resolve(self, task, result, deadline):
        # The worker's record may contain the answer that was lost.
        unanswered = 0
        while unanswered < MAX_UNANSWERED_QUERIES and self._clock() < deadline:
            record = None
            with anyio.move_on_after(max(deadline - self._clock(), 0.0)):
                record = await _stop_if_not_started(task)
            if record is None:
                unanswered += 1
            elif record.state is TaskState.FINISHED:
                return record.answer
            elif record.state is TaskState.STOPPED:
                return result
            elif record.state is TaskState.NEVER_STARTED:
                return _never_started_result(task, record, result)
            await anyio.sleep(POLL_INTERVAL_S)
        return result


async def _stop_if_not_started(task):
    try:
        return await task.client.task_record(task.task_id, stop_if_not_started=True)
    except WorkerUnreachable:
        return None


def _never_started_result(task, record, result):
    # A worker that has been restarted has lost its records.
    if not task.incarnation or record.incarnation != task.incarnation:
        return result
    return TaskNotRun("the task never reached the worker")
