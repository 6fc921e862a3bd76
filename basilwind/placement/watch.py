"""Watches a running task over connections other than its own."""

import anyio

from basilwind.errors import WorkerUnreachable
from basilwind.workers.results import TaskIndeterminate, TaskNotRun, TaskState

SILENCE_S = 2.0
SILENT_QUERIES = 3
ANSWER_GRACE_S = 0.5
POLL_S = 0.3


class WatchedTask:
    """A task whose connection is not trusted to speak up.

    While the answer is awaited, the worker is asked for the task's record on
    new connections. That renews the task's lease, and finds answers and
    requests that got lost on a connection which has gone silent.

    Args:
        client: ``WorkerClient`` of the worker.
        task_id: Id of the task.
        incarnation: The worker's process, as last reported.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, client, task_id, incarnation, clock):
        self._client = client
        self._task_id = task_id
        self._incarnation = incarnation
        self._clock = clock
        self._result = None
        self._is_sent = False

    async def run(self, spec, before_first_byte, timeout_s):
        """Runs the task; see ``WorkerClient.run_task``."""
        deadline = self._clock() + timeout_s

        def note_first_byte():
            before_first_byte()
            self._is_sent = True

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch, tasks.cancel_scope)
                self._result = await self._client.run_task(
                    self._task_id, spec, note_first_byte, timeout_s
                )
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            raise _only_error(group) from None
        if isinstance(self._result, TaskIndeterminate):
            return await self._resolve(self._result, deadline)
        return self._result

    async def _watch(self, scope):
        silent = 0
        while silent < SILENT_QUERIES:
            await anyio.sleep(SILENCE_S)
            if not self._is_sent:
                continue
            try:
                record = await self._client.task_record(self._task_id)
            except WorkerUnreachable:
                silent += 1
                continue
            silent = 0
            if record.state is not TaskState.RUNNING:
                await anyio.sleep(ANSWER_GRACE_S)
                self._result = TaskIndeterminate("the connection went silent")
                scope.cancel()
                return
        self._result = TaskIndeterminate("the worker went silent")
        scope.cancel()

    async def _resolve(self, result, deadline):
        # The worker's record may turn a lost answer into the answer.
        silent = 0
        while silent < SILENT_QUERIES and self._clock() < deadline:
            record = None
            with anyio.move_on_after(max(deadline - self._clock(), 0.0)):
                record = await self._stop_if_not_started()
            if record is None:
                silent += 1
            elif record.state is TaskState.FINISHED:
                return record.answer
            elif record.state is TaskState.STOPPED:
                return result
            elif record.state is TaskState.NEVER_STARTED:
                return self._never_started(record, result)
            await anyio.sleep(POLL_S)
        return result

    async def _stop_if_not_started(self):
        try:
            return await self._client.task_record(
                self._task_id, stop_if_not_started=True
            )
        except WorkerUnreachable:
            return None

    def _never_started(self, record, result):
        # A worker that has been restarted has lost its records.
        if not self._incarnation or record.incarnation != self._incarnation:
            return result
        return TaskNotRun("the task never reached the worker")


def _only_error(group):
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
