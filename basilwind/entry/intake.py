"""Durable storage of submissions and cancellations.

Any daemon appends to a pool's intake topic; the pool's owner reads it.
"""

import anyio
import msgspec

from basilwind.checked_json import decode_json
from basilwind.entry.auto_reset_event import AutoResetEvent
from basilwind.errors import (
    NotStarted,
    RecordInvalid,
    StoreRefused,
    StoreUnanswered,
)
from basilwind.platform.store import Producer, encode_keyed_record
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.records import CancelRecord, decode_submission

CANCEL_PREFIX = "!"  # never the first character of a job id
# Cancellation that no customer sent; an empty value would delete the key.
CANCEL_VALUE = b"1"
RETRY_S = 0.1  # shorter than a caller's timeout, longer than an answer of the store
REFUSE_AFTER_S = 1.0  # a third of the callers' deadline of 3 s


def intake_topic(pool):
    """Returns the topic of a pool's submissions."""
    return f"keyed.intake.{pool}"


def cancellation_key(job_id):
    """Returns the key of the record that cancels a job."""
    return CANCEL_PREFIX + job_id


def encode_cancellation(customer, version=0):
    """Returns the value of the record with which a customer, or nobody, cancels.

    Args:
        customer: Name of the customer; empty for none.
        version: See ``CancelRecord``.
    """
    if version:
        return msgspec.json.encode(CancelRecord(customer, version))
    return msgspec.json.encode(CancelRecord(customer)) if customer else CANCEL_VALUE


def decode_cancellation(record, report):
    """Returns the id of the job that an intake record cancels, or None.

    Args:
        record: ``KeyedRecord`` of the intake.
        report: Logs and counts an event; called if the record can't be decoded.

    Returns:
        The job's id and a ``CancelRecord``, or None if the record cancels nothing.
    """
    if not record.key.startswith(CANCEL_PREFIX) or not record.value:
        return None
    job_id = record.key[len(CANCEL_PREFIX) :]
    if record.value == CANCEL_VALUE:
        return job_id, CancelRecord("")
    try:
        cancel = decode_json(record.value, CancelRecord, "cancellation", RecordInvalid)
    except RecordInvalid as error:
        report("cancellation damaged", job=job_id, error=str(error))
        return None
    return job_id, cancel


def decode_submitted_job(record, remember_queue, report):
    """Returns the new ``Job`` of an intake record and its version, or None.

    The version is that of the configuration by which the job was submitted.

    Args:
        record: ``KeyedRecord`` of the intake.
        remember_queue: Called with the ``Queue`` that accepted the job.
        report: Logs and counts an event; called if the record can't be decoded.
    """
    if record.key.startswith(CANCEL_PREFIX) or not record.value:
        return None
    try:
        submission = decode_submission(record.value)
    except RecordInvalid as error:
        report("submission damaged", job=record.key, error=str(error))
        return None
    if submission.accepted_queue is not None:
        remember_queue(submission.accepted_queue)
    job = Job(
        record.key,
        submission.queue,
        submission.spec,
        submission.accepted_at,
        submission.customer,
    )
    return job, submission.version


class _PendingRecord:
    """A record that is waiting to be appended.

    Attributes:
        key: Key of the record.
        record: The framed record.
        done: Set once the record is stored.
        is_sent: Whether it was sent to the store, so that it may take effect.
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
    """Appends to one pool's intake topic.

    One append runs at a time; records that arrive meanwhile form the next batch.

    Args:
        store: ``StoreClient``.
        pool: Name of the pool.
        producer: Id of this run of the daemon, by which the store detects retries.
        store_monitor: ``StoreMonitor``.
    """

    def __init__(self, store, pool, producer, store_monitor):
        self._store = store
        self._topic = intake_topic(pool)
        self._producer = producer
        self._epoch = 0
        self._store_monitor = store_monitor
        self._sequence = 0
        self._waiting = []
        # Keys whose append has no answer yet and may have taken effect.
        self._unanswered_keys = frozenset()
        self._wake_event = AutoResetEvent()

    async def store(self, key, value, patience_s=REFUSE_AFTER_S):
        """Stores a submission or a cancellation.

        Args:
            key: Id of the job, or ``cancellation_key`` of it.
            value: Encoded ``SubmissionRecord``, or ``encode_cancellation``.
            patience_s: How long the caller waits, seconds. A record that has not been
                sent by then is withdrawn.

        Raises:
            NotStarted: The record was not stored and never will be. This also holds
                for earlier attempts that this daemon sent.
        """
        if self._store_monitor.is_unavailable and key not in self._unanswered_keys:
            raise NotStarted("the platform's store is away")
        pending = _PendingRecord(key, value)
        self._waiting.append(pending)
        self._wake_event.set()
        with anyio.move_on_after(min(patience_s, REFUSE_AFTER_S)):
            await pending.done.wait()
        if not pending.done.is_set():
            if not pending.is_sent and key not in self._unanswered_keys:
                pending.is_withdrawn = True
                raise NotStarted("the platform's store is away")
            await pending.done.wait()
        if not pending.is_stored:
            raise NotStarted("the platform's store turned the record away")

    async def run(self):
        """Appends waiting records until cancelled.

        It may be run again after an unexpected error. The outcome of the last append is
        then unknown, and a new epoch starts a new sequence.
        """
        self._epoch += 1
        self._sequence = 0
        while True:
            await self._wake_event.wait()
            while self._waiting:
                await self._append_waiting()

    async def _append_waiting(self):
        # Records may be withdrawn during this check, so the batch is formed after it.
        is_store_reachable = await self._is_store_reachable()
        self._waiting = [
            pending for pending in self._waiting if not pending.is_withdrawn
        ]
        if not is_store_reachable or not self._waiting:
            return
        batch, self._waiting = self._waiting, []
        self._sequence += 1
        producer = Producer(self._producer, self._epoch, self._sequence)
        for pending in batch:
            pending.is_sent = True
        has_unanswered_attempt = False
        self._unanswered_keys = frozenset(pending.key for pending in batch)
        while True:
            try:
                await self._store.append(
                    self._topic,
                    [pending.record for pending in batch],
                    producer=producer,
                )
            except StoreUnanswered:
                has_unanswered_attempt = True
                await anyio.sleep(RETRY_S)
            except StoreRefused:
                # A batch may be withdrawn only if no attempt was left unanswered.
                if not has_unanswered_attempt:
                    self._unanswered_keys = frozenset()
                    self._sequence -= 1
                    self._requeue(batch)
                    await anyio.sleep(RETRY_S)
                    return
                await anyio.sleep(RETRY_S)
            else:
                break
        self._unanswered_keys = frozenset()
        for pending in batch:
            pending.is_stored = True
            pending.done.set()

    async def _is_store_reachable(self):
        """Returns whether the store answers, to keep unanswered appends rare."""
        if not self._store_monitor.is_suspected:
            return True
        await self._store_monitor.check(self._store)
        if self._store_monitor.is_suspected:
            await anyio.sleep(RETRY_S)
        return not self._store_monitor.is_suspected

    def _requeue(self, batch):
        for pending in batch:
            pending.is_sent = False
        self._waiting = batch + self._waiting
