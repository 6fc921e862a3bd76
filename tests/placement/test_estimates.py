import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from basilwind.client import SubmitOptions
from basilwind.models import Demand, OutcomeKind, RequestSpec
from basilwind.placement.estimates import LEAST_SAMPLES, Sizes
from basilwind.workers.results import TaskUsage
from tests.placement.test_overload import count
from tests.utils.fleet import run_async, running_fleet

DECLARED = Demand(slots=2, cpus=16.0, memory_gb=64.0)
SPEC = RequestSpec("r", "team", "work", "pool", DECLARED)


class TestSizes(unittest.TestCase):
    def test_declared_size_counts_until_enough_is_known(self):
        sizes = Sizes()
        for _ in range(LEAST_SAMPLES - 1):
            sizes.note(SPEC, TaskUsage(1.0, 2.0))
        self.assertEqual(sizes.corrected(SPEC), DECLARED)
        sizes.note(SPEC, TaskUsage(1.0, 2.0))
        self.assertEqual(sizes.corrected(SPEC), Demand(2, 1.0, 2.0))

    def test_worker_that_reports_nothing_changes_nothing(self):
        sizes = Sizes()
        for _ in range(LEAST_SAMPLES * 2):
            sizes.note(SPEC, None)
        self.assertEqual(sizes.corrected(SPEC), DECLARED)

    @given(st.lists(st.floats(0, 1000), min_size=LEAST_SAMPLES, max_size=50))
    def test_reserve_covers_most_tasks_but_not_the_mean_alone(self, used):
        sizes = Sizes()
        for cpus in used:
            sizes.note(SPEC, TaskUsage(cpus, 0.0))
        reserved = sizes.corrected(SPEC).cpus
        covered = sum(cpus <= reserved for cpus in used)
        self.assertGreaterEqual(covered, 0.9 * len(used))
        self.assertLessEqual(reserved, max(used))


class TestDeclaredSizesOff(unittest.TestCase):
    @run_async
    async def test_sizes_declared_four_times_too_large_do_not_idle_slots(self):
        async with running_fleet(hosts_per_shard=1) as fleet:
            (worker,) = fleet.workers.values()
            body = b'{"work_s": 0.2, "uses_cpus": 8.0}'
            options = SubmitOptions(deadline_s=20.0, cpus=32.0)

            async def send(replies):
                replies.append(await fleet.submit("zone-a-e1", body, options))

            for most_running in (2, 8):
                replies = []
                async with anyio.create_task_group() as tasks:
                    for _ in range(LEAST_SAMPLES + 6):
                        tasks.start_soon(send, replies)
                self.assertEqual(count(replies, OutcomeKind.DONE), len(replies))
                # 64 processors: two of 32 fit, and eight of 8.
                self.assertLessEqual(worker.ledger.most_running, 8)
                self.assertGreaterEqual(worker.ledger.most_running, most_running)
            sizes = fleet.daemons[fleet.owner()].dispatcher.shard("pool-a").sizes
            spec = RequestSpec("r", "team-pool-a", "work", "pool-a", Demand(cpus=32.0))
            self.assertEqual(sizes.corrected(spec).cpus, 8.0)
