import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.scheduling.admission import (
    CustomerWork,
    RefusalReason,
    admit,
    fair_wait_s,
    is_too_large,
    refuse_for_s,
    retry_after_s,
)
from basilwind.scheduling.fleet import Customer, Resources
from basilwind.scheduling.run_times import RunTimes
from tests.scheduling.model import QUEUE, PoolModel, make_job

HORIZON_S = 10.0
CORES = 16.0
AMOUNTS = st.floats(0.0, 1e6)


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


class TestCustomerAdmission(unittest.TestCase):
    """Several customers wait for one pool."""

    def _admit(self, own, *others, refill_s=0.0, is_overloaded=True):
        works = (own, *others)
        return admit(own, works, CORES, HORIZON_S, refill_s, is_overloaded)

    def test_wait_of_one_customer_is_that_of_its_backlog(self):
        own = CustomerWork(3.0, started=100.0, waiting=500.0)
        self.assertEqual(fair_wait_s(own, [own], CORES, HORIZON_S), 600 / 48)

    def test_others_go_ahead_with_their_share_and_no_more_than_their_backlog(self):
        own = CustomerWork(1.0, waiting=100.0)
        hot = CustomerWork(2.0, waiting=1e6)
        small = CustomerWork(2.0, waiting=10.0)
        wait_s = fair_wait_s(own, [own, hot, small], CORES, HORIZON_S)
        self.assertEqual(wait_s, (100 + 200 + 10) / 48)

    @given(AMOUNTS, AMOUNTS, st.floats(0.01, 1e6))
    def test_no_backlog_of_another_customer_refuses_a_job(self, started, waiting, hot):
        own = CustomerWork(1.0)
        other = CustomerWork(hot, started=started, waiting=waiting)
        self.assertIsNone(self._admit(own, other).reason)

    def test_hot_customer_is_refused_for_its_backlog(self):
        own, other = CustomerWork(1.0, waiting=1000.0), CustomerWork(1.0)
        admission = self._admit(own, other)
        self.assertIs(admission.reason, RefusalReason.BACKLOG)
        self.assertAlmostEqual(admission.refuse_for_s, 1000 / 48 - HORIZON_S)

    def test_excess_is_refused_once_the_pool_is_overloaded(self):
        own = CustomerWork(1.0)
        admission = self._admit(own, refill_s=0.4)
        self.assertIs(admission.reason, RefusalReason.EXCESS)
        self.assertEqual(admission.refuse_for_s, 0.4)
        calm = self._admit(own, refill_s=0.4, is_overloaded=False)
        self.assertIsNone(calm.reason)

    def test_customer_at_its_quota_waits_for_its_own_work_only(self):
        hot = CustomerWork(1.0, waiting=1e6)
        own = CustomerWork(1.0, 2.0, started=2.0, waiting=15.0, running_cores=2.0)
        self.assertIsNone(self._admit(own, hot).reason)
        own.waiting = 30.0
        admission = self._admit(own, hot)
        self.assertIs(admission.reason, RefusalReason.QUOTA)
        self.assertEqual(admission.refuse_for_s, 32 / 2 - HORIZON_S)

    def test_work_that_a_quota_does_not_allow_to_run_delays_nobody(self):
        own = CustomerWork(1.0, waiting=300.0)
        limited = CustomerWork(1.0, 1.0, waiting=300.0)
        wait_s = fair_wait_s(own, [own, limited], CORES, HORIZON_S)
        self.assertEqual(wait_s, (300 + 1.0 * HORIZON_S) / 48)

    def test_task_or_gang_larger_than_the_maximum_is_too_large(self):
        maximum = Resources(4000, 0, 2)
        self.assertFalse(is_too_large(make_job(count=100, cpu=4000), maximum))
        self.assertTrue(is_too_large(make_job(count=1, cpu=4001), maximum))
        self.assertTrue(is_too_large(make_job(count=1, gpu=3), maximum))
        self.assertTrue(is_too_large(make_job(count=5, is_gang=True), maximum))
        self.assertFalse(is_too_large(make_job(count=4, is_gang=True), maximum))
        # Fillers reserve no CPU, but count in full against the maximum.
        filler = make_job(count=1, cpu=4001, is_filler=True)
        self.assertTrue(is_too_large(filler, maximum))


class TestQuotaDemand(unittest.TestCase):
    """A customer sends far more than its quota allows to run."""

    def _report(self, maximum, **fields):
        customer = Customer("a", 1e6, maximum)
        model = PoolModel(self.fail, find_customer=lambda name: customer)
        for number in range(50):
            model.submit(f"{number:016x}", make_job(count=4, **fields), "a")
        return model.state.pool_report(model.now, model.now)

    def test_work_beyond_the_quota_calls_for_no_hosts(self):
        limited = self._report(Resources(8000))
        self.assertEqual(limited.urgent_work + limited.late_work, 8.0)
        by_memory = self._report(Resources(0, 3000, 0))
        self.assertEqual(by_memory.urgent_work, 3.0)
        self.assertEqual(self._report(Resources()).urgent_work, 200.0)

    def test_fillers_that_use_the_quota_leave_no_room(self):
        customer = Customer("a", 1e6, Resources(4000))
        model = PoolModel(self.fail, find_customer=lambda name: customer)
        model.submit("fill", make_job(count=4, is_filler=True, is_lasting=True), "a")
        model.hold()
        model.schedule()
        model.submit("job", make_job(count=4), "a")
        report = model.state.pool_report(model.now, model.now)
        self.assertEqual(report.urgent_work, 0.0)
        admission = model.state.admit("q", "a", model.now, model.now)
        self.assertIsNone(admission.reason)
        self.assertTrue(model.state._customers.is_at_quota("a"))

    def test_long_running_tasks_beyond_the_quota_call_for_no_hosts(self):
        self.assertEqual(
            self._report(Resources(8000), is_lasting=True).lasting_cpu, 8000
        )
