"""A successor must count with all that previous holders of its duty may still do."""

import types
import unittest

import anyio

from basilwind.entry.duties import HEARTBEATS_TOPIC, TOPIC, DutyManager
from basilwind.entry.owner import LEASE_S, PoolOwner
from basilwind.scheduling.ownership import HEARTBEAT_S, MAX_STORE_SILENCE_S
from tests.utils.entry_fakes import Clock, make_services
from tests.utils.log_store import LogStore, LogTopics

DUTY = "pool/a"
FREEZE_S = 5.0  # a successor claims after 1 to 2 s of it
RELEASE_S = 0.25  # of attempts to release the duties


class Daemon:
    """The part of a daemon that follows and claims duties.

    Args:
        name: Name of its host.
        topics: ``LogTopics``.
        clock: ``Clock``.
        run: Number of this run of the daemon.
    """

    def __init__(self, name, topics, clock, run=1):
        self.services = make_services(clock)
        self.store = LogStore(topics, clock, self.services.store_monitor)
        settings = types.SimpleNamespace(cpu_cores=1.0, zone="a", name=name)
        self.duties = DutyManager(
            self.store,
            settings,
            f"{name}#{run}",
            "10.0.0.1:1",
            clock,
            lambda: None,
            None,
        )
        self.services.store = self.store
        self.services.duties = self.duties
        self.duties._heartbeats._pause_s = 0.0
        self._clock = clock

    async def follow(self):
        """Reads the claims that it does not know yet."""
        await self.duties._follower._read_once()

    async def claim(self):
        """Claims the duty on top of all claims."""
        await self.follow()
        await self.duties._try_claim(DUTY)

    async def send_heartbeat(self):
        """Appends one heartbeat."""
        with anyio.move_on_after(HEARTBEAT_S / 10):
            await self.duties.send_heartbeats()

    async def follow_heartbeats(self):
        """Reads the heartbeats that it does not know yet."""
        await self.duties._heartbeats._read_once()

    def may_extend_leases(self):
        """Returns whether owners in this daemon may extend leases now."""
        return self.services.may_extend_leases(self._clock())


class TestChainOfHolders(unittest.TestCase):
    """The holder before the previous one may still extend leases."""

    def setUp(self):
        self.topics, self.clock = LogTopics(), Clock()

    def _daemon(self, name, run=1):
        return Daemon(name, self.topics, self.clock, run)

    def _has_previous_holder(self, *daemons):
        """Returns whether the last daemon counts with a previous holder.

        Args:
            *daemons: ``Daemon`` objects that claim the duty one after the other.
        """

        async def main():
            for daemon in daemons:
                await daemon.claim()

        anyio.run(main)
        self.assertEqual(list(daemons[-1].duties.held_tokens()), [DUTY])
        return daemons[-1].duties.previous_claim(DUTY) is not None

    def test_successor_that_restarts_remembers_its_predecessor(self):
        # Regression: a successor that was killed and started again took its own earlier
        # claim for the only one, and waited 4.7 s for leases of up to 8.2 s.
        first, second = self._daemon("e1"), self._daemon("e2")
        self.assertTrue(
            self._has_previous_holder(first, second, self._daemon("e2", run=2))
        )

    def test_successor_that_restarts_twice_remembers_its_predecessor(self):
        first, second = self._daemon("e1"), self._daemon("e2")
        again, last = self._daemon("e2", run=2), self._daemon("e2", run=3)
        self.assertTrue(self._has_previous_holder(first, second, again, last))

    def test_restarted_holder_without_predecessor_has_none(self):
        self.assertFalse(
            self._has_previous_holder(self._daemon("e1"), self._daemon("e1", run=2))
        )

    def test_release_ends_the_chain(self):
        first, second = self._daemon("e1"), self._daemon("e2")
        self.assertTrue(self._has_previous_holder(first, second))
        anyio.run(second.duties.release_all)
        third, again = self._daemon("e3"), self._daemon("e3", run=2)
        self.assertFalse(self._has_previous_holder(third))
        self.assertFalse(self._has_previous_holder(again))


class HolderTestCase(unittest.TestCase):
    """A daemon that holds the duty, and one that claims it."""

    def setUp(self):
        self.topics, self.clock = LogTopics(), Clock()
        self.holder, self.successor = (
            Daemon(name, self.topics, self.clock) for name in ("e1", "e2")
        )

    def _run(self, *calls):
        """Awaits the coroutine functions one after the other."""

        async def main():
            for call in calls:
                await call()

        anyio.run(main)

    def _hold(self):
        self._run(
            self.holder.claim, self.holder.send_heartbeat, self.holder.follow_heartbeats
        )
        self.assertTrue(self.holder.may_extend_leases())


