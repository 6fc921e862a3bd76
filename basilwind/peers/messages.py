"""Messages between entry hosts."""

import enum
from dataclasses import dataclass, field

from basilwind.models import Outcome, RequestSpec


class RecallState(enum.StrEnum):
    """What became of a recalled request."""

    NOT_RUN = "notRun"
    STARTED = "started"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class Handoff:
    """Gives custody of a request or job to the owner of its shard.

    Attributes:
        handoff_id: Unique id of this hand-off.
        spec: The request.
        remaining_s: Time left until its deadline, in seconds.
        is_job: Whether it is a job.
        job_id: Id of the job.
    """

    handoff_id: str
    spec: RequestSpec
    remaining_s: float
    is_job: bool = False
    job_id: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """The final outcome of a request that was handed off."""

    handoff_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Recall:
    """Asks for a request back if it has not been started."""

    handoff_id: str


@dataclass(frozen=True, slots=True)
class RecallReply:
    """Says what became of a recalled request.

    Attributes:
        handoff_id: The hand-off.
        state: Not run and never will be, started, or finished.
        outcome: The outcome, if it is finished.
    """

    handoff_id: str
    state: RecallState
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Asks for a job, or cancels jobs.

    Attributes:
        job_id: The job; empty for all with the label.
        team: Team that asks.
        cancel: Whether to cancel.
        label: Label of the jobs to cancel.
    """

    job_id: str
    team: str
    cancel: bool = False
    label: str = ""


@dataclass(frozen=True, slots=True)
class JobReply:
    """What an owner knows of a job.

    Attributes:
        found: Whether it knows the job.
        state: ``waiting``, ``running`` or ``finished``.
        outcome: The outcome, if it is finished.
        cancelled: How many jobs or requests were cancelled.
    """

    found: bool
    state: str = ""
    outcome: Outcome | None = None
    cancelled: int = 0


@dataclass(frozen=True, slots=True)
class ControlQuery:
    """Asks for control records that this host cannot read from the log."""

    from_offset: int


@dataclass(frozen=True, slots=True)
class ControlRecord:
    """A record of the control stream."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ControlReply:
    """Control records, in order.

    Attributes:
        records: The records.
        snapshot: A snapshot to apply before them, or an empty string.
    """

    records: tuple[ControlRecord, ...] = field(default=())
    snapshot: str = ""


@dataclass(frozen=True, slots=True)
class JournalCopy:
    """A journal entry for a peer to keep while the log is out.

    Attributes:
        holder: Entry host whose entry it is.
        data: The encoded batch that holds it.
    """

    holder: str
    data: bytes


@dataclass(frozen=True, slots=True)
class CopyAck:
    """Confirms that a copy is kept."""


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Tells the sender of a heartbeat that the connection still works."""
