"""The orders that stop runs of a pool, and when they may be sent."""

from basilwind.scheduling.interruptions import may_interrupt
from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.orders import StopOrder
from basilwind.scheduling.pool_workers import PoolWorkers

STOP_RETRY_S = 0.7  # stopping takes up to 0.2 or 0.9 s, depending on the deployment
UNCONFIRMED_START_S = 0.3  # time for a hold to report a run whose start got no answer
FRESH_REPORT_S = 0.05  # a run that starts later than the report is not up yet


class PoolStops(PoolWorkers):
    """Jobs, workers and stops of one pool; see ``PoolJobs`` for the arguments."""

    def apply_stop_answer(self, order, now):
        """Records that a worker accepted a stop: the run has ended or cannot start."""
        order.worker.revoked_starts.pop((order.task_name, order.run), None)
        task = order.worker.tasks.get(order.task_name)
        if task is None or task.run != order.run:
            return
        # Only the first answer counts. Holds last longer than the stop retry interval,
        # so a later answer would always be newer than the latest hold, and the task
        # would never be released.
        if task.stop_answered_at is None:
            task.stop_answered_at = now

    def stop_orders(self, now):
        """Returns the ``StopOrder`` objects that are due."""
        orders, self._pending_stops = self._pending_stops, []
        for worker in self.workers.values():
            orders += self.stop_orders_of(worker, now)
        return orders

    def stop_orders_of(self, worker, now):
        """Returns the ``StopOrder`` objects that are due for the runs of a worker."""
        if not worker.is_clock_known:
            return []
        orders = self._revocations_of(worker, now)
        for task in worker.tasks.values():
            if task.state is TaskState.STARTING:
                continue
            if task.stop_sent_at and now - task.stop_sent_at < STOP_RETRY_S:
                continue
            if not (task.is_stopping or self._is_start_lost(task, worker, now)):
                continue
            if task.spec.is_lasting and task.job.is_live:
                if task.is_stopping and not self._may_send_stop(task, worker, now):
                    continue
                self._report_interruption(task, worker, now)
            task.stop_sent_at = now
            orders.append(StopOrder(task.name, task.run, worker))
        return orders

    @staticmethod
    def _revocations_of(worker, now):
        """Returns the ``StopOrder`` objects that are due for given up starts."""
        if worker.unanswered_since is not None:
            return []
        orders = []
        for (name, run), sent_at in worker.revoked_starts.items():
            if sent_at is None or now - sent_at >= STOP_RETRY_S:
                worker.revoked_starts[name, run] = now
                orders.append(StopOrder(name, run, worker))
        return orders

    def _may_send_stop(self, task, worker, now):
        """Returns whether the stop of a long-running run may be sent, or sent again.

        A stop that was never sent is dropped otherwise, and decided anew if the run is
        still to be stopped. One that was sent may still take effect.
        """
        if worker.entry.is_draining or may_interrupt(task, self.workers, now):
            return True
        if self._is_absent(task, worker, now):
            return True
        if task.stop_sent_at is None:
            task.is_stopping = False
        return False

    def _is_start_lost(self, task, worker, now):
        """Returns whether a start without an answer has to be revoked by a stop.

        A long-running task may be up, and the step have no interruption to spare. Its
        start is revoked only immediately after a report that lacks the run.
        """
        if (
            task.state is not TaskState.UNCONFIRMED
            or task.stop_answered_at is not None
            or task.token != self.token
            or now - task.ordered_at <= UNCONFIRMED_START_S
        ):
            return False
        return not task.spec.is_lasting or self._is_absent(task, worker, now)

    @staticmethod
    def _is_absent(task, worker, now):
        """Returns whether a report that was just read lacks an unconfirmed run."""
        reported_at = worker.reported_at
        return (
            task.state is TaskState.UNCONFIRMED
            and reported_at is not None
            and reported_at - task.ordered_at > UNCONFIRMED_START_S
            and now - reported_at < FRESH_REPORT_S
        )
