"""The jobs of a pool: what came in, what is ready, what ended."""

from basilwind.scheduling.estimates import RunTimes
from basilwind.scheduling.jobs import Job, JobState, TaskState


class JobBook:
    """Jobs of one pool.

    Args:
        name: Name of the pool.
        token: Fencing token of its owner.
        find_queue: Returns the ``Queue`` of a name, or None.
        status_s: How long an ended job is kept.
        report: Called with an event's name and fields, for logs and metrics.
    """

    def __init__(self, name, token, find_queue, status_s, report):
        self.name = name
        self.token = token
        self.jobs = {}
        self.workers = {}
        self.run_times = RunTimes()
        # Ids of jobs to journal, and of ended jobs to drop from the store.
        self.dirty = set()
        self.dropped = []
        # Until when former owners' leases may run on workers out of reach.
        self.previous_leases_until = 0.0
        # Until when runs may go on that the former owner could not record.
        self.unrecorded_runs_until = 0.0
        # Until when the registry may lack workers that live.
        self.registry_complete_at = 0.0
        self._restored = set()
        self._find_queue = find_queue
        self._status_s = status_s
        self._report = report
        self._withheld_until = 0.0
        self._arrived = 0.0
        self._arrived_jobs = 0
        self._ready = {}
        self._cancelled = set()
        self._timed = set()
        self._strays = []
        # Work of waiting tasks at the last ranking, core-seconds.
        self._urgent_waiting = 0.0
        self._late_waiting = 0.0
        self._is_overloaded = False
        self._known_backlog = 0.0
        self._backlog_at = 0.0

    def submit(self, job_id, queue_name, spec, accepted_at, now, wall):
        """Adds a job; a job that is known already stays as it is."""
        if job_id in self.jobs:
            return
        job = Job(job_id, queue_name, spec, accepted_at)
        self.add_job(job, wall)
        work = self._unfinished_work(job)
        if work:
            self._arrived += work
            self._arrived_jobs += 1
        if job_id in self._cancelled:
            self._cancelled.discard(job_id)
            self._end_job(job, JobState.CANCELLED, now)

    def restore(self, job, wall):
        """Adds a job that a former owner may have begun."""
        self._restored.add(job.job_id)
        self.add_job(job, wall)

    def add_job(self, job, wall):
        """Adds a job."""
        self.jobs[job.job_id] = job
        if not job.is_live:
            return
        if job.spec.is_timed:
            self._timed.add(job.job_id)
        for step in job.open_due_occurrences(wall):
            self._ready[step] = None
        for steps in job.occurrences.values():
            for step in steps:
                if not step.is_done and all(steps[n].is_done for n in step.spec.after):
                    self._ready[step] = None

    def cancel(self, job_id, now):
        """Cancels a job; remembers the cancel if the job is not known yet."""
        job = self.jobs.get(job_id)
        if job is None:
            self._cancelled.add(job_id)
        elif job.is_live:
            self._end_job(job, JobState.CANCELLED, now)

    def count_waiting_jobs(self, queue_name):
        """Returns how many jobs of a queue have started nothing."""
        return sum(
            job.queue == queue_name
            and job.is_live
            and not job.has_begun
            and not job.spec.is_timed
            for job in self.jobs.values()
        )

    def drop_ended_jobs(self, now):
        """Forgets jobs that ended long ago."""
        for job_id, job in list(self.jobs.items()):
            if job.ended_at is None or now - job.ended_at < self._status_s:
                continue
            if any(task.is_active for task in job.tasks()):
                continue
            del self.jobs[job_id]
            self.dropped.append(job_id)

    def _end_job(self, job, state, now):
        job.state = state
        job.ended_at = now
        self._timed.discard(job.job_id)
        self.dirty.add(job.job_id)
        for task in job.tasks():
            if task.is_active:
                task.is_stopping = True
            self._ready.pop(task.step, None)
        self._report("job ended", job=job.job_id, queue=job.queue, state=state.value)

    def _finish(self, task, now):
        if task.state is TaskState.DONE:
            return
        tasks = task.step.tasks if task.spec.is_gang else (task,)
        step, job = task.step, task.job
        for member in tasks:
            if member.state is TaskState.DONE:
                continue
            if member.is_active:
                self._free(member)
            member.state = TaskState.DONE
            step.left -= 1
        self.dirty.add(job.job_id)
        if not job.is_live or not step.is_done:
            return
        self._ready.pop(step, None)
        for later in job.steps_after(step):
            self._ready[later] = None
        steps = job.occurrences[step.occurrence]
        if all(other.is_done for other in steps):
            if job.close_occurrence(step.occurrence):
                self._end_job(job, JobState.COMPLETED, now)

    def _find_task(self, name):
        """Returns a live job's task by name, or None."""
        job = self.jobs.get(name.partition(".")[0])
        if job is None or not job.is_live:
            return None
        return next((task for task in job.tasks() if task.name == name), None)

    def _free(self, task):
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.free(task)
        task.release()

    def _release(self, task):
        self._free(task)
        self.dirty.add(task.job.job_id)
        if task.job.is_live:
            self._ready[task.step] = None

    def _backlog(self):
        """Returns the unfinished work of all jobs, core-seconds."""
        return sum(
            self._unfinished_work(job) for job in self.jobs.values() if job.is_live
        )

    def _work_of(self, queue, step):
        """Returns the core-seconds of a task of a step that ends, else 0."""
        if step.is_lasting:
            return 0.0
        return step.cpu / 1000 * self.run_times.estimate(queue, step.estimate_s)

    def _unfinished_work(self, job):
        return sum(
            step.left * self._work_of(job.queue, step.spec)
            for steps in job.occurrences.values()
            for step in steps
        )
