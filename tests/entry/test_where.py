import io
import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import anyio
import msgspec

from basilwind.cli.commands import where
from basilwind.client import Reply
from basilwind.context import Context
from basilwind.core import run
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peer_app import PeerApp
from basilwind.entry.peer_client import PeerClient
from basilwind.entry.peer_messages import WhereRequest, WhereResponse
from basilwind.entry.where import WhereAnswers
from basilwind.scheduling.where import Reason
from basilwind.status import ExitStatus
from tests.utils.asgi import AppTransport, call
from tests.utils.entry_fakes import Clock, make_services

JOB = b'{"steps":[{"count":2,"cpu":100}]}'
OWNER_ADDRESS = "owner:1"


class FakeOwner:
    """Tells what it was asked."""

    def explain_placement(self, queue, spec, customer):
        text = f"{queue.name} {spec.steps[0].count} {customer}"
        return [Reason("asked", text)]


class TestWhere(unittest.TestCase):
    """A question to a daemon that does not own the pool."""

    def _ask(self, path="/q/", address=OWNER_ADDRESS, owner=None, job=JOB):
        """Returns status and body of the answer to the question."""
        services = make_services(Clock())
        owner_app = PeerApp(lambda pool: owner, None, services, None)
        peers = PeerClient(
            AppTransport(owner_app), lambda pool: None, lambda pool: address
        )
        app = PeerApp(None, None, services, WhereAnswers(services, peers).answer)
        question = msgspec.json.encode(WhereRequest("host", path, job, "acme"))
        start, body = anyio.run(call, app, "POST", "/where", question)
        return start["status"], body

    def _reasons(self, **options):
        status, body = self._ask(**options)
        self.assertEqual(status, 200, body)
        return msgspec.json.decode(body, type=WhereResponse).reasons

    def test_owner_of_the_pool_answers(self):
        for path in ("/q/", "/q"):
            reasons = self._reasons(path=path, owner=FakeOwner())
            self.assertEqual(
                reasons, [Reason("owner", OWNER_ADDRESS), Reason("asked", "q 2 acme")]
            )

    def test_real_owner_tells_each_decision(self):
        owner = PoolOwner("pool", 1, make_services(Clock()))
        topics = [reason.topic for reason in self._reasons(owner=owner)]
        decisions = ["queue", "pool", "customer", "admission", "overload"]
        self.assertEqual(topics, ["owner", *decisions, "step 0", "step 0"])
        self.assertEqual(owner.state.dirty, set())

    def test_without_an_owner_the_queue_is_told(self):
        # A question must not fail just when an operator needs it.
        for address in (None, OWNER_ADDRESS):
            reasons = self._reasons(address=address)
            topics = [reason.topic for reason in reasons]
            self.assertEqual(topics, ["owner", "queue", "pool", "no owner"])

    def test_unknown_queue_and_malformed_job_are_refused(self):
        for options in ({"path": "/other/"}, {"job": b'{"steps":[]}'}):
            status, body = self._ask(owner=FakeOwner(), **options)
            self.assertEqual(status, 400)
            self.assertTrue(body)


class TestWhereCommand(unittest.TestCase):
    def _run(self, reply, *options):
        context = Context(stdout=io.StringIO(), stderr=io.StringIO(), environ={})
        asked = mock.AsyncMock(return_value=reply)
        with TemporaryDirectory() as directory, mock.patch.object(where, "_ask", asked):
            file = Path(directory) / "job.json"
            file.write_bytes(JOB)
            arguments = ["where", str(file), "--queue", "host/q/", "--entry", "e:1"]
            status = run([*arguments, *options], context)
        question = msgspec.json.decode(asked.call_args.args[1], type=WhereRequest)
        self.assertEqual(question, WhereRequest("host", "/q/", JOB))
        return status, context.stdout.getvalue(), context.stderr.getvalue()

    def test_reasons_are_printed_as_a_table_or_as_lines(self):
        answer = WhereResponse([Reason("owner", OWNER_ADDRESS)])
        reply = Reply(200, body=msgspec.json.encode(answer))
        status, output, _ = self._run(reply)
        self.assertIs(status, ExitStatus.SUCCESS)
        self.assertIn(OWNER_ADDRESS, output)
        _, output, _ = self._run(reply, "--json")
        self.assertEqual(json.loads(output), {"topic": "owner", "text": OWNER_ADDRESS})

    def test_refusal_fails_the_command(self):
        status, _, messages = self._run(Reply(400, body=b"no queue"))
        self.assertIs(status, ExitStatus.ERROR)
        self.assertIn("no queue", messages)


if __name__ == "__main__":
    unittest.main()
