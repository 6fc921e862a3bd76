import asyncio
import tempfile
import unittest

import anyio

from extras.soak.outdated_views import OutdatedViewPlay
from extras.soak.overlaps import collect_runs, find_overlaps
from extras.soak.partition_faults import UNHEARD_RESTART
from extras.soak.partitions import PartitionPlay
from extras.soak.proxy import ANSWERS, REQUESTS, Link
from tests.utils.fleet import free_ports

PROXY_HOST = "127.9.0.1"
SILENCE_S = 0.3  # loopback delivers within milliseconds
ANSWER_TIMEOUT_S = 10.0  # on a busy host
MIN_RUNS = 100  # fewer show that the play did not work


def start(at, run, worker):
    fields = {"task": "j.0.0.0", "run": run, "worker": worker, "token": 1}
    return {"event": "start", "at": at} | fields


def end(at, run, worker, kind):
    fields = {"task": "j.0.0.0", "run": run, "worker": worker, "kind": kind}
    return {"event": "end", "at": at} | fields


def noted(at, run, worker):
    return {"event": "noted", "at": at, "task": "j.0.0.0", "run": run, "worker": worker}


class TestOverlaps(unittest.TestCase):
    def _kinds(self, *events):
        return [find.kind for find in find_overlaps(collect_runs(events))]

    def test_consecutive_runs_are_accepted(self):
        first = (start(1.0, 1, "w"), end(2.0, 1, "w", "lapsed"))
        self.assertEqual(self._kinds(*first, start(2.1, 2, "v")), [])

    def test_overlap_is_found(self):
        first = (start(1.0, 1, "w"), end(2.0, 1, "w", "done"))
        self.assertEqual(self._kinds(*first, start(1.9, 2, "v")), ["overlap"])
        self.assertEqual(self._kinds(first[0], start(9.0, 2, "v")), ["overlap"])

    def test_overlap_after_the_end_of_the_lease_is_told_apart(self):
        lapse = {"event": "lapse", "at": 1.8, "worker": "w"}
        first = (start(1.0, 1, "w"), lapse, end(2.0, 1, "w", "lapsed"))
        self.assertEqual(
            self._kinds(*first, start(1.9, 2, "v")), ["overlap within the stop time"]
        )
        self.assertEqual(self._kinds(*first, start(1.7, 2, "v")), ["overlap"])

    def test_rerun_after_an_acknowledged_end_is_found(self):
        first = (start(1.0, 1, "w"), end(2.0, 1, "w", "done"))
        second = start(3.0, 2, "v")
        self.assertEqual(self._kinds(*first, second), [])
        self.assertEqual(self._kinds(*first, second, noted(4.0, 1, "w")), ["rerun"])
        void = {"event": "void", "at": 3.5, "task": "j.0.0.0", "run": 1, "worker": "w"}
        self.assertEqual(self._kinds(*first, second, void, noted(4.0, 1, "w")), [])

    def test_runs_end_with_their_worker(self):
        killed = {"event": "worker killed", "at": 2.0, "worker": "w"}
        self.assertEqual(self._kinds(start(1, 1, "w"), killed, start(3, 2, "w")), [])


