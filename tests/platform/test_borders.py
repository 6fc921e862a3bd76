"""Generated input at each border ends in a checked value or one clear error.

Regression (issue 31, operators' report): after one very deeply nested entry among
those of the workers, the registry of each daemon failed on it, was started again and
failed on it for ever, and no job began.
"""

import json
import unittest

import anyio
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from basilwind.checked_json import MAX_ERROR_LENGTH
from basilwind.entry.peer_client import PeerClient
from basilwind.entry.peer_messages import (
    AdmissionResponse,
    DaemonResponse,
    HandoverResponse,
)
from basilwind.errors import (
    BasilwindError,
    RecordInvalid,
    RequestInvalid,
    SettingsError,
)
from basilwind.platform.advice import AdviceClient
from basilwind.platform.documents import (
    decode_configuration,
    decode_wave,
    decode_worker,
)
from basilwind.platform.entry_host_settings import decode_entry_host_settings
from basilwind.platform.jobs import decode_job
from basilwind.platform.machines import MachineClient, MachineState
from basilwind.platform.store import StoreClient
from basilwind.platform.workers import WorkerControlClient
from basilwind.scheduling.admission import RefusalReason
from basilwind.scheduling.demand import PoolReport, WorkerLoad
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.ownership import Claim
from basilwind.scheduling.records import (
    JobRecord,
    SubmissionRecord,
    TaskRecord,
    decode_decline,
    decode_job_record,
    decode_submission,
    restore_job,
)
from tests.scheduling.model import QUEUE, make_job
from tests.utils.transport_fakes import FakeTransport

DEPTH = 40_000
LONG_NUMBER = b"1" + b"0" * 400

# JSON texts that replace a part of a valid document.
ODD_TEXTS = st.sampled_from(
    [
        b"[" * DEPTH + b"]" * DEPTH,
        b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
        LONG_NUMBER,
        b"-" + LONG_NUMBER,
        b"1e999",
        b"-1e300",
        b"1e300",
        str(2**62).encode(),
        str(2**64).encode(),
        str(-(2**63)).encode(),
        b"NaN",
        b"-1",
        b"0",
        b"1.5",
        b"true",
        b"null",
        b"[]",
        b"{}",
        b'""',
        b'"\\ud800"',
        b'"\\udc00\\ud800"',
        b'"\xff\xfe"',
        b'"a\\u0000b"',
        b'"a\\r\\nb: c"',
        b'"a/b c?d#e"',
        b'"10.0.0.1:99999"',
        b'"10.0.0.1:0"',
        b'"10.0.0.1:-1"',
        b'"10.0.0.1:8\\n"',
        b'"[::1]:80"',
        b'":80"',
        b'"%s"' % (b"x" * 5000),
        b'"2024-01-01"',
    ]
)


def _positions(value, path=()):
    """Returns the paths to all parts of a document."""
    found = [path]
    if isinstance(value, dict):
        for key, part in value.items():
            found += _positions(part, (*path, key))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            found += _positions(part, (*path, index))
    return found


def _encode(value, path, odd):
    """Encodes a document as JSON with the part at a path replaced."""
    if not path:
        return odd
    key, *rest = path
    if isinstance(value, dict):
        parts = [
            json.dumps(name).encode()
            + b":"
            + (_encode(part, rest, odd) if name == key else json.dumps(part).encode())
            for name, part in value.items()
        ]
        return b"{" + b",".join(parts) + b"}"
    parts = [
        _encode(part, rest, odd) if index == key else json.dumps(part).encode()
        for index, part in enumerate(value)
    ]
    return b"[" + b",".join(parts) + b"]"


@st.composite
def documents(draw, valid):
    """Draws a valid document with one odd part, or with an odd unknown field."""
    odd = draw(ODD_TEXTS)
    if isinstance(valid, dict) and draw(st.booleans()):
        return json.dumps(valid).encode()[:-1] + b',"unknown":' + odd + b"}"
    return _encode(valid, draw(st.sampled_from(_positions(valid))), odd)


def hostile(valid):
    """Draws what another writer may have put in place of a valid document."""
    return documents(valid) | st.binary(max_size=60)


