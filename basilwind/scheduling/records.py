"""Stored records: a job's state in the journal, a submission in the intake."""

import msgspec

from basilwind.checked_json import Count, Name, Number, OptionalName, decode_json
from basilwind.errors import RecordInvalid
from basilwind.scheduling.fleet import Queue
from basilwind.scheduling.jobs import DoneOccurrences, JobState, TaskState
from basilwind.scheduling.specs import JobSpec

PART_OVERHEAD_BYTES = 16  # brackets around the entries of a part


class TaskRecord(msgspec.Struct, array_like=True):
    """State of a task that has been started at least once.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Index of the task in the step.
        run: Number of the latest run.
        is_done: Whether the task is done.
        worker_id: Worker that may execute the run; empty if the run has ended.
        token: Fencing token of the owner that ordered the run.
        failures: Number of failed runs.
        checkpoint: Newest checkpoint; empty if there is none.
    """

    occurrence: Count
    step: Count
    index: Count
    run: Count
    is_done: bool = False
    worker_id: str = ""
    token: Count = 0
    failures: Count = 0
    checkpoint: str = ""


class CrashRecord(msgspec.Struct, array_like=True):
    """Crashes of workers under a task that is not done.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Index of the task in the step.
        crashes: Number of workers that crashed with a run of it.
        isolated_crashes: Number of those crashes that no other job can have caused.
        is_suspect: Whether its next run has to outlive a probation.
    """

    occurrence: Count
    step: Count
    index: Count
    crashes: Count
    isolated_crashes: Count
    is_suspect: bool


class JobRecord(msgspec.Struct, array_like=True):
    """State of a job.

    Attributes:
        state: A ``JobState`` value.
        tasks: Started tasks of occurrences that are not done.
        done_occurrences: Numbers of later occurrences that are done.
        crashes: Tasks under which workers have crashed.
        first_open: Number of the first occurrence that is not done.
        parts: Number of further records with tasks and crashes.
        customer: Name of the customer to whom the job belongs, or empty; None in
            records of earlier versions.
    """

    state: str
    tasks: list[TaskRecord] = []
    done_occurrences: list[Count] = []
    crashes: list[CrashRecord] = []
    first_open: Count = 0
    parts: Count = 0
    customer: OptionalName | None = None


class JobPartRecord(msgspec.Struct, array_like=True):
    """Tasks and crashes of a job whose state is too large for one record."""

    tasks: list[TaskRecord] = []
    crashes: list[CrashRecord] = []


class SubmissionRecord(msgspec.Struct, array_like=True):
    """A submission, stored by the daemon that accepted it.

    Attributes:
        queue: Name of the queue.
        accepted_at: Time of acceptance, Unix seconds.
        spec: ``JobSpec``.
        accepted_queue: ``Queue`` as it was when the job was accepted; None in records
            of earlier versions. An owner that has not seen the queue's configuration,
            as it was removed before, schedules the job by it.
        version: Version of the configuration by which its path led to the pool; 0 in
            records of earlier versions.
        customer: Name of the customer whose key submitted the job; empty for a public
            queue and in records of earlier versions.
    """

    queue: str
    accepted_at: Number
    spec: JobSpec
    accepted_queue: Queue | None = None
    version: Count = 0
    customer: OptionalName = ""


class CancelRecord(msgspec.Struct, array_like=True):
    """A cancellation.

    Attributes:
        customer: Name of the customer that sent it; empty if there is none.
        version: Version of the configuration by which the pool that has passed it on
            declined the job; 0 if a caller sent it.
    """

    customer: OptionalName
    version: Count = 0


class DeclineRecord(msgspec.Struct, array_like=True):
    """A job that its pool does not accept, as its path leads to another pool now.

    Attributes:
        version: Version of the configuration by which its path leads there.
        target: Name of that pool.
        declined_at: Unix time in seconds.
    """

    version: Count
    target: Name
    declined_at: Number


def encode_job(job):
    """Encodes a job for the journal; an ended job without its tasks.

    Returns:
        Bytes.
    """
    return msgspec.json.encode(_describe_job(job))


def encode_job_records(job, max_bytes):
    """Encodes a job for the journal in as many records as it takes.

    Args:
        job: ``Job``.
        max_bytes: Largest size of a record.

    Returns:
        List of bytes; the first one is the ``JobRecord``, the others its parts.
    """
    record = _describe_job(job)
    data = msgspec.json.encode(record)
    if len(data) <= max_bytes:
        return [data]
    parts = [JobPartRecord()]
    size = PART_OVERHEAD_BYTES
    for entry in (*record.tasks, *record.crashes):
        entry_size = len(msgspec.json.encode(entry)) + 1
        if size + entry_size > max_bytes:
            parts.append(JobPartRecord())
            size = PART_OVERHEAD_BYTES
        size += entry_size
        is_task = isinstance(entry, TaskRecord)
        (parts[-1].tasks if is_task else parts[-1].crashes).append(entry)
    record.tasks, record.crashes, record.parts = [], [], len(parts)
    return [msgspec.json.encode(entry) for entry in (record, *parts)]


