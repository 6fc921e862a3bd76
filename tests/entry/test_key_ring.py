import dataclasses
import types
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.entry.key_ring import (
    MARGIN_S,
    NO_CUSTOMER,
    STALE,
    UNKNOWN,
    KeyOutcome,
    KeyRing,
)
from basilwind.scheduling.fleet import Customer, Resources
from tests.scheduling.model import QUEUE
from tests.utils.entry_fakes import CONFIGURATION

PUBLIC = dataclasses.replace(QUEUE, is_public=True)
REVOKE_S, APPLY_S = 5.0, 3.0
KEYS = ("k1", "k2")


def keyed_configuration(key_owners, version=1):
    """Returns a configuration with customers a and b and the given keys."""
    customers = {name: Customer(name, 1.0, Resources()) for name in ("a", "b")}
    return dataclasses.replace(
        CONFIGURATION, version=version, customers=customers, key_owners=key_owners
    )


def make_settings(is_strict=True):
    return types.SimpleNamespace(
        has_strict_revocation=is_strict, revoke_s=REVOKE_S, config_apply_s=APPLY_S
    )


class TestKeyRing(unittest.TestCase):
    """A daemon that the store last answered at boot time 100."""

    def setUp(self):
        self.watcher = types.SimpleNamespace(
            current=keyed_configuration({"k1": "a"}), confirmed_at=100.0
        )
        self.ring = KeyRing(self.watcher, make_settings())

    def _decide(self, key, now, queue=QUEUE):
        return self.ring.authenticate(queue, key, now)

    def test_daemon_that_is_cut_off_or_was_suspended_trusts_no_key_for_long(self):
        # A withdrawn key would be accepted by a daemon that can't learn of it.
        last = 100.0 + REVOKE_S - MARGIN_S
        self.assertEqual(self._decide("k1", last).customer, "a")
        for now in (last + 0.001, 100.0 + REVOKE_S, 3600.0):
            self.assertEqual(self._decide("k1", now), STALE)

    def test_unknown_key_may_belong_to_a_newer_version(self):
        # A new customer would be refused for good by a daemon that is cut off.
        last = 100.0 + APPLY_S - MARGIN_S
        for key in ("new", ""):
            self.assertEqual(self._decide(key, last), UNKNOWN)
            self.assertEqual(self._decide(key, last + 0.001), STALE)

    def test_daemon_that_has_just_started_trusts_no_read_of_an_earlier_process(self):
        self.watcher.confirmed_at = None
        for key in ("k1", "new"):
            self.assertEqual(self._decide(key, 100.0), STALE)
        self.watcher.current = None
        self.assertEqual(self._decide("k1", 100.0), STALE)

    def test_without_strict_revocation_known_keys_outlast_an_outage(self):
        self.ring = KeyRing(self.watcher, make_settings(is_strict=False))
        self.assertEqual(self._decide("k1", 3600.0).customer, "a")
        self.assertEqual(self._decide("new", 3600.0), STALE)

    def test_key_that_moved_belongs_to_its_new_customer(self):
        self.watcher.current = keyed_configuration({"k1": "b"}, 2)
        self.assertEqual(self._decide("k1", 100.0).customer, "b")

    def test_public_queue_and_fleet_without_customers_need_no_proof(self):
        for key in ("", "k1", "new"):
            self.assertEqual(self._decide(key, 3600.0, PUBLIC), NO_CUSTOMER)
        self.watcher.current, self.watcher.confirmed_at = CONFIGURATION, None
        self.assertEqual(self._decide("", 3600.0), NO_CUSTOMER)

    def test_reads_wait_shortly_where_customers_have_keys(self):
        # With waits of 1.5 s the proof of an idle topic would be 3 s old.
        watcher = ConfigurationWatcher(None, lambda: 0.0, lambda: None)
        watcher._apply_configuration(keyed_configuration({"k1": "a"}), False)
        self.assertEqual(watcher._follower._wait_s, 0.5)


class History:
    """Versions of the configuration, and a daemon that reads them.

    Attributes:
        now: Boot time and the operator's time, seconds.
    """

    def __init__(self):
        self.now = 1000.0
        # Pairs of the time of an acknowledgement and the keys of that version.
        # The daemon has read the first one.
        self._versions = [(0.0, frozenset(KEYS[:1]))]
        self._restart()
        self._send(None)
        self._return(False)

    def _restart(self, _=None):
        self._sent_at = None
        self._known = -1
        self._daemon = types.SimpleNamespace(current=None, confirmed_at=None)
        self._ring = KeyRing(self._daemon, make_settings())

    def apply(self, kind, argument):
        getattr(self, f"_{kind}")(argument)

    def decide(self, key):
        return self._ring.authenticate(QUEUE, key, self.now)

    def _publish(self, keys):
        self._versions.append((self.now, frozenset(keys)))

    def _send(self, _):
        if self._sent_at is None:
            self._sent_at = self.now
            self._seen = len(self._versions) - 1

    def _return(self, is_late):
        """Ends a read; the store took its answer when the read was sent, or now."""
        if self._sent_at is None:
            return
        seen = len(self._versions) - 1 if is_late else self._seen
        self._known = max(self._known, seen)
        keys = self._versions[self._known][1]
        self._daemon.current = keyed_configuration(dict.fromkeys(keys, "a"))
        self._daemon.confirmed_at, self._sent_at = self._sent_at, None

    def holds(self, key, start):
        """Returns whether each version in force since a time has a key."""
        ends = [at for at, _ in self._versions[1:]] + [float("inf")]
        return {
            key in keys
            for (_, keys), end in zip(self._versions, ends, strict=True)
            if end >= start
        }


DELAYS = st.sampled_from([0.0, 0.01, 0.5, 1.0, 2.8, 3.02, 4.7, 4.8, 5.02, 60.0])
EVENTS = st.one_of(
    st.tuples(st.just("publish"), st.sets(st.sampled_from(KEYS))),
    st.tuples(st.just("send"), st.none()),
    st.tuples(st.just("return"), st.booleans()),
    st.tuples(st.just("restart"), st.none()),
)


class TestAnyHistory(unittest.TestCase):
    # With 60 examples, a daemon that trusts the time of an answer passed.
    @settings(max_examples=500)
    @given(st.lists(st.tuples(DELAYS, EVENTS), max_size=12))
    def test_withdrawn_keys_fail_and_new_ones_are_not_refused(self, events):
        history = History()
        for delay_s, (kind, argument) in events:
            history.now += delay_s
            self._check(history)
            history.apply(kind, argument)
            self._check(history)

    def _check(self, history):
        for key in KEYS:
            decision = history.decide(key)
            if decision.outcome is KeyOutcome.ALLOWED:
                self.assertIn(True, history.holds(key, history.now - REVOKE_S))
            elif decision.outcome is KeyOutcome.UNKNOWN:
                self.assertIn(False, history.holds(key, history.now - APPLY_S))
