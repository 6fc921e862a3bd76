"""The order of waiting work.

Load pattern: each queue in its turn asks several times what its pool holds, for
some seconds. A job is worth most inside its objective and little after it. So
lasting tasks go first, then by priority class the jobs that can still make their
objective, and the late ones last, the oldest first. Among the former, begun jobs
go before new ones, since half a job is worth nothing, and the least slack first;
a new job that could only just make it counts as late, because run times are
known to within a factor of two at best.
"""

from dataclasses import dataclass

START_MARGIN = 0.2  # of the chain: run times spread by half, over several tasks


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sorts waiting steps; the smallest goes first.

    Attributes:
        is_short: Whether its tasks end by themselves.
        priority: Priority of the queue.
        is_late: Whether the objective is out of reach.
        is_new: Whether none of its tasks was started.
        urgency: Slack in seconds, or the time of acceptance of a late job.
    """

    is_short: bool
    priority: int
    is_late: bool
    is_new: bool
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
        return Rank(False, queue.priority, False, False, step.job.accepted_at)
    job = step.job
    slack, whole = _slack(job, step.occurrence, queue, run_times, wall)
    is_new = not job.has_begun
    if slack < (START_MARGIN * whole if is_new else 0.0):
        return Rank(True, queue.priority, True, False, _begin(job, step.occurrence))
    return Rank(True, queue.priority, False, is_new, slack)


def is_late(job, queue, run_times, wall):
    """Tells whether all begun occurrences of a job miss their objective."""
    return all(
        _slack(job, occurrence, queue, run_times, wall)[0] < 0
        for occurrence in job.occurrences
    )


def _begin(job, occurrence):
    return job.spec.due_s(occurrence) if job.spec.is_timed else job.accepted_at


def _slack(job, occurrence, queue, run_times, wall):
    """Returns the slack of an occurrence and its whole chain, seconds."""
    steps = job.occurrences[occurrence]
    whole = run_times.chain(queue.name, job.spec.steps)
    rest = run_times.chain(
        queue.name, job.spec.steps, lambda number: steps[number].is_done
    )
    objective = queue.target_s + queue.stretch * whole
    return _begin(job, occurrence) + objective - wall - rest, whole
