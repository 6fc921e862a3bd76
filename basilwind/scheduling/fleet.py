"""What the operator declares, such as queues and customers, and registered workers."""

from dataclasses import dataclass, field

from basilwind.checked_json import Count, Duration, Integer


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource.

    Attributes:
        cpu: CPU, millicores.
        memory: Memory, megabytes.
        gpu: Accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, who shares the pools with others.

    Attributes:
        name: Name of the customer.
        weight: Its share when a pool is full, and how many jobs a second it may send.
        maximum: What it may have running on all workers; a resource with 0 has no
            limit.
    """

    name: str
    weight: float
    maximum: Resources


@dataclass(frozen=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host_header: Host header of requests to this queue.
        path_prefix: Path prefix of requests to this queue.
        pool: Pool whose workers run its tasks.
        timeout_s: Longest time for an answer to a caller, seconds.
        target_s: Constant part of the latency objective, seconds.
        stretch: Part of the latency objective relative to a job's critical path.
        priority: Priority class; 0 is the highest.
        attempts: Failed runs after which a task fails its job.
        has_placement_policy: Whether a placement policy limits its workers.
        is_public: Whether calls need no key of a customer.
    """

    name: str
    host_header: str
    path_prefix: str
    pool: str
    timeout_s: Duration
    target_s: Duration
    stretch: Duration
    priority: Integer
    attempts: Count
    has_placement_policy: bool
    is_public: bool = False

    @property
    def path(self):
        """Host header and path prefix, by which callers choose a queue."""
        return self.host_header, self.path_prefix


@dataclass(frozen=True)
class Pool:
    """A pool of workers.

    Attributes:
        name: Name of the pool.
        rejects_overload: Whether its workers reject tasks that exceed their capacity.
        is_spare: Whether its hosts are switched off until they are moved.
        health_path: Path of the workers' health check.
    """

    name: str
    rejects_overload: bool
    is_spare: bool
    health_path: str


@dataclass(frozen=True)
class RequestLimits:
    """Limits on callers' requests.

    Attributes:
        header_bytes: Largest size of the headers, bytes.
        body_bytes: Largest size of the body, bytes.
        header_timeout_s: Longest time to send the headers, seconds.
        idle_timeout_s: Longest time that a connection may be idle, seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class Configuration:
    """The operator's configuration.

    Attributes:
        version: Version number; rises with each change.
        queues: Queues by name.
        pools: Pools by name.
        limits: Limits on callers' requests.
        customers: Customers by name; None if the fleet has no customers, so that calls
            need no keys.
        key_owners: Names of customers by key.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    limits: RequestLimits
    customers: dict[str, Customer] | None = None
    key_owners: dict[str, str] = field(default_factory=dict, repr=False)

    def find_queue(self, host_header, path):
        """Returns the queue with the longest matching path prefix, or None.

        Args:
            host_header: Host header of a request; a port is ignored.
            path: Path of the request.
        """
        host = host_header.partition(":")[0]
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
        worker_id: Id of the worker. Each start of its host gives it a new one; a
            restart of the worker alone may keep it.
        pool: Pool that it belongs to.
        address: HOST:PORT for orders.
        zone: Its availability zone.
        is_draining: Whether it accepts no new work.
        remaining_s: Minimum time until a draining worker leaves, seconds.
        cpu: CPU capacity, millicores.
        memory: Memory, megabytes.
        gpu: Number of accelerators.
        labels: Its kind and its rack.
        rack: Label of its rack; empty if unknown.
        incarnation_started_ms: Start of this incarnation, Unix milliseconds.
        host: Host that it runs on; empty if unknown.
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
    """A maintenance wave: a request to take each of its hosts down once.

    Attributes:
        number: Number of the wave.
        hosts: Names of the hosts to take down.
        deadline_s: Time from the request by which all must be done, seconds.
        at_once: Maximum number of hosts down at the same time.
    """

    number: int
    hosts: tuple[str, ...]
    deadline_s: float
    at_once: int
