import unittest

from basilwind.entry.burst_history import BurstHistory
from basilwind.errors import StoreUnanswered
from basilwind.platform.store import KeyedRecord


class _Store:
    """Keeps the last appended record; may leave appends unanswered."""

    def __init__(self):
        self.records = []
        self.is_away = False
        self.appends = 0

    async def append(self, topic, records, timeout_s):
        self.appends += 1
        if self.is_away:
            raise StoreUnanswered("away")
        (framed,) = records
        key_length = framed[4]
        self.records = [KeyedRecord(0, "bursts", framed[5 + key_length :])]

    async def read_latest(self, topic):
        return self.records, 1


class TestBurstHistory(unittest.IsolatedAsyncioTestCase):
    """Guards against a new planner that does not know when the next burst is due."""

    def setUp(self):
        self.store = _Store()

    def _history(self, wall_time):
        return BurstHistory(self.store, lambda: wall_time)

    async def test_successor_reads_times_on_its_own_clock(self):
        await self._history(1000.0).write({"a": (50.0, [3.0, 13.0])}, 20.0)
        bursts = await self._history(1010.0).read(500.0)
        self.assertEqual(bursts, {"a": (50.0, [473.0, 483.0])})

    async def test_bursts_are_written_only_when_there_is_another_one(self):
        history = self._history(1000.0)
        await history.write({"a": (50.0, [3.0])}, 20.0)
        await history.write({"a": (60.0, [3.0])}, 20.2)
        self.assertEqual(self.store.appends, 1)

    async def test_failed_write_is_repeated_later(self):
        history = self._history(1000.0)
        self.store.is_away = True
        await history.write({"a": (50.0, [3.0])}, 20.0)
        self.store.is_away = False
        await history.write({"a": (50.0, [3.0])}, 20.2)
        self.assertEqual(len(self.store.records), 1)

    async def test_damaged_record_is_left_out(self):
        self.store.records = [KeyedRecord(0, "bursts", b"{")]
        self.assertEqual(await self._history(1000.0).read(0.0), {})
