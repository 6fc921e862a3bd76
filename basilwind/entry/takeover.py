"""Restores a pool's jobs after a change of owner."""

import anyio

from basilwind.entry.follower import PLATFORM_RETRY_S
from basilwind.entry.intake import (
    decode_cancellation,
    decode_submitted_job,
    intake_topic,
)
from basilwind.entry.journal import (
    DECLINE_PREFIX,
    MAX_PARTS,
    QUOTA_KEY,
    WORKERS_KEY,
    journal_topic,
    part_key,
)
from basilwind.errors import PlatformError, RecordInvalid
from basilwind.logs import log
from basilwind.scheduling.jobs import is_foreign
from basilwind.scheduling.records import (
    decode_decline,
    decode_job_record,
    decode_workers,
    restore_job,
)

PART_NUMBERS = frozenset(str(number) for number in range(1, MAX_PARTS + 1))


async def read_latest_records(store, topic):
    """Reads the newest record of each key, retrying until the read succeeds.

    Returns:
        Records and the offset from which to follow the topic.
    """
    while True:
        try:
            return await store.read_latest(topic)
        except PlatformError as error:
            log("takeover is waiting for the store", topic=topic, error=str(error))
            await anyio.sleep(PLATFORM_RETRY_S)


async def restore_jobs(
    state, store, remember_queue, clock, wall_clock, report, note_parts
):
    """Restores a pool's jobs from the journal and the intake.

    The journal's epoch must have been raised first, so that the previous owner
    can't append any more.

    Args:
        state: An empty ``PoolState``.
        store: ``StoreClient``.
        remember_queue: Called with the ``Queue`` that accepted each job.
        clock: Returns boot time.
        wall_clock: Returns Unix time.
        report: Logs and counts an event.
        note_parts: Called with the id of a job of which the journal has more than one
            record, and the number of further ones.

    Returns:
        Offset from which to follow the intake, and the records of submissions that
        other pools get.
    """
    records, _ = await read_latest_records(store, journal_topic(state.name))
    submissions, follow_from = await read_latest_records(
        store, intake_topic(state.name)
    )
    job_records = {record.key: record.value for record in records if record.value}
    _note_parts(job_records, note_parts)
    _drop_forgotten(state, job_records, submissions)
    _restore_declines(state, job_records, wall_clock(), report)
    _restore_workers(state, job_records, report)
    _restore_quota(state, job_records, report)
    elsewhere = []
    for record in submissions:
        submitted = decode_submitted_job(record, remember_queue, report)
        if submitted is None:
            continue
        job, version = submitted
        if record.key not in job_records and state.find_decline(record.key, version):
            elsewhere.append(record)
            continue
        job_record = job_records.get(record.key)
        if job_record:
            job.is_recorded = True
            record = _decode_job_record(job, job_records, report)
            if record is not None and not _keep_customer(job, record, report):
                continue
            _apply_job_record(job, record, clock(), report)
        state.restore(job, wall_clock())
    for record in submissions:
        cancellation = decode_cancellation(record, report)
        if cancellation is not None:
            job_id, cancel = cancellation
            state.cancel(job_id, clock(), cancel.customer, cancel.version)
    return follow_from, elsewhere


def _restore_declines(state, job_records, wall_time, report):
    for key, value in job_records.items():
        if not key.startswith(DECLINE_PREFIX):
            continue
        try:
            state.declined[key[len(DECLINE_PREFIX) :]] = decode_decline(value)
        except RecordInvalid as error:
            report("job record damaged", job=key, error=str(error))
    state.drop_declines(wall_time)


def _restore_workers(state, job_records, report):
    value = job_records.get(WORKERS_KEY)
    if value is None:
        return
    try:
        state.expect_workers(decode_workers(value))
    except RecordInvalid as error:
        report("job record damaged", job=WORKERS_KEY, error=str(error))


def _restore_quota(state, job_records, report):
    value = job_records.get(QUOTA_KEY)
    if value is None:
        return
    try:
        state.quota.restore(value)
    except RecordInvalid as error:
        report("job record damaged", job=QUOTA_KEY, error=str(error))


def _note_parts(job_records, note_parts):
    parts = {}
    for key in job_records:
        job_id, separator, number = key.partition("/")
        if separator and number in PART_NUMBERS:
            parts[job_id] = max(parts.get(job_id, 0), int(number))
    for job_id, count in parts.items():
        note_parts(job_id, count)


def _drop_forgotten(state, job_records, submissions):
    """Has records deleted whose submissions a previous owner has deleted."""
    submitted = {record.key for record in submissions if record.value}
    for key in job_records:
        is_job = "/" not in key and not key.startswith(DECLINE_PREFIX)
        if is_job and key not in submitted:
            state.dropped.append(key)


def _decode_job_record(job, job_records, report):
    """Returns the journal's ``JobRecord`` of a job, or None if it is damaged."""
    parts = []
    while part := job_records.get(part_key(job.job_id, len(parts) + 1)):
        parts.append(part)
    try:
        return decode_job_record(job_records[job.job_id], parts)
    except RecordInvalid as error:
        report("job record damaged", job=job.job_id, error=str(error))
        return None


def _keep_customer(job, record, report):
    """Gives a job the customer of its record.

    The intake has only the newest submission under an id, which another customer may
    have sent.

    Returns:
        Whether the submission is the recorded job's.
    """
    if record.customer is None:
        return True
    if is_foreign(record.customer, job.customer):
        report_foreign_submission(job.job_id, record.customer, job.customer, report)
        return False
    job.customer = record.customer
    return True


def report_foreign_submission(job_id, customer, caller, report):
    """Reports a submission under the id of another customer's job.

    Args:
        job_id: Id of the job.
        customer: Name of the customer to whom the job belongs.
        caller: Name of the customer that sent the submission; empty if there is none.
        report: Logs and counts an event.
    """
    report("submission ignored", job=job_id, customer=customer, caller=caller)


def _apply_job_record(job, record, now, report):
    if record is None:
        return
    try:
        restore_job(job, record, now)
    except (KeyError, IndexError) as error:
        report("job record damaged", job=job.job_id, error=str(error))
