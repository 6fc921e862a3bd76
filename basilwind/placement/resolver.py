"""Finds out what became of work that an earlier owner started."""

import anyio

from basilwind.errors import WorkerUnreachable
from basilwind.models import Reason, unknown
from basilwind.placement.executor import record_outcome
from basilwind.workers.results import TaskState

FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
PATIENCE_S = 60.0


class Resolver:
    """Asks workers for their records of started tasks.

    Args:
        workers: ``WorkerDirectory`` of the zone.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, workers, clock):
        self._workers = workers
        self._clock = clock

    async def resolve(self, started, patience_s=PATIENCE_S):
        """Waits until the outcome of a started task is known.

        A task that its worker has never seen is refused by it from then on,
        so that it is proven not to have run.

        Args:
            started: The journal's ``Started`` entry.
            patience_s: How long an unreachable worker is asked, in seconds.

        Returns:
            The ``Outcome``; unknown if the worker cannot tell; or None if the
            task is proven not to have run.
        """
        last_heard = self._clock()
        pause_s = FIRST_PAUSE_S
        while True:
            record = await self._ask(started)
            now = self._clock()
            if record is None:
                if now - last_heard > patience_s or self._is_gone(started.worker):
                    return unknown(Reason.WORKER_ANSWER_LOST)
            else:
                last_heard = now
                if record.state is not TaskState.RUNNING:
                    return _conclude(record, started)
            await anyio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, LONGEST_PAUSE_S)

    async def _ask(self, started):
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


def _conclude(record, started):
    if record.state is not TaskState.NEVER_STARTED:
        return record_outcome(record, started.worker)
    # A worker that has been restarted has lost its records.
    is_same = record.incarnation == started.worker_incarnation
    return None if is_same else unknown(Reason.WORKER_ANSWER_LOST)
