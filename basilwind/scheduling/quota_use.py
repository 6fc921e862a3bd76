"""What customers use and need in a pool, and what a scheduling round may start."""

from basilwind.scheduling.fleet import Resources
from basilwind.scheduling.quota import (
    NOTHING,
    Use,
    combine,
    count_within,
    is_within,
    multiply,
    size_of,
)


class QuotaRound:
    """What each limited customer may start in one scheduling round.

    Args:
        book: ``QuotaBook``.
        used: ``Resources`` that may be running, by limited customer.
        now: Boot time in seconds.
    """

    def __init__(self, book, used, now):
        self._book = book
        self._used = used
        self._now = now

    def most(self, step):
        """Returns how many of a step's waiting tasks may be placed; None for all.

        Args:
            step: ``StepRun``; a gang is placed as a whole or not at all.
        """
        name = step.job.customer
        if name not in self._used:
            if self._book.limit(name) is None:
                return None
            # The customer may be new in a configuration that has not arrived here.
            self._used[name] = NOTHING
        tasks = len(step.waiting())
        size, used = size_of(step.spec), self._used[name]
        unit = multiply(size, tasks) if step.spec.is_gang else size
        room = self._book.room(name, used, self._now)
        if not is_within(unit, room) or not self._book.may_start(name, self._now):
            self._book.note_blocked(name, used, unit, self._now)
            return 0
        most = min(tasks, count_within(room, size))
        if most < tasks:
            self._book.note_blocked(name, used, unit, self._now)
        return most

    def add(self, step, count):
        """Notes that tasks of a step were placed."""
        name = step.job.customer
        if name in self._used:
            placed = multiply(size_of(step.spec), count)
            self._used[name] = combine(sum, self._used[name], placed)


def measure_used(pool, now):
    """Returns the ``Resources`` that may be running in a pool, by limited customer.

    A run counts until its end is known. That includes runs of a previous owner that it
    may have started without a record.

    Args:
        pool: ``PoolState``.
        now: Boot time in seconds.
    """
    used = dict.fromkeys(pool.quota.limited_customers(), NOTHING)
    if not used:
        return used
    if not pool.has_silent_workers(now):
        pool.quota.forget_previous_ending()
    # Plain sums, as each scheduling round counts hundreds of runs.
    totals = {name: [0, 0, 0] for name in used}
    for name, amount in pool.quota.previous_ending.items():
        if name in totals:
            totals[name] = [amount.cpu, amount.memory, amount.gpu]
    for name, spec in _possible_runs(pool, now):
        total = totals.get(name)
        if total is not None:
            size = size_of(spec)
            total[0] += size.cpu
            total[1] += size.memory
            total[2] += size.gpu
    return {name: Resources(*total) for name, total in totals.items()}


def measure_ending(pool):
    """Returns the ``Resources`` of runs that job records lack, by limited customer.

    A successor does not know them before the workers report them: the records of ended
    jobs have no tasks, and no record has a run that no task needs.

    Args:
        pool: ``PoolState``.
    """
    limited = set(pool.quota.limited_customers())
    ending = {}
    if not limited:
        return ending
    for job, spec, is_unwanted in _runs_on_workers(pool):
        if job.customer in limited and (is_unwanted or not job.is_live):
            amount = ending.get(job.customer, NOTHING)
            ending[job.customer] = combine(sum, amount, size_of(spec))
    return ending


def _runs_on_workers(pool):
    """Yields each run that a worker may have.

    These are tuples of its ``Job``, its ``StepSpec``, and whether no task needs it.
    """
    for worker in pool.workers.values():
        for task in worker.tasks.values():
            yield task.job, task.spec, False
        for (task_name, _), spec in worker.unwanted_runs.items():
            job = pool.jobs.get(task_name.partition(".")[0])
            if job is not None:
                yield job, spec, True


def _possible_runs(pool, now):
    """Yields the customer and the ``StepSpec`` of each run that may execute."""
    for job, spec, _ in _runs_on_workers(pool):
        yield job.customer, spec
    may_be_unrecorded = pool.has_unrecorded_runs(now)
    if now >= pool.previous_leases_until and not may_be_unrecorded:
        return
    for job in pool.jobs.values():
        if not job.customer:
            continue
        for task in job.tasks():
            is_elsewhere = task.is_active and task.worker_id not in pool.workers
            if is_elsewhere or (
                may_be_unrecorded and pool.may_have_unrecorded_run(task)
            ):
                yield job.customer, task.spec


def measure_uses(pool, now):
    """Returns the ``Use`` of each limited customer in a pool.

    Args:
        pool: ``PoolState``.
        now: Boot time in seconds.
    """
    used = measure_used(pool, now)
    waiting = dict.fromkeys(used, NOTHING)
    for step in pool.ready_steps():
        name = step.job.customer
        if name in waiting:
            size = multiply(size_of(step.spec), len(step.waiting()))
            waiting[name] = combine(sum, waiting[name], size)
    capacity = combine(
        sum, NOTHING, *(worker.entry for worker in pool.workers.values())
    )
    return {
        name: Use(
            amount,
            combine(
                max,
                amount,
                combine(min, capacity, combine(sum, amount, waiting[name])),
            ),
        )
        for name, amount in used.items()
    }
