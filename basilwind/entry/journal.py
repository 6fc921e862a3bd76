"""The journal of a pool's jobs: batched, fenced appends to the store."""

import anyio
import msgspec

from basilwind.entry.auto_reset_event import AutoResetEvent
from basilwind.entry.fenced_topic import FencedTopic
from basilwind.entry.intake import CANCEL_PREFIX
from basilwind.errors import StoreRefused, StoreUnanswered
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.quota_use import measure_ending
from basilwind.scheduling.records import encode_job_records, encode_workers

PRODUCER = "owner"  # shared by all owners, as fencing is per producer
BATCH_DELAY_S = 0.02  # each call costs money; an append alone takes 10 ms
RETRY_S = 0.15  # a busy store rejects calls for some tenths of a second
DECLINE_PREFIX = "~"  # never the first character of a job id
FORGET_INTERVAL_S = 0.5
WORKERS_KEY = "/workers"  # never the key of a job or of a part of one
QUOTA_KEY = "/quota"
MAX_PARTS = 64  # further records of a job; its state takes up to 1 MB
MAX_PART_SUFFIX_BYTES = 8
MAX_CALL_BYTES = 1_000_000  # below the store's limit of 2 MB per call


def journal_topic(pool):
    """Returns the topic of a pool's journal."""
    return f"keyed.journal.{pool}"


