"""Durable acceptance of submissions and cancels, by any daemon."""

import anyio
import msgspec

from basilwind.entry.signals import Signal
from basilwind.errors import NotStarted, StoreRefused, StoreUnanswered
from basilwind.platform.store import Producer, encode_keyed_record
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.records import decode_submission

CANCEL_PREFIX = "!"  # no job id begins with it
RETRY_S = 0.1  # shorter than a caller's patience, longer than a store's answer
REFUSE_AFTER_S = 1.0  # a third of the callers' deadline of 3 s


def intake_topic(pool):
    """Returns the topic of a pool's submissions."""
    return f"keyed.intake.{pool}"


def cancelled_job(record):
    """Returns the id of the job that a record of the intake cancels, or None."""
    if record.key.startswith(CANCEL_PREFIX) and record.value:
        return record.key[len(CANCEL_PREFIX) :]
    return None


def decode_submitted_job(record, report):
    """Returns the new ``Job`` that a record of the intake submits, or None.

    Args:
        record: ``KeyedRecord`` of the intake.
        report: Logs and counts an event; told of a record that does not parse.
    """
    if record.key.startswith(CANCEL_PREFIX) or not record.value:
        return None
    try:
        submission = decode_submission(record.value)
    except msgspec.DecodeError as error:
        report("submission damaged", job=record.key, error=str(error))
        return None
    return Job(record.key, submission.queue, submission.spec, submission.accepted_at)


class _Entry:
    """A record that waits for its append.

    Attributes:
        key: Key of the record.
        record: The framed record.
        done: Set once the outcome is settled.
        is_sent: Whether it was sent, so that it may take effect.
        is_stored: Whether it is durable.
        is_withdrawn: Whether its caller was refused before it was sent.
    """

    def __init__(self, key, value):
        self.key = key
        self.record = encode_keyed_record(key, value)
        self.done = anyio.Event()
        self.is_sent = False
        self.is_stored = False
        self.is_withdrawn = False


class Intake:
    """Appends to one pool's intake; one call at a time gathers what waits.

    Args:
        store: ``StoreClient``.
        pool: Name of the pool.
        producer: Name of this daemon's incarnation, for repeats.
        watch: ``StoreWatch``.
    """

    def __init__(self, store, pool, producer, watch):
        self._store = store
        self._topic = intake_topic(pool)
        self._producer = producer
        self._watch = watch
        self._sequence = 0
        self._entries = []
        # Keys whose append has no answer yet, so that it may have taken effect.
        self._in_doubt = frozenset()
        self._signal = Signal()

    async def submit(self, job_id, record):
        """Stores a submission.

        Args:
            job_id: Id of the job.
            record: Encoded ``SubmissionRecord``.

        Raises:
            NotStarted: It was not stored and never will be, nor was the same
                submission before, as far as this daemon has sent it.
        """
        await self._store_record(job_id, record)

    async def cancel(self, job_id):
        """Stores a cancel; raises like ``submit``."""
        await self._store_record(CANCEL_PREFIX + job_id, b"1")

    async def _store_record(self, key, value):
        if self._watch.is_away and key not in self._in_doubt:
            raise NotStarted("the platform's store is away")
        entry = _Entry(key, value)
        self._entries.append(entry)
        self._signal.set()
        with anyio.move_on_after(REFUSE_AFTER_S):
            await entry.done.wait()
        if not entry.done.is_set():
            if not entry.is_sent and key not in self._in_doubt:
                entry.is_withdrawn = True
                raise NotStarted("the platform's store is away")
            await entry.done.wait()
        if not entry.is_stored:
            raise NotStarted("the platform's store turned the record away")

    async def run(self):
        """Appends what waits, for ever."""
        while True:
            await self._signal.wait()
            while self._entries:
                await self._append_waiting()

    async def _append_waiting(self):
        # Entries are withdrawn meanwhile, so nothing is taken before.
        is_store_there = await self._is_store_there()
        self._entries = [entry for entry in self._entries if not entry.is_withdrawn]
        if not is_store_there or not self._entries:
            return
        batch, self._entries = self._entries, []
        self._sequence += 1
        producer = Producer(self._producer, 1, self._sequence)
        for entry in batch:
            entry.is_sent = True
        is_doubtful = False
        self._in_doubt = frozenset(entry.key for entry in batch)
        while True:
            try:
                await self._store.append(
                    self._topic, [entry.record for entry in batch], producer=producer
                )
            except StoreUnanswered:
                is_doubtful = True
                await anyio.sleep(RETRY_S)
            except StoreRefused:
                # Only an append that was never in doubt may be taken back.
                if not is_doubtful:
                    self._in_doubt = frozenset()
                    self._sequence -= 1
                    self._requeue(batch)
                    await anyio.sleep(RETRY_S)
                    return
                await anyio.sleep(RETRY_S)
            else:
                break
        self._in_doubt = frozenset()
        for entry in batch:
            entry.is_stored = True
            entry.done.set()

    async def _is_store_there(self):
        """Tells whether the store answers, so that few appends end up in doubt."""
        if not self._watch.is_in_doubt:
            return True
        await self._watch.check(self._store)
        if self._watch.is_in_doubt:
            await anyio.sleep(RETRY_S)
        return not self._watch.is_in_doubt

    def _requeue(self, batch):
        for entry in batch:
            entry.is_sent = False
        self._entries = batch + self._entries
