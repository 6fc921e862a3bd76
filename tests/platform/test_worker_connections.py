import asyncio
import unittest

import anyio

from basilwind.api.asgi import HttpServer
from basilwind.errors import CallTimedOut
from basilwind.platform.transport import Transport
from basilwind.platform.workers import WorkerControlClient
from basilwind.scheduling.reports import StartOutcome
from basilwind.standin.entry_platform import make_app
from basilwind.standin.entry_worker import EntryWorkerStandIn
from extras.soak.proxy import Link
from tests.utils.fleet import free_ports

PROXY_HOST = "127.8.0.1"
WORKER_ID = "i-1"
TASK = "j.0.0.0"
TOKEN = 7
LEASE_END_S = 500.0  # on a clock that runs for some time


class TestWorkerConnections(unittest.IsolatedAsyncioTestCase):
    """A worker that starts again under its id, behind a proxy."""

    async def asyncSetUp(self):
        (port,) = free_ports(1)
        self.worker = EntryWorkerStandIn(
            WORKER_ID, "pool", f"127.0.0.1:{port}", "rack", [], []
        )
        self.link = Link(PROXY_HOST, port)
        self.link.open()
        self.addAsyncCleanup(self._close_link)
        self.address = f"{PROXY_HOST}:{port}"
        self.transport = Transport()
        await self.transport.start()
        self.addAsyncCleanup(self.transport.stop)
        self.client = WorkerControlClient(self.transport)
        self.addAsyncCleanup(self.client.close)
        self.is_closing = False
        server = HttpServer(make_app(self._handle), self.worker.address)
        serving = asyncio.create_task(server.serve_until_stopped())
        self.addCleanup(serving.cancel)
        await server.wait_started()

    async def _handle(self, request):
        response = await self.worker.handle(request)
        if self.is_closing:
            response.headers["Connection"] = "close"
        return response

    async def _close_link(self):
        self.link.close()

    async def _hold(self, incarnation_started_ms, acknowledged=0, lease_end_s=None):
        return await self.client.hold(
            self.address,
            WORKER_ID,
            TOKEN,
            acknowledged,
            lease_end_s,
            0.0,
            incarnation_started_ms,
        )

    def _end_run(self, run):
        """Has the worker end a run."""
        order = {"task": TASK, "run": run, "spec": "", "fencingToken": TOKEN}
        self.worker._start(order | {"expiresAtMs": self.worker.clock_ms + 1})
        self.worker._end(TASK, "done")

    def _restart_behind_a_cut(self):
        """Starts the next incarnation; the connections there were stay silent."""
        self.link.silence()
        first = self.worker.incarnation_started_ms
        self.worker.restart()
        self.worker.incarnation_started_ms = first + 1000

    async def _report_first_incarnation(self):
        """Reads the first incarnation's end twice; returns the incarnation's start."""
        self._end_run(1)
        first = (await self._hold(0)).incarnation_started_ms
        report = await self._hold(first)
        self.assertEqual([end.sequence for end in report.ended], [1])
        return first

    async def test_ends_of_an_unheard_incarnation_were_acknowledged(self):
        # Regression (issue 40): its ends were forgotten and the tasks ran again.
        first = await self._report_first_incarnation()
        self._restart_behind_a_cut()
        self._end_run(2)
        with self.assertRaises(CallTimedOut):
            await self._hold(first, acknowledged=1)
        report = await self._hold(first, acknowledged=1)
        self.assertGreater(report.incarnation_started_ms, first)
        self.assertEqual([end.run for end in report.ended], [2])

    async def test_unheard_incarnation_gets_no_lease_by_the_clock_of_before(self):
        first = await self._report_first_incarnation()
        self._restart_behind_a_cut()
        with self.assertRaises(CallTimedOut):
            await self._hold(first, lease_end_s=LEASE_END_S)
        await self._hold(first, lease_end_s=LEASE_END_S)
        self.assertEqual(self.worker._lease_ms, 0.0)

    async def _start(self, incarnation_started_ms):
        return await self.client.start(
            *(self.address, WORKER_ID, TASK, 9, "", LEASE_END_S, TOKEN, "", ""),
            incarnation_started_ms,
        )

    async def test_start_gave_an_unheard_incarnation_a_lease_by_the_clock_of_before(
        self,
    ):
        # Regression (issue 40): its owner gave the run up long before that lease ended.
        first = await self._report_first_incarnation()
        self._restart_behind_a_cut()
        outcome, _ = await self._start(first)
        self.assertIs(outcome, StartOutcome.WRONG_INCARNATION)
        self.assertEqual(self.worker.runs, {})
        self.assertEqual(self.worker._lease_ms, 0.0)

    async def test_second_call_on_a_new_connection_acknowledges(self):
        first = await self._report_first_incarnation()
        self.link.reset()
        await anyio.sleep(0.05)
        report = await self._hold(first, acknowledged=1, lease_end_s=LEASE_END_S)
        self.assertEqual([end.sequence for end in report.ended], [1])
        report = await self._hold(first, acknowledged=1, lease_end_s=LEASE_END_S)
        self.assertEqual(report.ended, ())
        self.assertEqual(self.worker._lease_ms, 500_000)

    async def test_worker_that_closes_each_connection_gets_leases_and_starts(self):
        self.is_closing = True
        first = await self._report_first_incarnation()
        await self._hold(first, acknowledged=1, lease_end_s=LEASE_END_S)
        self.assertEqual(self.worker._lease_ms, LEASE_END_S * 1000)
        outcome, _ = await self._start(first)
        self.assertIs(outcome, StartOutcome.STARTED)

    async def test_connections_of_a_worker_that_left_are_closed(self):
        first = await self._report_first_incarnation()
        await self.client.forget(WORKER_ID)
        await self._hold(first, acknowledged=1)
        self.assertEqual(len(self.worker._ended), 1)


if __name__ == "__main__":
    unittest.main()
