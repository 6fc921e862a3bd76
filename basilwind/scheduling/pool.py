"""The state of one pool: its jobs, tasks and workers.

Each method applies an event and records which jobs have to be journalled; the
caller makes them durable before it acts on them.
"""

from dataclasses import dataclass

from basilwind.scheduling import health
from basilwind.scheduling.capacity import PoolReport, WorkerLoad
from basilwind.scheduling.estimates import RunTimes
from basilwind.scheduling.jobs import Job, JobState, TaskState
from basilwind.scheduling.ordering import is_late, rank_step
from basilwind.scheduling.pacing import pace_worker
from basilwind.scheduling.placement import (
    Shortage,
    gang_is_whole,
    is_usable,
    place_step,
    reserve_for_later,
)
from basilwind.scheduling.policy import Ticket, workers_to_ask
from basilwind.scheduling.reports import EndKind, StartOutcome
from basilwind.scheduling.workers import WorkerView

SHORT_S = 0.5  # short tasks leave room within a second
STOP_RETRY_S = 0.7  # a stop takes up to 0.2 or 0.9 s in the site files
WITHHOLD_S = 3.0  # the planner renews it each 0.4 s, a successor in 3 s
UNSURE_S = 0.3  # time for a hold to show a run whose start got no answer


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a task, to be sent once it is durable."""

    task: object
    run: int
    worker: WorkerView


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop a run."""

    task_name: str
    run: int
    worker: WorkerView