class TestLink(unittest.IsolatedAsyncioTestCase):
    """The target answers each line with the same line."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)  # it logs slow steps of a busy host
        self.port = free_ports(1)[0]
        self.received = []
        self.server = await asyncio.start_server(self._echo, "127.0.0.1", self.port)
        self.link = Link(PROXY_HOST, self.port)
        self.link.open()

    async def asyncTearDown(self):
        self.link.close()
        self.server.close()

    async def _echo(self, reader, writer):
        try:
            while line := await reader.readline():
                self.received.append(line)
                writer.write(line)
        except OSError:
            pass
        writer.close()

    async def _connect(self, timeout_s=ANSWER_TIMEOUT_S):
        async with asyncio.timeout(timeout_s):
            return await asyncio.open_connection(PROXY_HOST, self.port)

    async def _ask(self, connection, line):
        """Sends a line and returns the answer."""
        reader, writer = connection
        writer.write(line)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.readline()

    async def _assert_unanswered(self, connection, line):
        reader, writer = connection
        writer.write(line)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(SILENCE_S):
                await reader.readline()

    async def _wait_until_received(self, lines):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while self.received != lines:
                await asyncio.sleep(0.01)

    async def test_forwards_both_ways(self):
        self.assertEqual(await self._ask(await self._connect(), b"a\n"), b"a\n")

    async def test_cut_requests_arrive_after_the_cut(self):
        connection = await self._connect()
        heal = self.link.cut((REQUESTS,))
        await self._assert_unanswered(connection, b"a\n")
        self.assertEqual(self.received, [])
        heal()
        self.assertEqual(await self._ask(connection, b"b\n"), b"a\n")
        await self._wait_until_received([b"a\n", b"b\n"])

    async def test_request_of_a_caller_that_left_arrives_after_the_cut(self):
        heal = self.link.cut((REQUESTS,), is_late=True)
        connection = await self._connect()
        await self._assert_unanswered(connection, b"a\n")
        connection[1].close()
        heal()
        await self._wait_until_received([b"a\n"])

    async def test_cut_answers_leave_requests_alone(self):
        connection = await self._connect()
        self.link.cut((ANSWERS,))
        await self._assert_unanswered(connection, b"a\n")
        await self._wait_until_received([b"a\n"])

    async def test_lossy_cut_silences_connections_for_good(self):
        connection = await self._connect()
        self.assertEqual(await self._ask(connection, b"a\n"), b"a\n")
        self.link.cut(is_lossy=True)()
        await self._assert_unanswered(connection, b"b\n")
        self.assertEqual(await self._ask(await self._connect(), b"c\n"), b"c\n")
        self.assertEqual(self.received, [b"a\n", b"c\n"])

    async def test_new_connections_hang_during_a_cut(self):
        first, second = self.link.cut(), self.link.cut((ANSWERS,))
        first()
        with self.assertRaises(TimeoutError):
            await self._connect(SILENCE_S)
        second()
        self.assertEqual(await self._ask(await self._connect(), b"a\n"), b"a\n")

    async def test_connections_are_refused_while_the_target_is_down(self):
        heal = self.link.cut()
        self.link.set_down(True)
        with self.assertRaises(ConnectionRefusedError):
            await self._connect()
        heal()
        self.link.set_down(False)
        self.assertEqual(await self._ask(await self._connect(), b"a\n"), b"a\n")

    async def test_reset_breaks_connections(self):
        connection = await self._connect()
        await self._ask(connection, b"a\n")
        self.link.reset()
        with self.assertRaises(ConnectionResetError):
            await self._ask(connection, b"b\n")


class TestPartitionPlay(unittest.TestCase):
    def test_short_seeded_play_runs_no_task_twice(self):
        with tempfile.TemporaryDirectory() as folder:
            finds, runs = anyio.run(PartitionPlay(1, 2, None, folder).run)
        self.assertEqual(finds, [])
        self.assertGreater(len(runs), MIN_RUNS)

    def test_workers_that_started_again_unheard_run_no_task_twice(self):
        # Regression (issue 40): a start gave the next incarnation a longer lease.
        with tempfile.TemporaryDirectory() as folder:
            play = PartitionPlay(4, 1, None, folder, UNHEARD_RESTART)
            finds, runs = anyio.run(play.run)
        self.assertEqual(finds, [])
        self.assertGreater(len(runs), MIN_RUNS)


class TestOutdatedViewPlay(unittest.TestCase):
    def test_outdated_daemons_deny_no_job_and_lose_no_cancel(self):
        # Regression (review/12, review/13): real processes, one round of both faults.
        with tempfile.TemporaryDirectory() as folder:
            play = OutdatedViewPlay(1, 1, None, folder)
            anyio.run(play.run)
        self.assertEqual(play.finds, [])
