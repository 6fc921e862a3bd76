"""What the shards of one availability zone share in a daemon."""

from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup

from basilwind.journal.journal import Journal
from basilwind.membership.copies import CopySender
from basilwind.membership.ownership import Ownership
from basilwind.placement.resolver import Resolver
from basilwind.placement.task_monitor import TaskMonitor
from basilwind.workers.directory import WorkerDirectory


@dataclass
class ZoneParts:
    """Parts that serve every shard of the zone.

    Attributes:
        name: The availability zone.
        journal: Its journal.
        ownership: Ownership of its shards.
        copies: Copies entries to peers while the log is out.
        workers: Its workers.
        watch: Watches running tasks.
        resolver: Finds out what became of started work.
        clock: Monotonic clock, in seconds.
        wall: Wall clock, in seconds since the epoch.
        started_at_wall: When this process started, on the wall clock.
        tasks: Task group for work that outlives its caller.
    """

    name: str
    journal: Journal
    ownership: Ownership
    copies: CopySender
    workers: WorkerDirectory
    watch: TaskMonitor
    resolver: Resolver
    clock: Callable[[], float]
    wall: Callable[[], float]
    started_at_wall: float
    tasks: TaskGroup | None = None
