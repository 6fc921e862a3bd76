import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from basilwind.client import SubmitOptions
from basilwind.models import Demand, OutcomeKind, RequestSpec
from basilwind.placement.estimates import MIN_SAMPLES, ResourceEstimates
from basilwind.workers.results import TaskUsage
from tests.placement.test_overload import count_outcomes
from tests.utils.fleet import run_async, running_fleet

DECLARED = Demand(slots=2, cpus=16.0, memory_gb=64.0)
SPEC = RequestSpec("r", "team", "work", "pool", DECLARED)


class TestResourceEstimates(unittest.TestCase):
    def test_declared_demand_is_used_until_enough_samples_exist(self):
        estimates = ResourceEstimates()
        for _ in range(MIN_SAMPLES - 1):
            estimates.record(SPEC, TaskUsage(1.0, 2.0))
        self.assertEqual(estimates.demand_for(SPEC), DECLARED)
        estimates.record(SPEC, TaskUsage(1.0, 2.0))
        self.assertEqual(estimates.demand_for(SPEC), Demand(2, 1.0, 2.0))

    def test_worker_that_reports_no_usage_changes_no_estimate(self):
        estimates = ResourceEstimates()
        for _ in range(MIN_SAMPLES * 2):
            estimates.record(SPEC, None)
        self.assertEqual(estimates.demand_for(SPEC), DECLARED)

    @given(st.lists(st.floats(0, 1000), min_size=MIN_SAMPLES, max_size=50))
    def test_reservation_covers_nine_of_ten_tasks(self, used):
        estimates = ResourceEstimates()
        for cpus in used:
            estimates.record(SPEC, TaskUsage(cpus, 0.0))
        reserved = estimates.demand_for(SPEC).cpus
        covered = sum(cpus <= reserved for cpus in used)
        self.assertGreaterEqual(covered, 0.9 * len(used))
        self.assertLessEqual(reserved, max(used))


class TestWrongDeclaredDemand(unittest.TestCase):
    @run_async
    async def test_demand_declared_four_times_too_large_leaves_no_slot_idle(self):
        async with running_fleet(hosts_per_shard=1) as fleet:
            (worker,) = fleet.workers.values()
            body = b'{"work_s": 0.2, "uses_cpus": 8.0}'
            options = SubmitOptions(deadline_s=20.0, cpus=32.0)

            async def send(replies):
                replies.append(await fleet.submit("zone-a-e1", body, options))

            for most_running in (2, 8):
                replies = []
                async with anyio.create_task_group() as tasks:
                    for _ in range(MIN_SAMPLES + 6):
                        tasks.start_soon(send, replies)
                self.assertEqual(
                    count_outcomes(replies, OutcomeKind.DONE), len(replies)
                )
                # 64 processors: two of 32 fit, and eight of 8.
                self.assertLessEqual(worker.ledger.most_running, 8)
                self.assertGreaterEqual(worker.ledger.most_running, most_running)
            estimates = (
                fleet.daemons[fleet.owner()]
                .dispatcher.shard("pool-a")
                .resource_estimates
            )
            spec = RequestSpec("r", "team-pool-a", "work", "pool-a", Demand(cpus=32.0))
            self.assertEqual(estimates.demand_for(spec).cpus, 8.0)
