"""Judges from the workers' records whether a task had two runs at once."""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass
class Run:
    """A run of a task on a worker, as the worker recorded it.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Id of the worker.
        token: Fencing token of the order.
        started_at: Time of its start, seconds on the monotonic clock.
        ended_at: Time of its end; infinite while it executes.
        how: How it ended.
        lapsed_at: When the worker's lease ended, if it ended with the lease.
        is_noted: Whether its end was acknowledged.
    """

    task: str
    run: int
    worker: str
    token: int
    started_at: float
    ended_at: float = float("inf")
    how: str = "executes"
    lapsed_at: float | None = None
    is_noted: bool = False

    def describe(self, origin):
        """Returns a line about the run, with times since ``origin``."""
        lapse = ""
        if self.lapsed_at is not None:
            lapse = f", lease ended at {self.lapsed_at - origin:.3f}"
        return (
            f"run {self.run} on {self.worker}, token {self.token}, "
            f"{self.started_at - origin:.3f} to {self.ended_at - origin:.3f} "
            f"{self.how}{lapse}{', noted' if self.is_noted else ''}"
        )


@dataclass(frozen=True)
class Find:
    """A violation.

    Attributes:
        kind: ``overlap``, ``overlap within the stop time``, where only the end of the
            first run after its lease was late, or ``rerun``.
        first: The earlier ``Run``.
        second: The later ``Run``.
    """

    kind: str
    first: Run
    second: Run

    @property
    def overlap_s(self):
        """How long both runs executed, seconds."""
        return min(self.first.ended_at, self.second.ended_at) - self.second.started_at


@dataclass
class _Worker:
    """A worker process: its runs that execute, those by task and run, and its lease."""

    active: dict = field(default_factory=dict)
    runs: dict = field(default_factory=dict)
    void: set = field(default_factory=set)
    lapsed_at: float | None = None


def collect_runs(events):
    """Returns the ``Run`` objects of a play's events."""
    workers, runs = defaultdict(_Worker), []
    for event in sorted(events, key=lambda event: event["at"]):
        kind = event["event"]
        worker = workers[event.get("worker")]
        key = (event.get("task"), event.get("run"))
        if kind == "start":
            run = Run(*key, event["worker"], event["token"], event["at"])
            runs.append(run)
            worker.active[key] = worker.runs[key] = run
        elif kind == "end" and key in worker.active:
            run = worker.active.pop(key)
            run.ended_at, run.how = event["at"], event["kind"]
            if run.how == "lapsed":
                run.lapsed_at = worker.lapsed_at
        elif kind == "lapse":
            worker.lapsed_at = event["at"]
        elif kind == "void":
            worker.void.add(key)
        elif kind == "noted" and key in worker.runs and key not in worker.void:
            worker.runs[key].is_noted = True
        elif kind == "worker killed":
            for run in worker.active.values():
                run.ended_at, run.how = event["at"], "killed"
            del workers[event["worker"]]
    return runs


def find_overlaps(runs):
    """Returns a ``Find`` for each two runs of a task that must not both exist."""
    by_task = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    finds = []
    for of_task in by_task.values():
        of_task.sort(key=lambda run: run.started_at)
        for index, first in enumerate(of_task):
            for second in of_task[index + 1 :]:
                kind = _judge(first, second)
                if kind:
                    finds.append(Find(kind, first, second))
    return finds


def _judge(first, second):
    if second.started_at < first.ended_at:
        if first.lapsed_at is not None and second.started_at >= first.lapsed_at:
            return "overlap within the stop time"
        return "overlap"
    return "rerun" if first.how == "done" and first.is_noted else ""
