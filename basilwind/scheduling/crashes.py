"""Containment of tasks that crash the workers that start them.

Load pattern: one task ends each worker that starts it, and with it all runs there. If
lost runs are simply started again, the task takes down one worker after the other, and
the tasks that were lost with it are placed beside it again.

A run that was lost soon after its start is therefore suspected. The suspects of one job
run on a worker that starts nothing else until they have outlived their probation, so
the next crash there tells which job causes it. Runs that outlived their probation are
cleared; a job whose task keeps crashing its workers in isolation is given up.

Only an incarnation that has ended counts as a crash, as shown by its successor. A
worker that is silent, cut off or late to report, or whose end is planned, does not.
"""

from dataclasses import dataclass

from basilwind.scheduling.eligibility import may_run
from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.policy import valid_ticket

PROBATION_S = 0.2  # a task that crashes its worker does so within 20 ms of its start
# For tasks that were lost repeatedly, however long they had been running.
LONG_PROBATION_S = 3.0
CRASHES_BEFORE_SUSPICION = 3
CRASHES_BEFORE_FAILURE = 3
ISOLATED_CRASHES_BEFORE_FAILURE = 2
MAX_ISOLATED_FRACTION = 1 / 3  # of a pool's workers; the others serve all other jobs
EVIDENCE_MAX_AGE_S = 30.0  # a crashed worker is back within seconds
UNSTABLE_S = 15.0  # time for which a host that crashed is avoided for suspects


@dataclass(frozen=True, slots=True)
class LostRuns:
    """Runs that were lost with an incarnation of a worker.

    Attributes:
        worker_id: Id of the worker.
        incarnation_started_ms: Start of the incarnation, Unix milliseconds, or 0.
        tasks: All tasks that had a run there.
        recent: Those whose run had not outlived its probation.
        lost_at: Boot time of the loss.
    """

    worker_id: str
    incarnation_started_ms: int
    tasks: tuple
    recent: tuple
    lost_at: float


def has_outlived_probation(task, alive_until):
    """Returns whether a task's run is unlikely to crash its worker.

    Args:
        task: ``Task``.
        alive_until: Boot time until which its worker is known to have run.
    """
    is_known_before = task.crashes >= CRASHES_BEFORE_SUSPICION
    probation_s = LONG_PROBATION_S if is_known_before else PROBATION_S
    return (
        task.state is not TaskState.STARTING
        and task.confirmed_at is not None
        and alive_until - task.confirmed_at >= probation_s
    )


def collect_lost_runs(worker, tasks, now):
    """Returns the ``LostRuns`` of a worker whose incarnation may have ended.

    Args:
        worker: ``WorkerView``.
        tasks: Tasks whose runs are lost.
        now: Boot time in seconds.
    """
    alive_until = now if worker.alive_until is None else worker.alive_until
    return LostRuns(
        worker.worker_id,
        worker.incarnation_started_ms,
        tuple(tasks),
        tuple(task for task in tasks if not has_outlived_probation(task, alive_until)),
        now,
    )


def count_crash(lost):
    """Counts a crash for each task that was lost in it.

    Args:
        lost: ``LostRuns``.

    Returns:
        The tasks that have crashed enough workers for their jobs to be given up.
    """
    is_isolated = len({task.job.job_id for task in lost.recent}) == 1
    # Late evidence may concern tasks that have been done elsewhere.
    tasks = [task for task in lost.tasks if task.state is not TaskState.DONE]
    for task in tasks:
        task.crashes += 1
        is_recent = task in lost.recent
        if is_recent and is_isolated:
            task.isolated_crashes += 1
        is_suspect = is_recent or task.crashes >= CRASHES_BEFORE_SUSPICION
        if is_suspect and task.job.is_live:
            task.job.suspects.add(task)
    return [
        task
        for task in tasks
        if is_isolated
        and task in lost.recent
        and task.crashes >= CRASHES_BEFORE_FAILURE
        and task.isolated_crashes >= ISOLATED_CRASHES_BEFORE_FAILURE
    ]


