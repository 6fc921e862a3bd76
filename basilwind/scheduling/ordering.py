"""The order in which waiting steps are placed.

Load pattern: during its burst a queue receives several times what its pool can serve,
for some seconds. A job is worth most within its latency objective and little after it.
Long-running tasks therefore go first. Then follow, within each priority class, the jobs
that can still meet their objective, and after them the late ones, oldest first. Among
the former, started jobs go before new ones, because half a job is worth nothing, and
the least slack goes first. A new job that can only just meet its objective counts as
late, because run times are known to within a factor of two at best.

While the backlog exceeds what the pool can start in time (overload), least slack first
would start every job when it can only just meet its objective, and most would then miss
it. New jobs go newest first during overload: those that are started meet their
objective, and the others are late in either order. New jobs of different customers go
by their shares instead, as one customer's jobs would otherwise displace the others'.
Excess jobs of customers go behind all others.

During a burst hundreds of steps wait, and each answer of a worker ranks all of them.
Each step therefore keeps its estimate, so that ranking only compares it with the time.
"""

from dataclasses import dataclass

# Of the critical path, which has several tasks; the run time of each varies by half.
START_MARGIN = 0.2
OVERLOAD_BACKLOG_S = 0.3  # time to work off the backlog; a mean job has 1.1 s of slack
ESTIMATE_MAX_AGE_S = 1.0  # learned run times change within seconds


@dataclass(frozen=True, slots=True)
class ObjectiveEstimate:
    """When an occurrence of a job must proceed to meet its latency objective.

    Attributes:
        latest_start: Unix time by which its remaining steps must start.
        critical_path_s: Run time of the longest chain of all its steps, seconds.
        estimated_at: Unix time of the estimate.
    """

    latest_start: float
    critical_path_s: float
    estimated_at: float


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sort key of a waiting step; the smallest goes first.

    Attributes:
        is_finite: Whether its tasks end by themselves, unlike long-running ones.
        is_excess: Whether its customer sends more jobs than its weight allows.
        priority: Priority class of the queue.
        is_late: Whether its job cannot meet the objective any more.
        is_new: Whether no task of its job was started.
        start_tag: Start tag of a new job during overload, if several customers wait;
            otherwise 0.
        urgency: Slack in seconds, negated for new jobs during overload; for a late or
            a long-running job the Unix time at which it was accepted or due.
    """

    is_finite: bool
    is_excess: bool
    priority: int
    is_late: bool
    is_new: bool
    start_tag: float
    urgency: float


def is_overloaded(waiting_work, cores):
    """Returns whether the backlog exceeds what a pool can start in time.

    Args:
        waiting_work: Waiting work of jobs that can meet their objective, core-seconds.
        cores: Cores of the pool's usable workers.
    """
    return waiting_work > OVERLOAD_BACKLOG_S * cores


def rank_step(step, queue, run_times, wall_time, is_newest_first=False):
    """Ranks a waiting step and refreshes its estimate if that is too old.

    Args:
        step: ``StepRun``.
        queue: ``Queue`` of its job.
        run_times: ``RunTimes``.
        wall_time: Unix time in seconds.
        is_newest_first: Whether new jobs go newest first, as during overload.

    Returns:
        ``Rank``.
    """
    if step.spec.is_lasting:
        return Rank(
            False,
            step.job.is_excess,
            queue.priority,
            False,
            False,
            0.0,
            step.job.accepted_at,
        )
    job = step.job
    estimate = step.objective_estimate
    if (
        estimate is None
        or not 0 <= wall_time - estimate.estimated_at < ESTIMATE_MAX_AGE_S
    ):
        estimate = _estimate_objective(
            job, step.occurrence, queue, run_times, wall_time
        )
        step.objective_estimate = estimate
    slack = estimate.latest_start - wall_time
    is_new = not job.has_started
    if slack < (START_MARGIN * estimate.critical_path_s if is_new else 0.0):
        released_at = _release_time(job, step.occurrence)
        return Rank(True, job.is_excess, queue.priority, True, False, 0.0, released_at)
    urgency = -slack if is_new and is_newest_first else slack
    return Rank(True, job.is_excess, queue.priority, False, is_new, 0.0, urgency)


def is_late(job, queue, run_times, wall_time):
    """Returns whether all started occurrences of a job will miss their objective."""
    return slack_s(job, queue, run_times, wall_time) < 0.0


def slack_s(job, queue, run_times, wall_time):
    """Returns the time until all started occurrences of a job are late, seconds."""
    latest = job.latest_start
    if latest is None or not 0 <= wall_time - latest[1] < ESTIMATE_MAX_AGE_S:
        latest_starts = [
            _estimate_objective(
                job, occurrence, queue, run_times, wall_time
            ).latest_start
            for occurrence in job.occurrences
        ]
        latest = job.latest_start = (max(latest_starts, default=0.0), wall_time)
    return latest[0] - wall_time


def _release_time(job, occurrence):
    """Returns the Unix time from which the objective of an occurrence counts."""
    return job.spec.due_s(occurrence) if job.spec.is_timed else job.accepted_at


def _estimate_objective(job, occurrence, queue, run_times, wall_time):
    """Returns the ``ObjectiveEstimate`` of an occurrence."""
    steps = job.occurrences[occurrence]
    critical_path_s = run_times.critical_path_s(queue.name, job.spec.steps)
    remaining_s = run_times.critical_path_s(
        queue.name, job.spec.steps, lambda number: steps[number].is_done
    )
    objective_s = queue.target_s + queue.stretch * critical_path_s
    return ObjectiveEstimate(
        _release_time(job, occurrence) + objective_s - remaining_s,
        critical_path_s,
        wall_time,
    )
