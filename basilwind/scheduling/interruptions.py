"""Limits how many tasks of a long-running step orders interrupt at the same time.

Load pattern: a maintenance wave empties worker after worker, while others crash, orders
get no answer and the pool changes its owner. An order that was allowed when it was
decided may end one task too many when it is sent or repeated. The other tasks are
therefore counted each time that an order leaves, and one whose state is not known
counts as interrupted.
"""

# A task that has been down for 4.5 s counts as interrupted, whatever the cause.
MAX_REPORT_AGE_S = 4.0


def interrupted_tasks(step, workers, now):
    """Returns the tasks of a long-running step that are not known to be up.

    Args:
        step: ``StepRun``.
        workers: ``WorkerView`` objects by worker id.
        now: Boot time in seconds.
    """
    return [
        task
        for task in step.tasks
        if not (task.is_fully_running and _is_informed(workers, task, now))
    ]


def may_interrupt(task, workers, now):
    """Returns whether an order may end a long-running task now.

    Args:
        task: ``Task``.
        workers: As for ``interrupted_tasks``.
        now: Boot time in seconds.
    """
    others = [
        other
        for other in interrupted_tasks(task.step, workers, now)
        if other is not task
    ]
    return len(others) < task.spec.may_miss


def _is_informed(workers, task, now):
    """Returns whether the last report of a task's worker is still to be relied on."""
    worker = workers.get(task.worker_id)
    return (
        worker is not None
        and worker.unanswered_since is None
        and worker.report_asked_at is not None
        and now - worker.report_asked_at < MAX_REPORT_AGE_S
    )
