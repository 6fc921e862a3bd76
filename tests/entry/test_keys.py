"""Calls with customers' keys, and jobs that belong to customers."""

import dataclasses
import json
import types
import unittest
from functools import partial

import anyio
import msgspec

from basilwind.entry.caller_app import CallerApp
from basilwind.entry.intake import (
    CANCEL_VALUE,
    cancellation_key,
    encode_cancellation,
    intake_topic,
)
from basilwind.entry.journal import journal_topic
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peer_app import job_response
from basilwind.entry.peer_client import PeerClient
from basilwind.entry.peer_messages import AdmissionResponse, QueueResponse
from basilwind.errors import NotOwner
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.jobs import JobState, JobStatus
from basilwind.scheduling.records import (
    JobRecord,
    SubmissionRecord,
    decode_job_record,
    decode_submission,
    encode_job,
)
from tests.entry.test_key_ring import REVOKE_S, keyed_configuration
from tests.scheduling.model import QUEUE, make_job
from tests.utils.asgi import call
from tests.utils.entry_fakes import CONFIGURATION, Clock, make_services
from tests.utils.transport_fakes import FakeTransport

JOB = "a" * 16
PATH = f"{QUEUE.path_prefix}{JOB}"
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10}]}'
PUBLIC = dataclasses.replace(QUEUE, is_public=True)
CALLS = (("POST", PATH), ("GET", PATH), ("DELETE", PATH), ("GET", QUEUE.path_prefix))


class Owner:
    """The owner of the pool, asked by way of the peer client.

    Attributes:
        status: ``JobStatus`` of the job, or None.
        error: Error of all calls, or None.
        on_call: Called by each call.
    """

    def __init__(self):
        self.status = None
        self.error = None
        self.on_call = lambda: None

    async def job_state(self, pool, job_id, must_confirm=False):
        self.on_call()
        if self.error is not None:
            raise self.error
        return self.status

    async def queue(self, pool, queue):
        self.on_call()
        return QueueResponse(2)

    async def admission(self, pool, queue, job_id, customer):
        status = await self.job_state(pool, job_id)
        if status is None:
            return AdmissionResponse()
        return AdmissionResponse(customer=status.customer, is_known=True)


