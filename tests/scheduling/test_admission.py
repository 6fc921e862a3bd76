import unittest

from basilwind.scheduling.admission import refuse_for_s, retry_after_s
from basilwind.scheduling.run_times import RunTimes
from tests.scheduling.model import QUEUE


class TestAdmission(unittest.TestCase):
    """A burst that demands more than all hosts can do."""

    def _refuse(self, backlog, cores=256.0):
        return refuse_for_s(QUEUE, backlog, cores, RunTimes())

    def test_backlog_that_more_hosts_will_drain_is_accepted(self):
        self.assertEqual(self._refuse(backlog=2000.0), 0.0)

    def test_job_that_would_end_too_late_to_be_of_use_is_refused(self):
        self.assertGreater(self._refuse(backlog=20_000.0), 0.0)

    def test_pool_without_known_workers_refuses_nothing(self):
        self.assertEqual(self._refuse(backlog=20_000.0, cores=0.0), 0.0)

    def test_refused_callers_do_not_retry_all_at_once(self):
        waits = {retry_after_s(f"{n:016x}", 4.2) for n in range(50)}
        self.assertEqual(waits, {5, 6, 7})
