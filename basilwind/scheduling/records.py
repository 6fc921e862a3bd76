"""What the journal keeps of a job, and what the intake keeps of a submission."""

import msgspec

from basilwind.scheduling.jobs import JobState, TaskState
from basilwind.scheduling.specs import JobSpec


class TaskRecord(msgspec.Struct, array_like=True):
    """State of a task that has been started at least once.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number of the task.
        run: Newest run.
        is_done: Whether it is done.
        worker_id: Worker that may hold the run; empty if it surely has ended.
        token: Fencing token of the order.
        failures: Runs that failed.
        checkpoint: Newest checkpoint.
    """

    occurrence: int
    step: int
    index: int
    run: int
    is_done: bool = False
    worker_id: str = ""
    token: int = 0
    failures: int = 0
    checkpoint: str = ""


class JobRecord(msgspec.Struct, array_like=True):
    """State of a job.

    Attributes:
        state: A ``JobState`` value.
        tasks: Tasks of occurrences that are not done.
        done_occurrences: Occurrences that are done.
    """

    state: str
    tasks: list[TaskRecord] = []
    done_occurrences: list[int] = []


class SubmissionRecord(msgspec.Struct, array_like=True):
    """A submission as its acceptor stored it.

    Attributes:
        queue: Name of the queue.
        accepted_at: Unix seconds.
        spec: What the job asks for.
    """

    queue: str
    accepted_at: float
    spec: JobSpec


_JOB_RECORDS = msgspec.json.Decoder(JobRecord)
_SUBMISSIONS = msgspec.json.Decoder(SubmissionRecord)


def encode_job(job):
    """Returns the journal's record of a job, bytes."""
    record = JobRecord(job.state.value)
    if job.is_live:
        record.done_occurrences = sorted(job.done_occurrences)
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
    return msgspec.json.encode(record)


def decode_job_record(data):
    """Decodes the journal's record of a job.

    Raises:
        msgspec.DecodeError: It doesn't parse.
    """
    return _JOB_RECORDS.decode(data)


def decode_submission(data):
    """Decodes a stored submission.

    Raises:
        msgspec.DecodeError: It doesn't parse.
    """
    return _SUBMISSIONS.decode(data)


def restore_job(job, record, now):
    """Puts a job into the state that its record tells.

    Args:
        job: A new ``Job``.
        record: Its ``JobRecord``.
        now: Boot time in seconds.
    """
    job.state = JobState(record.state)
    job.done_occurrences = set(record.done_occurrences)
    if job.state in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED):
        job.ended_at = now
        job.has_begun = True
        return
    for entry in record.tasks:
        if entry.occurrence not in job.occurrences:
            job.open_occurrence(entry.occurrence)
        step = job.occurrences[entry.occurrence][entry.step]
        task = step.tasks[entry.index]
        task.run = entry.run
        task.token = entry.token
        task.failures = entry.failures
        task.checkpoint = entry.checkpoint
        job.has_begun = True
        if entry.is_done:
            task.state = TaskState.DONE
            step.left -= 1
        elif entry.worker_id:
            task.state = TaskState.UNSURE
            task.worker_id = entry.worker_id
            task.ordered_at = now
