"""Passes cancellations of declined jobs on to the pools that get the jobs.

Load pattern: a caller cancels a job whose submission is still on its way, and the
operator moves the path meanwhile. The cancellation is in the former pool, whose owner
declines the job in favour of the other one.
"""

import anyio

from basilwind.entry.follower import PLATFORM_RETRY_S
from basilwind.entry.intake import cancellation_key, encode_cancellation, intake_topic
from basilwind.errors import PlatformError
from basilwind.platform.store import encode_keyed_record


class CancelForwarder:
    """Passes on cancellations of jobs that a pool has declined.

    Args:
        store: ``StoreClient``.
        state: ``PoolState`` of the pool.
        report: Logs and counts an event.
    """

    def __init__(self, store, state, report):
        self._store = store
        self._state = state
        self._report = report

    async def pass_on(self, job_id):
        """Passes on a declined job's cancellations that are not passed on yet.

        Args:
            job_id: Id of the job.

        Raises:
            PlatformError: The store has not confirmed it.
        """
        declined, customers = self._state.cancels_to_pass_on(job_id)
        for customer in customers:
            value = encode_cancellation(customer, declined.version)
            record = encode_keyed_record(cancellation_key(job_id), value)
            await self._store.append(intake_topic(declined.target), [record])
            self._state.note_cancel_passed_on(job_id, customer, declined.version)
            self._report(
                "cancel passed on",
                job=job_id,
                target=declined.target,
                version=declined.version,
            )

    async def pass_on_until_stored(self, job_id):
        """Passes them on, repeating until the store has confirmed it."""
        while True:
            try:
                return await self.pass_on(job_id)
            except PlatformError:
                await anyio.sleep(PLATFORM_RETRY_S)
