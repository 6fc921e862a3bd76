"""Jobs, their steps and tasks, and what happened to them."""

import enum

from basilwind.scheduling.specs import JobSpec, StepSpec


class JobState(enum.Enum):
    """A job's state as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    # Assigned; the worker's answer is outstanding.
    STARTING = "starting"
    RUNNING = "running"
    # The order was not answered, or a former owner gave it.
    UNSURE = "unsure"
    DONE = "done"


class Task:
    """A task of a step.

    Attributes:
        step: Its ``StepRun``.
        index: Its number in the step.
        name: Name on the wire and in logs.
        state: ``TaskState``.
        run: Number of its newest run; 0 before the first.
        worker_id: Worker of the newest run; empty if there is none.
        token: Fencing token under which the newest run was ordered.
        failures: Runs that failed.
        checkpoint: Newest checkpoint; empty if there is none.
        confirmed_at: When the worker confirmed the run, or None.
        ordered_at: When the order was decided.
        is_stopping: Whether the run is to be stopped.
        stop_sent_at: When a stop was last sent, or None.
        stop_answered_at: When a stop was answered, or None.
        percent: Progress as the worker reports it; 100 for a lasting task at work.
        progressed_at: When it last showed progress or load; boot time.
        load: Tail latency or processor use as the worker reports it.
        pace: Share of its work that it is allowed, percent.
    """

    __slots__ = (
        "step",
        "index",
        "name",
        "state",
        "run",
        "worker_id",
        "token",
        "failures",
        "checkpoint",
        "confirmed_at",
        "ordered_at",
        "is_stopping",
        "stop_sent_at",
        "stop_answered_at",
        "percent",
        "progressed_at",
        "load",
        "pace",
    )

    def __init__(self, step, index):
        self.step = step
        self.index = index
        self.name = f"{step.name}.{index}"
        self.state = TaskState.WAITING
        self.run = 0
        self.worker_id = ""
        self.token = 0
        self.failures = 0
        self.checkpoint = ""
        self.confirmed_at = None
        self.ordered_at = 0.0
        self.is_stopping = False
        self.stop_sent_at = None
        self.stop_answered_at = None
        self.percent = 0
        self.progressed_at = 0.0
        self.load = -1
        self.pace = 100

    @property
    def job(self):
        """The job that the task belongs to."""
        return self.step.job

    @property
    def spec(self):
        """The ``StepSpec`` of its step."""
        return self.step.spec

    @property
    def is_active(self):
        """Whether a run may exist on a worker."""
        return self.state in _ACTIVE

    @property
    def is_at_work(self):
        """Whether a lasting task works at full pace, as far as known."""
        return (
            self.state is TaskState.RUNNING
            and not self.is_stopping
            and self.percent >= 100
            and self.pace >= 100
        )

    def release(self):
        """Puts the task back among the waiting ones; its run has ended."""
        self.state = TaskState.WAITING
        self.worker_id = ""
        self.confirmed_at = None
        self.is_stopping = False
        self.stop_sent_at = None
        self.stop_answered_at = None
        self.percent = 0
        self.load = -1
        self.pace = 100


_ACTIVE = frozenset((TaskState.STARTING, TaskState.RUNNING, TaskState.UNSURE))


class StepRun:
    """A step of one occurrence.

    Attributes:
        job: Its ``Job``.
        occurrence: Number of the occurrence.
        number: Number of the step.
        spec: ``StepSpec``.
        name: Name on the wire.
        tasks: Its tasks.
        left: Tasks that are not done.
        tickets: ``Ticket`` of the placement policy by worker id; None if the queue
            has no policy.
        denied: Workers that the policy does not allow.
        short_since: Since when its tasks have found no room, or None.
        kept_worker: Worker that is kept free for it, or None.
        outlook: Its ``Outlook`` when last estimated, or None.
    """

    __slots__ = (
        "job",
        "occurrence",
        "number",
        "spec",
        "name",
        "tasks",
        "left",
        "tickets",
        "denied",
        "short_since",
        "kept_worker",
        "outlook",
    )

    def __init__(self, job, occurrence, number):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.name = f"{job.job_id}.{occurrence}.{number}"
        self.tasks = [Task(self, index) for index in range(self.spec.count)]
        self.left = self.spec.count
        self.tickets = None
        self.denied = set()
        self.short_since = None
        self.kept_worker = None
        self.outlook = None

    @property
    def is_done(self):
        """Whether all tasks are done."""
        return self.left == 0

    def waiting(self):
        """Returns the tasks that wait for a worker."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]


class Job:
    """A job that was accepted.

    Attributes:
        job_id: Chosen by the caller; the idempotency key.
        queue: Name of its queue.
        spec: ``JobSpec``.
        accepted_at: Time of acceptance, Unix seconds.
        state: ``JobState``.
        occurrences: Steps of each occurrence that has begun, by its number.
        done_occurrences: Numbers of occurrences that are done.
        next_occurrence: First occurrence that has not begun.
        ended_at: When it ended, or None; boot time.
        has_begun: Whether a task was ever started.
        latest_begin: Unix time by which its rest must begin, and when that was
            estimated; or None.
    """

    __slots__ = (
        "job_id",
        "queue",
        "spec",
        "accepted_at",
        "state",
        "occurrences",
        "done_occurrences",
        "next_occurrence",
        "ended_at",
        "has_begun",
        "latest_begin",
    )

    def __init__(self, job_id, queue, spec: JobSpec, accepted_at):
        self.job_id = job_id
        self.queue = queue
        self.spec = spec
        self.accepted_at = accepted_at
        self.state = JobState.PENDING
        self.occurrences = {}
        self.done_occurrences = set()
        self.next_occurrence = 0
        self.ended_at = None
        self.has_begun = False
        self.latest_begin = None

    @property
    def is_live(self):
        """Whether the job has not ended."""
        return self.ended_at is None

    def open_due_occurrences(self, wall):
        """Begins the occurrences whose time has come.

        Args:
            wall: Unix time in seconds.

        Returns:
            Steps whose turn has come with them.
        """
        ready = []
        while self.next_occurrence < self.spec.occurrences and (
            not self.spec.is_timed or self.spec.due_s(self.next_occurrence) <= wall
        ):
            number = self.next_occurrence
            self.next_occurrence += 1
            if number in self.done_occurrences or number in self.occurrences:
                continue
            ready += self.open_occurrence(number)
        return ready

    def open_occurrence(self, number):
        """Begins an occurrence; returns the steps whose turn has come."""
        steps = [StepRun(self, number, n) for n in range(len(self.spec.steps))]
        self.occurrences[number] = steps
        return [step for step in steps if not step.spec.after]

    def steps_after(self, step):
        """Returns the steps whose turn comes with the end of a step."""
        steps = self.occurrences[step.occurrence]
        return [
            later
            for later in steps
            if step.number in later.spec.after
            and all(steps[earlier].is_done for earlier in later.spec.after)
        ]

    def close_occurrence(self, number):
        """Forgets an occurrence that is done.

        Returns:
            Whether that was the last one.
        """
        del self.occurrences[number]
        self.done_occurrences.add(number)
        return len(self.done_occurrences) == self.spec.occurrences

    def tasks(self):
        """Iterates over the tasks of all begun occurrences."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks
