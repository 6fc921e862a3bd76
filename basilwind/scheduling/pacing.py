"""How much tasks that fill may work beside tasks that serve.

Load pattern: fillers slow serving tasks down by amounts that change within
seconds. The tail that a serving task reports is a rough figure of the last half
second, so fillers are cut at once and by much, and raised slowly.
"""

from dataclasses import dataclass

CUT_AT = 0.85  # share of the target; the figure is rough
RAISE_AT = 0.6  # below it a step up hardly crosses the target
CUT_FACTOR = 0.4  # three cuts within 4 s nearly stop a filler
RAISE_PERCENT = 15  # full pace again after about 4 s
SETTLE_S = 0.6  # a change shows after 0.1 s in a figure of half a second
LEAST_PERCENT = 10  # below it a filler is stopped altogether


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """An order to limit a run.

    Attributes:
        task: The ``Task``.
        run: Number of the run.
        worker: ``WorkerView`` that it runs on.
        percent: Share of its work that it may do.
    """

    task: object
    run: int
    worker: object
    percent: int


def pace_worker(worker, now):
    """Returns the ``PaceOrder`` objects for a worker's fillers.

    Args:
        worker: ``WorkerView``.
        now: Boot time in seconds.
    """
    fillers = [task for task in worker.tasks.values() if task.spec.is_filler]
    if not fillers or now - worker.paced_at < SETTLE_S:
        return []
    strain = max(
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
        percent = _next_percent(task.pace, strain)
        if percent != task.pace and task.confirmed_at is not None:
            orders.append(PaceOrder(task, task.run, worker, percent))
    return orders


def _next_percent(percent, strain):
    if strain > CUT_AT:
        cut = int(percent * CUT_FACTOR)
        return cut if cut >= LEAST_PERCENT else 0
    if strain < RAISE_AT:
        return min(100, percent + RAISE_PERCENT)
    return percent
