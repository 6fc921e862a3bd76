"""An owner's view of a worker: capacity, lease, clock and runs."""

CLOCK_DRIFT = 0.02  # a worker's clock may be this share slow


class WorkerView:
    """A worker as its pool's owner sees it.

    Attributes:
        entry: ``WorkerEntry`` from the registry.
        free_cpu: Thousandths of a core that are not reserved.
        free_memory: Megabytes that are not reserved.
        free_gpu: Accelerators that are not reserved.
        tasks: Tasks by name that have or may have a run here.
        incarnation_started_ms: Start of the incarnation that last answered, or 0.
        applied: Number up to which its ends are applied here.
        acknowledged_end: Number up to which its ends are durable.
        pending_ack: Number of an end that waits for the journal, and the journal's
            mark for it; or None.
        is_withheld: Whether the fleet planner wants it empty.
        is_listed: Whether the registry lists it.
        unanswered_since: When its first unanswered call was sent, or None.
        avoid_until: Until when it gets no work because of failures.
        penalty_s: Length of the next avoidance.
        recent_failures: Failed runs since the last that was done.
        paced_at: When the pace of a task was last changed; boot time.
        slowness: Recent run times by expected ones.
    """

    __slots__ = (
        "entry",
        "free_cpu",
        "free_memory",
        "free_gpu",
        "tasks",
        "incarnation_started_ms",
        "applied",
        "acknowledged_end",
        "pending_ack",
        "is_withheld",
        "is_listed",
        "unanswered_since",
        "avoid_until",
        "penalty_s",
        "recent_failures",
        "paced_at",
        "slowness",
        "_clock_s",
        "_clock_at",
        "_expires_s",
    )

    def __init__(self, entry):
        self.entry = entry
        self.free_cpu = entry.cpu
        self.free_memory = entry.memory
        self.free_gpu = entry.gpu
        self.tasks = {}
        self.incarnation_started_ms = 0
        self.applied = 0
        self.acknowledged_end = 0
        self.pending_ack = None
        self.is_withheld = False
        self.is_listed = True
        self.unanswered_since = None
        self.avoid_until = 0.0
        self.penalty_s = 0.0
        self.recent_failures = 0
        self.paced_at = 0.0
        self.slowness = 1.0
        self._clock_s = None
        self._clock_at = None
        self._expires_s = 0.0

    @property
    def worker_id(self):
        """Id of the worker."""
        return self.entry.worker_id

    @property
    def is_clock_known(self):
        """Whether its clock is known."""
        return self._clock_s is not None

    def reserve(self, task):
        """Takes a task's share from the free capacity."""
        if task.name in self.tasks:
            return
        self.tasks[task.name] = task
        self.free_cpu -= task.spec.reserved_cpu
        self.free_memory -= task.spec.memory
        self.free_gpu -= task.spec.gpu

    def free(self, task):
        """Gives a task's share back."""
        if self.tasks.pop(task.name, None) is None:
            return
        self.free_cpu += task.spec.reserved_cpu
        self.free_memory += task.spec.memory
        self.free_gpu += task.spec.gpu

    def has_room(self, spec):
        """Tells whether a task of a step fits."""
        return (
            self.free_cpu >= spec.reserved_cpu
            and self.free_memory >= spec.memory
            and self.free_gpu >= spec.gpu
        )

    def resize(self, entry):
        """Takes over a changed registry entry."""
        self.free_cpu += entry.cpu - self.entry.cpu
        self.free_memory += entry.memory - self.entry.memory
        self.free_gpu += entry.gpu - self.entry.gpu
        self.entry = entry

    def set_clock(self, clock_s, now):
        """Learns the worker's clock from an answer.

        Args:
            clock_s: The worker's clock when it answered, seconds.
            now: Boot time when the answer was read.
        """
        self._clock_s = clock_s
        self._clock_at = now
        self.unanswered_since = None

    def grant_lease(self, lease_s, now):
        """Returns the worker's clock ``lease_s`` from now, and notes it.

        The estimate never runs ahead of the worker's clock by more than the time
        an answer takes, so a lease is never longer than meant.
        """
        expires_s = self._clock_s + (now - self._clock_at) + lease_s
        self._expires_s = max(self._expires_s, expires_s)
        return expires_s

    def extend_lease(self, lease_s, now):
        """Returns the lease end that the next hold should ask for, or None.

        A silent worker gets no extensions: each one that may have arrived would
        put off the time at which its leases have surely run out.
        """
        if self._clock_s is None or self.unanswered_since is not None:
            return None
        return self.grant_lease(lease_s, now)

    def lease_has_lapsed(self, now):
        """Tells whether every lease given here has surely run out."""
        if self._clock_s is None:
            return False
        clock_s = self._clock_s + (now - self._clock_at) * (1 - CLOCK_DRIFT)
        return clock_s > self._expires_s

    def forget_incarnation(self):
        """Resets what belonged to a former incarnation."""
        self.applied = 0
        self.acknowledged_end = 0
        self.pending_ack = None
        self._clock_s = None
        self._clock_at = None
        self._expires_s = 0.0
