"""Whether a worker may run a task, apart from its present capacity."""

from basilwind.scheduling.health import is_on_probation

PROBATION_TASKS = 1  # maximum number of tasks on a worker that failed recent ones


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
    return not (is_on_probation(worker) and len(worker.tasks) >= PROBATION_TASKS)


def _tasks_of_step(worker, step):
    return sum(task.step is step for task in worker.tasks.values())
