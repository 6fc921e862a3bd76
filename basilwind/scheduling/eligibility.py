"""Whether a worker may run a task, and whether a step can ever be placed."""

from basilwind.scheduling.health import is_on_probation, trial_tasks

# Maximum number of tasks that a worker gets after it failed recent ones. A gang counts
# as one, since it starts as a whole or not at all.
PROBATION_TASKS = 1


def may_run(step, worker):
    """Returns whether the step's rules and the worker's health allow another task.

    Args:
        step: ``StepRun``.
        worker: ``WorkerView``.
    """
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.entry.labels:
        return False
    if spec.most_per_worker and _tasks_of_step(worker, step) >= spec.most_per_worker:
        return False
    return not is_on_probation(worker) or _may_try(step, worker)


def _may_try(step, worker):
    """Returns whether a worker on probation may get a task of a step."""
    trials = trial_tasks(worker)
    if step.spec.is_gang:
        return all(task.step is step for task in trials)
    return len(trials) < PROBATION_TASKS


def count_fitting(spec, free_cpu, free_memory, free_gpu):
    """Returns how many tasks of a step fit into a worker's free capacity.

    Args:
        spec: ``StepSpec``.
        free_cpu: CPU, millicores.
        free_memory: Memory, megabytes.
        free_gpu: Accelerators.
    """
    fits = min(
        (free // need if need else spec.count)
        for free, need in (
            (free_cpu, spec.reserved_cpu),
            (free_memory, spec.memory),
            (free_gpu, spec.gpu),
        )
    )
    if spec.most_per_worker:
        fits = min(fits, spec.most_per_worker)
    return max(0, fits)


def count_places(step, workers):
    """Returns how many tasks of a step fit into the free capacity of workers.

    Args:
        step: ``StepRun``.
        workers: ``WorkerView`` objects.
    """
    return sum(
        count_fitting(step.spec, worker.free_cpu, worker.free_memory, worker.free_gpu)
        for worker in workers
        if may_run(step, worker)
    )


def count_fitting_later(step, worker):
    """Returns how many tasks of a step fit once all tasks that end have ended.

    Args:
        step: ``StepRun``.
        worker: ``WorkerView``.
    """
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.entry.labels:
        return 0
    ending = [
        task.spec
        for task in worker.tasks.values()
        if not task.spec.is_lasting or task.step is step
    ]
    fits = count_fitting(
        spec,
        worker.free_cpu + sum(other.reserved_cpu for other in ending),
        worker.free_memory + sum(other.memory for other in ending),
        worker.free_gpu + sum(other.gpu for other in ending),
    )
    if is_on_probation(worker) and not spec.is_gang:
        return min(fits, PROBATION_TASKS)
    return fits


def can_be_placed_later(step, workers):
    """Returns whether a step fits once all tasks that end have ended.

    Args:
        step: ``StepRun``.
        workers: ``WorkerView`` objects that may get tasks.
    """
    fits = sum(count_fitting_later(step, worker) for worker in workers)
    return fits >= (step.unfinished if step.spec.is_gang else 1)


def _tasks_of_step(worker, step):
    return sum(task.step is step for task in worker.tasks.values())
