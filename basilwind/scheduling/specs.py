"""What a job asks for."""

import msgspec


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job: equal tasks.

    Attributes:
        count: Number of tasks.
        cpu: Thousandths of a core for each task.
        memory: Megabytes for each task.
        gpu: Accelerators for each task.
        estimate_s: Declared duration; may be far off.
        after: Steps that must be done first.
        is_checkpointable: Whether a stopped task can resume.
        is_gang: Whether the tasks work only together.
        needs_one_rack: Whether the tasks slow down when spread over racks.
        required_label: Label that the worker must have; may be empty.
        data_rack: Rack of the data; may be empty.
        most_per_worker: Most tasks of the step on one worker; 0 for no limit.
        allows_copies: Whether several runs of a task may go in parallel.
        is_lasting: Whether the tasks run until the job is cancelled.
        image: What the tasks run.
        tail_target_ms: Bound on the tail latency of a serving task; 0 for none.
        is_filler: Whether the tasks use only what others leave of a processor.
        may_miss: Tasks that may be interrupted at the same time.
    """

    count: int
    cpu: int
    memory: int
    gpu: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    is_checkpointable: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    allows_copies: bool = False
    is_lasting: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    is_filler: bool = False
    may_miss: int = 0

    @property
    def reserved_cpu(self):
        """Processor share that a task takes from a worker's capacity."""
        return 0 if self.is_filler else self.cpu


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submitted job.

    Attributes:
        text: Opaque text that is handed to the workers.
        steps: Its steps.
        occurrences: How many times the steps run.
        is_timed: Whether occurrences have due times.
        first_due_s: Due time of the first occurrence, Unix seconds.
        interval_s: Time between occurrences.
    """

    text: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 1
    is_timed: bool = False
    first_due_s: float = 0.0
    interval_s: float = 0.0

    def due_s(self, occurrence):
        """Returns the due time of an occurrence, Unix seconds."""
        return self.first_due_s + occurrence * self.interval_s
