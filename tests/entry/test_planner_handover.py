import unittest

import anyio

from basilwind.entry.planner import FleetPlanner
from basilwind.errors import ProducerFenced
from basilwind.scheduling.ownership import Claim
from tests.utils.entry_fakes import Clock, FakePeers, make_services

PREVIOUS = Claim("e2#1", "h2:1", 5, "a")
ROUND_S = 0.2  # by which the clock advances whenever an owner is asked


class TestPlannerHandover(unittest.TestCase):
    """A planner takes over from one that lost the store and still runs.

    Load pattern (fleetbench cordillera-flota-large trouble-1, 18.5 s): a burst began in
    a pool of 19 hosts that needed 160, and the new planner waited 3.2 s for the lease
    of the previous one before it moved any host.
    """

    def _run_planner(
        self, recent_orders, run_s=2.0, handed_over_to=0, previous=PREVIOUS
    ):
        """Returns the times of the orders for host m1, from the planner's start."""
        clock = Clock()
        services = make_services(clock)
        services.machine_orders.handed_over_to = handed_over_to
        peers = FakePeers()
        peers.recent_orders = recent_orders
        if previous is not PREVIOUS:
            # Its address is that of this daemon.
            async def hand_over(claim, token, lease_s):
                services.machine_orders.hand_over(token, lease_s, clock())

            peers.hand_over_planning = hand_over
        started_at, ordered_at = clock(), []

        def tick(worker_ids):
            clock.now += ROUND_S
            services.store_monitor.record_answer(clock.now)

        async def move(machine, pool, holder, token):
            ordered_at.append(clock() - started_at)
            return await services_move(machine, pool, holder, token)

        peers.on_withhold = tick
        services_move = services.machine_client.move
        services.machine_client.move = move

        async def main():
            with anyio.move_on_after(run_s):
                await FleetPlanner(7, services, peers, previous).run()

        anyio.run(main)
        return ordered_at

    def test_host_without_a_recent_order_is_moved_at_once(self):
        self.assertLess(self._run_planner({"m9": 0.1})[0], 2.0)

    def test_host_that_the_previous_planner_ordered_waits_for_its_lease(self):
        self.assertGreaterEqual(self._run_planner({"m1": 1.0}, run_s=3.0)[0], 2.2)

    def test_planner_that_was_started_again_handed_over_to_itself(self):
        # Regression (fleetbench kivimagi-inv scale-2, RECOVER): a planner that had a
        # predecessor was killed, handed over to itself and moved no host any more.
        previous = Claim("e1#0", "h1:1", 5, "a", has_predecessor=True)
        self.assertLess(self._run_planner(None, previous=previous)[0], 2.0)

    def test_planner_that_handed_over_gives_up(self):
        with self.assertRaises(ProducerFenced):
            self._run_planner(None, handed_over_to=8)