class TestAuthority(HolderTestCase):
    """What renews a holder's authority must prove that it had no successor."""

    def test_frozen_holder_extends_nothing_before_it_has_read_the_claims(self):
        # Regression: the answer to a heartbeat renewed the authority of a holder that
        # had been replaced while it was frozen.
        self._hold()
        self._run(self.successor.claim)
        self.clock.now += FREEZE_S
        self._run(self.holder.send_heartbeat)
        self.assertFalse(self.holder.may_extend_leases())

    def test_holder_that_reads_no_claims_loses_its_authority_to_a_successor(self):
        # Regression: any answer of the store renewed the authority of a holder whose
        # reads of the claims failed.
        self._hold()
        self.holder.store.refuses = lambda name, topic: topic == TOPIC
        self._run(self.successor.claim, self.successor.send_heartbeat)
        announced_at = self.clock.now
        while self.clock.now - announced_at <= MAX_STORE_SILENCE_S:
            self.clock.now += HEARTBEAT_S
            self._run(self.holder.send_heartbeat, self.holder.follow_heartbeats)
        self.assertFalse(self.holder.may_extend_leases())

    def test_reads_of_heartbeats_renew_the_authority_while_a_read_of_claims_waits(self):
        self._hold()
        for _ in range(10):
            self.clock.now += HEARTBEAT_S
            self._run(self.holder.send_heartbeat, self.holder.follow_heartbeats)
            self.assertTrue(self.holder.may_extend_leases())
        self.clock.now += MAX_STORE_SILENCE_S - 0.01
        self.assertTrue(self.holder.may_extend_leases())
        self.clock.now += 0.01
        self.assertFalse(self.holder.may_extend_leases())

    def test_claims_of_other_duties_take_no_authority(self):
        self._hold()
        self._run(self.successor.follow)
        self._run(lambda: self.successor.duties._try_claim("pool/b"))
        self._run(self.successor.send_heartbeat, self.holder.follow)
        self.clock.now += MAX_STORE_SILENCE_S
        self._run(self.holder.send_heartbeat, self.holder.follow_heartbeats)
        self.assertTrue(self.holder.may_extend_leases())

    def test_successor_counts_leases_from_its_announcement(self):
        # Regression: a successor counted from its claim, of which a holder that reads
        # no claims does not know.
        self._hold()
        self._run(self.successor.claim)
        attempts = []

        def refuses(name, topic):
            if topic == HEARTBEATS_TOPIC:
                attempts.append(topic)
                self.clock.now += HEARTBEAT_S
            return 0 < len(attempts) < 4

        self.successor.store.refuses = refuses
        token = self.successor.duties.held_tokens()[DUTY]
        previous_claim = self.successor.duties.previous_claim(DUTY)
        owner = PoolOwner("a", token, self.successor.services, previous_claim)

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                while not owner.is_loaded:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self._run(self.holder.follow_heartbeats)
        self.assertEqual(len(attempts), 4)
        self.assertGreaterEqual(
            owner.state.previous_leases_until,
            self.clock.now + MAX_STORE_SILENCE_S + LEASE_S,
        )
        self.clock.now += MAX_STORE_SILENCE_S
        self.assertFalse(self.holder.may_extend_leases())


class TestLostRelease(HolderTestCase):
    """A successor counts a holder that released its duties as inactive."""

    async def _release(self):
        with anyio.move_on_after(RELEASE_S):
            await self.holder.duties.release_all(
                is_store_away=lambda: self.holder.services.store_monitor.is_unavailable
            )

    def test_holder_whose_release_got_no_answer_extends_nothing(self):
        # Regression: such a holder extended leases for 3.5 s more, for which the next
        # owner did not wait.
        self._hold()
        self.holder.store.loses_answer = lambda name, topic: True
        self._run(self._release)
        self.assertFalse(self.holder.may_extend_leases())
        self._run(self.successor.claim)
        self.assertIsNone(self.successor.duties.previous_claim(DUTY))

    def test_holder_extends_nothing_while_its_release_is_under_way(self):
        self._hold()
        seen = []

        def look(name, topic):
            if (name, topic) == ("append", TOPIC):
                seen.append(self.holder.may_extend_leases())
            return False

        self.holder.store.refuses = look
        self._run(self._release)
        self.assertEqual(seen, [False])
        self.assertEqual(self.holder.duties.held_tokens(), {})

    def test_holder_whose_release_was_refused_goes_on(self):
        self._hold()
        self.holder.store.refuses = lambda name, topic: topic == TOPIC
        self._run(self._release)
        self.assertTrue(self.holder.may_extend_leases())

    def test_refusal_after_a_lost_answer_proves_nothing(self):
        self._hold()
        self.holder.store.loses_answer = lambda name, topic: topic == TOPIC
        self._run(self._release)
        self.holder.store.refuses = lambda name, topic: topic == TOPIC
        self._run(self._release)
        self.assertFalse(self.holder.may_extend_leases())

    def test_release_waits_for_the_store_in_an_outage(self):
        # A release without an answer would end leases that outlast the outage.
        self._hold()
        appends = []

        def refuses(name, topic):
            appends.append(topic)
            return True

        self.holder.store.refuses = refuses
        self.clock.now += MAX_STORE_SILENCE_S / 2
        self._run(self._release)
        self.assertNotIn(TOPIC, appends)
        self.assertTrue(self.holder.may_extend_leases())
        self.holder.store.refuses = lambda name, topic: False
        self._run(self.holder.follow_heartbeats, self._release)
        self.assertEqual(self.holder.duties.held_tokens(), {})
