"""Orders that a pool's owner gives to workers."""

from dataclasses import dataclass

from basilwind.scheduling.workers import WorkerView


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a task, to be sent once it is durable."""

    task: object
    run: int
    worker: WorkerView


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop a run."""

    task_name: str
    run: int
    worker: WorkerView
