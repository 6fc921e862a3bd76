"""Entry host daemons as processes against a stand-in for the platform."""

import json
import signal
import time
import unittest
from collections import Counter

import anyio

from basilwind.entry.daemon import BALANCER_REMOVAL_S
from extras.entry_fleet import WAIT_TIMEOUT_S, EntryFleet


class TestEntryHost(unittest.TestCase):
    def _run(self, scenario, daemons=2, is_store_down_first=False):
        async def main():
            fleet = EntryFleet(daemons)
            try:
                async with anyio.create_task_group() as tasks:
                    await tasks.start(fleet.platform.run)
                    fleet.platform.store.is_down = is_store_down_first
                    for index in range(daemons):
                        await fleet.start(index)
                    for index in range(daemons):
                        await fleet.wait_until_answering(index)
                    fleet.platform.store.is_down = False
                    await fleet.wait_until_serving(0)
                    await scenario(fleet)
                    tasks.cancel_scope.cancel()
            except BaseException as error:
                error.add_note(fleet.log_tails())
                raise
            finally:
                await fleet.stop()

        anyio.run(main)

    def _assert_started_once(self, fleet, jobs):
        """Asserts that each task of the given jobs was started exactly once."""
        starts = Counter(
            start.task
            for start in fleet.platform.run_starts
            if start.task.split(".")[0] in jobs
        )
        self.assertEqual(set(starts.values()), {1})

    def test_jobs_of_two_pools_run_once(self):
        async def scenario(fleet):
            jobs = [f"{n:016x}" for n in range(8)]
            for number, job_id in enumerate(jobs):
                await fleet.submit(job_id, number % 2, "ab"[number % 2])
                # Submitting the same job again has no further effect.
                await fleet.submit(job_id, 0, "ab"[number % 2])
            for number, job_id in enumerate(jobs):
                await fleet.wait_until_completed(job_id, "ab"[number % 2])
            self._assert_started_once(fleet, jobs)
            status, _ = await fleet.call("GET", 0, "/a/" + "f" * 16)
            self.assertEqual(status, 410)
            status, _ = await fleet.call("GET", 0, "/unknown/")
            self.assertEqual(status, 404)
            status, answer = await fleet.call("POST", 0, "/a/" + "e" * 16, {"steps": 1})
            self.assertEqual(status, 400)
            self.assertIn("steps", answer["error"])

        self._run(scenario)

    def test_pools_of_killed_daemon_continue_without_rerunning_tasks(self):
        async def scenario(fleet):
            jobs = [f"{n:016x}" for n in range(6)]
            for job_id in jobs:
                await fleet.submit(job_id, 1, work_s=0.5)
            fleet.processes[0].send_signal(signal.SIGKILL)
            for job_id in jobs:
                await fleet.wait_until_completed(job_id)
            await fleet.start(0)
            await fleet.wait_until_serving(0)
            await fleet.submit("a" * 16, 0)
            await fleet.wait_until_completed("a" * 16)
            self._assert_distinct_runs(fleet)

        self._run(scenario)

    def _assert_distinct_runs(self, fleet):
        """Asserts that no run of a task, by its number, was started twice.

        Two starts of one run could execute at the same time.
        """
        by_task = {}
        for start in fleet.platform.run_starts:
            by_task.setdefault(start.task, []).append(start)
        for task, starts in by_task.items():
            self.assertEqual(len({start.run for start in starts}), len(starts), task)

    def test_store_outage_keeps_running_tasks_and_refuses_new_jobs(self):
        async def scenario(fleet):
            await fleet.submit("1" * 16, 0, work_s=2.0)
            await anyio.sleep(0.5)
            fleet.platform.store.is_down = True
            body = {"spec": "", "steps": [{"count": 1, "cpu": 1000, "memMb": 10}]}
            status, _ = await fleet.call("POST", 0, "/a/" + "2" * 16, body)
            self.assertEqual(status, 503)
            await anyio.sleep(2.0)
            fleet.platform.store.is_down = False
            await fleet.wait_until_completed("1" * 16)
            # The refused job never ran.
            tasks = {start.task.split(".")[0] for start in fleet.platform.run_starts}
            self.assertNotIn("2" * 16, tasks)
            restarted = Counter(s.task for s in fleet.platform.run_starts if s.run > 1)
            self.assertEqual(restarted, {})

        self._run(scenario)

    def test_job_runs_once_if_store_answers_are_lost(self):
        async def scenario(fleet):
            fleet.platform.store.lose_answers = 3
            await fleet.submit("3" * 16, 0)
            await fleet.wait_until_completed("3" * 16)
            self._assert_started_once(fleet, ["3" * 16])

        self._run(scenario)

    def test_odd_entry_of_another_writer_stops_no_service(self):
        # Regression (issue 31, operators' report): the registry of each daemon ended
        # and started again over the entry for ever, and no job began.
        async def scenario(fleet):
            deep = b"[" * 100_000
            large = b'{"service":"pool-a","state":"ready","address":"1.2.3.4:99999"}'
            for key, value in (("odd", deep), ("large", large), ("a\nb", b"1")):
                fleet.platform.store.write("keyed.servers", key, value)
            fleet.processes[1].send_signal(signal.SIGKILL)
            await fleet.start(1)
            await fleet.wait_until_serving(1)
            await fleet.submit("6" * 16, 0)
            await fleet.submit("7" * 16, 1)
            await fleet.wait_until_completed("6" * 16)
            await fleet.wait_until_completed("7" * 16)
            status, _ = await fleet.call_raw(0, "/a/" + "8" * 16, b'{"x":' + deep)
            self.assertEqual(status, 400)
            self.assertNotIn("service failed", fleet.log_tails(10_000))

        self._run(scenario)

    def test_dropped_store_history_loses_no_jobs(self):
        async def scenario(fleet):
            await fleet.submit("4" * 16, 0, work_s=1.0)
            for topic in ("keyed.op", "keyed.servers", "keyed.intake.pool-a"):
                fleet.platform.store.drop_history(topic)
            await fleet.submit("5" * 16, 1)
            await fleet.wait_until_completed("4" * 16)
            await fleet.wait_until_completed("5" * 16)
            self._assert_started_once(fleet, ["4" * 16, "5" * 16])

        self._run(scenario)

    def test_task_that_crashes_its_workers_is_given_up_alone(self):
        # The owner is killed meanwhile; the tasks beside it finish.
        async def scenario(fleet):
            jobs = [f"{n:016x}" for n in range(4)]
            await fleet.submit(jobs[0], 0, count=4, work_s=0.5)
            bad = "b" * 16
            await fleet.submit(bad, 0, count=3, work_s=0.5, crashes=[1])
            for job_id in jobs[1:]:
                await fleet.submit(job_id, 1, count=4, work_s=0.5)

            async def has_crashed_twice():
                crashed = [s for s in fleet.platform.run_starts if s.task == task]
                return len(crashed) >= 2

            task = f"{bad}.0.0.1"
            await fleet.wait_until(has_crashed_twice)
            fleet.processes[0].send_signal(signal.SIGKILL)
            await fleet.wait_until_state(bad, "failed")
            for job_id in jobs:
                await fleet.wait_until_completed(job_id)
            starts = [s for s in fleet.platform.run_starts if s.task == task]
            self.assertLessEqual(len(starts), 5)

        self._run(scenario)

    def test_cancelled_long_running_job_stops_on_workers(self):
        async def scenario(fleet):
            job_id = "6" * 16
            await fleet.submit(job_id, 0, work_s=-1.0, longRunning=True)
            workers = fleet.platform.workers.values()

            def running_tasks():
                return sum(name.startswith(job_id) for w in workers for name in w.runs)

            async def is_running():
                return running_tasks() == 2

            async def is_gone():
                return running_tasks() == 0

            await fleet.wait_until(is_running)
            status, _ = await fleet.call("DELETE", 1, f"/a/{job_id}")
            self.assertEqual(status, 200)
            await fleet.wait_until(is_gone)
            status, answer = await fleet.call("GET", 0, f"/a/{job_id}")
            self.assertEqual((status, answer["state"]), (200, "cancelled"))

        self._run(scenario)

    def test_long_running_task_leaves_silent_worker_after_lease(self):
        async def scenario(fleet):
            job_id = "7" * 16
            await fleet.submit(job_id, 0, work_s=-1.0, count=1, longRunning=True)

            async def has_started():
                return any(s.task.startswith(job_id) for s in fleet.platform.run_starts)

            await fleet.wait_until(has_started)
            first = fleet.platform.run_starts[-1]
            fleet.platform.workers[first.worker_id].is_silent = True

            async def has_moved():
                last = fleet.platform.run_starts[-1]
                return last.task.startswith(job_id) and last.run > first.run

            began = time.monotonic()
            await fleet.wait_until(has_moved)
            # Its lease of 4.5 s had to expire first.
            self.assertGreater(time.monotonic() - began, 2.0)
            self.assertEqual(fleet.platform.workers[first.worker_id].runs, {})

        self._run(scenario)

    def test_stopping_daemon_hands_over_without_interrupting_tasks(self):
        async def scenario(fleet):
            await fleet.submit("8" * 16, 0, work_s=1.5)
            fleet.processes[0].send_signal(signal.SIGTERM)
            # A daemon that is stopping still accepts jobs.
            await fleet.submit("9" * 16, 0)
            await fleet.wait_until_completed("8" * 16)
            await fleet.wait_until_completed("9" * 16)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                self.assertEqual(await fleet.processes[0].wait(), 0)
            self._assert_started_once(fleet, ["8" * 16, "9" * 16])

        self._run(scenario)

    def test_request_that_is_open_at_the_end_of_a_stop_is_answered(self):
        # Callers of a daemon that was stopped got the server's own status 500
        # (fleetbench cordillera-flota-grown, trouble-2), which says nothing about
        # whether the job was accepted.
        async def scenario(fleet):
            # Records the route. The first submission by a route is refused, truly, if
            # that gets no answer.
            await fleet.submit("6" * 16, 0)
            fleet.processes[0].send_signal(signal.SIGTERM)
            await anyio.sleep(BALANCER_REMOVAL_S - 0.3)
            fleet.platform.store.lose_answers = 1000
            body = {"spec": "", "steps": [{"count": 1, "cpu": 100, "memMb": 10}]}
            answer = await fleet.call("POST", 0, "/a/" + "7" * 16, body)
            self.assertIsNotNone(answer, "the connection was closed without a response")
            self.assertEqual(answer[0], 504)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                self.assertEqual(await fleet.processes[0].wait(), 0)

        self._run(scenario, daemons=1)

    def test_daemon_without_store_is_not_ready(self):
        # In an isolated zone, daemons that could not accept jobs stayed in the
        # balancer's rotation for 6 s (fleetbench cordillera-flota-grown, trouble-2).
        async def scenario(fleet):
            async def is_ready():
                return await fleet.is_ready(0)

            async def is_unready():
                return not await fleet.is_ready(0)

            await fleet.wait_until(is_ready)
            fleet.platform.store.is_down = True
            await fleet.wait_until(is_unready)
            fleet.platform.store.is_down = False
            await fleet.wait_until(is_ready)

        self._run(scenario, daemons=1)

    def test_leases_survive_outage_during_which_tasks_end(self):
        # The leases of 63 runs expired in two store outages of 4.3 s, since hold calls
        # waited for the journal once a task had ended (fleetbench
        # cordillera-flota-grown, trouble-3).
        async def scenario(fleet):
            for number in range(8):
                await fleet.submit(f"{number:016x}", 0, count=1, work_s=0.7)
            await fleet.submit("d" * 16, 0, work_s=-1.0, count=4, longRunning=True)

            async def is_running():
                return sum(s.task.startswith("d" * 16) for s in run_starts) == 4

            run_starts = fleet.platform.run_starts
            await fleet.wait_until(is_running)
            fleet.platform.store.is_down = True
            await anyio.sleep(5.2)
            fleet.platform.store.is_down = False
            for number in range(8):
                await fleet.wait_until_completed(f"{number:016x}")
            lapsed = [
                end.task for end in fleet.platform.run_ends if end.kind == "lapsed"
            ]
            self.assertEqual(lapsed, [])

        self._run(scenario, daemons=1)

    def test_accepted_jobs_continue_while_no_daemon_reaches_store(self):
        async def scenario(fleet):
            async def has_two_holders():
                claims = fleet.platform.store.latest_values("keyed.duties").values()
                return len({json.loads(claim)[0] for claim in claims}) > 1

            await fleet.wait_until(has_two_holders)
            for queue in "ab":
                await fleet.submit("e" * 15 + queue, 0, queue, work_s=0.9)

            async def have_started():
                return len({start.task for start in fleet.platform.run_starts}) == 4

            await fleet.wait_until(have_started)
            fleet.platform.store.is_down = True
            await anyio.sleep(3.0)
            second_step_tasks = {
                s.task for s in fleet.platform.run_starts if ".0.1." in s.task
            }
            fleet.platform.store.is_down = False
            for queue in "ab":
                await fleet.wait_until_completed("e" * 15 + queue, queue)
            self.assertEqual(len(second_step_tasks), 4)
            self._assert_started_once(fleet, ["e" * 15 + "a", "e" * 15 + "b"])

        # With the store down at first, both daemons learn of the duties at the same
        # time and each of them claims some.
        self._run(scenario, is_store_down_first=True)
