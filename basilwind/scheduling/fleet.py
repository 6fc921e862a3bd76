"""Queues, pools, workers and waves, as the operator and the registry tell."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host_header: Host header of its callers.
        path_prefix: Prefix of its callers' paths.
        pool: Pool whose workers run its tasks.
        timeout_s: Longest time for an answer to a caller.
        target_s: Part of the objective that does not depend on the work.
        stretch: Part of the objective relative to the longest chain of work.
        priority: 0 comes first.
        attempts: Failed runs after which a task is given up.
        has_placement_policy: Whether a placement policy limits its workers.
    """

    name: str
    host_header: str
    path_prefix: str
    pool: str
    timeout_s: float
    target_s: float
    stretch: float
    priority: int
    attempts: int
    has_placement_policy: bool


@dataclass(frozen=True)
class Pool:
    """A pool of workers.

    Attributes:
        name: Name of the pool.
        rejects_overload: Whether its workers reject what does not fit.
        is_spare: Whether its machines are off until they are moved.
        health_path: Path of the workers' health check.
    """

    name: str
    rejects_overload: bool
    is_spare: bool
    health_path: str


@dataclass(frozen=True)
class RequestLimits:
    """Limits on callers' requests; bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class Configuration:
    """The operator's configuration.

    Attributes:
        version: Rises with each change.
        queues: Queues by name.
        pools: Pools by name.
        limits: Limits on callers' requests.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    limits: RequestLimits

    def find_queue(self, host, path):
        """Returns the queue with the longest matching prefix, or None."""
        host = host.partition(":")[0]
        matching = (
            queue
            for queue in self.queues.values()
            if queue.host_header == host and path.startswith(queue.path_prefix)
        )
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


@dataclass(frozen=True)
class WorkerEntry:
    """A worker's entry in the registry.

    Attributes:
        worker_id: Identifies one life of a machine, and lives under one id.
        pool: Pool that it belongs to.
        address: HOST:PORT for orders.
        zone: Its availability zone.
        is_draining: Whether it takes no new work.
        remaining_s: Least time until a draining worker leaves.
        cpu: Thousandths of a core.
        memory: Megabytes.
        gpu: Accelerators.
        labels: Its kind and its rack.
        rack: Label of its rack; empty if not told.
        incarnation_started_ms: Start of this incarnation, Unix milliseconds.
        host: Host that it runs on; empty if not told.
    """

    worker_id: str
    pool: str
    address: str
    zone: str
    is_draining: bool
    remaining_s: float
    cpu: int
    memory: int
    gpu: int
    labels: frozenset[str]
    rack: str
    incarnation_started_ms: int
    host: str


@dataclass(frozen=True)
class Wave:
    """A request to bring machines down for upkeep, each once.

    Attributes:
        number: Number of the wave.
        hosts: Hosts to bring down.
        deadline_s: Time given, from the request.
        at_once: Most machines down at once.
    """

    number: int
    hosts: tuple[str, ...]
    deadline_s: float
    at_once: int
