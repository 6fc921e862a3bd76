"""Passive health checks: avoids workers whose runs fail, stall or slow down.

Load pattern: a worker that passes its health check fails or stalls every run, so it is
always free and attracts all waiting tasks. Workers are therefore judged by the ends of
their runs, avoided for a time that doubles, and then tried again with one task at a
time. At most a share of a pool is avoided; beyond that the fault is assumed to lie
elsewhere.
"""

FAILURES_BEFORE_AVOIDANCE = 2  # a sound task rarely fails twice in a row on one worker
FIRST_AVOIDANCE_S = 3.0  # deployments restart a worker within 3 to 8 s
MAX_AVOIDANCE_S = 12.0  # longest worker fault of the deployments
BUSY_BACKOFF_S = 0.5  # an overloaded worker rejects orders by itself
MAX_AVOIDED_SHARE = 0.5  # beyond it a false positive costs more than a faulty worker
STALL_S = 1.2  # load covers the last half second; reports come every 1.5 s
SLOW_RATIO = 2.5  # run times vary by half, declared ones by more
RUN_TIME_WEIGHT = 0.25  # of a new sample; averages about the last four runs


def record_failure(worker, workers, now):
    """Records a failed or stalled run, and avoids the worker after repeated ones.

    Args:
        worker: ``WorkerView`` that executed it.
        workers: All workers of the pool.
        now: Boot time in seconds.

    Returns:
        Whether the worker has just become avoided.
    """
    worker.consecutive_failures += 1
    if (
        worker.consecutive_failures < FAILURES_BEFORE_AVOIDANCE
        or worker.avoided_until > now
    ):
        return False
    # After the avoidance a single failure is enough to avoid it again.
    worker.consecutive_failures = FAILURES_BEFORE_AVOIDANCE - 1
    return _avoid(worker, workers, now)


def _avoid(worker, workers, now):
    """Avoids a worker, unless too many of the pool are avoided already."""
    avoided = sum(other.avoided_until > now for other in workers)
    if avoided + 1 > MAX_AVOIDED_SHARE * len(workers):
        return False
    worker.avoidance_s = min(
        MAX_AVOIDANCE_S, worker.avoidance_s * 2 or FIRST_AVOIDANCE_S
    )
    worker.avoided_until = now + worker.avoidance_s
    return True


def record_success(worker):
    """Records a successful run."""
    worker.consecutive_failures = 0
    worker.avoidance_s = 0.0


def back_off(worker, now):
    """Avoids a worker briefly after it rejected an order or could not be reached."""
    worker.avoided_until = max(worker.avoided_until, now + BUSY_BACKOFF_S)


def is_on_probation(worker):
    """Tells whether a worker that was avoided gets only one task at a time."""
    return (
        worker.consecutive_failures >= FAILURES_BEFORE_AVOIDANCE - 1
        and worker.avoidance_s > 0
    )


def record_run_time(worker, ratio, workers, now):
    """Records a run time, and avoids a worker that has become slow.

    Args:
        worker: ``WorkerView`` that executed the run.
        ratio: Measured run time divided by the expected one.
        workers: All workers of the pool.
        now: Boot time in seconds.

    Returns:
        Whether the worker has just become avoided.
    """
    worker.run_time_ratio += RUN_TIME_WEIGHT * (ratio - worker.run_time_ratio)
    if worker.run_time_ratio < SLOW_RATIO or worker.avoided_until > now:
        return False
    worker.run_time_ratio = 1.0
    return _avoid(worker, workers, now)


def update_progress(task, reported, now):
    """Updates a task's progress from a report; tells whether its run is stalled.

    Serving tasks and fillers may be idle and never count as stalled.

    Args:
        task: Running ``Task``.
        reported: ``RunningTask`` of the report.
        now: Boot time in seconds.
    """
    is_serving = task.spec.tail_target_ms > 0 or task.spec.is_filler
    if is_serving or reported.load != 0 or reported.percent != task.percent:
        task.progressed_at = now
    return now - task.progressed_at > STALL_S