class CrashTracker:
    """Tracks the crashes of a pool's workers and the jobs suspected of causing them.

    Methods take the boot time as ``now``, in seconds.
    """

    def __init__(self):
        self._suspect_jobs = {}
        # Runs whose leases expired before the fate of their worker was known, by the
        # worker's address.
        self._unexplained = {}
        # Boot time of the last crash, by the worker's address.
        self._crashed_at = {}

    def add_job(self, job):
        """Adds a job that may have suspects from before."""
        if job.suspects:
            self._suspect_jobs[job.job_id] = job

    def remove_job(self, job):
        """Clears a job that has ended."""
        job.suspects.clear()
        self._suspect_jobs.pop(job.job_id, None)

    def record_crash(self, worker, tasks, now):
        """Records that a worker's incarnation has ended with the given runs.

        Returns:
            The tasks that have crashed enough workers for their jobs to be given up.
        """
        self._unexplained.pop(worker.entry.address, None)
        if worker.is_leaving:
            return []
        return self._count(collect_lost_runs(worker, tasks, now), worker.entry, now)

    def record_lapse(self, worker, now):
        """Records that a silent worker's leases have expired, for whatever reason."""
        self._unexplained = {
            address: lost
            for address, lost in self._unexplained.items()
            if now - lost.lost_at < EVIDENCE_MAX_AGE_S
        }
        if worker.tasks and not worker.is_leaving:
            self._unexplained[worker.entry.address] = collect_lost_runs(
                worker, worker.tasks.values(), now
            )

    def record_incarnation(self, entry, incarnation_started_ms, now):
        """Records which incarnation answers or is registered at an address.

        A later one proves that the runs lost there before ended in a crash; the same
        one proves that they did not.

        Returns:
            The tasks that have crashed enough workers for their jobs to be given up.
        """
        lost = self._unexplained.get(entry.address)
        if lost is None:
            return []
        is_same_worker = entry.worker_id == lost.worker_id
        if is_same_worker and not incarnation_started_ms:
            return []
        del self._unexplained[entry.address]
        is_same_incarnation = (
            is_same_worker and incarnation_started_ms == lost.incarnation_started_ms
        )
        if is_same_incarnation:
            return []
        return self._count(lost, entry, now)

    def _count(self, lost, entry, now):
        if not lost.tasks:
            return []
        self._crashed_at = {
            address: at
            for address, at in self._crashed_at.items()
            if now - at < UNSTABLE_S
        }
        self._crashed_at[entry.address] = now
        convicted = count_crash(lost)
        for task in lost.tasks:
            if task.job.is_live and task.job.suspects:
                self._suspect_jobs[task.job.job_id] = task.job
        return [task for task in convicted if task.job.is_live]

    def clear_if_proven(self, task, now):
        """Clears a task whose reported run has outlived its probation.

        Returns:
            Whether it was a suspect and is none any more.
        """
        if task not in task.job.suspects or not has_outlived_probation(task, now):
            return False
        # It does not crash each worker that starts it.
        task.isolated_crashes = 0
        if task.crashes >= CRASHES_BEFORE_SUSPICION:
            task.crashes = 0
        self.clear(task)
        return True

    def clear(self, task):
        """Clears a task that is done or proven."""
        task.job.suspects.discard(task)
        if not task.job.suspects:
            self._suspect_jobs.pop(task.job.job_id, None)

    def isolate(self, workers, now):
        """Chooses the workers that start nothing but the suspects of one job.

        Args:
            workers: Usable ``WorkerView`` objects.
            now: Boot time in seconds.

        Returns:
            The workers that are open to all other jobs, and the ``WorkerView`` kept for
            a job by its id.
        """
        if not self._suspect_jobs:
            return workers, {}
        closed = [worker for worker in workers if _is_isolating(worker, now)]
        limit = max(1, int(len(workers) * MAX_ISOLATED_FRACTION))
        kept = {}
        # Jobs with fewer crashes are more likely to be innocent.
        for job in sorted(self._suspect_jobs.values(), key=_count_crashes):
            if len(closed) >= limit:
                break
            if any(task.is_active for task in job.suspects):
                # One job crashes one worker at a time.
                continue
            # A gang may need more workers than are kept.
            waiting = [task for task in job.suspects if not task.spec.is_gang]
            if not waiting:
                continue
            task = min(waiting, key=lambda task: task.name)
            fitting = [
                worker
                for worker in workers
                if worker not in closed
                and worker.unanswered_since is None
                and _could_run(worker, task, now)
            ]
            if not fitting:
                continue
            worker = min(
                fitting, key=lambda worker: self._isolation_rank(worker, task, now)
            )
            worker.isolated_job_id = job.job_id
            kept[job.job_id] = worker
            closed.append(worker)
        return [worker for worker in workers if worker not in closed], kept

    def _isolation_rank(self, worker, task, now):
        """Returns the sort key of a worker for a job's suspects; the smallest is best.

        A crash costs least where no long-running task has to start again. Then come
        workers that can start the task at once, and the one that has been kept for the
        job so far. A host that crashed lately may do so again by itself.
        """
        crashed_at = self._crashed_at.get(worker.entry.address, -UNSTABLE_S)
        is_ready = worker.has_capacity_for(task.spec) and is_quiet(
            worker, task.job, now
        )
        return (
            any(other.spec.is_lasting for other in worker.tasks.values()),
            not is_ready,
            worker.isolated_job_id != task.job.job_id,
            now - crashed_at < UNSTABLE_S,
            len(worker.tasks),
            worker.worker_id,
        )


def _is_isolating(worker, now):
    """Returns whether a worker has a suspect on probation.

    Its connection would have broken in a crash, so there is no need to wait for the
    next report.
    """
    alive_until = now if worker.unanswered_since is None else worker.alive_until
    return any(
        task in task.job.suspects
        and not has_outlived_probation(task, alive_until or 0.0)
        for task in worker.tasks.values()
    )


def _count_crashes(job):
    return max(task.crashes for task in job.suspects), job.job_id


def _could_run(worker, task, now):
    """Returns whether a worker has room for a task once its short tasks have ended."""
    spec, step = task.spec, task.step
    if not may_run(step, worker):
        return False
    if step.tickets is not None and not valid_ticket(step, worker.worker_id, now):
        return False
    lasting = [other.spec for other in worker.tasks.values() if other.spec.is_lasting]
    return (
        worker.entry.cpu - sum(s.reserved_cpu for s in lasting) >= spec.reserved_cpu
        and worker.entry.memory - sum(s.memory for s in lasting) >= spec.memory
        and worker.entry.gpu - sum(s.gpu for s in lasting) >= spec.gpu
    )


def is_quiet(worker, job, now):
    """Returns whether only suspects of the job could crash a worker."""
    return all(
        task.job is job or has_outlived_probation(task, now)
        for task in worker.tasks.values()
    )
