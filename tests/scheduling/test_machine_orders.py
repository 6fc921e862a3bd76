import unittest

from basilwind.scheduling.machine_orders import MachineOrders

LEASE_S = 3.2


class TestMachineOrders(unittest.TestCase):
    """Two planners that both run, around the hand-over between them."""

    def setUp(self):
        self.old, self.new = MachineOrders(), MachineOrders()

    def _hand_over(self, now, token=8):
        self.new.wait_for(self.old.hand_over(token, LEASE_S, now), LEASE_S, now)

    def test_new_planner_waits_for_recently_ordered_hosts_only(self):
        self.old.record("m1", 8.0)
        self.old.record("m2", 1.0)
        self._hand_over(now=10.0)
        may_order = {host: self.new.may_order(host, 8, 10.0) for host in ("m1", "m2")}
        self.assertEqual(may_order, {"m1": False, "m2": True})
        self.assertTrue(self.new.may_order("m1", 8, 8.0 + LEASE_S))

    def test_previous_planner_gives_no_orders_after_the_hand_over(self):
        self.assertTrue(self.old.may_order("m1", 7, 9.9))
        self._hand_over(now=10.0)
        self.assertFalse(self.old.may_order("m1", 7, 10.0))

    def test_previous_planner_that_claims_the_duty_again_gives_orders(self):
        self._hand_over(now=10.0)
        self.assertTrue(self.old.may_order("m1", 9, 20.0))
