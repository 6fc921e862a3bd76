"""Scheduling decisions about jobs, workers and hosts; performs no input or output.

Terms:
    run: One attempt to execute a task on a worker. The runs of a task are numbered.
    owner: The daemon that schedules a pool, for as long as its fencing token is the
        highest.
    hold: Periodic call of an owner to a worker that extends the leases of its runs and
        returns a report on them.
    objective: Time within which a job should end: a constant part and a multiple of its
        critical path, both set by its queue.
    urgent, late: Work of jobs that can still meet their objective, and of others.
    long-running task: Runs until its job is cancelled.
    serving task: Task with a target for its tail latency.
    filler: Task that reserves no CPU and uses what other tasks leave idle.
    burst: Seconds in which a queue receives several times its mean load.
    withheld worker: Gets no new tasks, because the planner wants to move its host or to
        take it down.
"""
