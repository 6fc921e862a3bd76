"""Entries of a zone's journal.

One record of the log carries a batch of entries. A shard is named by its pool,
since a journal belongs to one availability zone.
"""

import msgspec

from basilwind.errors import RecordInvalid
from basilwind.models import OutcomeKind, Reason


def journal_stream(zone):
    """Returns the name of a zone's journal stream."""
    return f"journal-{zone}"


class _Entry(msgspec.Struct, tag_field="type", omit_defaults=True):
    """Fields of every entry.

    Attributes:
        pool: Pool of the shard.
        epoch: Ownership epoch under which it was written.
    """

    pool: str
    epoch: int


class Claim(_Entry, tag="claim"):
    """Takes a shard over from the owner of the epoch before.

    Attributes:
        holder: Entry host that claims it.
        incarnation: The holder's process.
        is_forced: Whether it holds whatever the epoch before was; for a
            claimant that has not seen the journal's beginning.
    """

    holder: str
    incarnation: str
    is_forced: bool = False


class Renewal(_Entry, tag="renewal"):
    """Repeats who owns a shard, before the claim ages out of the log."""

    holder: str
    incarnation: str


class Release(_Entry, tag="release"):
    """Gives a shard up; the next owner need not wait for the lease."""


class Accepted(_Entry, tag="accepted"):
    """A job has been accepted.

    Attributes:
        identity: Identity under which it runs at most once.
        job_id: Id of the job.
        team: Team that asked.
        digest: Digest of the request, to tell a reused key.
        spec: Encoded request; empty once the job is finished.
        deadline: When it has to be finished, in seconds since the epoch.
    """

    identity: str
    job_id: str
    team: str
    digest: str
    spec: bytes
    deadline: float


class Started(_Entry, tag="started"):
    """Work is about to be sent to a worker.

    Attributes:
        identity: Identity under which it runs at most once.
        task_id: Id of the task on the worker.
        worker: Name of the worker.
        worker_incarnation: The worker's process, as last reported.
        digest: Digest of the request, to tell a reused key.
        deadline: Deadline of the request, in seconds since the epoch.
    """

    identity: str
    task_id: str
    worker: str
    worker_incarnation: str
    digest: str
    deadline: float


class NotRun(_Entry, tag="not_run"):
    """A started task is proven not to have run.

    Attributes:
        identity: Identity of the work.
        task_id: Id of the task on the worker.
    """

    identity: str
    task_id: str


class Finished(_Entry, tag="finished"):
    """Work has its final outcome.

    Attributes:
        identity: Identity of the work.
        kind: How it ended.
        reason: Why, when it is not done.
        status: HTTP status from the worker.
        content_type: Content type of the answer.
        body: The answer, if it is small enough to be kept.
        has_body: Whether ``body`` is the whole answer.
        worker: Worker that ran it.
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
    """A record of a zone's journal.

    Attributes:
        writer: Entry host that appended it.
        incarnation: The writer's process.
        sequence: Number of the batch within the incarnation, from 1.
        at: When it was first sent, in seconds since the epoch.
        entries: The entries, in order.
    """

    writer: str
    incarnation: str
    sequence: int
    at: float
    entries: list[Entry]


_decoder = msgspec.json.Decoder(Batch)


def decode_batch(data):
    """Parses a journal record.

    Raises:
        RecordInvalid: It is not a batch of entries.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RecordInvalid(f"not a journal batch: {error}") from error


def encode_batch(batch):
    """Returns a batch's bytes."""
    return msgspec.json.encode(batch)
