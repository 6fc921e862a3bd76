"""Assigns waiting tasks to workers.

Load pattern: steps have many tasks, and a step is as late as its last one. Hosts that
stay empty can be moved to where the demand is. Short tasks are therefore packed (best
fit). Serving tasks are spread, because they slow each other down. Fillers go where CPU
is free and no task serves.
"""

from dataclasses import dataclass

from basilwind.scheduling.crashes import is_quiet
from basilwind.scheduling.eligibility import (
    count_fitting_later,
    count_places,
    may_run,
)
from basilwind.scheduling.health import is_on_probation
from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.policy import valid_ticket

MAX_SILENCE_S = 1.2  # a hold is answered within 1 s and its margin of 0.7 s


@dataclass(frozen=True, slots=True)
class Shortage:
    """A task size that no worker had capacity for.

    Attributes:
        cpu: CPU, millicores.
        memory: Memory, megabytes.
        gpu: Accelerators.
    """

    cpu: int
    memory: int
    gpu: int = 0

    def covers(self, spec):
        """Returns whether a step's tasks are at least as large and so cannot fit."""
        return (
            spec.reserved_cpu >= self.cpu
            and spec.memory >= self.memory
            and spec.gpu >= self.gpu
        )


def is_usable(worker, now):
    """Returns whether a worker may get new tasks."""
    return (
        worker.is_listed
        and not worker.entry.is_draining
        and not worker.is_withheld
        and not worker.is_replaced
        and worker.is_clock_known
        and not worker.revoked_starts
        and worker.ejected_until <= now
        and (
            worker.unanswered_since is None
            or now - worker.unanswered_since < MAX_SILENCE_S
        )
    )


def _count_serving(worker):
    return sum(
        task.spec.tail_target_ms > 0 and not task.spec.is_filler
        for task in worker.tasks.values()
    )


def _count_fillers(worker):
    return sum(task.spec.is_filler for task in worker.tasks.values())


def score_worker(spec, worker):
    """Returns the sort key of a worker for a task; the smallest is the best fit."""
    is_remote = bool(spec.data_rack) and spec.data_rack != worker.entry.rack
    remaining_cpu = worker.free_cpu - spec.reserved_cpu
    if spec.is_filler:
        return (
            spec.is_lasting and worker.is_at_risk,
            is_remote,
            _count_serving(worker),
            _count_fillers(worker),
            -worker.free_cpu,
        )
    if spec.is_lasting:
        return (
            worker.is_at_risk,
            is_remote,
            _count_serving(worker),
            _count_fillers(worker),
            remaining_cpu,
        )
    return (is_remote, is_on_probation(worker), 0, remaining_cpu)


def _restrict_to_rack(step, workers, waits):
    """Returns the workers for a step that is to run in one rack, and how long to wait.

    That is the rack of its running tasks, or the tightest one that fits the whole step.
    If waiting for such a rack costs more than it saves, the tasks run on several racks.

    Args:
        step: ``StepRun``.
        workers: ``WorkerView`` objects that it may use.
        waits: ``PlaceWaits``.

    Returns:
        ``WorkerView`` objects, and the expected wait of the tasks that do not fit there
        in seconds; None if they are not to wait.
    """
    racks = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    used = {rack: members for rack, members in racks.items() if _runs_on(step, members)}
    if len(used) > 1:
        return workers, None
    if not used:
        fitting = _tightest_rack(step, racks)
        if fitting is not None:
            return fitting, None
    for members in used.values():
        if count_places(step, members) >= len(step.waiting()):
            return members, None
    expected_s = waits.room_wait_s(step, used or racks)
    if expected_s is None:
        return workers, None
    return next(iter(used.values()), []), expected_s


def _runs_on(step, workers):
    return any(
        task.step is step for worker in workers for task in worker.tasks.values()
    )


def _tightest_rack(step, racks):
    """Returns the workers of the tightest rack with room for a step, or None.

    Args:
        step: ``StepRun``.
        racks: Lists of ``WorkerView`` by rack.
    """
    capacity = {rack: count_places(step, members) for rack, members in racks.items()}
    fitting = [rack for rack, fits in capacity.items() if fits >= step.unfinished]
    if not fitting:
        return None
    return racks[min(fitting, key=lambda rack: (capacity[rack], rack))]


def place_step(step, workers, now, waits, most=None):
    """Reserves workers for a step's waiting tasks; a gang is placed as a whole.

    Args:
        step: ``StepRun``.
        workers: Usable ``WorkerView`` objects.
        now: Boot time in seconds.
        waits: ``PlaceWaits``.
        most: Maximum number of tasks, or None for all.

    Returns:
        Pairs of task and worker, and whether capacity was missing. It is not missing
        for tasks that wait for a place in the right rack.
    """
    spec = step.spec
    candidates = workers
    if step.tickets is not None:
        candidates = [
            worker
            for worker in workers
            if valid_ticket(step, worker.worker_id, now) is not None
        ]
    if spec.needs_one_rack:
        candidates, expected_s = _restrict_to_rack(step, candidates, waits)
        placed, is_short = _place_tasks(step, candidates, most=most)
        missing = len(step.waiting()[:most]) - len(placed)
        if expected_s is not None and missing:
            waits.defer(step, "", expected_s, missing)
            return placed, False
        waits.settle(step, placed)
        return placed, is_short
    if spec.data_rack:
        return _place_near_data(step, candidates, waits, most)
    return _place_tasks(step, candidates, most=most)


def _place_near_data(step, workers, waits, most):
    """Reserves workers for tasks that take longer away from their data.

    Returns:
        As for ``place_step``.
    """
    queue = waits.queue_for_data(step, workers)
    placed, is_short = _place_tasks(step, workers, queue, most)
    if queue is not None and queue.waiting:
        waits.defer(step, step.spec.data_rack, queue.expected_s, queue.waiting)
        return placed, False
    waits.settle(step, placed)
    if is_short:
        waits.add_ahead(step, len(step.waiting()[:most]) - len(placed))
    return placed, is_short


def _has_near(spec, workers):
    return any(worker.entry.rack == spec.data_rack for worker in workers)


def _place_tasks(step, workers, queue=None, most=None):
    """Reserves workers for waiting tasks, except those for which waiting pays.

    Args:
        step: ``StepRun``.
        workers: ``WorkerView`` objects that it may use.
        queue: ``RackQueue`` of the rack with its data; None if no task is to wait.
        most: Maximum number of tasks, or None for all.

    Returns:
        As for ``place_step``.
    """
    spec = step.spec
    placed = []
    is_short = False
    for task in step.waiting()[:most]:
        if queue is not None and queue.waiting and queue.pays():
            queue.wait()
            continue
        fitting = [
            worker
            for worker in workers
            if worker.has_capacity_for(spec) and may_run(step, worker)
        ]
        if not fitting:
            is_short = True
            break
        if queue is not None and not _has_near(spec, fitting):
            needed = step.unfinished - len(placed) if spec.is_gang else 1
            if queue.pays(needed):
                queue.wait(needed)
                if spec.is_gang:
                    break
                continue
            # The places only get scarcer, and a gang that is partly remote is slow.
            queue = None
        worker = min(fitting, key=lambda worker: score_worker(spec, worker))
        worker.reserve(task)
        placed.append((task, worker))
        is_near = worker.entry.rack == spec.data_rack
        if queue is not None and is_near and not spec.is_gang:
            queue.add_run()
    if spec.is_gang and (is_short or len(placed) < step.unfinished):
        for task, worker in placed:
            worker.release(task)
        return [], is_short
    return placed, is_short


def place_suspects(step, worker, now, most=None):
    """Reserves a worker that is kept for a job for the suspects of one of its steps.

    Args:
        step: ``StepRun``.
        worker: ``WorkerView`` that is kept for the job, or None.
        now: Boot time in seconds.
        most: Maximum number of tasks, or None for all.

    Returns:
        Pairs of task and worker.
    """
    if worker is None or not is_quiet(worker, step.job, now):
        return []
    placed = []
    for task in step.waiting():
        if len(placed) == most:
            break
        if (
            task in step.job.suspects
            and worker.has_capacity_for(step.spec)
            and may_run(step, worker)
        ):
            worker.reserve(task)
            placed.append((task, worker))
    return placed


def place_suspected_gang(step, workers, now, waits, most=None):
    """Reserves workers for a gang that has suspects, those for it alone if possible."""
    quiet = [worker for worker in workers if is_quiet(worker, step.job, now)]
    placed, is_short = place_step(step, quiet, now, waits, most)
    return (placed, is_short) if placed else place_step(step, workers, now, waits, most)


def choose_reserved_worker(step, workers):
    """Returns the worker to keep free for a step that fits on none, or None.

    Prefers the worker that is already reserved for the step, then the one that will
    have the most free memory once its short tasks have ended.
    """
    fitting = [
        worker
        for worker in workers
        if count_fitting_later(step, worker) and may_run(step, worker)
    ]
    if step.reserved_worker in fitting:
        return step.reserved_worker
    return max(
        fitting,
        key=lambda worker: (_memory_after_short_tasks(worker), worker.free_cpu),
        default=None,
    )


def _memory_after_short_tasks(worker):
    """Returns the megabytes that are free once all short tasks have ended."""
    ending = sum(
        task.spec.memory for task in worker.tasks.values() if not task.spec.is_lasting
    )
    return worker.free_memory + ending


def is_gang_waiting(step):
    """Returns whether all tasks of a gang are waiting, so that it can be placed."""
    return all(task.state is TaskState.WAITING for task in step.tasks)
