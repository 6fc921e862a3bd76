"""Admission control: when to refuse new jobs, and when callers should retry.

Load pattern: a burst demands more than all hosts can do, for longer than its callers
can use an answer. A job that would end after its result is of any use is refused at
once. Callers are told to retry when the backlog has drained, spread over some seconds
so that they do not return all at once. Nothing is refused while workers are free.
"""

import math

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
    chain_s = TYPICAL_STEPS * run_times.expected_s(queue.name, 0.0)
    objective_s = queue.target_s + queue.stretch * chain_s
    wait_s = backlog / (cores * POOL_GROWTH_FACTOR)
    return max(0.0, wait_s - USEFUL_LATENESS_FACTOR * objective_s)


def retry_after_s(job_id, wait_s):
    """Returns the whole seconds after which a refused caller should retry.

    Args:
        job_id: Id of the job, 16 hexadecimal digits; determines the caller's share of
            the spread.
        wait_s: Time for which new jobs are refused, seconds.
    """
    return math.ceil(wait_s) + int(job_id, 16) % RETRY_SPREAD_S
