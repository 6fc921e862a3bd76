"""Objects that the shards of one availability zone share in a daemon."""

from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup

from basilwind.journal.journal import Journal
from basilwind.membership.copies import CopySender
from basilwind.membership.ownership import Ownership
from basilwind.placement.resolver import OutcomeResolver
from basilwind.placement.task_monitor import TaskMonitor
from basilwind.workers.directory import WorkerDirectory


@dataclass
class ZoneContext:
    """Objects that the zone's shards share.

    Attributes:
        name: Name of the availability zone.
        journal: The zone's journal.
        ownership: Ownership of the zone's shards.
        copy_sender: Copies journal entries to peers while the log is down.
        workers: The zone's workers.
        task_monitor: Runs tasks and checks their connections.
        resolver: Determines the outcomes of tasks of previous owners.
        clock: Monotonic clock, in seconds.
        wall_clock: Wall clock, in seconds since the Unix epoch.
        started_wall_time: When this process started, in seconds since the Unix epoch.
        tasks: Task group for tasks that outlive their caller; set at start.
    """

    name: str
    journal: Journal
    ownership: Ownership
    copy_sender: CopySender
    workers: WorkerDirectory
    task_monitor: TaskMonitor
    resolver: OutcomeResolver
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    started_wall_time: float
    tasks: TaskGroup | None = None
