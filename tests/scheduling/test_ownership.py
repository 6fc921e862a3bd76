import unittest

from basilwind.scheduling.ownership import (
    DUTY_DELAY_S,
    HEARTBEAT_OVERDUE_S,
    HOLDER_SILENCE_S,
    LOST_DUTY_DELAY_S,
    MAX_STORE_SILENCE_S,
    UNRESPONSIVE_HOLDER_SILENCE_S,
    Claim,
    DutyTable,
    claim_delay_s,
    is_sole_holder,
)

WANTED = ["pool/a", "pool/b"]


class TestDutyTable(unittest.TestCase):
    def setUp(self):
        self.table = DutyTable("e1#1", "e1")

    def _claim(self, duty, holder, token, now=0.0):
        self.table.apply_claim(duty, Claim(holder, "addr", token), now)

    def _to_claim(self, now, reliable_since=0.0):
        return self.table.duty_to_claim(WANTED, 2.2, reliable_since, now, now)

    def test_later_token_wins_in_any_reading_order(self):
        self._claim("pool/a", "e2#1", 9)
        self._claim("pool/a", "e3#1", 4)
        self.assertEqual(self.table.claims["pool/a"].holder, "e2#1")

    def test_release_counts_only_for_its_own_token(self):
        self._claim("pool/a", "e2#1", 9)
        self._claim("pool/a", "", 4)
        self.assertEqual(self.table.claims["pool/a"].holder, "e2#1")
        self._claim("pool/a", "", 9)
        self.assertTrue(self.table.is_free("pool/a", 0.0, 0.0))

    def test_silent_holder_counts_as_gone_only_if_the_store_answered(self):
        self._claim("pool/a", "e2#1", 1, now=10.0)
        later = 10.0 + HOLDER_SILENCE_S + 0.1
        self.assertTrue(self.table.is_free("pool/a", 0.0, later))
        self.assertFalse(self.table.is_free("pool/a", later - 1.0, later))

    def _ask(self, incarnation, store_silence_s=0.0):
        """Applies an answer of the holder of pool/a, whose heartbeat is overdue."""
        self._claim("pool/a", "e2#1", 1, now=10.0)
        self.assertEqual(self.table.holders_to_ask(WANTED, 0.0, 10.5, 10.5), [])
        asked_at = 10.0 + HEARTBEAT_OVERDUE_S + 0.05
        (claim,) = self.table.holders_to_ask(WANTED, 0.0, asked_at, asked_at)
        self.assertEqual(claim.holder, "e2#1")
        later = asked_at + 0.1
        self.assertEqual(self.table.holders_to_ask(WANTED, 0.0, later, later), [])
        self.table.apply_answer(claim.holder, incarnation, store_silence_s, asked_at)

    def _free_after_s(self):
        """Returns the silence after which pool/a is free, in tenths of a second."""
        return next(
            tenths / 10
            for tenths in range(30)
            if self.table.is_free("pool/a", 0.0, 10.01 + tenths / 10)
        )

    def test_no_holder_becomes_silent_while_the_store_answers_nobody(self):
        # Regression (fleetbench sabeel-amman trouble-3, 19 s): in the second after the
        # store fell silent, four daemons tried to claim duties of live holders.
        self._ask("e2#1", store_silence_s=0.9)
        heartbeats_read_at = 10.2
        self.assertFalse(self.table.is_free("pool/a", 0.0, heartbeats_read_at))
        due = self.table.holders_to_ask(WANTED, 0.0, heartbeats_read_at, 15.0)
        self.assertEqual(due, [])

    def test_unresponsive_holder_is_gone_early(self):
        self._ask("")
        self.assertEqual(self._free_after_s(), UNRESPONSIVE_HOLDER_SILENCE_S)

    def test_holder_that_lacks_the_store_is_gone_early(self):
        self._ask("e2#1", store_silence_s=0.8)
        self.assertEqual(self._free_after_s(), UNRESPONSIVE_HOLDER_SILENCE_S)

    def test_holder_that_reaches_the_store_keeps_its_time(self):
        self._ask("e2#1", store_silence_s=0.4)
        self.assertEqual(self._free_after_s(), HOLDER_SILENCE_S)

    def test_replaced_holder_is_gone_at_once(self):
        self._ask("e2#2")
        self.assertTrue(self.table.is_free("pool/a", 0.0, 10.8))

    def test_heartbeat_after_the_question_makes_up_for_no_answer(self):
        self._ask("")
        self.table.apply_heartbeat("e2#1", 10.9)
        self.assertFalse(self.table.is_free("pool/a", 0.0, 12.0))

    def test_holder_acts_alone_only_while_nobody_can_have_claimed(self):
        limit_s = UNRESPONSIVE_HOLDER_SILENCE_S
        self.assertTrue(is_sole_holder(10.0, False, 10.0 + limit_s - 0.01))
        self.assertFalse(is_sole_holder(10.0, False, 10.0 + limit_s))
        self.assertTrue(is_sole_holder(10.0, True, 10.0 + limit_s))
        self.assertFalse(is_sole_holder(10.0, True, 10.0 + MAX_STORE_SILENCE_S))

    def test_lost_duty_is_claimed_again_after_a_delay(self):
        now = 10.0
        self._claim("pool/a", "e1#1", 1, now)
        self._claim("pool/b", "e2#1", 2, now)
        self.table.mark_lost("pool/a", now)
        self.assertEqual(self.table.held_duties(), {})
        self.assertIsNone(self._to_claim(now + LOST_DUTY_DELAY_S / 2))
        self.assertEqual(self._to_claim(now + LOST_DUTY_DELAY_S + 0.3), "pool/a")

    def test_own_previous_incarnation_is_gone_at_once(self):
        self._claim("pool/a", "e1#0", 1, now=10.0)
        self.assertTrue(self.table.is_free("pool/a", 10.0, 10.0))

    def test_daemon_that_holds_a_duty_lets_others_claim_first(self):
        self._claim("pool/a", "e1#1", 1)
        self.assertIsNone(self._to_claim(now=0.0))
        self.assertIsNone(self._to_claim(now=DUTY_DELAY_S / 2))
        self.assertEqual(self._to_claim(now=DUTY_DELAY_S + 1.0), "pool/b")

    def test_released_duty_has_no_previous_holder_and_a_silent_holder_remains(self):
        self._claim("pool/a", "e2#1", 1)
        self._claim("pool/a", "e1#1", 5)
        self.assertIn("pool/a", self.table.previous_claims)
        self._claim("pool/a", "", 5)
        self._claim("pool/a", "e1#1", 8)
        self.assertNotIn("pool/a", self.table.previous_claims)

    def test_later_incarnation_of_a_holder_has_no_previous_holder(self):
        # Regression (fleetbench cordillera-flota-grown trouble-2): after a power loss
        # of all daemons, moves waited 1.5 s for the previous planner, which was an
        # earlier incarnation on the same host.
        self.table.apply_claim("fleet", Claim("other#1", "x", 1), 0.0)
        self.table.apply_claim("fleet", Claim("other#2", "x", 2), 1.0)
        self.assertNotIn("fleet", self.table.previous_claims)
        self.table.apply_claim("fleet", Claim("third#1", "y", 3), 2.0)
        self.assertEqual(self.table.previous_claims["fleet"].holder, "other#2")

    def test_fast_host_with_two_duties_claims_before_a_slow_one_with_none(self):
        # Regression (fleetbench cordillera-flota-grown trouble-2): a host of half a
        # core owned the pool during its burst and started half as many tasks as a fast
        # one.
        self.assertLess(claim_delay_s(2.15, 2), claim_delay_s(0.516, 0))
        self.assertLess(claim_delay_s(0.516, 0), claim_delay_s(0.516, 1))

    def test_slowest_hosts_do_not_wait_long_when_all_are_slow(self):
        # Taken from a fleetbench sweep with 300 hosts of 0.12 cores.
        self.assertLess(claim_delay_s(0.12, 0), 1.0)
