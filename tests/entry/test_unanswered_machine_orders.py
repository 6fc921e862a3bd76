import unittest

import anyio

from basilwind.entry import maintenance_log
from basilwind.entry.planner import FleetPlanner
from basilwind.errors import CallUnanswered
from basilwind.platform.machines import OrderOutcome
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.fleet import Wave
from tests.entry.test_planner_handover import PREVIOUS
from tests.utils.entry_fakes import Clock, FakeMachines, FakePeers, make_services

ROUND_S = 0.2  # by which the clock advances whenever an owner is asked


class _Machines(FakeMachines):
    """Two idle hosts; the first order gets no answer, its repeat may be rejected."""

    def __init__(self, repeated):
        super().__init__(2)
        self._repeated = repeated

    async def start_maintenance(self, machine, wave, holder, token):
        return await self.move(machine, "", holder, token)

    async def move(self, machine, pool, holder, token):
        self.orders.append(machine)
        if len(self.orders) == 1:
            raise CallUnanswered("no answer")
        return self._repeated if machine == self.orders[0] else OrderOutcome.DONE


class TestUnansweredMachineOrders(unittest.TestCase):
    """An order for a machine gets no answer, and takes effect seconds later."""

    def _run_planner(
        self,
        wave=None,
        recent_orders=None,
        run_s=2.0,
        repeated=OrderOutcome.DONE,
        silent_after=1,
        recorded=(),
    ):
        """Runs a planner.

        Args:
            wave: ``Wave``, or None.
            recent_orders: What the previous planner hands over, or None.
            run_s: How long the planner runs, seconds.
            repeated: Outcome of an order that is repeated.
            silent_after: Number of orders after which a host's worker is silent.
            recorded: Hosts that a lost planner was about to order.

        Returns:
            The ordered hosts, and the withheld workers of each call since the first.
        """
        clock = Clock()
        services = make_services(clock)
        machines = services.machine_client = _Machines(repeated)
        services.store.latest[maintenance_log.TOPIC] = [
            KeyedRecord(0, host, str(clock() - 1.0).encode()) for host in recorded
        ]
        if wave:
            services.configuration.waves = {1: (wave, clock())}
        peers = FakePeers()
        peers.recent_orders = recent_orders
        peers.silent = lambda: {
            f"w{host[1:]}"
            for host in machines.orders
            if machines.orders.count(host) >= silent_after
        }
        calls = []

        def tick(worker_ids):
            clock.now += ROUND_S
            services.store_monitor.record_answer(clock.now)
            if machines.orders:
                calls.append(set(worker_ids))

        peers.on_withhold = tick
        previous = PREVIOUS if recent_orders else None

        async def main():
            with anyio.move_on_after(run_s):
                await FleetPlanner(7, services, peers, previous).run()

        anyio.run(main)
        return machines.orders, calls

    def test_host_whose_move_may_take_effect_was_given_tasks(self):
        orders, calls = self._run_planner()
        ordered = f"w{orders[0][1:]}"
        self.assertGreater(len(calls), 2)
        self.assertTrue(all(ordered in withheld for withheld in calls), calls)

    def test_wave_took_down_one_host_too_many(self):
        wave = Wave(1, ("m1", "m2"), 60.0, 1)
        orders, _ = self._run_planner(wave)
        self.assertEqual(set(orders) & set(wave.hosts), {orders[0]})

    def test_rejected_repeat_was_taken_for_the_outcome_of_the_first_order(self):
        wave = Wave(1, ("m1", "m2"), 60.0, 1)
        orders, _ = self._run_planner(
            wave, repeated=OrderOutcome.REJECTED, silent_after=2
        )
        self.assertEqual(set(orders) & set(wave.hosts), {orders[0]})

    def test_wave_did_not_count_the_order_of_the_previous_planner(self):
        wave = Wave(1, ("m1", "m2"), 60.0, 1)
        orders, _ = self._run_planner(wave, {"m2": 0.1}, run_s=0.7)
        self.assertEqual(set(orders) & set(wave.hosts), set())

    def test_wave_did_not_count_the_order_of_a_planner_that_was_lost(self):
        wave = Wave(1, ("m1", "m2"), 60.0, 1)
        orders, _ = self._run_planner(wave, recorded=("m2",), run_s=0.7)
        self.assertEqual(set(orders) & set(wave.hosts), {"m2"})
