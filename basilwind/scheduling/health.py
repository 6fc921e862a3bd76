"""Temporary ejection of workers whose runs fail, stall or slow down.

Load pattern: a worker that passes its health check fails or stalls every run, so it is
always free and attracts all waiting tasks. Workers are therefore judged by the ends of
their runs. A worker that is ejected gets no new tasks for a time that doubles, and then
one task at a time (probation), until one has succeeded. A task that lasts never ends by
itself, so it counts as a success once it has executed for a while. At most a share of a
pool is ejected; beyond that the fault is assumed to lie elsewhere.
"""

from basilwind.scheduling.jobs import TaskState

FAILURES_BEFORE_EJECTION = 2  # a correct task rarely fails twice in a row on one worker
MIN_EJECTION_S = 3.0  # deployments restart a worker within 3 to 8 s
MAX_EJECTION_S = 12.0  # longest worker fault of the deployments
BUSY_BACKOFF_S = 0.5  # short, as an overloaded worker rejects orders by itself
MAX_EJECTED_FRACTION = 0.5  # beyond it a false positive costs more than a faulty worker
SOUND_RUN_S = 3.0  # long-running tasks fail on a faulty worker within about a second
SOUND_RUN_FACTOR = 2.0  # other tasks may fail at the end of their expected run time
STALL_S = 1.2  # load covers the last half second; reports come every 1.5 s
SLOW_RATIO = 2.5  # run times vary by half, declared ones by more
RUN_TIME_WEIGHT = 0.25  # of a new sample; averages about the last four runs


def record_failure(worker, workers, now):
    """Records a failed or stalled run, and ejects the worker after repeated ones.

    Args:
        worker: ``WorkerView`` that executed it.
        workers: All workers of the pool.
        now: Boot time in seconds.

    Returns:
        Whether the worker has just been ejected.
    """
    worker.consecutive_failures += 1
    worker.failed_at = now
    if (
        worker.consecutive_failures < FAILURES_BEFORE_EJECTION
        or worker.ejected_until > now
    ):
        return False
    # After the ejection a single failure is enough to eject it again.
    worker.consecutive_failures = FAILURES_BEFORE_EJECTION - 1
    return _eject(worker, workers, now)


def _eject(worker, workers, now):
    """Ejects a worker, unless too many of the pool are ejected already."""
    ejected = sum(other.ejected_until > now for other in workers)
    if ejected + 1 > MAX_EJECTED_FRACTION * len(workers):
        return False
    worker.ejection_s = min(MAX_EJECTION_S, worker.ejection_s * 2 or MIN_EJECTION_S)
    worker.ejected_until = now + worker.ejection_s
    return True


def record_success(worker):
    """Records a successful run."""
    worker.consecutive_failures = 0
    worker.ejection_s = 0.0


def back_off(worker, now):
    """Ejects a worker briefly after it rejected an order or could not be reached."""
    worker.ejected_until = max(worker.ejected_until, now + BUSY_BACKOFF_S)


def is_on_probation(worker):
    """Returns whether a worker that was ejected gets only one task at a time."""
    return (
        worker.consecutive_failures >= FAILURES_BEFORE_EJECTION - 1
        and worker.ejection_s > 0
    )


def trial_tasks(worker):
    """Returns the tasks of a worker that were ordered after its last failure."""
    return [
        task
        for task in worker.tasks.values()
        if task.state is TaskState.WAITING
        or task.ordered_at is None
        or task.ordered_at >= worker.failed_at
    ]


def record_sound_run(worker, task, expected_s, now):
    """Ends a worker's probation once a task has executed there for long enough.

    The next failure puts it on probation again, and the next ejection is longer than
    the last one, unless a task has ended successfully meanwhile.

    Args:
        worker: ``WorkerView``.
        task: ``Task`` that a report has just shown to execute there.
        expected_s: Expected run time of the task, seconds.
        now: Boot time in seconds.
    """
    if not worker.consecutive_failures or task.ordered_at is None:
        return
    sound_s = SOUND_RUN_S
    if not task.spec.is_lasting:
        sound_s = max(sound_s, SOUND_RUN_FACTOR * expected_s)
    if (
        task.ordered_at >= worker.failed_at
        and not task.is_stopping
        and now - task.confirmed_at >= sound_s
    ):
        worker.consecutive_failures = 0


def record_run_time(worker, ratio, workers, now):
    """Records a run time, and ejects a worker that has become slow.

    Args:
        worker: ``WorkerView`` that executed the run.
        ratio: Measured run time divided by the expected one.
        workers: All workers of the pool.
        now: Boot time in seconds.

    Returns:
        Whether the worker has just been ejected.
    """
    worker.run_time_ratio += RUN_TIME_WEIGHT * (ratio - worker.run_time_ratio)
    if worker.run_time_ratio < SLOW_RATIO or worker.ejected_until > now:
        return False
    worker.run_time_ratio = 1.0
    return _eject(worker, workers, now)


def update_progress(task, reported, now):
    """Updates a task's progress from a report; returns whether its run is stalled.

    Serving tasks and fillers may be idle and never count as stalled.

    Args:
        task: Running ``Task``.
        reported: ``ReportedRun`` of the report.
        now: Boot time in seconds.
    """
    is_serving = task.spec.tail_target_ms > 0 or task.spec.is_filler
    if (
        is_serving
        or reported.load != 0
        or reported.progress_percent != task.progress_percent
    ):
        task.progressed_at = now
    return now - task.progressed_at > STALL_S
