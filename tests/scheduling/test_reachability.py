import unittest

from basilwind.scheduling.reachability import (
    START_PATIENCE_S,
    ZONE_SILENCE_S,
    reachable_workers,
)
from basilwind.scheduling.workers import WorkerView
from tests.scheduling.model import make_entry

CUT_AT = 100.0  # boot time in seconds


class TestReachableWorkers(unittest.TestCase):
    """Load pattern: zone b is cut off while a burst starts tasks on all workers."""

    def setUp(self):
        self.workers = {
            f"{zone}{n}": WorkerView(make_entry(f"{zone}{n}", zone=zone))
            for zone in "ab"
            for n in range(3)
        }
        for worker in self.workers.values():
            worker.set_clock(1.0, CUT_AT)

    def _reachable(self, now):
        workers = list(self.workers.values())
        return [worker.worker_id for worker in reachable_workers(workers, workers, now)]

    def _answer(self, prefix, now):
        for worker_id, worker in self.workers.items():
            if worker_id.startswith(prefix):
                worker.set_clock(2.0, now)

    def test_worker_with_a_start_under_way_for_long_gets_no_more_tasks(self):
        self.workers["a0"].pending_starts["t"] = CUT_AT
        self.assertIn("a0", self._reachable(CUT_AT + START_PATIENCE_S - 0.1))
        self.assertNotIn("a0", self._reachable(CUT_AT + START_PATIENCE_S + 0.1))

    def test_two_silent_workers_and_no_answers_condemn_their_zone(self):
        for worker_id in ("b0", "b1"):
            self.workers[worker_id].pending_starts["t"] = CUT_AT + 0.1
        now = CUT_AT + ZONE_SILENCE_S + 0.1
        self._answer("a", now)
        self.assertEqual(self._reachable(now), ["a0", "a1", "a2"])

    def test_zone_with_an_answering_worker_stays_in_use(self):
        for worker_id in ("b0", "b1"):
            self.workers[worker_id].pending_starts["t"] = CUT_AT + 0.1
        now = CUT_AT + ZONE_SILENCE_S + 0.1
        self._answer("a", now)
        self._answer("b2", now)
        self.assertEqual(self._reachable(now), ["a0", "a1", "a2", "b2"])

    def test_start_without_an_answer_counts_until_the_worker_answers(self):
        self.workers["b0"].unanswered_start_sent_at = CUT_AT + 0.5
        self.assertNotIn("b0", self._reachable(CUT_AT + 2.0))
        self._answer("b0", CUT_AT + 2.1)
        self.assertIn("b0", self._reachable(CUT_AT + 2.2))

    def test_lag_of_this_daemon_condemns_nobody(self):
        for worker in self.workers.values():
            worker.pending_starts["t"] = CUT_AT
        self.assertEqual(len(self._reachable(CUT_AT + 1.0)), 6)

    def test_idle_workers_stay_in_use(self):
        self.assertEqual(len(self._reachable(CUT_AT + 1.4)), 6)