class PoolState:
    """Jobs and workers of one pool.

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
        self.former_leases_until = 0.0
        self._find_queue = find_queue
        self._status_s = status_s
        self._report = report
        self._withheld_until = 0.0
        self._arrived = 0.0
        self._ready = {}
        self._cancelled = set()
        self._timed = set()
        self._strays = []

    # Jobs

    def submit(self, job_id, queue_name, spec, accepted_at, now, wall):
        """Adds a job; a job that is known already stays as it is."""
        if job_id in self.jobs:
            return
        job = Job(job_id, queue_name, spec, accepted_at)
        self.add_job(job, wall)
        self._arrived += self._unfinished_work(job)
        if job_id in self._cancelled:
            self._cancelled.discard(job_id)
            self._end_job(job, JobState.CANCELLED, now)

    def add_job(self, job, wall):
        """Adds a new or restored job."""
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

    def waiting_jobs(self, queue_name):
        """Returns how many jobs of a queue have started nothing."""
        return sum(
            job.queue == queue_name
            and job.is_live
            and not job.has_begun
            and not job.spec.is_timed
            for job in self.jobs.values()
        )

    def forget_ended(self, now):
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

    # Workers

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
                if not worker.tasks:
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
        if worker.born and report.born and worker.born != report.born:
            self._lose_incarnation(worker)
        worker.born = report.born or worker.born
        worker.set_clock(report.clock_s, now)
        last = worker.noted
        for end in report.ended:
            if end.number > worker.noted:
                self._apply_end(worker, end, now)
            last = max(last, end.number)
        seen = {(row.task, row.run): row for row in report.running}
        for task in list(worker.tasks.values()):
            row = seen.pop((task.name, task.run), None)
            if row is not None:
                self._confirm(worker, task, row, now)
            elif self._has_vanished(task, sent_at):
                self._release(task)
        self._strays += [StopOrder(name, run, worker) for name, run in seen]
        return last

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
        """Takes note of a run that was given up and was done all the same."""
        if end.kind is not EndKind.DONE:
            return
        job = self.jobs.get(end.task.partition(".")[0])
        if job is None or not job.is_live:
            return
        task = next((task for task in job.tasks() if task.name == end.task), None)
        if task is not None and task.state is TaskState.WAITING:
            self._finish(task, now)

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
            if health.note_failure(worker, self.workers.values(), now):
                self._report("worker avoided", worker=worker.worker_id)
            task.failures += 1
            queue = self._find_queue(task.job.queue)
            limit = queue.attempts if queue else 1
            if task.failures >= limit and not task.spec.is_lasting and task.job.is_live:
                self._end_job(task.job, JobState.FAILED, now)
        elif not was_stopping:
            self._report(
                "run ended early",
                task=task.name,
                run=task.run,
                worker=worker.worker_id,
                kind=kind.value,
            )

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

    def _lose_incarnation(self, worker):
        """Releases the runs of an incarnation that is gone."""
        worker.forget_incarnation()
        for task in list(worker.tasks.values()):
            # An unanswered order may still reach the new incarnation.
            if task.state is TaskState.RUNNING or task.token < self.token:
                self._release(task)
            else:
                task.state = TaskState.UNSURE

    def lose_worker(self, worker):
        """Releases all runs of a worker that has surely ended."""
        worker.is_listed = False
        for task in list(worker.tasks.values()):
            self._release(task)
        self.workers.pop(worker.worker_id, None)

    def expire_leases(self, now):
        """Releases the runs whose leases have surely run out."""
        for worker in list(self.workers.values()):
            if worker.silent_since is None and worker.has_clock:
                continue
            if now < self.former_leases_until:
                continue
            if worker.has_clock and not worker.lease_has_lapsed(now):
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
        if now < self.former_leases_until or self.former_leases_until == 0.0:
            return
        for job in self.jobs.values():
            for task in job.tasks():
                if task.is_active and task.worker_id not in self.workers:
                    task.release()
                    self.dirty.add(job.job_id)
                    if job.is_live:
                        self._ready[task.step] = None
        self.former_leases_until = 0.0

    # What the fleet planner asks

    def withhold(self, worker_ids, now):
        """Keeps new tasks off some workers and moves lasting ones away."""
        wanted = frozenset(worker_ids)
        self._withheld_until = now + WITHHOLD_S
        for worker in self.workers.values():
            worker.is_withheld = worker.worker_id in wanted
        self._empty_withheld()

    def _empty_withheld(self):
        for worker in self.workers.values():
            if not worker.is_withheld:
                continue
            for task in worker.tasks.values():
                if task.spec.is_lasting and not task.is_stopping:
                    # The task itself is at work until it is stopped.
                    task.is_stopping = self._away(task.step) < task.spec.may_miss

    def _away(self, step):
        """Returns how many tasks of a lasting step are not at work."""
        away = 0
        for task in step.tasks:
            worker = self.workers.get(task.worker_id)
            is_heard = worker is not None and worker.silent_since is None
            away += not (is_heard and task.is_at_work)
        return away

    def _expire_withholding(self, now):
        if now > self._withheld_until:
            for worker in self.workers.values():
                worker.is_withheld = False

    def pool_report(self, now, wall):
        """Returns the ``PoolReport`` for the planner."""
        urgent_work, late_work = self._backlog(wall)
        lasting = [
            task
            for job in self.jobs.values()
            if job.is_live
            for task in job.tasks()
            if task.spec.is_lasting
        ]
        return PoolReport(
            pool=self.name,
            workers=[
                WorkerLoad(
                    worker.worker_id,
                    worker.entry.cpu,
                    len(worker.tasks),
                    sum(task.spec.is_lasting for task in worker.tasks.values()),
                    worker.is_withheld,
                )
                for worker in self.workers.values()
                if worker.has_clock
                and worker.is_listed
                and not worker.entry.is_draining
                and worker.avoid_until <= now
                and worker.silent_since is None
            ],
            urgent_work=urgent_work,
            late_work=late_work,
            lasting_cpu=sum(task.spec.reserved_cpu for task in lasting),
            lasting_memory=sum(task.spec.memory for task in lasting),
            lasting_waiting=sum(
                task.state is TaskState.WAITING
                and now - task.step.short_since > SHORT_S
                for task in lasting
                if task.step.short_since is not None
            ),
            arrived=self._arrived,
        )

    def _backlog(self, wall):
        """Returns the unfinished work of urgent and of late jobs, core-seconds."""
        urgent_work = late_work = 0.0
        for job in self.jobs.values():
            queue = self._find_queue(job.queue)
            if not job.is_live or queue is None:
                continue
            work = self._unfinished_work(job)
            if work and is_late(job, queue, self.run_times, wall):
                late_work += work
            else:
                urgent_work += work
        return urgent_work, late_work

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

    # Orders

    def schedule(self, now, wall):
        """Assigns waiting tasks to workers.

        Args:
            now: Boot time in seconds.
            wall: Unix time in seconds.

        Returns:
            List of ``StartOrder``; their jobs are dirty.
        """
        self._open_due(wall)
        self._expire_withholding(now)
        workers = [worker for worker in self.workers.values() if is_usable(worker, now)]
        orders, shortages = [], []
        for step in self._ranked(wall):
            if any(shortage.covers(step.spec) for shortage in shortages):
                continue
            if step.spec.is_gang and not gang_is_whole(step):
                continue
            placed, is_short = place_step(step, workers, now)
            orders += self._start_orders(step, placed, now)
            if not is_short or step.tickets is not None:
                step.short_since = None
                continue
            if step.short_since is None:
                step.short_since = now
            if step.spec.is_lasting:
                kept = reserve_for_later(step, workers)
                step.kept_worker = kept
                workers = [worker for worker in workers if worker is not kept]
            elif not (step.spec.required_label or step.spec.most_per_worker):
                shortages.append(Shortage(step.spec.reserved_cpu, step.spec.memory))
        return orders

    def _open_due(self, wall):
        for job_id in self._timed:
            for step in self.jobs[job_id].open_due_occurrences(wall):
                self._ready[step] = None

    def _ranked(self, wall):
        ranked = []
        for step in list(self._ready):
            if not any(task.state is TaskState.WAITING for task in step.tasks):
                del self._ready[step]
                continue
            queue = self._find_queue(step.job.queue)
            if queue is None:
                continue
            if queue.has_advice and step.tickets is None:
                step.tickets = {}
            ranked.append((rank_step(step, queue, self.run_times, wall), step))
        ranked.sort(key=lambda row: row[0])
        return [step for _, step in ranked]

    def _start_orders(self, step, placed, now):
        if not placed:
            return []
        gang_run = max(task.run for task in step.tasks) + 1
        checkpoint = max(task.checkpoint for task in step.tasks)
        orders = []
        for task, worker in placed:
            task.state = TaskState.STARTING
            task.run = gang_run if step.spec.is_gang else task.run + 1
            if step.spec.is_gang:
                task.checkpoint = checkpoint
            task.worker_id = worker.worker_id
            task.token = self.token
            task.ordered_at = now
            orders.append(StartOrder(task, task.run, worker))
        job = step.job
        self._report(
            "step placed",
            step=step.name,
            runs=[[order.task.index, order.run] for order in orders],
            workers=sorted({order.worker.worker_id for order in orders}),
        )
        job.has_begun = True
        if job.state is JobState.PENDING:
            job.state = JobState.RUNNING
        self.dirty.add(job.job_id)
        return orders

    def policy_question(self, now, wall):
        """Returns the most urgent step to ask the policy about, and the workers.

        Returns:
            ``StepRun`` and worker ids, or None.
        """
        if not any(step.tickets is not None for step in self._ready):
            return None
        workers = [worker for worker in self.workers.values() if is_usable(worker, now)]
        for step in self._ranked(wall):
            if step.tickets is None:
                continue
            worker_ids = workers_to_ask(step, workers, now)
            if worker_ids:
                return step, worker_ids
        return None

    def apply_policy(self, step, asked, tickets, until):
        """Applies the policy's answer.

        Args:
            step: ``StepRun``.
            asked: Worker ids that were asked about.
            tickets: Texts of tickets by worker id.
            until: End of their validity; boot time.
        """
        step.denied.update(set(asked) - set(tickets))
        for worker_id, text in tickets.items():
            step.tickets[worker_id] = Ticket(text, until)

    def pace_orders(self, now):
        """Returns the pace orders that are due, a list of ``PaceOrder``."""
        return [
            order
            for worker in self.workers.values()
            if worker.has_clock and worker.silent_since is None
            for order in pace_worker(worker, now)
        ]

    def apply_pace(self, order, now):
        """Notes that a worker took a pace order."""
        order.worker.paced_at = now
        if order.task.run == order.run:
            order.task.pace = order.percent

    def apply_start(self, order, outcome, now):
        """Applies a worker's answer to a start order."""
        task = order.task
        if task.run != order.run or task.state is not TaskState.STARTING:
            return
        if outcome is StartOutcome.STARTED:
            task.state = TaskState.RUNNING
            task.confirmed_at = now
            task.progressed_at = now
            return
        if outcome in (StartOutcome.UNHEALTHY, StartOutcome.UNREACHABLE):
            health.note_busy(order.worker, now)
        elif outcome is StartOutcome.NO_TICKET:
            (task.step.tickets or {}).pop(order.worker.worker_id, None)
        self._report(
            "start rejected",
            task=task.name,
            run=order.run,
            worker=order.worker.worker_id,
            outcome=outcome.value,
        )
        self._release(task)

    def apply_lost_start(self, order):
        """Notes that a start order got no answer: it may be carried out late."""
        task = order.task
        if task.run == order.run and task.state is TaskState.STARTING:
            task.state = TaskState.UNSURE
            self._report(
                "start unanswered",
                task=task.name,
                run=task.run,
                worker=order.worker.worker_id,
            )

    def apply_stop_answer(self, order, now):
        """Notes that a worker took a stop: the run is ended or never starts."""
        task = order.worker.tasks.get(order.task_name)
        if task is not None and task.run == order.run:
            task.stop_answered_at = now

    def stop_orders(self, now):
        """Returns the stops that are due, a list of ``StopOrder``."""
        orders, self._strays = self._strays, []
        for worker in self.workers.values():
            if not worker.has_clock:
                continue
            for task in worker.tasks.values():
                is_doubtful = (
                    task.state is TaskState.UNSURE
                    and task.token == self.token
                    and now - task.ordered_at > UNSURE_S
                )
                if not (task.is_stopping or is_doubtful):
                    continue
                if task.stop_sent_at and now - task.stop_sent_at < STOP_RETRY_S:
                    continue
                if task.state is TaskState.STARTING:
                    continue
                task.stop_sent_at = now
                orders.append(StopOrder(task.name, task.run, worker))
        return orders