def _describe_job(job):
    record = JobRecord(job.state.value, customer=job.customer)
    if job.is_live:
        record.first_open = job.done_occurrences.first_open
        record.done_occurrences = sorted(job.done_occurrences.later)
        record.tasks = [
            TaskRecord(
                occurrence=task.step.occurrence,
                step=task.step.number,
                index=task.index,
                run=task.run,
                is_done=task.state is TaskState.DONE,
                worker_id=task.worker_id if task.is_active else "",
                token=task.token,
                failures=task.failures,
                checkpoint=task.checkpoint,
            )
            for task in job.tasks()
            if task.run or task.state is TaskState.DONE
        ]
        record.crashes = [
            CrashRecord(
                occurrence=task.step.occurrence,
                step=task.step.number,
                index=task.index,
                crashes=task.crashes,
                isolated_crashes=task.isolated_crashes,
                is_suspect=task in job.suspects,
            )
            for task in job.tasks()
            if task.crashes and task.state is not TaskState.DONE
        ]
    return record


def decode_job_record(data, parts=()):
    """Decodes the journal's records of a job.

    Args:
        data: The first record.
        parts: Its parts, in order.

    Raises:
        RecordInvalid: The record does not parse, or its state is unknown.
    """
    record = decode_json(data, JobRecord, "job record", RecordInvalid)
    if record.state not in {state.value for state in JobState}:
        raise RecordInvalid("job record: unknown state")
    if len(parts) != record.parts:
        raise RecordInvalid(f"job record: {len(parts)} of {record.parts} parts")
    for part_data in parts:
        part = decode_json(part_data, JobPartRecord, "job record", RecordInvalid)
        record.tasks += part.tasks
        record.crashes += part.crashes
    return record


def decode_submission(data):
    """Decodes a stored submission.

    Raises:
        RecordInvalid: The record does not parse, or its job is not valid.
    """
    submission = decode_json(data, SubmissionRecord, "submission", RecordInvalid)
    if not submission.spec.is_valid:
        raise RecordInvalid("submission: the job's steps are not valid")
    return submission


def decode_workers(data):
    """Decodes the workers of an owner; see ``encode_workers``.

    Raises:
        RecordInvalid: The record is damaged.
    """
    return decode_json(data, dict[str, tuple[str, int]], "workers", RecordInvalid)


def encode_workers(workers):
    """Encodes the workers on which an owner may start tasks.

    Args:
        workers: Host, and start in Unix milliseconds, by worker id.
    """
    return msgspec.json.encode(workers, order="sorted")


def decode_decline(data):
    """Decodes the journal's record of a declined job.

    Raises:
        RecordInvalid: The record does not parse.
    """
    return decode_json(data, DeclineRecord, "declined job", RecordInvalid)


def restore_job(job, record, now):
    """Restores a job's state from its record.

    Args:
        job: A new ``Job``.
        record: Its ``JobRecord``.
        now: Boot time in seconds.
    """
    job.state = JobState(record.state)
    job.done_occurrences = DoneOccurrences(record.first_open)
    for number in record.done_occurrences:
        job.done_occurrences.add(number)
    if job.state in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED):
        job.ended_at = now
        job.has_started = True
        return
    for entry in record.tasks:
        if entry.occurrence not in job.occurrences:
            job.start_occurrence(entry.occurrence)
        step = job.occurrences[entry.occurrence][entry.step]
        task = step.tasks[entry.index]
        task.run = entry.run
        task.token = entry.token
        task.failures = entry.failures
        task.settled_run = max(0, entry.run - bool(entry.worker_id))
        task.checkpoint = entry.checkpoint
        job.has_started = True
        if entry.is_done:
            task.state = TaskState.DONE
            step.unfinished -= 1
        elif entry.worker_id:
            task.state = TaskState.UNCONFIRMED
            task.worker_id = entry.worker_id
            task.ordered_at = now
    for entry in record.crashes:
        task = job.occurrences[entry.occurrence][entry.step].tasks[entry.index]
        task.crashes = entry.crashes
        task.isolated_crashes = entry.isolated_crashes
        if entry.is_suspect:
            job.suspects.add(task)
