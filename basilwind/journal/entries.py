"""Entries of a zone's journal.

Each record of the log carries a batch of entries. An entry names its shard by the
pool alone, because a journal belongs to one availability zone.
"""

import msgspec

from basilwind.checked_json import decode_json
from basilwind.errors import RecordInvalid
from basilwind.models import OutcomeKind, Reason


def journal_stream(zone):
    """Returns the name of a zone's journal stream."""
    return f"journal-{zone}"


class _Entry(msgspec.Struct, tag_field="type", omit_defaults=True):
    """Fields that every entry has.

    Attributes:
        pool: Pool of the shard.
        epoch: Ownership epoch under which the entry was written.
    """

    pool: str
    epoch: int


class Claim(_Entry, tag="claim"):
    """Makes an entry host the owner of a shard, in place of the previous epoch's.

    Attributes:
        holder: Name of the entry host that claims the shard.
        incarnation: Id of the holder's process.
        is_forced: Whether the claim is valid after any lower epoch, not only after
            the one right before it. Set by a claimant that could not read the
            beginning of the journal.
    """

    holder: str
    incarnation: str
    is_forced: bool = False


class Renewal(_Entry, tag="renewal"):
    """Repeats who owns a shard before the log drops the claim."""

    holder: str
    incarnation: str


class Release(_Entry, tag="release"):
    """Gives up a shard, so that the next owner need not wait for a lease to expire."""


class Accepted(_Entry, tag="accepted"):
    """Records that a job was accepted, and again with each attempt that is lost.

    Attributes:
        identity: Identity under which the job runs at most once.
        job_id: Id of the job.
        team: Team that submitted the job.
        digest: Digest of the request, to detect a reused idempotency key.
        spec: Encoded request; empty in the state once the job is finished.
        deadline: When the job has to be finished, in seconds since the Unix epoch.
        lost_attempts: Number of attempts that were lost with their worker.
    """

    identity: str
    job_id: str
    team: str
    digest: str
    spec: bytes
    deadline: float
    lost_attempts: int = 0


class Started(_Entry, tag="started"):
    """Records that a request or job is about to be sent to a worker.

    Attributes:
        identity: Identity under which it runs at most once.
        task_id: Id of the task on the worker.
        worker: Name of the worker.
        worker_incarnation: Id of the worker's process, as the worker last reported.
        digest: Digest of the request, to detect a reused idempotency key.
        deadline: When it has to be finished, in seconds since the Unix epoch.
    """

    identity: str
    task_id: str
    worker: str
    worker_incarnation: str
    digest: str
    deadline: float


class NotRun(_Entry, tag="not_run"):
    """Records proof that a started task did not run, so it may be started again.

    Attributes:
        identity: Identity of the request or job.
        task_id: Id of the task on the worker.
    """

    identity: str
    task_id: str


class Finished(_Entry, tag="finished"):
    """Records the final outcome of a request or job.

    Attributes:
        identity: Identity of the request or job.
        kind: How it ended.
        reason: Why it ended so, unless it is done.
        status: HTTP status from the worker.
        content_type: Content type of the worker's answer.
        body: The worker's answer, if it is small enough to be kept.
        has_body: Whether ``body`` is the whole answer.
        worker: Name of the worker that ran it.
    """

    identity: str
    kind: OutcomeKind
    reason: Reason = Reason.NONE
    status: int = 0
    content_type: str = "application/json"
    body: bytes = b""
    has_body: bool = True
    worker: str = ""


Entry = Claim | Renewal | Release | Accepted | Started | NotRun | Finished


class Batch(msgspec.Struct):
    """One record of a zone's journal.

    Attributes:
        writer: Name of the entry host that appended it.
        incarnation: Id of the writer's process.
        sequence: Number of the batch within the incarnation, from 1. A retried
            append has the same number, which identifies it as a duplicate.
        at: When the batch was built, in seconds since the Unix epoch.
        entries: The entries, in order.
    """

    writer: str
    incarnation: str
    sequence: int
    at: float
    entries: list[Entry]


def decode_batch(data):
    """Parses a journal record.

    Raises:
        RecordInvalid: The record is not a batch of entries.
    """
    return decode_json(data, Batch, "journal batch", RecordInvalid)


def encode_batch(batch):
    """Returns a batch encoded as a journal record."""
    return msgspec.json.encode(batch)
