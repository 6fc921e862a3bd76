import unittest

import anyio

from basilwind.entry.outage_detector import RELAY_VALID_S, OutageDetector
from basilwind.entry.peer_messages import DaemonResponse
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.scheduling.outages import (
    CONFIRMATION_VALID_S,
    SUSPECT_AFTER_S,
    TAKEOVER_VALID_S,
)
from basilwind.scheduling.ownership import Claim


class TestOutageDetector(unittest.TestCase):
    """The store does not answer here; responses of others decide on an outage."""

    def setUp(self):
        self.now = 100.0
        self.store_monitor = StoreMonitor(lambda: self.now)
        self.now += SUSPECT_AFTER_S + 0.1

    def _checked_detector(self, takeover_age_s=None, others=(), **silences):
        """Returns a detector in zone a after a check.

        Args:
            takeover_age_s: Seconds since the duty holders heard of a takeover, or None.
            others: Seconds of silence that daemons without a duty report.
            **silences: Seconds of silence that the duty holder of each zone reports, or
                None if it does not respond.
        """
        claims = [Claim(f"e-{zone}#1", zone, 1, zone) for zone in silences]
        daemons = {f"other-{n}": silence_s for n, silence_s in enumerate(others)}
        silences = silences | daemons

        async def query_daemon(claim):
            silence_s = silences[claim.address]
            if silence_s is None:
                return None
            return DaemonResponse(claim.holder, silence_s, True, takeover_age_s)

        detector = OutageDetector(
            "a",
            self.store_monitor,
            lambda: claims,
            lambda: [Claim(f"{name}#1", name, 0, "b") for name in daemons],
            query_daemon,
            self._clock,
        )
        anyio.run(detector.check)
        return detector

    def _clock(self):
        return self.now

    def test_other_zone_without_store_confirms_outage(self):
        self.assertTrue(self._checked_detector(b=2.0).is_confirmed)

    def test_other_zone_with_store_rules_out_outage(self):
        self.assertFalse(self._checked_detector(b=2.0, c=0.1).is_confirmed)

    def test_holders_with_store_relay_records_those_of_the_own_zone_first(self):
        detector = self._checked_detector(c=0.1, a=0.2, b=2.0, d=None)
        self.assertEqual([claim.zone for claim in detector.relays()], ["a", "c"])
        self.now += RELAY_VALID_S + 0.01
        self.assertEqual(detector.relays(), [])

    def test_isolated_zone_confirms_nothing(self):
        self.assertFalse(self._checked_detector(a=2.0, b=None, c=None).is_confirmed)

    def test_daemon_without_a_duty_that_the_store_serves_rules_out_outage(self):
        # Regression (review/3): the store turned away the duty holders alone.
        self.assertFalse(self._checked_detector(b=2.0, others=(0.1,)).is_confirmed)
        self.assertTrue(self._checked_detector(b=2.0, others=(2.0, None)).is_confirmed)

    def test_daemons_without_a_duty_confirm_nothing(self):
        # A successor does not ask them whether they did.
        self.assertFalse(self._checked_detector(b=None, others=(2.0,)).is_confirmed)

    def test_each_daemon_is_asked_in_turn(self):
        detector = self._checked_detector(b=2.0, others=(2.0,) * 6 + (0.1,))
        self.assertTrue(detector.is_confirmed)
        anyio.run(detector.check)
        self.assertFalse(detector.is_confirmed)

    def test_holder_that_heard_of_a_takeover_confirms_nothing(self):
        # It lost the store after it had told the new owner that it had it.
        self.assertFalse(self._checked_detector(1.0, b=2.0).is_confirmed)
        self.assertTrue(self._checked_detector(TAKEOVER_VALID_S, b=2.0).is_confirmed)

    def test_confirmation_expires_and_ends_when_store_answers(self):
        detector = self._checked_detector(b=2.0)
        self.now += CONFIRMATION_VALID_S
        self.assertFalse(detector.is_confirmed)
        detector = self._checked_detector(b=2.0)
        self.store_monitor.record_answer(self.now)
        self.assertFalse(detector.is_confirmed)

    def test_stopping_daemon_confirms_nothing(self):
        detector = self._checked_detector(b=2.0)
        detector.stop()
        self.assertFalse(detector.is_confirmed)
