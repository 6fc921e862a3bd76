"""Throttles filler tasks that share a worker with serving tasks.

Load pattern: fillers increase the tail latency of serving tasks by amounts that change
within seconds. The tail latency that a serving task reports is a rough figure of the
last half second, so fillers are cut sharply and at once, and raised slowly.
"""

from dataclasses import dataclass

CUT_RATIO = 0.85  # of the target latency; below 1 because the reported figure is rough
RAISE_RATIO = 0.6  # of the target; from here one raise hardly exceeds the target
CUT_FACTOR = 0.4  # three cuts within 4 s nearly stop a filler
RAISE_PERCENT = 15  # back to full pace after about 4 s
SETTLE_S = 0.6  # a change takes 0.1 s to appear in a figure of the last half second
MIN_PACE_PERCENT = 10  # a filler with a lower pace is stopped altogether


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """An order to throttle a run.

    Attributes:
        task: The ``Task``.
        run: Number of the run.
        worker: ``WorkerView`` that executes it.
        pace_percent: Share of its full pace that it may use.
    """

    task: object
    run: int
    worker: object
    pace_percent: int


def pace_worker(worker, now):
    """Returns the ``PaceOrder`` objects for a worker's fillers.

    They follow the highest ratio of reported to target tail latency of serving tasks.

    Args:
        worker: ``WorkerView``.
        now: Boot time in seconds.
    """
    fillers = [task for task in worker.tasks.values() if task.spec.is_filler]
    if not fillers or now - worker.paced_at < SETTLE_S:
        return []
    latency_ratio = max(
        (
            task.load / task.spec.tail_target_ms
            for task in worker.tasks.values()
            if task.spec.tail_target_ms > 0
            and not task.spec.is_filler
            and task.confirmed_at is not None
        ),
        default=0.0,
    )
    orders = []
    for task in fillers:
        pace_percent = _next_pace_percent(task.pace_percent, latency_ratio)
        if pace_percent != task.pace_percent and task.confirmed_at is not None:
            orders.append(PaceOrder(task, task.run, worker, pace_percent))
    return orders


def _next_pace_percent(pace_percent, latency_ratio):
    """Returns the next share of its full pace that a filler may use, percent."""
    if latency_ratio > CUT_RATIO:
        cut = int(pace_percent * CUT_FACTOR)
        return cut if cut >= MIN_PACE_PERCENT else 0
    if latency_ratio < RAISE_RATIO:
        return min(100, pace_percent + RAISE_PERCENT)
    return pace_percent
