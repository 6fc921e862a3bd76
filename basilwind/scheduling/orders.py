"""Orders that a pool's owner gives to workers."""

from dataclasses import dataclass

from basilwind.scheduling.workers import WorkerView


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run, to be sent once it is durable.

    Attributes:
        task: ``Task``.
        run: Number of the run.
        worker: Worker that receives the order.
    """

    task: object
    run: int
    worker: WorkerView


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop a run.

    Attributes:
        task_name: Name of the task.
        run: Number of the run.
        worker: Worker that receives the order.
    """

    task_name: str
    run: int
    worker: WorkerView
