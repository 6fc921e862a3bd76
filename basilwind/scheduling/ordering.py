"""The order of waiting work.

Load pattern: each queue in its turn asks several times what its pool holds, for
some seconds. A job is worth most inside its objective and little after it, so
lasting tasks go first, then jobs by priority class that can still make their
objective, the least slack first, and then the late ones, the oldest first.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sorts waiting steps; the smallest goes first.

    Attributes:
        is_short: Whether its tasks end by themselves.
        priority: Priority of the queue.
        is_late: Whether the objective is out of reach.
        urgency: Slack in seconds, or the time of acceptance of a late job.
    """

    is_short: bool
    priority: int
    is_late: bool
    urgency: float


def rank_step(step, queue, run_times, wall):
    """Ranks a step that waits.

    Args:
        step: ``StepRun``.
        queue: ``Queue`` of its job.
        run_times: ``RunTimes``.
        wall: Unix time in seconds.

    Returns:
        ``Rank``.
    """
    if step.spec.is_lasting:
        return Rank(False, queue.priority, False, step.job.accepted_at)
    job = step.job
    begin = job.spec.due_s(step.occurrence) if job.spec.is_timed else job.accepted_at
    steps = job.occurrences[step.occurrence]
    whole = run_times.chain(queue.name, job.spec.steps)
    rest = run_times.chain(
        queue.name, job.spec.steps, lambda number: steps[number].is_done
    )
    slack = begin + queue.target_s + queue.stretch * whole - wall - rest
    if slack < 0:
        return Rank(True, queue.priority, True, begin)
    return Rank(True, queue.priority, False, slack)
