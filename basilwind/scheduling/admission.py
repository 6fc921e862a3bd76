"""Admission control: when to refuse new jobs, and when callers should retry.

Load pattern: a burst demands more than all hosts can do, for longer than its callers
can use an answer. A job that would end after its result is of any use is refused at
once. Callers are told to retry when the backlog has drained, spread over some seconds
so that they do not return all at once. Nothing is refused while workers are free.

Load pattern with customers: one of them sends several times its share. The others' jobs
end as early as under fair queueing, so only its own jobs are refused.
"""

import enum
import math
from dataclasses import dataclass

USEFUL_LATENESS_FACTOR = 3.0  # an answer is of use up to three times its objective
POOL_GROWTH_FACTOR = 3.0  # during its burst a pool gets about three times its hosts
TYPICAL_STEPS = 2  # a mean job has 1.6 to 2 steps in sequence
RETRY_SPREAD_S = 3  # callers retry within as many seconds after the wait


def work_ahead(work, running_work, slack_s, cores):
    """Returns how much of a job's work goes before that of a new job, core-seconds.

    Jobs that are late go behind new ones, and so does what a job has left when it
    becomes late. Its running tasks go on.

    Args:
        work: Unfinished work of the job that its pool can do, core-seconds.
        running_work: Work of its running tasks, core-seconds.
        slack_s: Time until it is late, seconds.
        cores: Cores of the pool's usable workers.
    """
    before_late = max(0.0, slack_s) * cores * POOL_GROWTH_FACTOR
    return min(work, running_work + before_late)


def refuse_for_s(queue, backlog, cores, run_times):
    """Returns the seconds for which to refuse a queue's new jobs; 0 to accept.

    Args:
        queue: ``Queue``.
        backlog: Work of its pool that goes before a new job, core-seconds.
        cores: Cores of the pool's usable workers.
        run_times: ``RunTimes``.
    """
    if cores <= 0:
        return 0.0
    wait_s = backlog / (cores * POOL_GROWTH_FACTOR)
    return max(0.0, wait_s - useful_s(queue, run_times))


def useful_s(queue, run_times):
    """Returns the time for which a result of a queue's jobs is of use, seconds."""
    chain_s = TYPICAL_STEPS * run_times.expected_s(queue.name, 0.0)
    objective_s = queue.target_s + queue.stretch * chain_s
    return USEFUL_LATENESS_FACTOR * objective_s


class RefusalReason(enum.Enum):
    """Why a customer's job is refused, as callers see it."""

    BACKLOG = "backlog"
    EXCESS = "excess"
    QUOTA = "quota"
    TOO_LARGE = "too-large"


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a customer's new job is accepted.

    Attributes:
        refuse_for_s: Seconds for which it is refused; 0 to accept it.
        reason: ``RefusalReason``, or None if it is accepted.
    """

    refuse_for_s: float = 0.0
    reason: RefusalReason | None = None


ACCEPTED = Admission()


@dataclass(slots=True)
class CustomerWork:
    """Unfinished work of a customer in a pool that goes before its next job.

    Attributes:
        weight: Its weight; above 0.
        maximum_cores: Cores that it may use in all pools; 0 for no limit.
        started: Work of its started jobs, core-seconds.
        waiting: Work of its other jobs that are not excess, core-seconds.
        running_cores: Cores that its tasks on workers count against its maximum.
    """

    weight: float
    maximum_cores: float = 0.0
    started: float = 0.0
    waiting: float = 0.0
    running_cores: float = 0.0

    @property
    def is_at_quota(self):
        """Whether it can start nothing until some of its tasks have ended."""
        return 0.0 < self.maximum_cores <= self.running_cores

    def limit(self, work, seconds):
        """Returns how much of some work its quota lets it do within a time."""
        if not self.maximum_cores:
            return work
        return min(work, self.maximum_cores * seconds)


def fair_wait_s(own, works, cores, horizon_s):
    """Returns the time until a customer's next job starts under fair queueing.

    While the customer's backlog drains, each other customer gets its share by weight
    and needs no more than its backlog. The customer's own share bounds the time, so
    what others have started does not delay a customer with little work of its own.

    Args:
        own: ``CustomerWork`` of the customer.
        works: ``CustomerWork`` objects of all customers, with its own.
        cores: Cores of the pool's usable workers; above 0.
        horizon_s: Time for which a result is of use, seconds. Work that others' quotas
            do not allow to run within it delays nobody.
    """
    drain = own.waiting / own.weight
    ahead = own.started + own.waiting
    weights = own.weight
    for other in works:
        if other is own or not other.started + other.waiting:
            continue
        weights += other.weight
        waiting = min(other.waiting, other.weight * drain)
        ahead += other.limit(other.started + waiting, horizon_s)
    by_share = (own.started + own.waiting) * weights / own.weight
    return min(ahead, by_share) / (cores * POOL_GROWTH_FACTOR)


def admit(own, works, cores, horizon_s, refill_s, is_overloaded):
    """Decides on a customer's new job.

    Args:
        own: ``CustomerWork`` of the customer.
        works: ``CustomerWork`` objects of all customers, with its own.
        cores: Cores of the pool's usable workers.
        horizon_s: Time for which a result is of use, seconds.
        refill_s: Seconds until the job would not be excess; 0 if it is not.
        is_overloaded: Whether the backlog exceeds what the pool can start in time.

    Returns:
        ``Admission``.
    """
    if cores <= 0:
        return ACCEPTED
    if refill_s > 0 and is_overloaded:
        return Admission(refill_s, RefusalReason.EXCESS)
    if own.maximum_cores:
        wait_s = (own.started + own.waiting) / own.maximum_cores
        if wait_s > horizon_s:
            return Admission(wait_s - horizon_s, RefusalReason.QUOTA)
        if own.is_at_quota:
            return ACCEPTED
    wait_s = fair_wait_s(own, works, cores, horizon_s)
    if wait_s > horizon_s:
        return Admission(wait_s - horizon_s, RefusalReason.BACKLOG)
    return ACCEPTED


def accept_if_free(admission, workers):
    """Returns an ``Admission`` that refuses nothing for a backlog beside free workers.

    They are of no use to a customer whose quota is used up.

    Args:
        admission: ``Admission``.
        workers: Usable ``WorkerView`` objects.
    """
    if admission.reason in (RefusalReason.BACKLOG, RefusalReason.EXCESS) and any(
        not worker.tasks and not worker.unwanted_runs for worker in workers
    ):
        return ACCEPTED
    return admission


def is_too_large(spec, maximum):
    """Returns whether a job's task, or gang as a whole, can never fit a quota.

    Args:
        spec: ``JobSpec``.
        maximum: ``Resources`` of its customer; a resource with 0 has no limit.
    """
    for step in spec.steps:
        count = step.count if step.is_gang else 1
        needs = (
            (step.cpu, maximum.cpu),
            (step.memory, maximum.memory),
            (step.gpu, maximum.gpu),
        )
        if any(0 < most < count * need for need, most in needs):
            return True
    return False


def retry_after_s(job_id, wait_s):
    """Returns the whole seconds after which a refused caller should retry.

    Args:
        job_id: Id of the job, 16 hexadecimal digits; determines the caller's share of
            the spread.
        wait_s: Time for which new jobs are refused, seconds.
    """
    return math.ceil(wait_s) + int(job_id, 16) % RETRY_SPREAD_S
