import unittest

import anyio

from basilwind.entry.outage import OutageWatch
from basilwind.entry.store_watch import StoreWatch
from basilwind.scheduling.outages import CONFIRMATION_VALID_S, SUSPECT_AFTER_S
from basilwind.scheduling.ownership import Claim


class TestOutageWatch(unittest.TestCase):
    """The store is silent here; what others say decides who may start tasks."""

    def setUp(self):
        self.now = 100.0
        self.store_watch = StoreWatch(lambda: self.now)
        self.now += SUSPECT_AFTER_S + 0.1

    def _watch(self, **silences):
        """Returns a watch in zone a; holders answer by zone, or not at all."""
        claims = [Claim(f"e-{zone}#1", zone, 1, zone) for zone in silences]

        async def ask(claim):
            return silences[claim.zone]

        watch = OutageWatch("a", self.store_watch, lambda: claims, ask, self._clock)
        anyio.run(watch.check)
        return watch

    def _clock(self):
        return self.now

    def test_other_zone_without_the_store_confirms_an_outage(self):
        self.assertTrue(self._watch(b=2.0).is_confirmed)

    def test_other_zone_with_the_store_denies_it(self):
        self.assertFalse(self._watch(b=2.0, c=0.1).is_confirmed)

    def test_zone_that_is_cut_off_confirms_nothing(self):
        self.assertFalse(self._watch(a=2.0, b=None, c=None).is_confirmed)

    def test_confirmation_lapses_and_ends_with_the_store_s_return(self):
        watch = self._watch(b=2.0)
        self.now += CONFIRMATION_VALID_S
        self.assertFalse(watch.is_confirmed)
        watch = self._watch(b=2.0)
        self.store_watch.note_answer()
        self.assertFalse(watch.is_confirmed)

    def test_daemon_that_stops_records_everything(self):
        watch = self._watch(b=2.0)
        watch.stop()
        self.assertFalse(watch.is_confirmed)
