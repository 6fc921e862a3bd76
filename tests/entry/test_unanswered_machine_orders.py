import unittest

import anyio

from basilwind.entry import maintenance_log
from basilwind.entry.planner import FleetPlanner
from basilwind.errors import CallUnanswered
from basilwind.platform.machines import Machine, MachineState, OrderOutcome
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.demand import PoolReport, WorkerLoad
from basilwind.scheduling.fleet import Wave
from basilwind.scheduling.ownership import Claim
from tests.utils.entry_fakes import Clock, FakePeers, make_services

ROUND_S = 0.2  # by which the clock advances whenever an owner is asked
PREVIOUS = Claim("e2#1", "h2:1", 5, "a")


class _Machines:
    """Two idle hosts; the first order gets no answer and takes effect late."""

    def __init__(self):
        self.orders = []
        self.repeated = OrderOutcome.DONE

    async def list(self):
        state = MachineState.DOWN if self.orders else MachineState.UP
        return [
            self._machine("m1", "w1", MachineState.UP),
            self._machine("m2", "w2", MachineState.UP),
            self._machine("m3", "w3", state),
        ]

    @staticmethod
    def _machine(name, worker_id, state):
        return Machine(
            *(name, "pool", state, "a", frozenset()),
            cpu=8000,
            memory=64000,
            worker_id=worker_id,
        )

    async def start_maintenance(self, machine, wave, holder, token):
        return self._order(machine)

    async def move(self, machine, pool, holder, token):
        return self._order(machine)

    def _order(self, machine):
        self.orders.append(machine)
        if len(self.orders) == 1:
            raise CallUnanswered("no answer")
        return self.repeated if machine == self.orders[0] else OrderOutcome.DONE


class _Peers(FakePeers):
    """Owners that report the idle workers, but none of a host ordered often enough."""

    def __init__(self, machines, silent_after):
        super().__init__()
        self._machines = machines
        self._silent_after = silent_after

    async def withhold(self, pool, worker_ids, token, at_risk=()):
        self.on_withhold(worker_ids)
        orders = self._machines.orders
        silent = {
            f"w{name[1:]}"
            for name in orders
            if orders.count(name) >= self._silent_after
        }
        idle = [
            WorkerLoad(f"w{n}", 8000, 0, 0)
            for n in range(1, 6)
            if f"w{n}" not in silent
        ]
        return PoolReport(pool, idle, 0.0, 0.0, 0, 0, 0, 0, 0, 0.0, 0)


class TestUnansweredMachineOrders(unittest.TestCase):
    """An order for a machine gets no answer, and takes effect seconds later."""

    def _run_planner(
        self,
        wave=None,
        recent_orders=None,
        run_s=2.0,
        repeated=None,
        silent_after=1,
        recorded=(),
    ):
        """Returns the orders, and the withheld workers of each call after the first."""
        clock = Clock()
        services = make_services(clock)
        machines = services.machine_client = _Machines()
        services.store.latest[maintenance_log.TOPIC] = [
            KeyedRecord(0, host, str(clock() - 1.0).encode()) for host in recorded
        ]
        machines.repeated = repeated or OrderOutcome.DONE
        if wave:
            services.configuration.waves = {1: (wave, clock())}
        peers = _Peers(machines, silent_after)
        peers.recent_orders = recent_orders
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