class JobJournal:
    """Writes a pool's changed jobs to its journal topic.

    Args:
        store: ``StoreClient``.
        state: ``PoolState`` whose changed (dirty) jobs are written.
        intake_topic: Topic from which submissions of dropped jobs are deleted.
        max_record_bytes: Largest size of a record in the store.
    """

    def __init__(self, store, state, intake_topic, max_record_bytes):
        self._store = store
        self._state = state
        self._topic = FencedTopic(
            store, journal_topic(state.name), PRODUCER, state.token, RETRY_S
        )
        self._intake_topic = intake_topic
        self._max_record_bytes = max_record_bytes
        # Number of further records of each job, if any.
        self._parts = {}
        # Ids of jobs whose submissions have been deleted.
        self._forgotten = []
        self._wake_event = AutoResetEvent()
        self._last_batch = 0
        self._last_written_batch = 0
        # Latest batch with runs that the previous owner had not recorded.
        self._found_runs_batch = 0
        self._written_event = anyio.Event()

    async def fence(self):
        """Raises the producer's epoch, which fences off the previous owner.

        Raises:
            ProducerFenced: A later owner has raised it already.
        """
        await self._topic.append([])

    def request_write(self):
        """Requests that dirty jobs be written soon."""
        self._wake_event.set()

    async def flush(self):
        """Waits until all jobs that are dirty now are durable."""
        await self.wait_for(self.pending_batch())

    def pending_batch(self):
        """Returns the number of the batch that contains all jobs that are dirty now."""
        is_due = self._state.dirty or self._state.quota.is_record_due
        return self._last_batch + 1 if is_due else self._last_batch

    def has_written(self, batch):
        """Returns whether all batches up to ``batch`` are durable."""
        return self._last_written_batch >= batch

    @property
    def has_written_found_runs(self):
        """Whether all runs that a previous owner had not recorded are durable."""
        return not self._state.has_found_runs and self.has_written(
            self._found_runs_batch
        )

    async def wait_for(self, batch):
        """Waits until all batches up to ``batch`` are durable."""
        while not self.has_written(batch):
            self._wake_event.set()
            await self._written_event.wait()

    async def run(self):
        """Writes dirty jobs until cancelled or fenced.

        Raises:
            ProducerFenced: A later owner has taken over.
        """
        while True:
            await self._wake_event.wait()
            is_quota_due = self._state.quota.is_record_due
            if not self._state.dirty and not self._forgotten and not is_quota_due:
                continue
            await self._write()
            await anyio.sleep(BATCH_DELAY_S)

    async def run_forgetting(self):
        """Deletes dropped jobs from the store until cancelled.

        A submission without a record in the journal counts as a new job. The record is
        therefore deleted only when the submission has certainly gone.
        """
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            dropped, self._state.dropped = self._state.dropped, []
            # A job that was declined may have come back meanwhile.
            dropped = [job_id for job_id in dropped if job_id not in self._state.jobs]
            if dropped:
                await self._delete_submissions(dropped)
                self._forgotten += dropped
                self._wake_event.set()

    def note_parts(self, job_id, parts):
        """Notes how many further records the journal has of a restored job."""
        self._parts[job_id] = parts

    async def _write(self):
        state = self._state
        job_ids, state.dirty = state.dirty, set()
        forgotten, self._forgotten = self._forgotten, []
        self._last_batch += 1
        if state.has_found_runs:
            state.has_found_runs = False
            self._found_runs_batch = self._last_batch
        groups = [
            self._encode_job(job_id) for job_id in job_ids if job_id in state.jobs
        ]
        groups += [
            [
                encode_keyed_record(
                    DECLINE_PREFIX + job_id, msgspec.json.encode(state.declined[job_id])
                )
            ]
            for job_id in job_ids
            if job_id in state.declined
        ]
        groups += [
            self._encode_deletions(job_id)
            for job_id in forgotten
            if job_id not in state.jobs
        ]
        workers = state.workers_to_record()
        if workers != state.recorded_workers:
            # Written along with jobs only, as each call costs money.
            groups.append([encode_keyed_record(WORKERS_KEY, encode_workers(workers))])
        quota_record = state.quota.begin_record(measure_ending(state))
        if quota_record is not None:
            # It comes first, as the records of jobs lack what it counts.
            groups.insert(0, [encode_keyed_record(QUOTA_KEY, quota_record)])
        for chunk in split_by_size(groups):
            await self._topic.append(chunk)
        if quota_record is not None:
            state.quota.finish_record()
        for job_id in job_ids:
            if job_id in state.jobs:
                state.jobs[job_id].is_recorded = True
        state.recorded_workers = workers
        self._last_written_batch = self._last_batch
        event, self._written_event = self._written_event, anyio.Event()
        event.set()

    def _encode_job(self, job_id):
        """Returns the records of a job, which belong into one append."""
        key_bytes = len(job_id) + MAX_PART_SUFFIX_BYTES
        first, *parts = encode_job_records(
            self._state.jobs[job_id], self._max_record_bytes - key_bytes - 1
        )
        previous = self._parts.get(job_id, 0)
        self._parts[job_id] = len(parts)
        parts += [b""] * (previous - len(parts))
        return [encode_keyed_record(job_id, first)] + [
            encode_keyed_record(part_key(job_id, number), part)
            for number, part in enumerate(parts, 1)
        ]

    def _encode_deletions(self, job_id):
        keys = [job_id, DECLINE_PREFIX + job_id]
        parts = self._parts.pop(job_id, 0)
        keys += [part_key(job_id, number) for number in range(1, parts + 1)]
        return [encode_keyed_record(key, b"") for key in keys]

    async def _delete_submissions(self, job_ids):
        """Deletes submissions, repeating until the store has confirmed it."""
        groups = [
            [
                encode_keyed_record(job_id, b""),
                encode_keyed_record(CANCEL_PREFIX + job_id, b""),
            ]
            for job_id in job_ids
        ]
        for chunk in split_by_size(groups):
            while True:
                try:
                    await self._store.append(self._intake_topic, chunk)
                    break
                except (StoreRefused, StoreUnanswered):
                    await anyio.sleep(RETRY_S)


def part_key(job_id, number):
    """Returns the key of a further record of a job."""
    return f"{job_id}/{number}"


def split_by_size(groups):
    """Joins groups of records to appends; a group is never split."""
    chunk, size = [], 0
    for group in groups:
        group_size = sum(map(len, group))
        if size + group_size > MAX_CALL_BYTES and chunk:
            yield chunk
            chunk, size = [], 0
        chunk += group
        size += group_size
    if chunk:
        yield chunk
