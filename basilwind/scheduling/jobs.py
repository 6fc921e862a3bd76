"""Jobs with their steps and tasks, and the state of each."""

import enum
from dataclasses import dataclass

from basilwind.scheduling.specs import MAX_TASKS, JobSpec, StepSpec


class JobState(enum.Enum):
    """A job's state as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class JobStatus:
    """What a pool's owner tells about a job.

    Attributes:
        state: ``JobState``.
        customer: Name of the customer to whom the job belongs; empty if there is none.
        path: ``Queue.path`` of the queue that accepted it, or None if that is unknown.
    """

    state: JobState
    customer: str = ""
    path: tuple[str, str] | None = None


def is_foreign(job_customer, customer):
    """Returns whether a job belongs to another customer than the caller.

    A job that belongs to no customer, as one that was submitted before the operator
    declared customers, is open to every caller.

    Args:
        job_customer: Name of the customer to whom the job belongs, or empty.
        customer: Name of the calling customer, or empty.
    """
    return bool(job_customer) and job_customer != customer


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    # Assigned to a worker whose answer is outstanding.
    STARTING = "starting"
    RUNNING = "running"
    # The start order got no answer, or a previous owner sent it.
    UNCONFIRMED = "unconfirmed"
    DONE = "done"


class Task:
    """A task of a step.

    Attributes:
        step: Its ``StepRun``.
        index: Its index in the step.
        name: Name on the wire and in logs.
        state: ``TaskState``.
        run: Number of its latest run; 0 before the first.
        highest_run: Highest number of an earlier run. An owner that did not know of it
            may have numbered the latest one lower.
        worker_id: Worker of the latest run; empty if there is none.
        token: Fencing token of the owner that ordered the latest run, or that found it
            executing.
        failures: Number of failed runs.
        failed_runs: Numbers of the failed runs that this owner has counted.
        settled_run: Number of the last run whose failure the previous owner counted, if
            it failed.
        crashes: Number of workers that crashed with a run of it.
        isolated_crashes: Number of those crashes that no other job can have caused.
        checkpoint: Newest checkpoint; empty if there is none.
        confirmed_at: Boot time at which the worker confirmed the run, or None.
        ordered_at: Boot time at which the run was ordered.
        is_stopping: Whether the run is to be stopped.
        stop_sent_at: Boot time at which a stop was last sent, or None.
        stop_answered_at: Boot time at which a stop was answered, or None.
        progress_percent: Progress as the worker reports it; 100 for a long-running task
            that is up.
        progressed_at: Boot time of the last progress or load.
        load: Tail latency of a serving task in milliseconds, CPU use of another task in
            millicores, as the worker reports it; -1 if unknown.
        pace_percent: Share of its full pace that the task may use.
    """

    __slots__ = (
        "step",
        "index",
        "name",
        "state",
        "run",
        "highest_run",
        "worker_id",
        "token",
        "failures",
        "failed_runs",
        "settled_run",
        "crashes",
        "isolated_crashes",
        "checkpoint",
        "confirmed_at",
        "ordered_at",
        "is_stopping",
        "stop_sent_at",
        "stop_answered_at",
        "progress_percent",
        "progressed_at",
        "load",
        "pace_percent",
    )

    def __init__(self, step, index):
        self.step = step
        self.index = index
        self.name = f"{step.name}.{index}"
        self.state = TaskState.WAITING
        self.run = 0
        self.highest_run = 0
        self.worker_id = ""
        self.token = 0
        self.failures = 0
        self.failed_runs = ()
        self.settled_run = 0
        self.crashes = 0
        self.isolated_crashes = 0
        self.checkpoint = ""
        self.confirmed_at = None
        self.ordered_at = 0.0
        self.is_stopping = False
        self.stop_sent_at = None
        self.stop_answered_at = None
        self.progress_percent = 0
        self.progressed_at = 0.0
        self.load = -1
        self.pace_percent = 100

    @property
    def job(self):
        """The job that the task belongs to."""
        return self.step.job

    @property
    def spec(self):
        """The ``StepSpec`` of its step."""
        return self.step.spec

    @property
    def next_run(self):
        """Number of its next run."""
        return max(self.run, self.highest_run) + 1

    @property
    def is_active(self):
        """Whether a run may exist on a worker."""
        return self.state in _ACTIVE

    @property
    def is_fully_running(self):
        """Whether a long-running task is up and not throttled, as last reported."""
        return (
            self.state is TaskState.RUNNING
            and not self.is_stopping
            and self.progress_percent >= 100
            and self.pace_percent >= 100
        )

    def reset(self):
        """Makes the task wait for a worker after its run has ended."""
        self.state = TaskState.WAITING
        self.worker_id = ""
        self.confirmed_at = None
        self.is_stopping = False
        self.stop_sent_at = None
        self.stop_answered_at = None
        self.progress_percent = 0
        self.load = -1
        self.pace_percent = 100


_ACTIVE = frozenset((TaskState.STARTING, TaskState.RUNNING, TaskState.UNCONFIRMED))


class StepRun:
    """A step of one occurrence.

    Attributes:
        job: Its ``Job``.
        occurrence: Number of the occurrence.
        number: Number of the step.
        spec: ``StepSpec``.
        name: Name on the wire.
        tasks: Its tasks.
        unfinished: Number of tasks that are not done.
        tickets: ``Ticket`` of the placement policy by worker id; None if the queue
            has no policy.
        denied_workers: Ids of workers that the policy does not allow.
        unplaced_since: Boot time since which its tasks have fit on no worker, or None.
        reserved_worker: ``WorkerView`` that is kept free for it, or None.
        objective_estimate: Last ``ObjectiveEstimate``, or None.
        place_wait: ``PlaceWait`` of its last wait for a rack, or None.
        rank: Last ``Rank``, or None.
    """

    __slots__ = (
        "job",
        "occurrence",
        "number",
        "spec",
        "name",
        "tasks",
        "unfinished",
        "tickets",
        "denied_workers",
        "unplaced_since",
        "reserved_worker",
        "objective_estimate",
        "place_wait",
        "rank",
    )

    def __init__(self, job, occurrence, number):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.name = f"{job.job_id}.{occurrence}.{number}"
        self.tasks = [Task(self, index) for index in range(self.spec.count)]
        self.unfinished = self.spec.count
        self.tickets = None
        self.denied_workers = set()
        self.unplaced_since = None
        self.reserved_worker = None
        self.objective_estimate = None
        self.place_wait = None
        self.rank = None

    @property
    def is_done(self):
        """Whether all tasks are done."""
        return self.unfinished == 0

    def waiting(self):
        """Returns the tasks that wait for a worker."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]


