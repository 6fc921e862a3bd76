"""A copy of what an owner decides on, to try decisions without effects."""

import copy
from collections.abc import Callable
from dataclasses import dataclass

from basilwind.scheduling.customer_queues import CustomerQueues
from basilwind.scheduling.jobs import StepRun
from basilwind.scheduling.ordering import Rank
from basilwind.scheduling.place_waits import PlaceWaits
from basilwind.scheduling.run_times import RunTimes
from basilwind.scheduling.workers import WorkerView


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step with waiting tasks.

    Attributes:
        rank: ``Rank``.
        step: ``StepRun`` of the pool, which must not be changed.
        is_held: Whether it waits for what a takeover left unknown.
    """

    rank: Rank
    step: StepRun
    is_held: bool


@dataclass(frozen=True, slots=True)
class PoolSnapshot:
    """What a pool's next scheduling round would decide on.

    Attributes:
        pool: Name of the pool.
        workers: Copies of all workers, on which tasks may be reserved.
        reachable: Those of them that may get tasks and do not seem out of reach.
        open_workers: Those of them that are not kept for suspected jobs.
        cores: Cores of the workers that may get tasks.
        waiting: Each ``WaitingStep``, the most urgent first.
        backlog: Work that goes before a new job, core-seconds.
        is_overloaded: Whether the pool is overloaded.
        holds_lasting: Whether long-running tasks wait after a takeover.
        run_times: ``RunTimes`` of the pool, which must not be changed.
        place_waits: ``PlaceWaits`` for the round.
        customers: A copy of the pool's ``CustomerQueues``.
        task_work: Returns the expected work of one task of a step, core-seconds.
    """

    pool: str
    workers: list[WorkerView]
    reachable: list[WorkerView]
    open_workers: list[WorkerView]
    cores: float
    waiting: list[WaitingStep]
    backlog: float
    is_overloaded: bool
    holds_lasting: bool
    run_times: RunTimes
    place_waits: PlaceWaits
    customers: CustomerQueues
    task_work: Callable


def copy_worker(worker):
    """Returns a copy of a ``WorkerView`` on which tasks may be reserved."""
    duplicate = copy.copy(worker)
    duplicate.tasks = dict(worker.tasks)
    return duplicate
