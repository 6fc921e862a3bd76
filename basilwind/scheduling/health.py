"""Workers that accept work and spoil it.

Load pattern: a worker whose health check is good fails or stalls everything that
it starts, so it is always free and draws all waiting work. Workers are judged by
the ends of their runs, taken out of use for a time that doubles, and tried again
with single tasks; never more than a share of a pool, beyond which the fault is
taken to lie elsewhere.
"""

FAILURES_TO_AVOID = 2  # a sound task rarely fails twice in a row on one worker
FIRST_PENALTY_S = 3.0  # a worker restarts within 3 to 8 s in the site files
MAX_PENALTY_S = 12.0  # longest trouble of the site files
BUSY_PENALTY_S = 0.5  # a worker that sheds load says so itself
MAX_AVOIDED_SHARE = 0.5  # beyond it a wrong judgement costs more than a bad worker
STALL_S = 1.2  # the load is a figure of the last half second, reports come each 1.5 s
SLOW_RATIO = 2.5  # run times spread by a half, declared ones by more
SLOW_WEIGHT = 0.25  # about the last four runs count


def note_failure(worker, peers, now):
    """Takes note of a failed or stalled run.

    Args:
        worker: ``WorkerView`` that it ran on.
        peers: All workers of the pool.
        now: Boot time in seconds.

    Returns:
        Whether the worker is avoided from now on.
    """
    worker.recent_failures += 1
    if worker.recent_failures < FAILURES_TO_AVOID or worker.avoid_until > now:
        return False
    # One more failure after the pause is enough to avoid it again.
    worker.recent_failures = FAILURES_TO_AVOID - 1
    return _avoid(worker, peers, now)


def _avoid(worker, peers, now):
    avoided = sum(peer.avoid_until > now for peer in peers)
    if avoided + 1 > MAX_AVOIDED_SHARE * len(peers):
        return False
    worker.penalty_s = min(MAX_PENALTY_S, worker.penalty_s * 2 or FIRST_PENALTY_S)
    worker.avoid_until = now + worker.penalty_s
    return True


def note_success(worker):
    """Takes note of a run that was done."""
    worker.recent_failures = 0
    worker.penalty_s = 0.0


def note_busy(worker, now):
    """Takes note of a worker that turned an order away as unhealthy."""
    worker.avoid_until = max(worker.avoid_until, now + BUSY_PENALTY_S)


def is_on_trial(worker):
    """Tells whether the worker gets only single tasks."""
    return worker.recent_failures >= FAILURES_TO_AVOID - 1 and worker.penalty_s > 0


def note_run_time(worker, ratio, peers, now):
    """Takes note of a run time and avoids a worker that has become slow.

    Args:
        worker: ``WorkerView`` that it ran on.
        ratio: Measured run time by expected run time.
        peers: All workers of the pool.
        now: Boot time in seconds.

    Returns:
        Whether the worker is avoided from now on.
    """
    worker.slowness += SLOW_WEIGHT * (ratio - worker.slowness)
    if worker.slowness < SLOW_RATIO or worker.avoid_until > now:
        return False
    worker.slowness = 1.0
    return _avoid(worker, peers, now)


def note_progress(task, row, now):
    """Takes note of a run's row in a report; tells whether the run stands still.

    Args:
        task: Running ``Task``.
        row: ``RunningTask``.
        now: Boot time in seconds.
    """
    is_serving = task.spec.tail_target_ms > 0 or task.spec.is_filler
    if is_serving or row.load != 0 or row.percent != task.percent:
        task.progressed_at = now
    return now - task.progressed_at > STALL_S
