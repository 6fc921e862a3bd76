import unittest

import anyio

from basilwind.entry.holdings import Holdings
from basilwind.errors import ProducerFenced


class FakeDuties:
    """Duties that a test sets."""

    def __init__(self, **held):
        self.held = held
        self.abandoned = []

    def mine(self):
        return dict(self.held)

    def abandon(self, duty):
        self.abandoned.append(duty)
        del self.held[duty]


class FakeWork:
    """Work that runs until cancelled, or is fenced at once."""

    def __init__(self, token, is_fenced=False):
        self.token = token
        self.is_running = False
        self._is_fenced = is_fenced

    async def run(self):
        if self._is_fenced:
            raise ProducerFenced("a later token was used")
        self.is_running = True
        try:
            await anyio.sleep_forever()
        finally:
            self.is_running = False


class TestHoldings(unittest.TestCase):
    """Duties come, go, and come back under a later token."""

    def _run(self, duties, play, is_fenced=False):
        self.made = []

        def make(duty, token):
            if duty == "none":
                return None
            self.made.append(FakeWork(token, is_fenced))
            return self.made[-1]

        async def main():
            holdings = Holdings(duties, make)
            async with anyio.create_task_group() as tasks:
                holdings.follow(tasks)
                await anyio.wait_all_tasks_blocked()
                await play(holdings, tasks)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_later_token_replaces_the_work(self):
        async def play(holdings, tasks):
            duties.held["a"] = 5
            holdings.follow(tasks)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([w.is_running for w in self.made], [False, True])
            self.assertEqual(holdings.find("a").token, 5)

        duties = FakeDuties(a=1)
        self._run(duties, play)

    def test_duty_that_is_lost_before_its_work_begins_starts_nothing(self):
        async def play(holdings, tasks):
            duties.held["b"] = 7
            holdings.follow(tasks)
            del duties.held["b"]
            holdings.follow(tasks)
            await anyio.wait_all_tasks_blocked()
            self.assertFalse(self.made[-1].is_running)
            self.assertIsNone(holdings.find("b"))

        duties = FakeDuties(a=1)
        self._run(duties, play)

    def test_fenced_work_gives_its_duty_up(self):
        async def play(holdings, tasks):
            self.assertEqual(duties.abandoned, ["a"])

        duties = FakeDuties(a=1)
        self._run(duties, play, is_fenced=True)

    def test_duty_without_work_is_held_all_the_same(self):
        async def play(holdings, tasks):
            self.assertEqual((self.made, holdings.with_prefix("n")), ([], []))

        self._run(FakeDuties(none=1), play)
