"""Lists that come in pages are read as a whole or not at all."""

import struct
import unittest

import anyio
import msgspec

from basilwind.errors import PlatformUnavailable, StoreRefused
from basilwind.platform.machines import MachineClient
from basilwind.platform.store import StoreClient, encode_keyed_record


class FakeTransport:
    """Gives one answer after the other."""

    def __init__(self, *answers):
        self._answers = list(answers)

    async def call(self, method, url, timeout_s, body=None, headers=None):
        answer = self._answers.pop(0)
        if not isinstance(answer, bytes):
            answer = msgspec.json.encode(answer)
        return 200, answer


class TestPages(unittest.TestCase):
    def _store(self, *answers):
        return StoreClient(
            FakeTransport(*answers), "h:1", lambda *arguments: None, lambda: 0.0
        )

    def test_newest_records_of_all_pages_are_read(self):
        item = {"key": "a", "value": "", "offset": 3}
        first = {"items": [item], "hasMore": True, "end": 7}
        last = {"items": [item | {"key": "b"}], "end": 9}
        records, follow_from = anyio.run(self._store(first, last).read_latest, "t")
        self.assertEqual([record.key for record in records], ["a", "b"])
        self.assertEqual(follow_from, 7)

    def test_empty_page_with_more_to_come_is_not_the_whole_list(self):
        store = self._store({"items": [], "hasMore": True, "end": 7})
        with self.assertRaises(StoreRefused):
            anyio.run(store.read_latest, "t")

    def test_record_that_was_cut_off_is_left_for_the_next_read(self):
        record = encode_keyed_record("key", b"value")
        data = struct.pack(">QQ", 9, 0) + record + record[:-1]
        records = anyio.run(self._store(data).read, "t", 5)
        self.assertEqual([(r.offset, r.value) for r in records], [(5, b"value")])

    def test_page_of_machines_that_refers_to_itself_is_an_error(self):
        page = {"machines": [], "nextToken": "a"}
        client = MachineClient(FakeTransport(page, page, page), "h:1")
        with self.assertRaises(PlatformUnavailable):
            anyio.run(client.list)
