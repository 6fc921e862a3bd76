"""What became of a task that was sent to a worker."""

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """What a task really used, as its worker reports it.

    Attributes:
        cpus: Processors.
        memory_gb: Memory, in GB.
    """

    cpus: float
    memory_gb: float


@dataclass(frozen=True, slots=True)
class TaskAnswer:
    """The worker's whole answer.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: The body.
        is_success: Whether the task succeeded.
        usage: What it used, if the worker reports it.
    """

    status: int
    content_type: str
    body: bytes
    is_success: bool
    usage: TaskUsage | None = None


@dataclass(frozen=True, slots=True)
class TaskNotRun:
    """The task is proven not to have run.

    Attributes:
        cause: Why, for the log.
        is_busy: Whether the worker refused it for want of room.
        is_reachable: Whether the worker could be spoken to at all.
    """

    cause: str
    is_busy: bool = False
    is_reachable: bool = True


@dataclass(frozen=True, slots=True)
class TaskIndeterminate:
    """The task may or may not have run.

    Attributes:
        cause: Why, for the log.
    """

    cause: str


class TaskState(enum.StrEnum):
    """State of a task on its worker."""

    RUNNING = "running"
    FINISHED = "finished"
    STOPPED = "stopped"
    NEVER_STARTED = "never_started"


@dataclass(frozen=True, slots=True)
class TaskRecord:
    """A worker's own record of a task.

    Attributes:
        state: State of the task.
        incarnation: The worker's process.
        answer: The answer, if the task is finished.
    """

    state: TaskState
    incarnation: str
    answer: TaskAnswer | None = None


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's report of itself.

    Attributes:
        incarnation: The worker's process.
        slots: Slots it has.
        running: Tasks it runs.
        is_leaving: Whether it leaves service.
    """

    incarnation: str
    slots: int
    running: int
    is_leaving: bool
