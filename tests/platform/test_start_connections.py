import unittest

import anyio

from basilwind.platform.start_connections import PEAK_PERIOD_S, PREPARATION_WAIT_S
from basilwind.platform.worker_connections import MAX_CONNECTIONS
from basilwind.platform.workers import HOLD_MARGIN_S, WorkerControlClient
from basilwind.scheduling.reports import StartOutcome
from tests.utils.transport_fakes import FakeWorkerNetwork
from tests.utils.virtual_time import run_in_virtual_time

WORKER_ID = "i-1"
ADDRESS = "host:1"
TOKEN = 7
SETTLED_S = 0.5  # by then each preparation that is answered has ended


class TestStartConnections(unittest.TestCase):
    """Starts on connections that are confirmed before they are needed."""

    def _play(self, scenario):
        async def main():
            self.network = FakeWorkerNetwork()
            self.client = WorkerControlClient(self.network)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.client.prepare_starts, WORKER_ID)
                await anyio.sleep(0)
                await scenario()
                tasks.cancel_scope.cancel()
            await self.client.forget(WORKER_ID)
            self.assertEqual(self.network.open, set())

        run_in_virtual_time(main)

    async def _hold(self):
        await self.client.hold(ADDRESS, WORKER_ID, TOKEN, 0, None, 0.0, 1)

    async def _join(self):
        """Has the worker report itself, and its first connection prepared."""
        await self._hold()
        await anyio.sleep(SETTLED_S)
        self.network.paths()

    async def _start(self, incarnation=1):
        """Starts a run; returns the outcome and the seconds that it took."""
        begun_at = anyio.current_time()
        outcome, _ = await self.client.start(
            ADDRESS, WORKER_ID, "j.0.0.0", 1, "", 9.0, TOKEN, "", "", incarnation
        )
        return outcome, anyio.current_time() - begun_at

    async def _burst(self, count, gap_s=0.0):
        """Starts runs that overlap; returns their outcomes and durations."""
        results = []

        async def start():
            results.append(await self._start())

        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(start)
                await anyio.sleep(gap_s)
        return results

    def test_first_start_after_a_worker_joined_asked_for_its_incarnation(self):
        # That took the first start of each worker a round trip more.
        async def scenario():
            await self._join()
            outcome, seconds = await self._start()
            self.assertIs(outcome, StartOutcome.STARTED)
            self.assertAlmostEqual(seconds, self.network.call_s)
            self.assertEqual(self.network.paths(), ["/run-start"])

        self._play(scenario)

    def test_second_burst_asked_again_after_the_connections_were_closed(self):
        # Each of its starts on a new connection took a round trip more.
        async def scenario():
            await self._join()
            self.network.start_s = 0.1
            await self._burst(3)
            await self.client._start_connections.drop_idle(WORKER_ID)
            await self._start()
            for _, seconds in await self._burst(3, gap_s=0.03):
                self.assertAlmostEqual(seconds, self.network.start_s)

        self._play(scenario)

    def test_idle_connections_of_a_burst_serve_the_next_one(self):
        async def scenario():
            await self._join()
            await self._burst(4)
            self.network.paths()
            await anyio.sleep(3.0)
            await self._burst(4)
            self.assertEqual(self.network.paths(), ["/run-start"] * 4)

        self._play(scenario)

    def test_start_during_a_preparation_opened_a_connection_beside_it(self):
        async def scenario():
            await self._hold()
            await self._start()
            # One for holds and one for starts.
            self.assertEqual(self.network.most_open, 2)

        self._play(scenario)

    def test_second_start_waited_for_a_preparation_that_serves_the_first(self):
        # It would then open its own connection a round trip later than before.
        async def scenario():
            await self._hold()
            for _, seconds in await self._burst(2):
                self.assertLessEqual(seconds, 2 * self.network.call_s + 0.001)

        self._play(scenario)

    def test_failed_preparation_delays_no_start_and_is_not_retried(self):
        async def scenario():
            await self._hold()
            self.network.outage = "refused"
            await anyio.sleep(SETTLED_S)
            self.assertEqual(len(self.network.open), 1)
            self.network.outage = ""
            self.network.paths()
            _, seconds = await self._start()
            self.assertAlmostEqual(seconds, 2 * self.network.call_s)

        self._play(scenario)

    def test_hanging_preparation_delays_starts_by_its_patience_at_most(self):
        async def scenario():
            await self._hold()
            self.network.outage = "silent"
            await anyio.sleep(0.01)
            self.network.outage = ""
            outcome, seconds = await self._start()
            self.assertIs(outcome, StartOutcome.STARTED)
            expected_s = PREPARATION_WAIT_S + 2 * self.network.call_s
            self.assertAlmostEqual(seconds, expected_s)
            self.assertEqual(self.network.most_open, 2)

        self._play(scenario)

    def test_start_to_a_silent_worker_took_longer_than_without_preparation(self):
        async def scenario():
            await self._hold()
            self.network.outage = "silent"
            outcome, seconds = await self._start()
            self.assertIs(outcome, StartOutcome.UNREACHABLE)
            self.assertAlmostEqual(seconds, HOLD_MARGIN_S)

        self._play(scenario)

    def test_restarted_incarnation_gets_no_order_meant_for_the_previous_one(self):
        # Issue 40: its lease would end by the clock of the previous one.
        async def scenario():
            await self._hold()
            # The worker starts again before the preparation reaches it.
            self.network.incarnation = 2
            await anyio.sleep(SETTLED_S)
            outcome, _ = await self._start(incarnation=1)
            self.assertIs(outcome, StartOutcome.WRONG_INCARNATION)
            outcome, _ = await self._start(incarnation=2)
            self.assertIs(outcome, StartOutcome.STARTED)
            starts = [call for call in self.network.calls if call[0] == "/run-start"]
            self.assertEqual(starts, [("/run-start", 2)])

        self._play(scenario)

    def test_connections_stay_bounded(self):
        async def scenario():
            await self._join()
            for outage in ("", "silent", "", "refused", "silent", ""):
                self.network.outage = outage
                await self._burst(3 * MAX_CONNECTIONS, gap_s=0.001)
                await self.client._start_connections.drop_idle(WORKER_ID)
            # One more is for holds. A worker accepts 64 from all daemons.
            self.assertLessEqual(self.network.most_open, MAX_CONNECTIONS + 1)

        self._play(scenario)

    def test_worker_without_starts_keeps_one_connection(self):
        async def scenario():
            await self._join()
            for _ in range(5):
                await self._hold()
                await anyio.sleep(PEAK_PERIOD_S)
            self.assertEqual(len(self.network.open), 2)
            await self._burst(1)
            self.assertEqual(len(self.network.open), 2)

        self._play(scenario)


if __name__ == "__main__":
    unittest.main()
