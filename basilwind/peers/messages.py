"""Messages between entry hosts.

The heartbeat is defined in ``basilwind.membership.members``.
"""

import enum
from dataclasses import dataclass, field

from basilwind.models import Outcome, RequestSpec


class RecallState(enum.StrEnum):
    """State of a recalled request; the values are those of ``peer.capnp``."""

    NOT_RUN = "notRun"
    STARTED = "started"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Handoff:
    """Hands off a request or job to the owner of its shard, which alone may run it.

    Attributes:
        handoff_id: Unique id of this hand-off.
        spec: The request.
        remaining_s: Time until its deadline, in seconds.
        is_job: Whether the request is a job.
        job_id: Id of the job; empty if it is not a job.
    """

    handoff_id: str
    spec: RequestSpec
    remaining_s: float
    is_job: bool = False
    job_id: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """Reports the final outcome of a request that was handed off."""

    handoff_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Recall:
    """Asks the receiver of a hand-off to return the request if it has not started."""

    handoff_id: str


@dataclass(frozen=True, slots=True)
class RecallReply:
    """Reports the state of a recalled request.

    Attributes:
        handoff_id: Id of the hand-off.
        state: ``NOT_RUN`` if the request has not run and never will there.
        outcome: The outcome if the request has finished, else None.
    """

    handoff_id: str
    state: RecallState
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Queries a job, or cancels jobs.

    Attributes:
        job_id: Id of the job; empty for all jobs with the label.
        team: Team that the jobs belong to.
        cancel: Whether to cancel the jobs.
        label: Label of the jobs to cancel.
    """

    job_id: str
    team: str
    cancel: bool = False
    label: str = ""


@dataclass(frozen=True, slots=True)
class JobReply:
    """Replies to a ``JobQuery``.

    Attributes:
        found: Whether the owner has a record of the job.
        state: ``waiting``, ``running``, ``finished``, or ``cancelling`` if the query
            cancelled jobs; empty if the job was not found.
        outcome: The outcome if the job has finished, else None.
        cancelled: Number of jobs or requests that were cancelled.
    """

    found: bool
    state: str = ""
    outcome: Outcome | None = None
    cancelled: int = 0


@dataclass(frozen=True, slots=True)
class ControlQuery:
    """Queries control records that the sender cannot read from the log.

    Attributes:
        from_offset: Offset of the first record.
    """

    from_offset: int


@dataclass(frozen=True, slots=True)
class ControlRecord:
    """A record of the control stream.

    Attributes:
        offset: Offset in the stream.
        data: Content of the record, bytes.
    """

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ControlReply:
    """Replies to a ``ControlQuery``.

    Attributes:
        records: Control records, in order of their offsets.
        snapshot: Snapshot to apply before the records; empty if none is needed.
    """

    records: tuple[ControlRecord, ...] = field(default=())
    snapshot: str = ""


@dataclass(frozen=True, slots=True)
class JournalCopy:
    """Copy of journal entries that a peer keeps while the log is unavailable.

    Attributes:
        holder: Name of the entry host that the entries belong to.
        data: The encoded batch of entries, bytes.
    """

    holder: str
    data: bytes


@dataclass(frozen=True, slots=True)
class CopyAck:
    """Confirms that a ``JournalCopy`` was stored."""


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Acknowledges a heartbeat, which shows its sender that the connection works."""
