"""Invalid input causes a clear error, and no crash or loss of data."""

import unittest

import anyio

from basilwind.client import SubmitOptions
from basilwind.control.records import CONTROL_STREAM
from basilwind.journal.entries import journal_stream
from basilwind.models import OutcomeKind
from basilwind.platform.client import PlatformClient
from tests.utils.fleet import run_async, running_fleet


async def raw_exchange(port, data, is_half_closed=False):
    """Sends bytes to a port and returns what comes back."""
    received = b""
    stream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream:
        await stream.send(data)
        if is_half_closed:
            await stream.send_eof()
        with anyio.move_on_after(1.0):
            try:
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
    return received


class TestHttp(unittest.TestCase):
    @run_async
    async def test_invalid_requests_are_rejected_with_reason(self):
        async with running_fleet() as fleet:
            client = fleet.client("zone-a-e1")
            cases = (
                (("team-pool-a", "nope", SubmitOptions()), 404, "unknown_queue"),
                (("nobody", "work", SubmitOptions()), 401, "not valid"),
                (("team-pool-a", "work", SubmitOptions(key="x")), 400, "UUIDv7"),
                (("team-pool-a", "work", SubmitOptions(slots=-1)), 400, "slots"),
                (
                    ("team-pool-a", "work", SubmitOptions(deadline_s=-3)),
                    400,
                    "deadline",
                ),
            )
            for (team, queue, options), status, word in cases:
                reply = await client.submit(team, queue, b"{}", options)
                self.assertEqual(reply.status, status, reply.body)
                self.assertIn(word, reply.body.decode())
            self.assertEqual(fleet.runs(), [])

    @run_async
    async def test_oversized_body_is_rejected(self):
        async with running_fleet() as fleet:
            reply = await fleet.submit("zone-a-e1", b"x" * (1024 * 1024 + 1))
            self.assertEqual(reply.status, 400)
            self.assertEqual(fleet.runs(), [])

    @run_async
    async def test_garbage_and_half_closed_connections_run_nothing(self):
        async with running_fleet() as fleet:
            http, peer = fleet._ports["zone-a-e1"]
            answer = await raw_exchange(http, b"\x00\xffgarbage\r\n\r\n")
            self.assertIn(b"400", answer.split(b"\r\n")[0])
            head = b"POST /v1/queues/team-pool-a/work/requests HTTP/1.1\r\nhost: x\r\n"
            partial = head + b"content-length: 100\r\n\r\nonly a part"
            await raw_exchange(http, partial, is_half_closed=True)
            for data in (b"garbage" * 100, b"\xff" * 64, b"\x00\x00\x00\x08abcdefgh"):
                self.assertEqual(await raw_exchange(peer, data), b"")
            self.assertEqual(fleet.runs(), [])
            reply = await fleet.submit("zone-a-e1", b"{}")
            self.assertEqual(reply.outcome, OutcomeKind.DONE)

    @run_async
    async def test_garbage_in_log_streams_is_skipped(self):
        async with running_fleet() as fleet:
            client = PlatformClient(f"http://127.0.0.1:{fleet._platform_port}")
            for stream in (CONTROL_STREAM, journal_stream("zone-a")):
                for data in (b"garbage", b"{}", b"\xff\xfe", b"[" * 2000):
                    await client.append(stream, data)
            await client.aclose()
            reply = await fleet.submit("zone-a-e1", b"{}", SubmitOptions(False))
            self.assertEqual(reply.outcome, OutcomeKind.DONE)
            audit = fleet.daemons["zone-a-e1"].control.state.audit
            refused = [entry for entry in audit if not entry.accepted]
            self.assertEqual(len(refused), 4)

    @run_async
    async def test_daemon_without_settings_is_not_ready(self):
        async with running_fleet() as fleet:
            fleet.platform.faults.is_down = True
            await fleet.crash("zone-a-e2")
            await fleet.isolate("zone-a-e2")
            daemon = await fleet.restart("zone-a-e2")
            for other in fleet.zone_of:
                if other != "zone-a-e2":
                    await fleet.relays["zone-a-e2", other].cut()
            await daemon.http_server.wait_started()
            client = fleet.client("zone-a-e2")
            self.assertFalse(await client.is_ready())
            reply = await fleet.submit("zone-a-e2", b"{}")
            self.assertEqual(reply.outcome, OutcomeKind.REFUSED)
            self.assertEqual(reply.reason, "no_state")

    @run_async
    async def test_daemon_loads_settings_from_peer_during_log_outage(self):
        async with running_fleet() as fleet:
            fleet.platform.faults.is_down = True
            await fleet.crash("zone-a-e2")
            daemon = await fleet.restart("zone-a-e2")
            await fleet.wait_for(lambda: not daemon.not_ready_reason())
            reply = await fleet.submit("zone-a-e2", b"{}")
            self.assertEqual(reply.outcome, OutcomeKind.DONE)
            states = [d.control.state for d in fleet.daemons.values()]
            self.assertEqual(len({state.digest for state in states}), 1)
