"""The workers of a pool: who is registered, what they report, what is lost."""

from basilwind.scheduling import health
from basilwind.scheduling.job_book import JobBook
from basilwind.scheduling.jobs import JobState, TaskState
from basilwind.scheduling.orders import StopOrder
from basilwind.scheduling.reports import EndKind
from basilwind.scheduling.workers import WorkerView


class WorkerBook(JobBook):
    """Jobs and workers of one pool; see ``JobBook`` for its arguments."""

    def set_workers(self, entries, now):
        """Takes over the registry's entries of this pool.

        Args:
            entries: ``WorkerEntry`` by id.
            now: Boot time in seconds.

        Returns:
            Workers that are new.
        """
        added = []
        for worker_id, entry in entries.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = self.workers[worker_id] = WorkerView(entry)
                added.append(worker)
                self._adopt_tasks(worker)
            elif worker.entry != entry:
                worker.resize(entry)
            worker.is_listed = True
            if entry.is_draining:
                self._evacuate(worker)
        for worker_id, worker in list(self.workers.items()):
            if worker_id not in entries:
                worker.is_listed = False
                # One that never answered may have runs that nobody recorded.
                is_suspect = (
                    now < self.unrecorded_runs_until and not worker.is_clock_known
                )
                if not worker.tasks and not is_suspect:
                    del self.workers[worker_id]
        return added

    def _adopt_tasks(self, worker):
        for job in self.jobs.values():
            for task in job.tasks():
                if task.is_active and task.worker_id == worker.worker_id:
                    worker.reserve(task)

    def _evacuate(self, worker):
        """Restarts lasting tasks of a draining worker elsewhere."""
        for task in worker.tasks.values():
            if task.spec.is_lasting and not task.is_stopping:
                task.is_stopping = True

    def apply_report(self, worker, report, sent_at, now):
        """Applies what a worker said of its runs.

        Args:
            worker: ``WorkerView`` that answered.
            report: ``WorkerReport``.
            sent_at: Boot time when the call was sent.
            now: Boot time when the answer was read.

        Returns:
            Number of the last end in the report; it may be noted once the dirty
            jobs are durable.
        """
        if (
            worker.incarnation_started_ms
            and report.incarnation_started_ms
            and worker.incarnation_started_ms != report.incarnation_started_ms
        ):
            self._begin_incarnation(worker)
        worker.incarnation_started_ms = (
            report.incarnation_started_ms or worker.incarnation_started_ms
        )
        worker.set_clock(report.clock_s, now)
        for end in report.ended:
            # Ends are listed until they are noted, and reports may overtake others.
            if end.number > worker.applied:
                self._apply_end(worker, end, now)
        worker.applied = max([worker.applied, *(end.number for end in report.ended)])
        seen = {(row.task, row.run): row for row in report.running}
        for task in list(worker.tasks.values()):
            row = seen.pop((task.name, task.run), None)
            if row is not None:
                self._confirm(worker, task, row, now)
            elif self._has_vanished(task, sent_at):
                self._release(task)
        for name, run in seen:
            if not self._adopt_run(worker, name, run, now):
                self._strays.append(StopOrder(name, run, worker))
        return worker.applied

    def _adopt_run(self, worker, name, run, now):
        """Takes over a run that a former owner could not record.

        Returns:
            Whether the task needs it.
        """
        task = self._find_task(name)
        if task is None or task.state is not TaskState.WAITING or run <= task.run:
            return False
        task.state = TaskState.RUNNING
        task.run = run
        task.worker_id = worker.worker_id
        task.token = self.token
        task.ordered_at = task.confirmed_at = task.progressed_at = now
        worker.reserve(task)
        task.job.has_begun = True
        task.job.state = JobState.RUNNING
        self.dirty.add(task.job.job_id)
        self._report("run adopted", task=name, run=run, worker=worker.worker_id)
        return True

    def has_unrecorded_runs(self, now):
        """Tells whether workers out of reach may have runs that nobody recorded."""
        if now >= self.unrecorded_runs_until:
            return False
        if now < self.registry_complete_at:
            return True
        return not all(worker.is_clock_known for worker in self.workers.values())

    def _confirm(self, worker, task, row, now):
        if task.state is not TaskState.RUNNING:
            task.state = TaskState.RUNNING
            task.confirmed_at = now
            task.progressed_at = now
        if health.note_progress(task, row, now) and not task.is_stopping:
            self._stop_stalled(worker, task, now)
        task.percent = row.percent
        task.load = row.load
        task.checkpoint = row.checkpoint or task.checkpoint

    def _stop_stalled(self, worker, task, now):
        """Stops a run that stands still, so that the task runs elsewhere."""
        if task.spec.is_lasting and self._away(task.step) >= task.spec.may_miss:
            return
        task.is_stopping = True
        self._report("run stalled", task=task.name, worker=worker.worker_id)
        self._note_failure(worker, now)

    def _note_failure(self, worker, now):
        if health.note_failure(worker, self.workers.values(), now):
            self._report("worker avoided", worker=worker.worker_id)

    def _has_vanished(self, task, sent_at):
        if task.state is TaskState.RUNNING:
            return task.confirmed_at < sent_at
        if task.state is not TaskState.UNSURE:
            return False
        if task.token < self.token:
            # The new token keeps the former owner's orders out.
            return True
        return task.stop_answered_at is not None and task.stop_answered_at < sent_at

    def _apply_end(self, worker, end, now):
        task = worker.tasks.get(end.task)
        if task is None or task.run != end.run:
            self._apply_unexpected_end(end, now)
            return
        task.checkpoint = end.checkpoint or task.checkpoint
        if end.kind is EndKind.DONE and task.confirmed_at is not None:
            self._learn_run_time(worker, task, now)
        self._settle(task, worker, end.kind, now)

    def _learn_run_time(self, worker, task, now):
        queue, declared_s = task.job.queue, task.spec.estimate_s
        measured_s = now - task.confirmed_at
        expected_s = self.run_times.estimate(queue, declared_s)
        self.run_times.observe(queue, declared_s, measured_s)
        ratio = measured_s / max(expected_s, 1e-3)
        if health.note_run_time(worker, ratio, self.workers.values(), now):
            self._report("worker avoided", worker=worker.worker_id, is_slow=True)

    def _apply_unexpected_end(self, end, now):
        """Takes note of a run that was given up, or that nobody recorded."""
        task = self._find_task(end.task)
        if task is None or task.state is TaskState.DONE:
            return
        is_unrecorded = task.state is TaskState.WAITING and end.run > task.run
        if is_unrecorded:
            task.run = end.run
            self.dirty.add(task.job.job_id)
        if end.kind is EndKind.DONE and not task.spec.is_lasting:
            self._stop_needless(task)
            self._finish(task, now)
        elif is_unrecorded and end.kind in (EndKind.DONE, EndKind.FAILED):
            self._count_failure(task, now)

    def _settle(self, task, worker, kind, now):
        was_stopping = task.is_stopping
        self._release(task)
        if kind is EndKind.DONE and not task.spec.is_lasting:
            health.note_success(worker)
            self._finish(task, now)
        elif kind is EndKind.FAILED or kind is EndKind.DONE:
            self._report(
                "run failed", task=task.name, run=task.run, worker=worker.worker_id
            )
            self._note_failure(worker, now)
            self._count_failure(task, now)
        elif not was_stopping:
            self._report(
                "run ended early",
                task=task.name,
                run=task.run,
                worker=worker.worker_id,
                kind=kind.value,
            )

    def _stop_needless(self, task):
        """Stops the run of a task that an earlier run has done."""
        worker = self.workers.get(task.worker_id)
        if task.is_active and worker is not None:
            self._strays.append(StopOrder(task.name, task.run, worker))

    def _count_failure(self, task, now):
        task.failures += 1
        queue = self._find_queue(task.job.queue)
        limit = queue.attempts if queue else 1
        if task.failures >= limit and not task.spec.is_lasting and task.job.is_live:
            self._end_job(task.job, JobState.FAILED, now)

    def _begin_incarnation(self, worker):
        """Forgets what the former incarnation said.

        Its runs are missing from the report, while orders that the new one has
        taken already are listed there; what is unanswered may reach it yet, and it
        knows of no stop.
        """
        worker.forget_incarnation()
        for task in worker.tasks.values():
            task.stop_answered_at = None

    def remove_worker(self, worker):
        """Releases all runs of a worker that has surely ended."""
        worker.is_listed = False
        for task in list(worker.tasks.values()):
            self._release(task)
        self.workers.pop(worker.worker_id, None)

    def expire_leases(self, now):
        """Releases the runs whose leases have surely run out."""
        for worker in list(self.workers.values()):
            if worker.unanswered_since is None and worker.is_clock_known:
                continue
            if now < self.previous_leases_until:
                continue
            if worker.is_clock_known and not worker.lease_has_lapsed(now):
                continue
            for task in list(worker.tasks.values()):
                self._report(
                    "lease lapsed",
                    task=task.name,
                    run=task.run,
                    worker=worker.worker_id,
                )
                self._release(task)
            if not worker.is_listed:
                self.workers.pop(worker.worker_id, None)
        self._release_unlisted(now)

    def _release_unlisted(self, now):
        """Releases tasks of former owners' workers that never showed up."""
        if now < self.previous_leases_until or self.previous_leases_until == 0.0:
            return
        for job in self.jobs.values():
            for task in job.tasks():
                if task.is_active and task.worker_id not in self.workers:
                    self._release(task)
        self.previous_leases_until = 0.0

    def _away(self, step):
        """Returns how many tasks of a lasting step are not at work."""
        away = 0
        for task in step.tasks:
            worker = self.workers.get(task.worker_id)
            is_heard = worker is not None and worker.unanswered_since is None
            away += not (is_heard and task.is_at_work)
        return away
