"""A daemon that was paused must not act on authority that has run out meanwhile."""

import types
import unittest

import anyio

from basilwind.entry.journal import journal_topic
from basilwind.entry.owner import HOUSEKEEPING_S, PoolOwner
from basilwind.entry.planner import FleetPlanner
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.errors import NotOwner
from basilwind.scheduling.ownership import HOLDER_SILENCE_S, MAX_STORE_SILENCE_S
from basilwind.scheduling.reports import StartOutcome
from tests.scheduling.model import WORKER_LIMITS, make_job
from tests.utils.entry_fakes import Clock, FakeDuties, FakePeers, make_services

PAUSE_S = 5.0  # a successor has taken over after two seconds
SETTLE_S = 0.3  # some scheduling rounds


class TestStoreMonitor(unittest.TestCase):
    """The store answered before a pause; the answer is read after it."""

    def test_answer_that_waited_confirms_nothing_new(self):
        clock = Clock()
        monitor = StoreMonitor(clock)
        sent_at = clock.now = 1010.0
        clock.now += PAUSE_S
        monitor.record_answer(sent_at)
        self.assertFalse(monitor.is_suspected)
        self.assertEqual(monitor.confirmed_at, sent_at)


class TestPausedOwner(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.services = make_services(self.clock)
        self.starts = self.services.worker_control.starts

    def _run(self, scenario):
        async def main():
            owner = PoolOwner("pool", 7, self.services)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                while not owner.is_loaded:
                    await anyio.sleep(0.01)
                await anyio.sleep(SETTLE_S)
                await scenario(owner)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _submit(self, owner):
        owner.state.submit(
            "a" * 16, "q", make_job(count=1), self.clock(), self.clock(), self.clock()
        )
        owner.request_scheduling()
        await anyio.sleep(SETTLE_S)

    def test_journalled_start_is_sent(self):
        self._run(self._submit)
        self.assertEqual(self.starts, [("a" * 16 + ".0.0.0", 1)])

    def test_clock_of_another_incarnation_made_a_lease_look_expired(self):
        # The answer to a start does not tell which incarnation it is from.
        async def start(*arguments):
            return StartOutcome.STARTED, self.clock() + PAUSE_S * 100

        async def stay_silent(*arguments):
            await anyio.sleep_forever()

        async def scenario(owner):
            workers = self.services.worker_control
            workers.start, workers.hold = start, stay_silent
            await anyio.sleep(SETTLE_S)
            await self._submit(owner)
            (worker,) = owner.state.workers.values()
            self.assertTrue(worker.tasks)
            self.assertFalse(worker.has_lapsed(WORKER_LIMITS, self.clock()))

        self._run(scenario)

    def test_start_is_not_sent_after_pause_during_its_journalling(self):
        def pause(topic):
            if topic == journal_topic("pool"):
                self.clock.now += PAUSE_S

        async def scenario(owner):
            self.services.store.on_append = pause
            await self._submit(owner)

        self._run(scenario)
        self.assertEqual(self.starts, [])

    def test_owner_without_authority_places_no_task(self):
        # Regression: it placed and journalled tasks that it may not start, took them
        # back and placed them again, every few milliseconds.
        async def scenario(owner):
            self.services.duties = types.SimpleNamespace(confirmed_at=0.0)
            await self._submit(owner)
            (task,) = owner.state.jobs["a" * 16].tasks()
            self.assertEqual(task.run, 0)
            self.services.duties = FakeDuties(self.services.store_monitor)
            await anyio.sleep(SETTLE_S + HOUSEKEEPING_S)
            self.assertEqual(task.run, 1)

        self._run(scenario)
        self.assertEqual(self.starts, [("a" * 16 + ".0.0.0", 1)])

    def test_owner_without_store_reports_nothing_to_planner(self):
        async def scenario(owner):
            owner.withhold([], 1)
            self.clock.now += HOLDER_SILENCE_S
            with self.assertRaises(NotOwner):
                owner.withhold([], 1)

        self._run(scenario)

    def test_owner_without_store_does_not_deny_that_a_job_exists(self):
        async def scenario(owner):
            self.assertIsNone(await owner.job_state("b" * 16))
            self.clock.now += HOLDER_SILENCE_S
            with self.assertRaises(NotOwner):
                await owner.job_state("b" * 16)

        self._run(scenario)

    def test_confirmed_outage_lets_owner_report_while_leases_may_be_extended(self):
        self.services = make_services(self.clock, is_outage=True)

        async def scenario(owner):
            self.clock.now += HOLDER_SILENCE_S
            owner.withhold([], 1)
            self.clock.now += MAX_STORE_SILENCE_S - HOLDER_SILENCE_S
            with self.assertRaises(NotOwner):
                owner.withhold([], 1)

        self._run(scenario)

    def test_owner_follows_only_the_latest_planner(self):
        async def scenario(owner):
            owner.withhold(["w1"], 5)
            with self.assertRaises(NotOwner):
                owner.withhold([], 4)
            self.assertTrue(owner.state.workers["w1"].is_withheld)

        self._run(scenario)


class TestPausedPlanner(unittest.TestCase):
    """The planner moves an idle host to the spare pool."""

    def _orders(self, on_withhold, run_s=2.0):
        """Returns the orders of a planner.

        Args:
            on_withhold: Called with clock, monitor and worker ids whenever the
                planner asks an owner.
            run_s: How long the planner runs, seconds.
        """
        clock = Clock()
        events = []
        services = make_services(clock, lambda event, **_: events.append(event))
        peers = FakePeers()
        monitor = services.store_monitor
        peers.on_withhold = lambda ids: on_withhold(clock, monitor, ids)

        async def main():
            with anyio.move_on_after(run_s):
                await FleetPlanner(7, services, peers).run()

        anyio.run(main)
        return services.machine_client.orders, events

    def test_idle_host_is_moved(self):
        def tick(clock, monitor, worker_ids):
            clock.now += 0.2
            monitor.record_answer(clock.now)

        orders, _ = self._orders(tick)
        self.assertIn(("m1", "spare"), orders)

    def test_nothing_is_moved_on_reports_from_before_a_pause(self):
        def pause(clock, monitor, worker_ids):
            clock.now += PAUSE_S if worker_ids else 0.2
            monitor.record_answer(clock.now)

        orders, events = self._orders(pause)
        self.assertEqual(orders, [])
        self.assertIn("machine orders withheld", events)

    def test_planner_without_store_moves_nothing(self):
        def tick(clock, monitor, worker_ids):
            clock.now += HOLDER_SILENCE_S / 2

        orders, events = self._orders(tick)
        self.assertEqual(orders, [])
        self.assertIn("machine orders withheld", events)
