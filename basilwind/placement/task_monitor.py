"""Watches running tasks over connections other than their own."""

from dataclasses import dataclass, field

import anyio

from basilwind.errors import WorkerUnreachable
from basilwind.workers.results import TaskIndeterminate, TaskNotRun, TaskState

SILENCE_S = 2.0
SILENT_QUERIES = 3
ANSWER_GRACE_S = 0.5
POLL_S = 0.3
SWEEP_S = 0.5


@dataclass(eq=False)
class RunningTask:
    """A task whose answer is awaited.

    Attributes:
        client: ``WorkerClient`` of the worker.
        task_id: Id of the task.
        incarnation: The worker's process, as last reported.
        checked_at: When it was last heard of, on the monotonic clock.
        scope: Cancelled when its connection is given up.
        is_sent: Whether the first byte has left.
        is_checking: Whether its record is being asked for.
        silent_queries: Queries in a row without an answer.
        verdict: Why its connection was given up.
    """

    client: object
    task_id: str
    incarnation: str
    checked_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    is_sent: bool = False
    is_checking: bool = False
    silent_queries: int = 0
    verdict: TaskIndeterminate | None = None

    def give_up(self, cause):
        """Stops waiting on the task's own connection."""
        self.verdict = TaskIndeterminate(cause)
        self.scope.cancel()


class TaskMonitor:
    """Runs tasks whose connections are not trusted to speak up.

    While an answer is awaited, the worker is asked for the task's record on
    new connections. That renews the task's lease, and finds answers and
    requests that got lost on a connection which has gone silent.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._running = set()

    async def run(self):
        """Checks on silent tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(SWEEP_S)
                now = self._clock()
                for task in list(self._running):
                    is_due = now - task.checked_at >= SILENCE_S
                    if task.is_sent and is_due and not task.is_checking:
                        task.is_checking = True
                        tasks.start_soon(self._check, task)

    async def run_task(
        self, client, task_id, incarnation, spec, before_first_byte, timeout_s
    ):
        """Runs a task; see ``WorkerClient.run_task``.

        Args:
            client: ``WorkerClient`` of the worker.
            task_id: Id of the task.
            incarnation: The worker's process, as last reported.
            spec: The ``RequestSpec``.
            before_first_byte: Called right before the first byte is sent.
            timeout_s: Longest wait for the answer, in seconds.
        """
        started = self._clock()
        task = RunningTask(client, task_id, incarnation, started)

        def note_first_byte():
            before_first_byte()
            task.is_sent = True

        result = None
        self._running.add(task)
        try:
            with task.scope:
                result = await client.run_task(
                    task_id, spec, note_first_byte, timeout_s
                )
        finally:
            self._running.discard(task)
        result = result or task.verdict
        if isinstance(result, TaskIndeterminate):
            return await self._resolve(task, result, started + timeout_s)
        return result

    async def _check(self, task):
        try:
            record = await task.client.task_record(task.task_id)
        except WorkerUnreachable:
            record = None
        task.checked_at = self._clock()
        task.is_checking = False
        if record is None:
            task.silent_queries += 1
            if task.silent_queries >= SILENT_QUERIES:
                task.give_up("the worker went silent")
            return
        task.silent_queries = 0
        if record.state is not TaskState.RUNNING:
            await anyio.sleep(ANSWER_GRACE_S)
            task.give_up("the connection went silent")

    async def _resolve(self, task, result, deadline):
        # The worker's record may turn a lost answer into the answer.
        silent = 0
        while silent < SILENT_QUERIES and self._clock() < deadline:
            record = None
            with anyio.move_on_after(max(deadline - self._clock(), 0.0)):
                record = await _stop_if_not_started(task)
            if record is None:
                silent += 1
            elif record.state is TaskState.FINISHED:
                return record.answer
            elif record.state is TaskState.STOPPED:
                return result
            elif record.state is TaskState.NEVER_STARTED:
                return _never_started(task, record, result)
            await anyio.sleep(POLL_S)
        return result


async def _stop_if_not_started(task):
    try:
        return await task.client.task_record(task.task_id, stop_if_not_started=True)
    except WorkerUnreachable:
        return None


def _never_started(task, record, result):
    # A worker that has been restarted has lost its records.
    if not task.incarnation or record.incarnation != task.incarnation:
        return result
    return TaskNotRun("the task never reached the worker")
