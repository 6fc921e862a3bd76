import unittest

from eliot.testing import capture_logging
from hypothesis import given
from hypothesis import strategies as st

from basilwind.control.apply import apply_bytes
from basilwind.control.records import HostAction, encode_record
from basilwind.control.replica import ControlReplica
from basilwind.control.snapshot import decode_state, encode_state, make_snapshot_records
from basilwind.control.state import ControlState
from basilwind.errors import RecordInvalid
from tests.control.test_apply import histories, record_of
from tests.utils.records import host_record, loaded_state, settings_record
from tests.utils.settings import make_tree


class Log:
    """A control stream that a writer's state is folded from."""

    def __init__(self):
        self.records = []
        self.state = ControlState()
        for subtree, settings in make_tree().subtrees().items():
            self.append(encode_record(settings_record(subtree, settings)))

    def append(self, data):
        apply_bytes(self.state, len(self.records), data)
        self.records.append(data)

    def append_snapshot(self):
        for record in make_snapshot_records(self.state, "writer", 1.0):
            self.append(encode_record(record))


def read(records, first):
    """Returns a reader's ``ControlReplica`` that starts at an offset."""
    reader = ControlReplica(None, None, lambda entry: None)
    if first:
        reader.skip_to(first)
    for offset in range(first, len(records)):
        reader.apply(offset, records[offset])
    return reader


class TestSnapshot(unittest.TestCase):
    def assert_same(self, state, other):
        self.assertEqual(state.next_offset, other.next_offset)
        self.assertEqual(state.digest, other.digest)
        self.assertEqual(state.hosts, other.hosts)
        self.assertEqual(state.tree, other.tree)
        self.assertEqual(state.versions, other.versions)

    def test_state_survives_its_text(self):
        state = loaded_state()
        again = decode_state(encode_state(state))
        self.assert_same(again, state)
        self.assertEqual(again.recent_ids, state.recent_ids)

    @capture_logging(None)
    def test_snapshot_with_another_digest_raises_an_alarm(self, logger):
        log = Log()
        forged = make_snapshot_records(log.state, "writer", 1.0)[0]
        forged.digest = "0" * 32
        log.append(encode_record(forged))
        read(log.records, 0)
        types = [message["message_type"] for message in logger.messages]
        self.assertIn("control snapshot does not match this state", types)

    def test_garbage_is_no_snapshot(self):
        for text in ("", "[]", "{}", "[1, 2]"):
            with self.assertRaises(RecordInvalid):
                decode_state(text)

    @given(histories(), histories(), st.integers(0, 3))
    def test_reader_behind_the_retention_recovers(self, before, after, dropped):
        log = Log()
        for step in before:
            log.append(record_of(step, log.state))
        start = len(log.records)
        log.append_snapshot()
        for step in after:
            log.append(record_of(step, log.state))
        reader = read(log.records, max(start - dropped, 1))
        self.assert_same(reader.state, log.state)

    @given(histories())
    def test_old_snapshot_reverts_nothing(self, history):
        log = Log()
        old = encode_state(log.state)
        for step in history:
            log.append(record_of(step, log.state))
        reader = read(log.records, 0)
        reader._load(decode_state(old))
        self.assert_same(reader.state, log.state)

    def test_without_a_snapshot_the_state_in_force_stays(self):
        log = Log()
        reader = read(log.records, 0)
        offset = reader.state.next_offset
        reader.skip_to(offset + 5)
        host = log.state.hosts["zone-a-pool-a-0"]
        drain = host_record(host.name, HostAction.DRAIN, host.version)
        reader.apply(offset + 5, encode_record(drain))
        self.assertEqual(reader.state.next_offset, offset)
        self.assertEqual(reader.state.versions, log.state.versions)

    def test_snapshot_from_before_the_retention_is_not_used(self):
        log = Log()
        for record in make_snapshot_records(log.state, "writer", 1.0):
            log.append(b"a record that the snapshot does not cover")
            log.append(encode_record(record))
        reader = read(log.records, len(log.records) - 1)
        self.assertEqual(reader.state.next_offset, 0)
        self.assertFalse(reader.state.is_loaded)
