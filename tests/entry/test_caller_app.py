import types
import unittest

import anyio

from basilwind.entry.caller_app import CallerApp
from basilwind.errors import NotOwner
from tests.utils.entry_fakes import Clock, make_services

JOB_PATH = "/q/" + "a" * 16
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10}]}'


class FakePeers:
    """No owner answers; with ``error``, every call raises it."""

    def __init__(self, error=None):
        self._error = error or NotOwner("no owner")

    async def job_state(self, pool, job_id):
        raise self._error

    async def queue(self, pool, queue):
        raise self._error


class TestCallerApp(unittest.TestCase):
    """Requests that the daemon can't finish get a response of this API."""

    def _statuses(self, method, interrupt_after_s=None, error=None, is_late=False):
        """Returns the statuses of a request's response.

        Args:
            method: HTTP method.
            interrupt_after_s: When to answer open requests, in seconds, or None.
            error: Error that calls of peers raise, or None if no owner answers.
            is_late: Whether open requests were answered before this one arrived.
        """
        services = make_services(Clock())
        services.settings.store_record_bytes = 262144
        intake_router = types.SimpleNamespace(store=lambda *_: anyio.sleep_forever())
        app = CallerApp(
            services,
            FakePeers(error),
            intake_router,
            lambda: True,
            lambda *_: None,
        )
        scope = {
            "method": method,
            "path": JOB_PATH,
            "headers": [(b"host", b"host")],
            "query_string": b"",
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": BODY if method == "POST" else b""}

        async def send(message):
            sent.append(message)

        async def main():
            if is_late:
                app.answer_open_requests()
            with anyio.fail_after(1.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(app, scope, receive, send)
                    if interrupt_after_s is not None:
                        await anyio.sleep(interrupt_after_s)
                        app.answer_open_requests()

        anyio.run(main)
        return [message["status"] for message in sent if "status" in message]

    def test_interrupted_submission_may_be_stored(self):
        self.assertEqual(self._statuses("POST", interrupt_after_s=0.05), [504])

    def test_interrupted_cancellation_may_be_stored(self):
        self.assertEqual(self._statuses("DELETE", interrupt_after_s=0.05), [504])

    def test_interrupted_query_is_refused(self):
        self.assertEqual(self._statuses("GET", interrupt_after_s=0.05), [503])

    def test_request_on_an_open_connection_after_the_last_answers_is_answered(self):
        # Regression: requests in the last 0.3 s of a stop were cancelled with the event
        # loop, and callers got the server's own status 500 (soak seed 203).
        self.assertEqual(self._statuses("POST", is_late=True), [504])
        self.assertEqual(self._statuses("DELETE", is_late=True), [504])
        self.assertEqual(self._statuses("GET", is_late=True), [503])

    def test_unexpected_error_leaves_the_outcome_open(self):
        error = KeyError("unexpected")
        self.assertEqual(self._statuses("POST", error=error), [504])
        self.assertEqual(self._statuses("GET", error=error), [503])
