"""The order of waiting work.

Load pattern: each queue in its turn asks several times what its pool holds, for
some seconds. A job is worth most inside its objective and little after it. So
lasting tasks go first, then by priority class the jobs that can still make their
objective, and the late ones last, the oldest first. Among the former, begun jobs
go before new ones, since half a job is worth nothing, and the least slack first;
a new job that could only just make it counts as late, because run times are
known to within a factor of two at best.

While more waits than the pool can begin in time, the least slack would bring every
job to its turn when it can only just make it, and most then miss. New jobs go
newest first for that time: those that are begun make it, and the others are late
in either order.

Hundreds of steps wait then, and each answer of a worker looks at all of them, so
a step keeps its outlook, and only comparisons with the time of day remain.
"""

from dataclasses import dataclass

START_MARGIN = 0.2  # of the chain: run times spread by half, over several tasks
OVERLOAD_BACKLOG_S = (
    0.3  # work of all workers that may wait; a mean job's slack is 1.1 s
)
ESTIMATE_MAX_AGE_S = 1.0  # learned run times drift over seconds


@dataclass(frozen=True, slots=True)
class ObjectiveEstimate:
    """What the order of a step or job depends on, apart from the time.

    Attributes:
        latest_start: Unix time at which its remaining steps must begin.
        critical_path_s: Run time of its whole chain of steps.
        estimated_at: Unix time of the estimate.
    """

    latest_start: float
    critical_path_s: float
    estimated_at: float


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sorts waiting steps; the smallest goes first.

    Attributes:
        is_finite: Whether its tasks end by themselves.
        priority: Priority of the queue.
        is_late: Whether the objective is out of reach.
        is_new: Whether none of its tasks was started.
        urgency: Slack in seconds, negated for a new job in an overload, or the time
            of acceptance of a late job.
    """

    is_finite: bool
    priority: int
    is_late: bool
    is_new: bool
    urgency: float


def is_overloaded(waiting_work, cores):
    """Tells whether more waits than can be begun in time.

    Args:
        waiting_work: Work of waiting tasks of jobs that can make their objective,
            core-seconds.
        cores: Cores of the pool's usable workers.
    """
    return waiting_work > OVERLOAD_BACKLOG_S * cores


def rank_step(step, queue, run_times, wall, is_newest_first=False):
    """Ranks a step that waits.

    Args:
        step: ``StepRun``.
        queue: ``Queue`` of its job.
        run_times: ``RunTimes``.
        wall: Unix time in seconds.
        is_newest_first: Whether new jobs go newest first.

    Returns:
        ``Rank``.
    """
    if step.spec.is_lasting:
        return Rank(False, queue.priority, False, False, step.job.accepted_at)
    job = step.job
    objective_estimate = step.objective_estimate
    if (
        objective_estimate is None
        or not 0 <= wall - objective_estimate.estimated_at < ESTIMATE_MAX_AGE_S
    ):
        objective_estimate = _estimate_objective(
            job, step.occurrence, queue, run_times, wall
        )
        step.objective_estimate = objective_estimate
    slack = objective_estimate.latest_start - wall
    is_new = not job.has_started
    if slack < (START_MARGIN * objective_estimate.critical_path_s if is_new else 0.0):
        return Rank(
            True, queue.priority, True, False, _release_time(job, step.occurrence)
        )
    urgency = -slack if is_new and is_newest_first else slack
    return Rank(True, queue.priority, False, is_new, urgency)


def is_late(job, queue, run_times, wall):
    """Tells whether all begun occurrences of a job miss their objective."""
    latest = job.latest_start
    if latest is None or not 0 <= wall - latest[1] < ESTIMATE_MAX_AGE_S:
        begins = [
            _estimate_objective(job, occurrence, queue, run_times, wall).latest_start
            for occurrence in job.occurrences
        ]
        latest = job.latest_start = (max(begins, default=0.0), wall)
    return latest[0] < wall


def _release_time(job, occurrence):
    return job.spec.due_s(occurrence) if job.spec.is_timed else job.accepted_at


def _estimate_objective(job, occurrence, queue, run_times, wall):
    """Returns the ``ObjectiveEstimate`` of an occurrence."""
    steps = job.occurrences[occurrence]
    whole = run_times.critical_path_s(queue.name, job.spec.steps)
    rest = run_times.critical_path_s(
        queue.name, job.spec.steps, lambda number: steps[number].is_done
    )
    objective = queue.target_s + queue.stretch * whole
    return ObjectiveEstimate(
        _release_time(job, occurrence) + objective - rest, whole, wall
    )