WORKER = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "remainingMs": 10,
    "sequence": 5,
    "born": 12,
    "machine": "m-1",
    "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0},
    "labels": ["a", "r1"],
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "host",
            "pathPrefix": "/q/",
            "service": "pool",
            "timeoutMs": 3000,
            "targetDurationMs": 600,
            "priority": 0,
            "attempts": 3,
            "stretch": 1.6,
            "advice": {"decisionMs": 3},
        }
    ],
    "services": [{"name": "pool", "rejectsOverload": True, "spare": False}],
    "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 3000},
}
WAVE = {"wave": 1, "machines": ["m-1"], "deadlineS": 20.0, "maximum": 2}
JOB = {
    "spec": "x",
    "steps": [
        {"count": 2, "cpu": 100, "memMb": 10, "gpu": 0, "estimateMs": 900},
        {"count": 1, "cpu": 5, "after": [0], "antiAffinity": 1, "targetMs": 5},
    ],
    "repeatCount": 2,
    "startTimeMs": 5.0,
    "intervalMs": 100,
}
SETTINGS = {
    "nodeName": "edge-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listenAddrs": {"front": "10.0.0.1:80", "readyAddr": "10.0.0.1:81"},
    "internalPorts": [7060, 7075],
    "platform": {"address": "10.0.0.2:80", "recordBytes": 262144},
    "bounds": {"maxHoldMs": 10000, "status_s": 120, "graceS": 6},
    "limits": {"cpuShare": 0.5, "cores": 2},
    "cloudApi": {"address": "10.0.0.3:80"},
    "advice": "10.0.0.4:80",
}
HOLD = {
    "clockMs": 5.0,
    "born": 7,
    "running": [["j.0.0.0", 1, "c", 40, 300]],
    "ended": [[3, "j.0.0.1", 2, "done", "c"]],
}
MACHINES = {
    "machines": [
        {
            "machine": "m-1",
            "pool": "pool",
            "state": "up",
            "zone": "a",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0},
            "id": "i-1",
        }
    ],
    "nextToken": "",
}
NEWEST = {
    "items": [{"key": "k", "value": "eA==", "offset": 1}],
    "hasMore": False,
    "end": 4,
}


def _plain(value):
    return json.loads(msgspec.json.encode(value))


SUBMISSION = _plain(SubmissionRecord("q", 5.0, make_job(count=2), QUEUE, 3))
JOB_RECORD = _plain(
    JobRecord("running", [TaskRecord(0, 0, 1, 2, False, "w", 7, 0, "c")], [])
)
REPORT = _plain(
    PoolReport("pool", [WorkerLoad("w", 1, 2, 0)], 0.0, 0.0, 0, 0, 0, 0, 0, 0.0, 0)
)


