import unittest

import anyio

from basilwind.entry.outage_detector import RELAY_VALID_S, OutageDetector
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.scheduling.outages import CONFIRMATION_VALID_S, SUSPECT_AFTER_S
from basilwind.scheduling.ownership import Claim


class TestOutageDetector(unittest.TestCase):
    """The store does not answer here; responses of others decide on an outage."""

    def setUp(self):
        self.now = 100.0
        self.store_monitor = StoreMonitor(lambda: self.now)
        self.now += SUSPECT_AFTER_S + 0.1

    def _checked_detector(self, **silences):
        """Returns a detector in zone a after a check.

        Args:
            **silences: Seconds of silence that the duty holder of each zone reports, or
                None if it does not respond.
        """
        claims = [Claim(f"e-{zone}#1", zone, 1, zone) for zone in silences]

        async def query_store_silence_s(claim):
            return silences[claim.zone]

        detector = OutageDetector(
            "a", self.store_monitor, lambda: claims, query_store_silence_s, self._clock
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
