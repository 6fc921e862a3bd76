"""The journal of a pool's jobs: fenced appends, gathered into few calls."""

import anyio

from basilwind.entry.fenced import FencedTopic
from basilwind.entry.intake import CANCEL_PREFIX
from basilwind.entry.signals import Signal
from basilwind.errors import StoreRefused, StoreUnanswered
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.records import encode_job

PRODUCER = "owner"  # all owners share it
GATHER_S = 0.02  # calls are priced; an append takes 10 ms by itself
RETRY_S = 0.15  # a busy store turns calls away for some tenths of a second
MAX_CALL_BYTES = 1_000_000  # below the store's limit of 2 MB a call


def journal_topic(pool):
    """Returns the topic of a pool's journal."""
    return f"keyed.journal.{pool}"


class JobJournal:
    """Makes a pool's changes durable.

    Args:
        store: ``StoreClient``.
        state: ``PoolState`` whose dirty jobs are written.
        intake_topic: Topic from which forgotten submissions are dropped.
    """

    def __init__(self, store, state, intake_topic):
        self._store = store
        self._state = state
        self._topic = FencedTopic(
            store, journal_topic(state.name), PRODUCER, state.token, RETRY_S
        )
        self._intake_topic = intake_topic
        self._signal = Signal()
        self._taken = 0
        self._written = 0
        self._written_event = anyio.Event()

    async def fence(self):
        """Raises the producer's epoch, which ends the former owner's appends.

        Raises:
            ProducerFenced: A later owner has raised it already.
        """
        await self._topic.append([])

    def wake(self):
        """Writes what is dirty soon."""
        self._signal.set()

    async def durable(self):
        """Waits until everything that is dirty now is durable."""
        await self.wait_for(self.mark())

    def mark(self):
        """Returns a mark of everything that is dirty now."""
        return self._taken + 1 if self._state.dirty else self._taken

    def has_written(self, mark):
        """Tells whether everything up to a mark is durable."""
        return self._written >= mark

    async def wait_for(self, mark):
        """Waits until everything up to a mark is durable."""
        while not self.has_written(mark):
            self._signal.set()
            await self._written_event.wait()

    async def run(self):
        """Writes dirty jobs as they come.

        Raises:
            ProducerFenced: A later owner has taken over.
        """
        while True:
            await self._signal.wait()
            if not self._state.dirty and not self._state.dropped:
                continue
            await self._write()
            await anyio.sleep(GATHER_S)

    async def _write(self):
        state = self._state
        job_ids, state.dirty = state.dirty, set()
        dropped, state.dropped = state.dropped, []
        self._taken += 1
        records = [
            encode_keyed_record(job_id, encode_job(state.jobs[job_id]))
            for job_id in job_ids
            if job_id in state.jobs
        ]
        records += [encode_keyed_record(job_id, b"") for job_id in dropped]
        for chunk in _chunks(records):
            await self._topic.append(chunk)
        self._written = self._taken
        event, self._written_event = self._written_event, anyio.Event()
        event.set()
        if dropped:
            await self._drop_submissions(dropped)

    async def _drop_submissions(self, job_ids):
        records = [
            encode_keyed_record(key, b"")
            for job_id in job_ids
            for key in (job_id, CANCEL_PREFIX + job_id)
        ]
        try:
            await self._store.append(self._intake_topic, records)
        except (StoreRefused, StoreUnanswered):
            # A submission left behind is dropped with the next owner's start.
            return


def _chunks(records):
    chunk, size = [], 0
    for record in records:
        if size + len(record) > MAX_CALL_BYTES and chunk:
            yield chunk
            chunk, size = [], 0
        chunk.append(record)
        size += len(record)
    if chunk:
        yield chunk
