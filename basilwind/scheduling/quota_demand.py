"""Which waiting tasks call for workers although their customers have quotas."""

# The planner measures demand every 0.4 s, and a host takes 0.7 s or more to arrive:
# within that time, what a customer may still start yields no more work.
DEMAND_HORIZON_S = 1.1


class QuotaRoom:
    """What customers may still run in a pool, as far as their maximum tells.

    It counts tasks for which the pool asks for hosts. The customers' runs in other
    pools are not known here, so the count is an upper bound.

    Args:
        find_customer: Returns the ``Customer`` of a name, or None.
        workers: ``WorkerView`` objects of the pool.
    """

    def __init__(self, find_customer, workers):
        self._find_customer = find_customer
        self._workers = workers
        self._used = None
        self._left = {}

    def demand(self, step, count, task_work):
        """Returns the work of waiting tasks that calls for hosts, core-seconds.

        Args:
            step: ``StepRun``.
            count: Number of its tasks that wait.
            task_work: Work of one of them, core-seconds.
        """
        startable = self.take(step, count)
        if self._left.get(step.job.customer):
            task_work = min(task_work, step.spec.cpu / 1000 * DEMAND_HORIZON_S)
        return startable * task_work

    def take(self, step, count):
        """Returns how many of some waiting tasks may run, and reserves room for them.

        Args:
            step: ``StepRun``.
            count: Number of its tasks that wait.
        """
        name = step.job.customer
        if not name:
            return count
        if name not in self._left:
            self._left[name] = self._measure(name)
        if not self._left[name]:
            return count
        needs = (step.spec.cpu, step.spec.memory, step.spec.gpu)
        for index, left in self._left[name].items():
            if needs[index]:
                count = min(count, max(0, left) // needs[index])
        for index in self._left[name]:
            self._left[name][index] -= count * needs[index]
        return count

    def _measure(self, name):
        """Returns what a customer may still run, by the index of each limit."""
        customer = self._find_customer(name)
        if customer is None:
            return {}
        maximum = customer.maximum
        limits = enumerate((maximum.cpu, maximum.memory, maximum.gpu))
        limits = {index: most for index, most in limits if most}
        if not limits:
            return {}
        if self._used is None:
            self._used = self._measure_used()
        used = self._used.get(name, (0, 0, 0))
        return {index: most - used[index] for index, most in limits.items()}

    def _measure_used(self):
        used = {}
        for worker in self._workers:
            for task in worker.tasks.values():
                if not task.job.customer:
                    continue
                amounts = used.setdefault(task.job.customer, [0, 0, 0])
                amounts[0] += task.spec.cpu
                amounts[1] += task.spec.memory
                amounts[2] += task.spec.gpu
        return used
