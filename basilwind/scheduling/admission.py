"""When new jobs are turned away, and when their callers should return.

Load pattern: a turn asks for more than all machines can do for longer than its
callers can use an answer. A job that would only be done after its latest useful
time is refused at once; callers return spread over the time in which the backlog
drains, so that they don't come together. While workers are free nothing is refused.
"""

import math

USEFUL_LATENESS_FACTOR = (
    3.0  # up to three times its objective an answer is worth something
)
POOL_GROWTH_FACTOR = 3.0  # a pool in its turn gets about three times its machines
TYPICAL_STEPS = 2  # a mean job has 1.6 to 2 steps, one after the other
RETRY_SPREAD_S = 3  # callers come back within as many seconds after the wait


def refuse_for_s(queue, backlog, cores, run_times):
    """Returns for how long new jobs of a queue are refused; 0 to accept them.

    Args:
        queue: ``Queue``.
        backlog: Unfinished work of its pool, core-seconds.
        cores: Cores of the pool's usable workers.
        run_times: ``RunTimes``.
    """
    if cores <= 0:
        return 0.0
    chain_s = TYPICAL_STEPS * run_times.estimate(queue.name, 0.0)
    objective_s = queue.target_s + queue.stretch * chain_s
    wait_s = backlog / (cores * POOL_GROWTH_FACTOR)
    return max(0.0, wait_s - USEFUL_LATENESS_FACTOR * objective_s)


def retry_after_s(job_id, wait_s):
    """Returns the whole seconds after which a refused caller should return.

    Args:
        job_id: Id of the job, 16 hexadecimal digits; spreads callers.
        wait_s: Time for which new jobs are refused.
    """
    return math.ceil(wait_s) + int(job_id, 16) % RETRY_SPREAD_S