class DoneOccurrences:
    """The numbers of occurrences that are done.

    Occurrences are done almost in order, so nearly all of them are counted.

    Attributes:
        first_open: Number of the first occurrence that is not done.
        later: Numbers of later ones that are done.
    """

    __slots__ = ("first_open", "later")

    def __init__(self, first_open=0, later=()):
        self.first_open = first_open
        self.later = set(later)

    def __contains__(self, number):
        return number < self.first_open or number in self.later

    def __len__(self):
        return self.first_open + len(self.later)

    def add(self, number):
        """Adds an occurrence that is done."""
        if number < self.first_open:
            return
        self.later.add(number)
        while self.first_open in self.later:
            self.later.remove(self.first_open)
            self.first_open += 1


class Job:
    """A job that was accepted.

    Attributes:
        job_id: Id chosen by the caller; also the idempotency key.
        queue: Name of its queue.
        spec: ``JobSpec``.
        accepted_at: Time of acceptance, Unix seconds.
        customer: Name of the customer that submitted it; empty if there is none.
        is_excess: Whether its customer sent more than its weight in jobs per second.
            Not persisted: after a takeover jobs count as not excess.
        state: ``JobState``.
        occurrences: Steps of each started and unfinished occurrence, by its number.
        done_occurrences: ``DoneOccurrences``.
        next_occurrence: Number of the first occurrence that has not started.
        ended_at: Boot time at which it ended, or None.
        has_started: Whether any task was ever started.
        is_recorded: Whether the journal has a record of it.
        suspects: Tasks that may have crashed a worker; see ``crashes``.
        latest_start: Latest start of its remaining steps that meets the objective, and
            the time of that estimate, both Unix seconds; or None.
    """

    __slots__ = (
        "job_id",
        "queue",
        "spec",
        "accepted_at",
        "customer",
        "is_excess",
        "state",
        "occurrences",
        "done_occurrences",
        "next_occurrence",
        "ended_at",
        "has_started",
        "is_recorded",
        "suspects",
        "latest_start",
    )

    def __init__(self, job_id, queue, spec: JobSpec, accepted_at, customer=""):
        self.job_id = job_id
        self.customer = customer
        self.is_excess = False
        self.queue = queue
        self.spec = spec
        self.accepted_at = accepted_at
        self.state = JobState.PENDING
        self.occurrences = {}
        self.done_occurrences = DoneOccurrences()
        self.next_occurrence = 0
        self.ended_at = None
        self.has_started = False
        self.is_recorded = False
        self.suspects = set()
        self.latest_start = None

    @property
    def is_live(self):
        """Whether the job has not ended."""
        return self.ended_at is None

    def start_due_occurrences(self, wall_time):
        """Starts the occurrences that are due.

        Args:
            wall_time: Unix time in seconds.

        Returns:
            Steps that are now ready to run.
        """
        ready = []
        # Further ones start as earlier ones end.
        most = max(1, MAX_TASKS // self.spec.tasks_per_occurrence)
        while (
            self.next_occurrence < self.spec.occurrences
            and len(self.occurrences) < most
            and (
                not self.spec.is_timed
                or self.spec.due_s(self.next_occurrence) <= wall_time
            )
        ):
            number = self.next_occurrence
            self.next_occurrence += 1
            if number in self.done_occurrences or number in self.occurrences:
                continue
            ready += self.start_occurrence(number)
        return ready

    def start_occurrence(self, number):
        """Starts an occurrence; returns its steps that depend on no other."""
        steps = [StepRun(self, number, n) for n in range(len(self.spec.steps))]
        self.occurrences[number] = steps
        return [step for step in steps if not step.spec.after]

    def unblocked_steps(self, step):
        """Returns the steps that become ready with the end of a step."""
        steps = self.occurrences[step.occurrence]
        return [
            later
            for later in steps
            if step.number in later.spec.after
            and all(steps[earlier].is_done for earlier in later.spec.after)
        ]

    def finish_occurrence(self, number):
        """Records that an occurrence is done and drops its steps.

        Returns:
            Whether all occurrences are done.
        """
        del self.occurrences[number]
        self.done_occurrences.add(number)
        return len(self.done_occurrences) == self.spec.occurrences

    def tasks(self):
        """Iterates over the tasks of all started and unfinished occurrences."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks
