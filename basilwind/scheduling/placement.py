"""Assigns waiting tasks to workers.

Load pattern: steps have many tasks, and a step is as late as its last one. Hosts that
stay empty can be moved to where the demand is. Short tasks are therefore packed (best
fit). Serving tasks are spread, because they slow each other down. Fillers go where CPU
is free and no task serves.
"""

from dataclasses import dataclass

from basilwind.scheduling.crashes import is_quiet
from basilwind.scheduling.eligibility import (
    count_fitting,
    count_fitting_later,
    may_run,
)
from basilwind.scheduling.health import is_on_probation
from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.policy import valid_ticket

MAX_SILENCE_S = 1.2  # a hold is answered within 1 s and its margin of 0.7 s
# Tasks on several racks take up to 3 times as long.
RACK_PATIENCE_S = 1.5


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


def _score(spec, worker):
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


def _restrict_to_rack(step, workers, now):
    """Returns the workers for a step that is to run in one rack, or None to wait.

    That is the rack of its running tasks, or the tightest one that fits the whole step.
    If none ever will, or not for a while, the tasks run on several racks: that takes
    them longer, while waiting might take for ever.
    """
    racks = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    used = {rack: members for rack, members in racks.items() if _runs_on(step, members)}
    if len(used) > 1:
        return workers
    if not used:
        fitting = _tightest_rack(step, racks)
        if fitting is not None:
            return fitting
    is_patient = (
        step.unplaced_since is None or now - step.unplaced_since < RACK_PATIENCE_S
    )
    has_room_later = any(
        sum(count_fitting_later(step, worker) for worker in members) >= step.unfinished
        for members in (used or racks).values()
    )
    if not is_patient or not has_room_later:
        return workers
    return next(iter(used.values()), None)


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
    capacity = {
        rack: sum(
            count_fitting(
                step.spec, worker.free_cpu, worker.free_memory, worker.free_gpu
            )
            for worker in members
            if may_run(step, worker)
        )
        for rack, members in racks.items()
    }
    fitting = [rack for rack, fits in capacity.items() if fits >= step.unfinished]
    if not fitting:
        return None
    return racks[min(fitting, key=lambda rack: (capacity[rack], rack))]


def place_step(step, workers, now, most=None):
    """Reserves workers for a step's waiting tasks; a gang is placed as a whole.

    Args:
        step: ``StepRun``.
        workers: Usable ``WorkerView`` objects.
        now: Boot time in seconds.
        most: Maximum number of tasks, or None for all.

    Returns:
        Pairs of task and worker, and whether capacity was missing.
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
        candidates = _restrict_to_rack(step, candidates, now)
        if candidates is None:
            return [], True
    placed = []
    is_short = False
    for task in step.waiting()[:most]:
        fitting = [
            worker
            for worker in candidates
            if worker.has_capacity_for(spec) and may_run(step, worker)
        ]
        if not fitting:
            is_short = True
            break
        worker = min(fitting, key=lambda worker: _score(spec, worker))
        worker.reserve(task)
        placed.append((task, worker))
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


def place_suspected_gang(step, workers, now, most=None):
    """Reserves workers for a gang that has suspects, those for it alone if possible."""
    quiet = [worker for worker in workers if is_quiet(worker, step.job, now)]
    placed, is_short = place_step(step, quiet, now, most)
    return (placed, is_short) if placed else place_step(step, workers, now, most)


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
