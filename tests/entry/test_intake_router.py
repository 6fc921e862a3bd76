import types
import unittest

import anyio
import msgspec

from basilwind.entry.intake import cancellation_key
from basilwind.entry.intake_router import SETTLE_AFTER_S, IntakeRouter
from basilwind.entry.peer_app import PeerApp
from basilwind.entry.peer_client import PeerClient
from basilwind.entry.peer_messages import RelayedRecord
from basilwind.entry.route_history import PastRoute
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.errors import CallRefused, CallUnanswered, NotStarted, OutcomeUnknown
from basilwind.platform.jobs import decode_job
from basilwind.scheduling.outages import SUSPECT_AFTER_S
from basilwind.scheduling.ownership import Claim
from basilwind.scheduling.records import SubmissionRecord
from tests.scheduling.model import QUEUE
from tests.utils.asgi import call
from tests.utils.entry_fakes import Clock, make_services

JOB = "a" * 16
PEERS = [Claim(f"e{n}#1", f"h{n}:1", n, "a") for n in (2, 3, 4)]


class FakeIntake:
    """An intake whose appends succeed, are withdrawn, or never get an answer."""

    def __init__(self, outcome="stored"):
        self.outcome = outcome
        self.stored = []

    async def store(self, key, value, patience_s=1.0):
        self.patience_s = patience_s
        if self.outcome == "refused":
            raise NotStarted("the platform's store is away")
        if self.outcome == "unanswered":
            await anyio.sleep_forever()
        self.stored.append((key, value))


class TestIntakeRouter(unittest.TestCase):
    """Load pattern: the store turns this daemon away and serves its peers."""

    def setUp(self):
        self.clock = Clock()
        self.monitor = StoreMonitor(self.clock)
        self.intake = FakeIntake()
        self.peers = list(PEERS)
        self.relayed = []
        self.relay_errors = []

    def _store(self, timeout_s=5.0, patience_s=2.85):
        async def relay(claim, pool, queue, key, value):
            self.relayed.append(claim.holder)
            if self.relay_errors:
                raise self.relay_errors.pop(0)

        router = IntakeRouter(
            lambda pool: self.intake, self.monitor, lambda: self.peers, relay
        )

        async def main():
            with anyio.fail_after(timeout_s):
                await router.store(QUEUE.pool, QUEUE, JOB, b"job", patience_s)

        anyio.run(main)

    def _lose_store(self):
        self.clock.now += SUSPECT_AFTER_S + 0.1
        self.intake.outcome = "refused"

    def test_daemon_with_store_stores_by_itself(self):
        self._store()
        self.assertEqual(self.intake.stored, [(JOB, b"job")])
        self.assertEqual(self.relayed, [])

    def test_peer_stores_for_daemon_without_store(self):
        self._lose_store()
        self._store()
        self.assertEqual((self.intake.stored, self.relayed), ([], ["e2#1"]))

    def test_second_peer_is_tried_if_the_first_certainly_did_not_store(self):
        self._lose_store()
        self.relay_errors = [NotStarted("away here too")]
        self._store()
        self.assertEqual(self.relayed, ["e2#1", "e3#1"])

    def test_record_that_nobody_stored_is_refused(self):
        self._lose_store()
        self.relay_errors = [NotStarted("away") for _ in PEERS]
        with self.assertRaises(NotStarted):
            self._store()
        self.assertEqual(len(self.relayed), 2)

    def test_unanswered_relay_leaves_the_outcome_open(self):
        # Another peer could only refuse, and a refusal might be wrong.
        self._lose_store()
        self.relay_errors = [OutcomeUnknown("no answer")]
        with self.assertRaises(OutcomeUnknown):
            self._store()
        self.assertEqual(self.relayed, ["e2#1"])

    def test_caller_whose_deadline_is_over_is_refused(self):
        # Regression (fleetbench sabeel-amman, recorded day inc-f1f2): callers came back
        # with their last milliseconds while the store was slow. Nothing was sent, but
        # they got 504, after which they may not try again.
        with self.assertRaises(NotStarted):
            self._store(patience_s=0.0)
        self.assertEqual((self.intake.stored, self.relayed), ([], []))

    def test_record_is_withdrawn_before_the_deadline(self):
        self._store(patience_s=0.4)
        self.assertLess(self.intake.patience_s, 0.4)

    def test_peer_settles_an_append_without_an_answer(self):
        self.intake.outcome = "unanswered"
        self._store()
        self.assertEqual(self.relayed, ["e2#1"])

    def test_append_without_an_answer_stays_open_if_no_peer_stores_it(self):
        for errors in ([NotStarted("away")] * 3, [OutcomeUnknown("no answer")]):
            self.intake.outcome = "unanswered"
            self.relay_errors = errors
            with self.assertRaises(TimeoutError):
                self._store(timeout_s=SETTLE_AFTER_S + 0.5)


class TestRelay(unittest.TestCase):
    """A relayed record between ``PeerClient`` and ``PeerApp``."""

    def _relay(self, answer):
        async def call(*arguments):
            if isinstance(answer, Exception):
                raise answer
            return answer, b""

        client = PeerClient(types.SimpleNamespace(call=call), None, None)
        anyio.run(client.relay, PEERS[0], QUEUE.pool, QUEUE, JOB, b"job")

    def test_outcomes_of_a_relay(self):
        self._relay(200)
        for answer in (CallRefused("down"), 503, 400):
            with self.assertRaises(NotStarted):
                self._relay(answer)
        for answer in (CallUnanswered("silent"), 500, 504):
            with self.assertRaises(OutcomeUnknown):
                self._relay(answer)

    def _post(self, intake, queue="q", key=JOB, value=b"job", past_pools=()):
        services = make_services(Clock())
        services.routes.others = {PastRoute(pool, "q-old") for pool in past_pools}
        app = PeerApp(lambda pool: None, lambda pool: intake, services, None)
        body = msgspec.json.encode(RelayedRecord(queue, key, value))
        start, _ = anyio.run(call, app, "POST", "/intake/pool", body)
        return start["status"]

    def test_peer_stores_or_refuses(self):
        intake = FakeIntake()
        self.assertEqual(self._post(intake), 200)
        self.assertEqual(intake.stored, [(JOB, b"job")])
        self.assertEqual(self._post(FakeIntake("refused")), 503)

    def test_record_of_a_removed_queue_is_not_stored(self):
        # The daemon without the store does not know the newest configuration.
        intake = FakeIntake()
        self.assertEqual(self._post(intake, queue="removed"), 503)
        self.assertEqual(intake.stored, [])

    def test_newer_configuration_decides_where_a_submission_goes(self):
        # Fails before the fix: stored for the pool to which the path no longer leads.
        spec = decode_job(b'{"spec":"x","steps":[{"count":1,"cpu":1}]}')
        for version, status in ((0, 503), (1, 200), (2, 200)):
            value = msgspec.json.encode(
                SubmissionRecord("removed", 0.0, spec, QUEUE, version)
            )
            intake = FakeIntake()
            with self.subTest(version=version):
                answer = self._post(
                    intake, queue="removed", value=value, past_pools=["pool"]
                )
                self.assertEqual(answer, status)
                self.assertEqual(bool(intake.stored), status == 200)

    def test_cancellation_is_stored_although_its_queue_was_removed(self):
        # Its job may run in the pool all the same.
        intake = FakeIntake()
        key = cancellation_key(JOB)
        self.assertEqual(self._post(intake, queue="removed", key=key), 200)
        self.assertEqual(intake.stored, [(key, b"job")])
