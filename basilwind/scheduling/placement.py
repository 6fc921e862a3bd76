"""Which worker gets which task.

Load pattern: steps are wide, so a step is late with its last task, and machines
that stay empty can be moved to where demand is. Short tasks are packed best fit;
serving tasks are spread, because they slow each other down; fillers go where
processors are free and nobody serves.
"""

from dataclasses import dataclass

from basilwind.scheduling.health import is_on_trial
from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.policy import valid_ticket

SILENCE_S = 1.2  # a hold is answered within 1 s and its margin of 0.7 s
TRIAL_TASKS = 1  # tasks on a worker that spoiled the last ones


@dataclass(frozen=True, slots=True)
class Shortage:
    """A size for which no worker had room.

    Attributes:
        cpu: Thousandths of a core.
        memory: Megabytes.
    """

    cpu: int
    memory: int

    def covers(self, spec):
        """Tells whether a task of a step can't fit either."""
        return spec.reserved_cpu >= self.cpu and spec.memory >= self.memory


def is_usable(worker, now):
    """Tells whether a worker may get new tasks."""
    return (
        worker.is_listed
        and not worker.entry.is_draining
        and not worker.is_withheld
        and worker.is_clock_known
        and worker.avoid_until <= now
        and (
            worker.unanswered_since is None or now - worker.unanswered_since < SILENCE_S
        )
    )


def _tasks_of_step(worker, step):
    return sum(task.step is step for task in worker.tasks.values())


def _serving(worker):
    return sum(
        task.spec.tail_target_ms > 0 and not task.spec.is_filler
        for task in worker.tasks.values()
    )


def _fillers(worker):
    return sum(task.spec.is_filler for task in worker.tasks.values())


def _may_run(step, worker):
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.entry.labels:
        return False
    if spec.most_per_worker and _tasks_of_step(worker, step) >= spec.most_per_worker:
        return False
    return not (is_on_trial(worker) and len(worker.tasks) >= TRIAL_TASKS)


def _score(spec, worker):
    away = bool(spec.data_rack) and spec.data_rack != worker.entry.rack
    left = worker.free_cpu - spec.reserved_cpu
    if spec.is_filler:
        return (away, _serving(worker), _fillers(worker), -worker.free_cpu)
    if spec.is_lasting:
        return (away, _serving(worker), _fillers(worker), left)
    return (away, is_on_trial(worker), 0, left)


def _rack_for(step, workers):
    """Returns the rack with room for the whole step, or None if none has."""
    taken = {
        worker.entry.rack
        for worker in workers
        for task in worker.tasks.values()
        if task.step is step
    }
    if taken:
        return next(iter(taken))
    room = {}
    for worker in workers:
        if not _may_run(step, worker):
            continue
        spec = step.spec
        fits = min(
            (free // need if need else spec.count)
            for free, need in (
                (worker.free_cpu, spec.reserved_cpu),
                (worker.free_memory, spec.memory),
                (worker.free_gpu, spec.gpu),
            )
        )
        if spec.most_per_worker:
            fits = min(fits, spec.most_per_worker)
        rack = worker.entry.rack
        room[rack] = room.get(rack, 0) + max(0, fits)
    fitting = [rack for rack, tasks in room.items() if tasks >= step.spec.count]
    return min(fitting, key=lambda rack: (room[rack], rack), default=None)


def place_step(step, workers, now):
    """Reserves workers for a step's waiting tasks.

    Args:
        step: ``StepRun``.
        workers: Usable ``WorkerView`` objects.
        now: Boot time in seconds.

    Returns:
        Pairs of task and worker, and whether room was missing.
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
        rack = _rack_for(step, candidates)
        if rack is None:
            return [], True
        candidates = [worker for worker in candidates if worker.entry.rack == rack]
    placed = []
    is_short = False
    for task in step.waiting():
        fitting = [
            worker
            for worker in candidates
            if worker.has_room(spec) and _may_run(step, worker)
        ]
        if not fitting:
            is_short = True
            break
        worker = min(fitting, key=lambda worker: _score(spec, worker))
        worker.reserve(task)
        placed.append((task, worker))
    if spec.is_gang and (is_short or len(placed) < step.left):
        for task, worker in placed:
            worker.free(task)
        return [], is_short
    return placed, is_short


def reserve_for_later(step, workers):
    """Returns the worker to keep free for a step that found no room, or None."""
    fitting = [
        worker
        for worker in workers
        if worker.entry.memory >= step.spec.memory
        and worker.entry.cpu >= step.spec.reserved_cpu
        and _may_run(step, worker)
    ]
    if step.kept_worker in fitting:
        return step.kept_worker
    return max(
        fitting,
        key=lambda worker: (_ending_memory(worker), worker.free_cpu),
        default=None,
    )


def _ending_memory(worker):
    """Returns the memory that is free once all short tasks have ended."""
    ending = sum(
        task.spec.memory for task in worker.tasks.values() if not task.spec.is_lasting
    )
    return worker.free_memory + ending


def gang_is_whole(step):
    """Tells whether all members of a gang wait, so that it can be placed."""
    return all(task.state is TaskState.WAITING for task in step.tasks)
