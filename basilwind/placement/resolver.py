"""Determines the outcomes of tasks that the previous owner started."""

import anyio

from basilwind.errors import WorkerUnreachable
from basilwind.models import Reason, unknown
from basilwind.placement.executor import outcome_from_task_record
from basilwind.workers.results import TaskState

MIN_POLL_INTERVAL_S = 0.2
MAX_POLL_INTERVAL_S = 2.0
UNREACHABLE_TIMEOUT_S = 60.0


class OutcomeResolver:
    """Determines the outcomes of started tasks from their workers' records.

    Args:
        workers: ``WorkerDirectory`` of the zone.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, workers, clock):
        self._workers = workers
        self._clock = clock

    async def resolve(self, started, timeout_s=UNREACHABLE_TIMEOUT_S):
        """Waits until the outcome of a started task is known.

        Each query makes the worker refuse the task from then on if it has never
        seen it. Such a task is proven not to have run, unless the worker has
        been restarted since the start was recorded.

        Args:
            started: The journal's ``Started`` entry.
            timeout_s: How long to wait for an unreachable worker, in seconds.

        Returns:
            The ``Outcome``, which is unknown if the worker has lost its records
            or does not answer; or None if the task is proven not to have run.
        """
        last_answer_at = self._clock()
        poll_interval_s = MIN_POLL_INTERVAL_S
        while True:
            record = await self._fetch_record(started)
            now = self._clock()
            if record is None:
                if now - last_answer_at > timeout_s or self._is_gone(started.worker):
                    return unknown(Reason.WORKER_ANSWER_LOST)
            else:
                last_answer_at = now
                if record.state is not TaskState.RUNNING:
                    return _outcome(record, started)
            await anyio.sleep(poll_interval_s)
            poll_interval_s = min(poll_interval_s * 1.5, MAX_POLL_INTERVAL_S)

    async def _fetch_record(self, started):
        client = self._workers.client(started.worker)
        if client is None:
            return None
        try:
            return await client.task_record(started.task_id, stop_if_not_started=True)
        except WorkerUnreachable:
            return None

    def _is_gone(self, worker):
        is_known = self._workers.client(worker) is not None
        return not is_known or self._workers.is_listed_unavailable(worker)


def _outcome(record, started):
    if record.state is not TaskState.NEVER_STARTED:
        return outcome_from_task_record(record, started.worker)
    # A worker that has been restarted has lost its records.
    is_same = record.incarnation == started.worker_incarnation
    return None if is_same else unknown(Reason.WORKER_ANSWER_LOST)
