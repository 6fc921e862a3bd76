"""Leases under generated partitions, pauses and log outages.

Each entry host has a real ``Ownership``, ``Promises`` and ``JournalState`` on a
clock that the test advances. The test itself delivers heartbeats and log records,
so it controls which of them are lost or late.
"""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.errors import LeaseLost
from basilwind.journal.entries import Batch, Claim, encode_batch
from basilwind.journal.state import JournalState, apply_bytes
from basilwind.membership.heartbeats import HeartbeatExchange
from basilwind.membership.members import MEMBER_TIMEOUT_S, LocalStatus, Members
from basilwind.membership.ownership import Ownership
from basilwind.membership.promises import Promises

POOL = "pool-a"
NAMES = ("e1", "e2", "e3")
LEASE_S = 2.0
STEP_S = 0.4


class FakeFollower:
    def __init__(self):
        self.confirmed_at = -math.inf
        self.is_caught_up = True


class FakeJournal:
    """A ``JournalState`` without I/O; the test decides what is read and when."""

    def __init__(self):
        self.state = JournalState()
        self.follower = FakeFollower()

    def last_seen(self, writer, incarnation):
        return -math.inf


class EmptyCopyStore:
    def missing_entries(self, pool, holder):
        return []


class EntryHost:
    def __init__(self, name, clock):
        self.name = name
        self.journal = FakeJournal()
        self.members = Members(name, "zone")
        self.promises = Promises(LEASE_S, lambda: set(NAMES) - {name})
        self.ownership = Ownership(
            self.journal,
            self.members,
            self.promises,
            EmptyCopyStore(),
            name,
            "zone",
            f"i-{name}",
            LEASE_S,
            clock,
        )
        self.heartbeats = HeartbeatExchange(
            name,
            "zone",
            f"i-{name}",
            self.members,
            self.promises,
            self.build_status,
            self.ownership.may_miss_claims,
        )
        self.sequence = 0

    def build_status(self, now):
        return LocalStatus(False, True, 0, "", self.journal.state.next_offset, ())

    def read(self, log, now):
        for offset in range(self.journal.state.next_offset, len(log)):
            apply_bytes(self.journal.state, offset, log[offset])
        self.journal.follower.confirmed_at = now

    def claim_if_ownerless(self, log, now):
        owner = self.journal.state.ownership(POOL)
        self.ownership._drop_lost_shards(now)
        if POOL in self.ownership.owned:
            return
        if self.ownership._owns(POOL, owner.epoch):
            self.ownership._start_owning(POOL, owner, now)
            return
        if not owner.is_released and self.ownership._is_holder_live(owner, now):
            return
        if self.ownership._preferred_owner(POOL, now) != self.name:
            return
        self.sequence += 1
        claim = Claim(
            pool=POOL,
            epoch=owner.epoch + 1,
            holder=self.name,
            incarnation=f"i-{self.name}",
        )
        batch = Batch(self.name, f"i-{self.name}", self.sequence, now, [claim])
        log.append(encode_batch(batch))

    def may_start(self, now):
        owned = self.ownership.owned.get(POOL)
        if owned is None:
            return False
        try:
            self.ownership.check_lease(POOL, owned.epoch, now)
        except LeaseLost:
            return False
        return True


steps = st.lists(
    st.fixed_dictionaries(
        {
            "delivered": st.sets(
                st.sampled_from([(a, b) for a in NAMES for b in NAMES])
            ),
            "readers": st.sets(st.sampled_from(NAMES)),
            "paused": st.sets(st.sampled_from(NAMES), max_size=2),
            "is_log_up": st.booleans(),
            "length": st.integers(1, 4),
        }
    ),
    max_size=25,
)


class Zone:
    """Entry hosts, their log, and a clock that only ``step`` advances."""

    def __init__(self):
        self.now = 100.0
        self.log = []
        self.hosts = {name: EntryHost(name, lambda: self.now) for name in NAMES}

    def hosts_that_may_start(self):
        return [name for name, host in self.hosts.items() if host.may_start(self.now)]

    def step(self, step):
        """Advances the clock, then delivers heartbeats and lets hosts read the log."""
        self.now += STEP_S
        awake = [name for name in NAMES if name not in step["paused"]]
        for sender in awake:
            for receiver in awake:
                if sender != receiver and (sender, receiver) in step["delivered"]:
                    exchange = self.hosts[sender].heartbeats
                    heartbeat = exchange.heartbeat_for(receiver, self.now)
                    self.hosts[receiver].heartbeats.receive(heartbeat, self.now)
        if not step["is_log_up"]:
            return
        for name in awake:
            if name in step["readers"]:
                self.hosts[name].read(self.log, self.now)
                self.hosts[name].claim_if_ownerless(self.log, self.now)

    def elect_owner(self):
        """Runs until one host owns the shard and returns its name."""
        for _ in range(20):
            self.step(NO_FAULTS)
        (owner,) = self.hosts_that_may_start()
        return owner


NO_FAULTS = {
    "delivered": {(sender, receiver) for sender in NAMES for receiver in NAMES},
    "readers": set(NAMES),
    "paused": set(),
    "is_log_up": True,
}


class TestLeases(unittest.TestCase):
    @given(steps)
    def test_at_most_one_entry_host_may_start_work(self, history):
        zone = Zone()
        for step in history:
            for _ in range(step["length"]):
                zone.step(step)
                self.assertLessEqual(
                    len(zone.hosts_that_may_start()), 1, zone.hosts_that_may_start()
                )

    def test_takeover_waits_for_the_lease_of_the_lost_owner(self):
        zone = Zone()
        owner = zone.elect_owner()
        lost_at = zone.now
        while not set(zone.hosts_that_may_start()) - {owner}:
            zone.step(NO_FAULTS | {"paused": {owner}})
            self.assertLess(zone.now - lost_at, 6.9)
        self.assertNotIn(owner, zone.hosts_that_may_start())
        self.assertGreater(zone.now - lost_at, min(LEASE_S, MEMBER_TIMEOUT_S))

    def test_owner_keeps_its_lease_through_a_log_outage(self):
        zone = Zone()
        owner = zone.elect_owner()
        for _ in range(50):
            zone.step(NO_FAULTS | {"is_log_up": False})
            self.assertIn(owner, zone.hosts_that_may_start())
