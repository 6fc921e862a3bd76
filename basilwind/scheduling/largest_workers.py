"""What a pool's workers can hold at most, to tell steps that are too large for it.

Load pattern: a few of a pool's jobs ask for more than any of its workers has, or for
gangs larger than the pool. Their work never begins, so it must neither keep other
callers away nor draw hosts from other pools for good.
"""

SIZE_TOLERANCE = 1.25  # hosts of other pools may be larger by as much
GANG_GROWTH_FACTOR = 3.0  # a pool gets about three times its hosts in a burst


class LargestWorkers:
    """The largest capacity of a pool's workers in each dimension, and their sum.

    Args:
        entries: ``WorkerEntry`` of each worker.
    """

    def __init__(self, entries):
        entries = list(entries)
        self._has_workers = bool(entries)
        self._cpu = max((entry.cpu for entry in entries), default=0)
        self._memory = max((entry.memory for entry in entries), default=0)
        self._gpu = max((entry.gpu for entry in entries), default=0)
        self._labels = set().union(*(entry.labels for entry in entries))
        self._total_cpu = sum(entry.cpu for entry in entries)
        self._total_memory = sum(entry.memory for entry in entries)
        self._total_gpu = sum(entry.gpu for entry in entries)

    def can_fit(self, spec, tolerance=1.0):
        """Returns whether a task of a step may fit on some worker.

        Args:
            spec: ``StepSpec``.
            tolerance: Factor by which workers may be larger.
        """
        if not self._has_workers:
            return True
        return (
            spec.reserved_cpu <= tolerance * self._cpu
            and spec.memory <= tolerance * self._memory
            and spec.gpu <= tolerance * self._gpu
            and (not spec.required_label or spec.required_label in self._labels)
        )

    def can_fit_step(self, spec):
        """Returns whether a step's tasks, and a gang as a whole, may fit in the pool.

        Args:
            spec: ``StepSpec``.
        """
        return self.can_fit(spec) and self._can_fit_gang(spec, 1.0)

    def can_fit_grown(self, spec):
        """Returns whether a step may fit if the pool gets more hosts.

        Args:
            spec: ``StepSpec``.
        """
        return self.can_fit(spec, SIZE_TOLERANCE) and self._can_fit_gang(
            spec, GANG_GROWTH_FACTOR
        )

    def _can_fit_gang(self, spec, growth):
        if not spec.is_gang or not self._has_workers:
            return True
        return (
            spec.reserved_cpu * spec.count <= growth * self._total_cpu
            and spec.memory * spec.count <= growth * self._total_memory
            and spec.gpu * spec.count <= growth * self._total_gpu
        )