class TestCalls(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.lines = []
        self.services = make_services(self.clock, self._report)
        self.services.settings.has_strict_revocation = True
        self._configure({"k1": "a", "k2": "b"})
        self.owner = Owner()
        self.stored = {}
        self.on_store = lambda: None

    def _report(self, event, **fields):
        self.lines.append((event, fields))

    def _configure(self, key_owners):
        self.services.configuration.current = keyed_configuration(key_owners)
        self.services.configuration.confirmed_at = self.clock()

    def _call(self, method, path=PATH, key="k1"):
        """Returns the ``http.response.start`` message and the body of a response."""

        async def store(pool, queue, record_key, value, patience_s):
            self.stored[record_key] = value
            self.on_store()

        app = CallerApp(
            self.services,
            self.owner,
            types.SimpleNamespace(store=store),
            lambda: False,
            lambda *_: None,
        )
        headers = [(b"host", b"host"), (b"x-key", key.encode())]
        body = BODY if method == "POST" else b""

        async def main():
            with anyio.fail_after(2.0):
                return await call(app, method, path, body, headers)

        return anyio.run(main)

    def _status(self, *arguments, **options):
        return self._call(*arguments, **options)[0]["status"]

    def test_customer_of_the_key_is_stored_with_the_job_and_its_cancellation(self):
        self.assertEqual(self._status("POST"), 200)
        self.assertEqual(decode_submission(self.stored[JOB]).customer, "a")
        self.owner.status = JobStatus(JobState.RUNNING, "a")
        self.assertEqual(self._call("GET")[1], b'{"state":"running"}')
        self.assertEqual(self._status("DELETE"), 200)
        self.assertEqual(self.stored[cancellation_key(JOB)], encode_cancellation("a"))

    def test_unknown_and_missing_keys_are_refused_on_all_calls(self):
        for method, path in CALLS:
            for key in ("nobody's", ""):
                with self.subTest(method=method, path=path, key=key):
                    self.assertEqual(self._status(method, path, key), 401)
        self.assertEqual(self.stored, {})

    def test_daemon_without_proof_refuses_all_calls_for_now(self):
        self.clock.now += REVOKE_S
        for method, path in CALLS:
            for key in ("k1", "nobody's"):
                with self.subTest(method=method, path=path, key=key):
                    start, _ = self._call(method, path, key)
                    self.assertEqual(start["status"], 503)
                    self.assertIn(b"Retry-After", dict(start["headers"]))
        self.assertEqual(self.stored, {})

    def test_path_of_a_newer_configuration_is_not_refused_for_good(self):
        self.assertEqual(self._status("GET", "/new/"), 404)
        self.clock.now += REVOKE_S
        self.services.configuration.can_be_read = False
        self.assertEqual(self._status("GET", "/new/"), 503)

    def test_key_that_is_withdrawn_during_a_call_gives_no_success(self):
        self.owner.status = JobStatus(JobState.RUNNING, "a")
        for change in ({"k2": "b"}, {"k1": "b"}):
            for method, path in CALLS:
                self._configure({"k1": "a"})
                withdraw = partial(self._configure, change)
                is_read = method == "GET"
                self.owner.on_call = withdraw if is_read else lambda: None
                self.on_store = withdraw
                with self.subTest(change=change, method=method, path=path):
                    expected = 503 if is_read else 504
                    self.assertEqual(self._status(method, path), expected)

    def test_daemon_that_is_suspended_during_a_call_gives_no_success(self):
        def suspend():
            self.clock.now += 60.0

        self.on_store = suspend
        self.assertEqual(self._status("POST"), 504)
        self.assertIn(JOB, self.stored)

    def test_job_of_another_customer_is_out_of_reach(self):
        for state in (JobState.RUNNING, JobState.COMPLETED):
            self.owner.status = JobStatus(state, "a")
            for method in ("GET", "POST", "DELETE"):
                with self.subTest(state=state, method=method):
                    self.assertEqual(self._status(method, key="k2"), 403)
        self.assertEqual(self.stored, {})

    def test_public_queue_does_not_reach_jobs_of_customers(self):
        configuration = self.services.configuration.current
        self.services.configuration.current = dataclasses.replace(
            configuration, queues={PUBLIC.name: PUBLIC}
        )
        self.clock.now += 60.0
        self.services.store_monitor.record_answer(self.clock())
        self.assertEqual(self._status("POST", key=""), 200)
        self.assertEqual(decode_submission(self.stored[JOB]).customer, "")
        self.assertEqual(self._status("DELETE", key="k1"), 200)
        self.assertEqual(self.stored[cancellation_key(JOB)], CANCEL_VALUE)
        self.owner.status = JobStatus(JobState.RUNNING, "a")
        self.assertEqual(self._status("GET", key=""), 403)

    def test_cancellation_without_an_owner_is_stored_for_the_next_one(self):
        self.owner.error = NotOwner("none")
        self.assertEqual(self._status("DELETE", key="k2"), 200)
        self.assertEqual(self.stored[cancellation_key(JOB)], encode_cancellation("b"))

    def test_fleet_without_customers_asks_the_owner_nothing_more(self):
        # Callers of such fleets must see no change, whatever they send as a key.
        self.services.configuration.current = CONFIGURATION
        self.services.configuration.confirmed_at = None
        self.services.configuration.can_be_read = False
        self.owner.error = AssertionError("asked")
        self.assertEqual(self._status("POST", key="x"), 200)
        calls = []
        self.owner.on_call = lambda: calls.append("asked")
        self.owner.error = None
        self.owner.status = JobStatus(JobState.RUNNING, "", QUEUE.path)
        self.assertEqual(self._status("DELETE", key="x"), 200)
        # Whether its pool has the job, and nothing about customers.
        self.assertEqual(calls, ["asked"])
        self.assertEqual(self.stored[cancellation_key(JOB)], CANCEL_VALUE)
        self.assertEqual(self._status("GET", QUEUE.path_prefix, key=""), 200)

    def test_keys_appear_in_no_answer_record_or_log_line(self):
        secret = "k1-secret"
        texts = []
        for owners, error in (
            ({"k2": "b"}, None),
            ({secret: "a"}, None),
            ({secret: "a"}, KeyError("unexpected")),
        ):
            self.owner.error = error
            for method, path in CALLS:
                self._configure(owners)
                texts.append(str(self._call(method, path, secret)))
        texts += map(str, [self.lines, self.stored, self.services.configuration])
        self.assertIn("request failed", texts[-3])
        self.assertIn("key refused", texts[-3])
        for text in texts:
            self.assertNotIn(secret, text)


class TestOwner(unittest.TestCase):
    """The owner of a pool reads records of several customers."""

    def setUp(self):
        self.clock = Clock()
        self.events = []
        self.services = make_services(
            self.clock, lambda event, **fields: self.events.append((event, fields))
        )

    def _submission(self, customer, count=1):
        submission = SubmissionRecord(
            "q", 0.0, make_job(count=count), QUEUE, 1, customer
        )
        return KeyedRecord(0, JOB, msgspec.json.encode(submission))

    def _cancellation(self, customer):
        return KeyedRecord(0, cancellation_key(JOB), encode_cancellation(customer))

    def _load(self, intake=(), journal=()):
        self.services.store.latest = {
            intake_topic("pool"): list(intake),
            journal_topic("pool"): [KeyedRecord(0, JOB, value) for value in journal],
        }
        owner = PoolOwner("pool", 7, self.services, is_handed_over=True)
        anyio.run(owner._load)
        return owner

    def _reports(self, event):
        return [fields for name, fields in self.events if name == event]

    def test_only_the_job_s_customer_cancels_it(self):
        for order in ("late", "early", "restored"):
            for canceller, state in (
                ("b", JobState.PENDING),
                ("", JobState.PENDING),
                ("a", JobState.CANCELLED),
            ):
                records = [self._submission("a"), self._cancellation(canceller)]
                if order == "early":
                    records.reverse()
                owner = self._load(records if order == "restored" else ())
                if order != "restored":
                    for record in records:
                        owner._apply_intake_record(record)
                with self.subTest(order=order, canceller=canceller):
                    self.assertIs(owner.state.jobs[JOB].state, state)
        self.assertEqual(len(self._reports("cancel ignored")), 6)

    def test_cancellation_survives_another_customer_s_earlier_one(self):
        owner = self._load()
        for record in (
            self._cancellation("b"),
            self._cancellation("a"),
            self._submission("a"),
        ):
            owner._apply_intake_record(record)
        self.assertIs(owner.state.jobs[JOB].state, JobState.CANCELLED)

    def test_job_without_customer_is_cancelled_by_earlier_and_later_records(self):
        for canceller in ("", "a"):
            records = [self._submission(""), self._cancellation(canceller)]
            self.assertIs(self._load(records).state.jobs[JOB].state, JobState.CANCELLED)

    def test_damaged_cancellation_is_left_out(self):
        damaged = KeyedRecord(0, cancellation_key(JOB), b'["a b"]')
        owner = self._load([self._submission("a"), damaged])
        self.assertIs(owner.state.jobs[JOB].state, JobState.PENDING)
        self.assertEqual(len(self._reports("cancellation damaged")), 1)

    def test_known_job_keeps_its_customer_and_spec(self):
        owner = self._load([self._submission("a")])
        owner._apply_intake_record(self._submission("b", count=5))
        job = owner.state.jobs[JOB]
        self.assertEqual((job.customer, job.spec.steps[0].count), ("a", 1))
        self.assertEqual(len(self._reports("submission ignored")), 1)
        owner._apply_intake_record(self._submission("a"))
        self.assertEqual(len(self._reports("submission ignored")), 1)

    def test_new_owner_does_not_run_another_customer_s_submission(self):
        # The intake keeps only the newest submission under an id.
        journal = [encode_job(self._load([self._submission("a")]).state.jobs[JOB])]
        self.assertEqual(decode_job_record(journal[0]).customer, "a")
        owner = self._load([self._submission("b")], journal)
        self.assertEqual(owner.state.jobs, {})
        self.assertEqual(
            self._reports("submission ignored"),
            [{"pool": "pool", "job": JOB, "customer": "a", "caller": "b"}],
        )
        owner = self._load([self._submission("a")], journal)
        self.assertEqual(owner.state.jobs[JOB].customer, "a")

    def test_records_of_earlier_versions_take_the_submission_s_customer(self):
        journal = [json.dumps(["running"]).encode()]
        owner = self._load([self._submission("a")], journal)
        self.assertEqual(owner.state.jobs[JOB].customer, "a")

    def test_job_accepted_before_there_were_customers_stays_open_to_all(self):
        # Its caller repeats the submission with the key that it has got meanwhile.
        journal = [msgspec.json.encode(JobRecord("running", customer=""))]
        owner = self._load([self._submission("a")], journal)
        self.assertEqual(owner.state.jobs[JOB].customer, "")

    def test_daemons_learn_the_job_s_customer_from_near_and_far_owners(self):
        owner = self._load([self._submission("a")])
        body = msgspec.json.encode(anyio.run(job_response, owner, JOB))
        self.assertEqual(
            body, b'{"state":"pending","customer":"a","path":["host","/q/"]}'
        )
        near = PeerClient(None, lambda pool: owner, None)
        for answer in (body, b'{"state":"pending"}', b'{"state":null}'):
            far = PeerClient(
                FakeTransport(200, answer), lambda pool: None, lambda pool: "h:1"
            )
            status = anyio.run(far.job_state, "pool", JOB)
            if answer == body:
                expected = JobStatus(JobState.PENDING, "a", QUEUE.path)
                self.assertEqual(status, expected)
                self.assertEqual(anyio.run(near.job_state, "pool", JOB), status)
            else:
                known = JobStatus(JobState.PENDING) if b"pending" in answer else None
                self.assertEqual(status, known)
