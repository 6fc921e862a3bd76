"""Results of tasks on workers, and what workers report about themselves."""

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Resources that a task actually used, as its worker reports them.

    Attributes:
        cpus: Number of processors.
        memory_gb: Memory, in GB.
    """

    cpus: float
    memory_gb: float


@dataclass(frozen=True, slots=True)
class TaskAnswer:
    """Complete answer of a task that ran.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: Body of the answer, bytes.
        is_success: Whether the task succeeded.
        usage: Resources that the task used, or None if the worker does not report
            them.
    """

    status: int
    content_type: str
    body: bytes
    is_success: bool
    usage: TaskUsage | None = None


@dataclass(frozen=True, slots=True)
class TaskNotRun:
    """Result for a task that certainly did not run.

    Attributes:
        cause: Reason, for the log.
        is_busy: Whether the worker refused the task because it has no free slots.
        is_reachable: Whether a connection to the worker could be established; false
            also if the worker has left the pool.
    """

    cause: str
    is_busy: bool = False
    is_reachable: bool = True


@dataclass(frozen=True, slots=True)
class TaskIndeterminate:
    """Result for a task that may or may not have run.

    Attributes:
        cause: Reason, for the log.
    """

    cause: str


class TaskState(enum.StrEnum):
    """State of a task on its worker.

    ``NEVER_STARTED`` also covers a task that the worker has no record of. A restart
    of the worker drops all records.
    """

    RUNNING = "running"
    FINISHED = "finished"
    STOPPED = "stopped"
    NEVER_STARTED = "never_started"


@dataclass(frozen=True, slots=True)
class TaskRecord:
    """A worker's record of a task.

    Attributes:
        state: State of the task.
        incarnation: Id of the worker's process.
        answer: The answer if the task has finished, else None.
    """

    state: TaskState
    incarnation: str
    answer: TaskAnswer | None = None


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker reports about itself.

    Attributes:
        incarnation: Id of the worker's process.
        slots: Number of slots.
        running: Number of tasks that it runs.
        is_leaving: Whether the worker leaves service.
    """

    incarnation: str
    slots: int
    running: int
    is_leaving: bool