class TestBorders(unittest.TestCase):
    def _decode(self, decode, error, *arguments):
        """Returns a checked value, or None if ``error`` was raised."""
        try:
            value = decode(*arguments)
        except error as raised:
            self.assertLessEqual(len(str(raised)), MAX_ERROR_LENGTH + 150)
            return None
        # What is checked can be sent on.
        msgspec.json.encode(value)
        return value

    def _answer(self, body, call):
        """Returns a client's result for an answer, or None after an error."""

        async def main():
            with anyio.fail_after(5.0):
                return await call(FakeTransport(200, body))

        try:
            return anyio.run(main)
        except BasilwindError:
            return None

    @given(hostile(WORKER), st.text(max_size=8) | st.just("i-1"))
    def test_entries_of_workers(self, data, worker_id):
        entry = self._decode(decode_worker, RecordInvalid, worker_id, data)
        if entry is not None:
            entry.worker_id.encode("latin-1")
            self.assertNotIn("\n", entry.worker_id + entry.address)
            self.assertTrue(0 < int(entry.address.rpartition(":")[2]) < 65536)
            self.assertLess(entry.cpu + entry.memory + entry.gpu, 2**63)

    @given(hostile(CONFIGURATION))
    def test_configuration(self, data):
        configuration = self._decode(decode_configuration, RecordInvalid, data)
        for pool in configuration.pools if configuration else ():
            self.assertNotIn("/", pool)

    @given(hostile(WAVE))
    def test_waves(self, data):
        self._decode(decode_wave, RecordInvalid, data)

    @given(hostile(JOB))
    def test_bodies_of_callers(self, data):
        job = self._decode(decode_job, RequestInvalid, data)
        self.assertTrue(job is None or job.is_valid)

    @given(hostile(SETTINGS))
    def test_settings_files(self, data):
        settings = self._decode(decode_entry_host_settings, SettingsError, data)
        for address in (settings.front_address,) if settings else ():
            self.assertTrue(0 < int(address.rpartition(":")[2]) < 65536)

    @given(hostile(SUBMISSION))
    def test_own_submissions(self, data):
        submission = self._decode(decode_submission, RecordInvalid, data)
        if submission is not None:
            job = Job("a" * 16, "q", submission.spec, submission.accepted_at)
            job.start_due_occurrences(1e9)

    @given(hostile(JOB_RECORD))
    def test_own_job_records(self, data):
        record = self._decode(decode_job_record, RecordInvalid, data)
        if record is not None:
            try:
                restore_job(Job("a" * 16, "q", make_job(count=2), 0.0), record, 1.0)
            except (KeyError, IndexError):
                return

    @given(hostile([2, "pool", 5.0]))
    def test_own_declines(self, data):
        self._decode(decode_decline, RecordInvalid, data)

    @given(hostile(HOLD))
    def test_answers_of_workers(self, body):
        report = self._answer(
            body,
            lambda transport: WorkerControlClient(transport).hold(
                "h:1", "i", 7, 0, None, 0.0
            ),
        )
        if report is not None:
            int(report.worker_clock_s * 1000)
            msgspec.json.encode(report)
            numbers = [run.run for run in report.running]
            numbers += [end.sequence for end in report.ended]
            self.assertTrue(all(0 <= number < 2**63 for number in numbers))

    @given(hostile(MACHINES))
    def test_listed_machines(self, body):
        machines = self._answer(
            body, lambda transport: MachineClient(transport, "h:1").list()
        )
        for machine in machines or ():
            machine.name.encode("latin-1")
            self.assertLess(machine.cpu + machine.memory, 2**63)

    @given(hostile(NEWEST))
    def test_answers_of_the_store(self, body):
        def read(transport):
            store = StoreClient(transport, "h:1", lambda *_: None, lambda: 0.0)
            return store.read_latest("topic")

        answer = self._answer(body, read)
        for record in answer[0] if answer else ():
            record.key.encode()
            self.assertLess(record.offset, 2**63)

    @given(st.binary(max_size=200))
    def test_raw_records_of_the_store(self, body):
        def read(transport):
            store = StoreClient(transport, "h:1", lambda *_: None, lambda: 0.0)
            return store.read("topic", 3)

        for record in self._answer(body, read) or ():
            record.key.encode()

    @given(hostile({"good": [["i", "ticket"]], "validityMs": 10}))
    def test_answers_of_the_policy(self, body):
        self._answer(
            body, lambda transport: AdviceClient(transport, "h:1").advise("s", ["i"])
        )

    @given(
        hostile(REPORT)
        | hostile(_plain(DaemonResponse("e#1", 0.5, False, 1.0)))
        | hostile(_plain(HandoverResponse("e#1", {"m": 1.0})))
        | hostile({"state": "running"})
        | hostile({"waiting": 3, "refuse_for_s": 1.0})
        | hostile(_plain(AdmissionResponse(1.0, RefusalReason.BACKLOG, "c", True)))
    )
    def test_answers_of_peers(self, body):
        claim = Claim("e#1", "h:1", 7)

        def client(transport):
            return PeerClient(transport, lambda pool: None, lambda pool: "h:1")

        for call in (
            lambda transport: client(transport).withhold("pool", [], 7),
            lambda transport: client(transport).query_daemon(claim),
            lambda transport: client(transport).announce_takeover(claim),
            lambda transport: client(transport).hand_over_planning(claim, 9, 3.0),
            lambda transport: client(transport).job_state("pool", "a" * 16),
            lambda transport: client(transport).decline("pool", "a" * 16, 1, "p"),
            lambda transport: client(transport).queue("pool", "q"),
            lambda transport: client(transport).admission("pool", "q", "a" * 16, "c"),
        ):
            self._answer(body, call)

    def test_valid_documents_are_accepted(self):
        # Otherwise the tests above could pass by rejecting everything.
        for decode, document in (
            (lambda data: decode_worker("i-1", data), WORKER),
            (decode_configuration, CONFIGURATION),
            (decode_wave, WAVE),
            (decode_job, JOB),
            (decode_entry_host_settings, SETTINGS),
            (decode_submission, SUBMISSION),
            (decode_job_record, JOB_RECORD),
        ):
            decode(json.dumps(document).encode())

    def test_damaged_record_of_a_page_costs_itself_alone(self):
        items = [{"key": "bad", "value": "?", "offset": 1}, {"value": ""}]
        body = NEWEST | {"items": items + NEWEST["items"]}

        def read(transport):
            store = StoreClient(transport, "h:1", lambda *_: None, lambda: 0.0)
            return store.read_latest("topic")

        records, _ = self._answer(json.dumps(body).encode(), read)
        self.assertEqual([record.key for record in records], ["k"])

    def test_damaged_entry_of_a_machine_gets_no_orders(self):
        damaged = MACHINES["machines"][0] | {"machine": "m-2", "capacity": []}
        unnamed = MACHINES["machines"][0] | {"machine": 5}
        body = MACHINES | {"machines": [damaged, unnamed, *MACHINES["machines"]]}
        machines = self._answer(
            json.dumps(body).encode(),
            lambda transport: MachineClient(transport, "h:1").list(),
        )
        states = {machine.name: machine.state for machine in machines}
        self.assertEqual(states, {"m-2": MachineState.DOWN, "m-1": MachineState.UP})
