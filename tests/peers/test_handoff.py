"""Hand-offs over connections that are cut and frozen at generated moments."""

import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwind.errors import ProtocolError
from basilwind.membership.members import Heartbeat, ShardHint
from basilwind.models import Demand, Outcome, OutcomeKind, Reason, RequestSpec
from basilwind.peers import codec
from basilwind.peers.link import PeerLink
from basilwind.peers.messages import Handoff, RecallReply, RecallState
from basilwind.peers.server import PeerServer
from basilwind.placement.executions import ExecutionRegistry
from basilwind.settings import PeerSettings
from tests.utils.fleet import free_ports
from tests.utils.relay import Relay

DONE = Outcome(OutcomeKind.DONE, status=200, body=b"answer")
INTERVAL_S = 0.05
QUEUE_S = 0.03
WORK_S = 0.05
TIMEOUT_S = 2.0


class FakeService:
    """Waits, then runs each hand-off once, unless it is recalled first."""

    def __init__(self):
        self.book = ExecutionRegistry()
        self.runs = {}

    def note_heartbeat(self, heartbeat):
        pass

    def open_custody(self, handoff):
        return self.book.open(handoff.handoff_id)

    def recall(self, handoff_id):
        return self.book.recall(handoff_id, anyio.current_time())

    async def run_handoff(self, handoff, custody):
        with custody.open_scope():
            await anyio.sleep(QUEUE_S)
        if not custody.start():
            return None
        self.runs[handoff.handoff_id] = self.runs.get(handoff.handoff_id, 0) + 1
        await anyio.sleep(WORK_S)
        self.book.finish(custody, DONE, anyio.current_time())
        return DONE


class Pair:
    """A link and a server, with a relay between them."""

    def __init__(self):
        self.service = FakeService()
        near, far = free_ports(2)
        self.relay = Relay(near, far)
        self._far = far
        peer = PeerSettings("peer", "zone", f"127.0.0.1:{near}")
        beat = Heartbeat("me", "zone", "i")
        self.link = PeerLink(peer, lambda: beat, INTERVAL_S)

    async def start(self, tasks):
        server = PeerServer(self.service, tasks)
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self._far
        )
        tasks.start_soon(server.serve, listener)
        tasks.start_soon(self.relay.run)
        tasks.start_soon(self.link.run)
        while not self.link.is_connected:
            await anyio.sleep(0.01)

    async def disturb(self, faults):
        for delay_s, kind in faults:
            await anyio.sleep(delay_s)
            if kind == "cut":
                await self.relay.cut()
            elif kind == "freeze":
                self.relay.freeze()
            else:
                self.relay.heal()


async def hand_off_under(faults, count):
    pair, results = Pair(), {}

    async def hand_off(index):
        spec = RequestSpec(f"r{index}", "t", "q", "p")
        handoff = Handoff(f"h{index}", spec, TIMEOUT_S)
        result = await pair.link.hand_off(handoff, lambda: True, TIMEOUT_S)
        results[handoff.handoff_id] = result

    async with anyio.create_task_group() as tasks:
        await pair.start(tasks)
        async with anyio.create_task_group() as work:
            work.start_soon(pair.disturb, [*faults, (0.1, "heal")])
            for index in range(count):
                work.start_soon(hand_off, index)
                await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    return pair.service, results


faults = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.01, 0.03, 0.06, 0.1)),
        st.sampled_from(("cut", "freeze", "heal")),
    ),
    max_size=4,
)


class TestHandoff(unittest.TestCase):
    @settings(max_examples=25)
    @given(faults)
    def test_every_word_on_a_hand_off_is_true(self, history):
        service, results = anyio.run(hand_off_under, history, 6)
        self.assertEqual(len(results), 6)
        for handoff_id, result in results.items():
            runs = service.runs.get(handoff_id, 0)
            self.assertLessEqual(runs, 1)
            if result.is_not_run:
                self.assertEqual(runs, 0, handoff_id)
            elif result.outcome is not None:
                self.assertEqual((runs, result.outcome), (1, DONE))
            else:
                # Without a word the request must still be undecided nowhere.
                custody = service.book.recall(handoff_id, 0.0)
                self.assertIn(custody.state, tuple(RecallState))

    def test_quiet_connection_answers_everything(self):
        service, results = anyio.run(hand_off_under, [], 10)
        self.assertTrue(all(r.outcome == DONE for r in results.values()))
        self.assertEqual(set(service.runs.values()), {1})

    def test_frozen_connection_is_replaced_and_the_outcome_recalled(self):
        history = [(0.06, "freeze"), (0.05, "heal")]
        service, results = anyio.run(hand_off_under, history, 3)
        for handoff_id, result in results.items():
            runs = service.runs.get(handoff_id, 0)
            self.assertTrue(result.outcome is not None or result.is_not_run)
            self.assertEqual(runs, 0 if result.is_not_run else 1)


texts = st.text(max_size=20)
specs = st.builds(
    RequestSpec,
    request_id=texts,
    team=texts,
    queue=texts,
    pool=texts,
    demand=st.builds(
        Demand,
        slots=st.integers(0, 1024),
        cpus=st.floats(0, 1e6),
        memory_gb=st.floats(0, 1e6),
        accelerators=st.integers(0, 1024),
    ),
    urgent=st.booleans(),
    idempotent=st.booleans(),
    key=texts,
    labels=st.lists(texts, max_size=3).map(tuple),
    content_type=texts,
    body=st.binary(max_size=100),
    expected_s=st.floats(0, 1e6),
)
outcomes = st.builds(
    Outcome,
    kind=st.sampled_from(OutcomeKind),
    reason=st.sampled_from(Reason),
    status=st.integers(0, 599),
    content_type=texts,
    body=st.binary(max_size=100),
    retry_after_s=st.floats(0, 1e6),
    worker=texts,
    replayed=st.booleans(),
)
hints = st.builds(
    ShardHint,
    pool=texts,
    free_slots=st.integers(0, 10_000),
    waiting=st.integers(0, 10_000),
)
messages = st.one_of(
    st.builds(Handoff, texts, specs, st.floats(0, 1e6), st.booleans(), texts),
    st.builds(RecallReply, texts, st.sampled_from(RecallState), st.none() | outcomes),
    st.builds(
        Heartbeat,
        name=texts,
        zone=texts,
        incarnation=texts,
        is_leaving=st.booleans(),
        control_offset=st.integers(0, 2**60),
        shards=st.lists(hints, max_size=3).map(tuple),
        stamp=st.integers(0, 2**60),
        echo=st.integers(0, 2**60),
        is_promising=st.booleans(),
    ),
)


class TestCodec(unittest.TestCase):
    @given(messages, st.integers(0, 2**60))
    def test_message_survives_its_bytes(self, message, call_id):
        decoded = codec.decode(codec.encode(message, call_id))
        self.assertEqual((decoded.call_id, decoded.message), (call_id, message))

    @given(st.binary(max_size=200))
    def test_garbage_is_a_protocol_error_or_a_message(self, data):
        try:
            codec.decode(data)
        except ProtocolError:
            return

    @given(messages, st.data())
    def test_damaged_message_never_crashes(self, message, data):
        encoded = bytearray(codec.encode(message))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] ^= data.draw(st.integers(1, 255))
        try:
            codec.decode(bytes(encoded))
        except ProtocolError:
            return
