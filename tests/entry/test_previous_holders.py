"""A successor must count with all that previous holders of its duty may still do."""

import types
import unittest

import anyio

from basilwind.entry.duties import DutyManager
from basilwind.entry.store_monitor import StoreMonitor
from tests.utils.entry_fakes import Clock
from tests.utils.log_store import LogStore, LogTopics

DUTY = "pool/a"


class Daemon:
    """The part of a daemon that follows and claims duties.

    Args:
        name: Name of its host.
        topics: ``LogTopics``.
        clock: ``Clock``.
        run: Number of this run of the daemon.
    """

    def __init__(self, name, topics, clock, run=1):
        self.monitor = StoreMonitor(clock)
        self.store = LogStore(topics, clock, self.monitor)
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

    async def follow(self):
        """Reads the claims that it does not know yet."""
        await self.duties._follower._read_once()

    async def claim(self):
        """Claims the duty on top of all claims."""
        await self.follow()
        await self.duties._try_claim(DUTY)


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
