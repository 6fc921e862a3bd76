"""Answers and reports of workers."""

import enum
from dataclasses import dataclass


class StartOutcome(enum.Enum):
    """Outcome of an order to start a run."""

    STARTED = "started"
    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # The run was stopped or has ended, or another run of the task exists.
    SUPERSEDED = "old"
    # The lease had expired when the order arrived.
    LEASE_EXPIRED = "late"
    NO_CAPACITY = "no room"
    # The placement policy's ticket is missing or invalid.
    NO_TICKET = "no ticket"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    # Another incarnation of the worker answered.
    WRONG_INCARNATION = "incarnation"
    UNREACHABLE = "unreachable"
    # The task is to be stopped, its job has ended, or the worker's clock is unknown.
    NOT_SENT = "not sent"


class EndKind(enum.Enum):
    """How a run ended, in the worker's own terms.

    Only ``DONE`` and ``FAILED`` say something about the task; a run that ended in
    another way is repeated without counting as a failure.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run that a worker executes.

    Attributes:
        task_name: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty if there is none.
        progress_percent: Share of its work that is done, as the worker reports it.
        load: Tail latency of a serving task in milliseconds, CPU use of another task in
            millicores; -1 if unknown.
    """

    task_name: str
    run: int
    checkpoint: str
    progress_percent: float
    load: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended.

    Attributes:
        sequence: Sequence number; rises with each ended run of this incarnation.
        task_name: Name of the task.
        run: Number of the run.
        kind: ``EndKind``.
        checkpoint: Newest checkpoint; empty if there is none.
    """

    sequence: int
    task_name: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a hold: its running and its ended runs.

    Attributes:
        worker_clock_s: The worker's own clock, seconds.
        incarnation_started_ms: Start of its incarnation, Unix milliseconds.
        running: Runs that it executes.
        ended: Ended runs that the owner has not acknowledged, the oldest first.
        is_complete: Whether ``ended`` lists all of them; if not, the others follow once
            these are acknowledged.
    """

    worker_clock_s: float
    incarnation_started_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[EndedRun, ...]
    is_complete: bool = True
