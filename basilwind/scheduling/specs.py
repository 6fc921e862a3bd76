"""Specifications of jobs and steps, as callers submit them."""

from typing import Annotated

import msgspec

from basilwind.checked_json import Count, Duration, Number, Size

MAX_TASKS = 10_000  # of one occurrence of a job; takes 3 MB of the owner's memory


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job, a set of identical tasks.

    Stored as a JSON object, so the field names are part of the stored data.

    Attributes:
        count: Number of tasks.
        cpu: CPU of each task, millicores.
        memory: Memory of each task, megabytes.
        gpu: Accelerators of each task.
        estimate_s: Declared run time, seconds; may be far off.
        after: Numbers of the steps that must be done first.
        is_checkpointable: Whether a stopped task can resume from a checkpoint.
        is_gang: Whether all tasks must run at the same time.
        needs_one_rack: Whether all tasks must be placed in one rack.
        required_label: Label that the worker must have; empty for none.
        data_rack: Rack that holds the data; empty for none.
        most_per_worker: Maximum number of tasks of the step on one worker; 0 for no
            limit.
        allows_copies: Whether several runs of a task may execute in parallel.
        is_lasting: Whether the tasks are long-running: they run until the job is
            cancelled.
        image: Image that the tasks run.
        tail_target_ms: Target for the tail latency of a serving task, milliseconds; 0
            for none.
        is_filler: Whether the tasks are fillers: they reserve no CPU and use only what
            other tasks leave idle.
        may_miss: Maximum number of tasks that may be interrupted at the same time.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cpu: Size
    memory: Size
    gpu: Size = 0
    estimate_s: Duration = 0.0
    after: tuple[Count, ...] = ()
    is_checkpointable: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    most_per_worker: Count = 0
    allows_copies: bool = False
    is_lasting: bool = False
    image: str = ""
    tail_target_ms: Duration = 0.0
    is_filler: bool = False
    may_miss: Count = 0

    @property
    def reserved_cpu(self):
        """CPU that a task reserves on a worker, millicores."""
        return 0 if self.is_filler else self.cpu


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submitted job.

    Stored as a JSON object, so the field names are part of the stored data.

    Attributes:
        text: Opaque text that is passed to the workers.
        steps: Its steps.
        occurrences: How many times the steps run.
        is_timed: Whether occurrences have due times.
        first_due_s: Due time of the first occurrence, Unix seconds.
        interval_s: Time between due times, seconds.
    """

    text: str
    steps: tuple[StepSpec, ...]
    occurrences: Count = 1
    is_timed: bool = False
    first_due_s: Number = 0.0
    interval_s: Duration = 0.0

    @property
    def tasks_per_occurrence(self):
        """Number of tasks of all steps."""
        return sum(step.count for step in self.steps)

    @property
    def is_valid(self):
        """Whether an owner can hold the job and schedule its steps."""
        return (
            bool(self.steps)
            and all(step.count >= 1 for step in self.steps)
            and self.tasks_per_occurrence <= MAX_TASKS
            and all(
                0 <= earlier < number
                for number, step in enumerate(self.steps)
                for earlier in step.after
            )
        )

    def due_s(self, occurrence):
        """Returns the due time of an occurrence, Unix seconds."""
        return self.first_due_s + occurrence * self.interval_s
