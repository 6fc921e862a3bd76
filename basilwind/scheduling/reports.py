"""What workers say of their tasks."""

import enum
from dataclasses import dataclass


class StartOutcome(enum.Enum):
    """How a worker answered the order to start a task."""

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    WRONG_INCARNATION = "incarnation"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not sent"


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker holds.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty if there is none.
        percent: Share of its work that is done, as far as the worker tells.
        load: Tail latency in ms of a serving task, else thousandths of a core
            in use; -1 if not told.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that ended.

    Attributes:
        number: Rises with each end of this incarnation.
        task: Name of the task.
        run: Number of the run.
        kind: How it ended.
        checkpoint: Newest checkpoint; empty if there is none.
    """

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says of its runs.

    Attributes:
        clock_s: The worker's own clock.
        incarnation_started_ms: Start of its incarnation, Unix milliseconds.
        running: Runs that it holds.
        ended: Ends that are not yet noted.
    """

    clock_s: float
    incarnation_started_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
