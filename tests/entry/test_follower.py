import unittest

import anyio

from basilwind.entry.follower import KeyedFollower
from basilwind.errors import RetentionGap, StoreRefused
from basilwind.platform.store import KeyedRecord, PartialPage


class FakeStore:
    """Returns or raises the given answers in order; later reads never return."""

    is_suspected = False

    def __init__(self, *answers):
        self._answers = list(answers)

    async def read_latest(self, topic):
        return await self._next()

    async def read(self, topic, start, wait_s=0.0):
        return await self._next()

    async def _next(self):
        if not self._answers:
            await anyio.sleep_forever()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestKeyedFollower(unittest.TestCase):
    def setUp(self):
        self.clock = lambda: 0.0

    def _follow(self, *answers):
        self.events, self.positions = [], []
        follower = KeyedFollower(
            FakeStore(*answers),
            "keyed.x",
            lambda records: self._record_call("apply", follower, records),
            lambda records: self._record_call("reset", follower, records),
            self.clock,
        )

        async def main():
            with anyio.move_on_after(0.5):
                await follower.run()

        anyio.run(main)
        return follower

    def _record_call(self, kind, follower, records):
        self.events.append((kind, [record.key for record in records]))
        self.positions.append(follower.position)

    def test_position_is_set_when_first_records_are_applied(self):
        # With two daemons on one host, a new owner was notified of the registry before
        # its position was set, and had no workers until the next change of an entry.
        self._follow(([KeyedRecord(4, "a", b"1")], 7))
        self.assertEqual(self.events, [("reset", ["a"])])
        self.assertEqual(self.positions, [7])

    def test_retention_gap_causes_complete_read(self):
        self._follow(([], 3), RetentionGap(9), ([KeyedRecord(8, "a", b"1")], 9))
        self.assertEqual(self.events[-1], ("reset", ["a"]))
        self.assertEqual(self.positions[-1], 9)

    def test_read_that_ends_before_the_topic_does_proves_nothing(self):
        # A version that withdraws a key could be among the records not read yet.
        reset, page = ([], 3), [KeyedRecord(3, "a", b"1")]
        self.clock = iter(range(100)).__next__
        self.assertEqual(self._follow(reset, PartialPage(page)).confirmed_at, 0)
        self.clock = iter(range(100)).__next__
        self.assertGreater(self._follow(reset, page).confirmed_at, 0)

    def test_failed_read_is_retried(self):
        follower = self._follow(
            ([], 3), StoreRefused("unavailable"), [KeyedRecord(3, "b", b"1")]
        )
        self.assertEqual(self.events[-1], ("apply", ["b"]))
        self.assertEqual(follower.position, 4)
