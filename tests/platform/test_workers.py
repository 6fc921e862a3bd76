import unittest

import anyio

from basilwind.errors import CallUnanswered, ProducerFenced, WorkerReplaced
from basilwind.platform.workers import MAX_LISTED_ENDS, WorkerControlClient
from basilwind.scheduling.reports import EndKind, StartOutcome
from tests.utils.transport_fakes import FakeConnections, FakeTransport


class TestWorkerControlClient(unittest.TestCase):
    def _call(self, name, status, body, *arguments):
        transport = (FakeConnections if name == "start" else FakeTransport)(
            status, body
        )
        client = WorkerControlClient(transport)
        return anyio.run(getattr(client, name), "host:1", "i-1", *arguments)

    def _stop(self, status, body=b'{"clockMs":1}'):
        return self._call("stop", status, body, "j.0.0.0", 1, 7)

    def test_stop_with_a_lower_token_is_not_accepted(self):
        self.assertFalse(self._stop(409, b'{"clockMs":1,"reason":"fence"}'))
        self.assertFalse(self._stop(503))
        self.assertTrue(self._stop(200))

    def test_start_answers_map_to_outcomes(self):
        arguments = ("j.0.0.0", 1, "", 9.0, 7, "", "")
        for status, body, outcome in (
            (200, b'{"clockMs":1500}', StartOutcome.STARTED),
            (409, b'{"clockMs":1500,"reason":"room"}', StartOutcome.NO_CAPACITY),
            (409, b'{"clockMs":1500,"reason":"fence"}', StartOutcome.FENCED),
            (409, b'{"clockMs":1500,"reason":"new"}', StartOutcome.REFUSED),
            (503, b"", StartOutcome.UNHEALTHY),
            (421, b"", StartOutcome.WRONG_INCARNATION),
            (400, b"", StartOutcome.REFUSED),
        ):
            answer, worker_clock_s = self._call("start", status, body, *arguments)
            self.assertIs(answer, outcome)
            self.assertEqual(worker_clock_s, 1.5 if status in (200, 409) else None)

    def test_start_with_an_odd_answer_may_have_been_executed(self):
        # Regression (issue 34): a start with an answer that the platform does not
        # define counted as refused, and the task was started elsewhere.
        arguments = ("j.0.0.0", 1, "", 9.0, 7, "", "")
        for status in (204, 302, 404, 500, 502, 504):
            with self.subTest(status=status), self.assertRaises(CallUnanswered):
                self._call("start", status, b"{}", *arguments)

    def test_hold_with_a_full_page_of_ends_is_not_complete(self):
        rows = [f'[{n},"t{n}",1,"done",""]' for n in range(1, MAX_LISTED_ENDS + 1)]
        for count in (MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS):
            body = f'{{"clockMs":1,"ended":[{",".join(rows[:count])}]}}'
            report = self._call("hold", 200, body.encode(), 7, 0, None, 0.0)
            self.assertEqual(report.is_complete, count < MAX_LISTED_ENDS)

    def test_hold_decodes_runs_and_raises_on_rejection(self):
        body = (
            b'{"clockMs":2000,"born":5,"running":[["t",2,"c",41,300]],'
            b'"ended":[[58,"u",1,"done",""],[59,"v",1,"odd",""]]}'
        )
        report = self._call("hold", 200, body, 7, 0, None, 0.0)
        self.assertEqual(report.worker_clock_s, 2.0)
        self.assertEqual(report.running[0].progress_percent, 41)
        kinds = [end.kind for end in report.ended]
        self.assertEqual(kinds, [EndKind.DONE, EndKind.FAILED])
        with self.assertRaises(ProducerFenced):
            self._call("hold", 409, b"{}", 7, 0, None, 0.0)
        with self.assertRaises(WorkerReplaced):
            self._call("hold", 421, b"", 7, 0, None, 0.0)
