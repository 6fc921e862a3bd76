import tempfile
import unittest
from pathlib import Path

import anyio

from basilwind.explain import explain, read_lines
from basilwind.standin.entry_worker import RunEnd, RunStart
from extras.soak.__main__ import SoakRun, parse_seeds
from extras.soak.checks import Service, find_interruptions, find_violations
from extras.soak.customers import LIMITED, Customers, Key, KeyCall
from extras.soak.faults import make_schedule
from extras.soak.overlaps import Run
from extras.soak.worker_log import write_run_log, write_worker_log


class FakePlatform:
    def __init__(self, starts, ends):
        self.run_starts, self.run_ends = starts, ends


class TestChecks(unittest.TestCase):
    def _find(self, starts, ends=(), outcomes=None):
        return find_violations(FakePlatform(starts, ends), outcomes or {})

    def test_consecutive_runs_are_accepted(self):
        starts = [RunStart(1.0, "j.0.0.0", 1, "w"), RunStart(3.0, "j.0.0.0", 2, "v")]
        self.assertEqual(self._find(starts, [RunEnd(2.0, "j.0.0.0", 1, "lapsed")]), [])

    def test_overlap_rerun_and_run_of_refused_job_are_found(self):
        starts = [RunStart(1.0, "j.0.0.0", 1, "w"), RunStart(3.0, "j.0.0.0", 2, "v")]
        (overlap,) = self._find(starts)
        self.assertIn("overlap", overlap)
        (rerun,) = self._find(starts, [RunEnd(2.0, "j.0.0.0", 1, "done")])
        self.assertIn("began after", rerun)
        violations = self._find(starts[:1], outcomes={"j": "refused"})
        self.assertIn("refused", violations[0])


class TestCustomerChecks(unittest.TestCase):
    """Guards against checks that pass whatever daemons answer or workers run."""

    def _check(self, sent_at, status, key="k", job_customer=LIMITED):
        customers = Customers(1)
        customers.keys = {"k": Key(LIMITED, 0.0, 10.0), "o": Key("north", 0.0)}
        customers.calls = [
            KeyCall(sent_at, sent_at + 0.1, 0, "GET", key, status, job_customer)
        ]
        return customers.find_violations(FakePlatform([], []), [])

    def test_success_long_after_withdrawal_is_found(self):
        self.assertEqual(self._check(14.9, 200), [])
        self.assertIn("withdrawn", self._check(15.1, 200)[0])
        self.assertEqual(self._check(15.1, 401), [])

    def test_refusal_of_a_valid_key_is_found(self):
        self.assertEqual(self._check(2.9, 401), [])
        for status in (401, 403, 404):
            self.assertIn("valid key was refused", self._check(3.1, status)[0])
        self.assertEqual(self._check(9.95, 401), [])
        self.assertIn("public", self._check(3.1, 401, "", "")[0])

    def test_read_with_another_key_or_none_is_found(self):
        self.assertIn("another customer", self._check(5.0, 200, "o")[0])
        self.assertEqual(self._check(5.0, 403, "o"), [])
        self.assertIn("without a key", self._check(5.0, 200, "")[0])

    def _overruns(self, at, count, outages=()):
        customers = Customers(1)
        customers.maxima = [(0.0, 3000), (10.0, 1000), (30.0, 3000)]
        customers.job_customers = {"j": LIMITED}
        starts = [RunStart(at, f"j.0.0.{n}", 1, "w") for n in range(count)]
        return customers.find_violations(FakePlatform(starts, []), outages)

    def test_start_above_every_maximum_in_force_is_found(self):
        self.assertEqual(self._overruns(5.0, 4), [])
        self.assertIn("5000 of 4300", self._overruns(5.0, 5)[0])
        self.assertEqual(self._overruns(12.9, 4), [])
        self.assertIn("3000 of 2100", self._overruns(13.1, 3)[0])
        self.assertEqual(self._overruns(13.1, 3, [(11.0, 12.0)]), [])


class TestInterruptionCheck(unittest.TestCase):
    """The other tasks are counted at the moment at which an order ends a run."""

    def _find(self, *ends):
        starts = [RunStart(1.0, f"s.0.0.{n}", 1, "w") for n in range(3)]
        starts.append(RunStart(4.0, "s.0.0.0", 2, "w"))
        return find_interruptions(FakePlatform(starts, ends), Service("s", 3, 1))

    def test_stop_beside_an_earlier_one_is_found(self):
        first = RunEnd(3.0, "s.0.0.0", 1, "stopped")
        self.assertEqual(self._find(first, RunEnd(5.0, "s.0.0.1", 1, "stopped")), [])
        (found,) = self._find(first, RunEnd(3.5, "s.0.0.1", 1, "maintenance"))
        self.assertIn("s.0.0.1 run 1", found)

    def test_task_that_failed_by_itself_counts_after_a_while(self):
        failed = RunEnd(3.0, "s.0.0.2", 1, "lost")
        self.assertEqual(self._find(failed, RunEnd(6.0, "s.0.0.1", 1, "stopped")), [])
        (found,) = self._find(failed, RunEnd(8.0, "s.0.0.1", 1, "stopped"))
        self.assertIn("s.0.0.2", found)


class TestWorkerLog(unittest.TestCase):
    def test_runs_of_workers_are_explained(self):
        starts = [RunStart(1.0, "j.0.0.0", 1, "w"), RunStart(3.0, "j.0.0.0", 2, "v")]
        ends = [RunEnd(3.5, "j.0.0.0", 1, "lapsed")]
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "workers.log"
            write_worker_log(FakePlatform(starts, ends), file)
            with file.open() as stream:
                result = explain(read_lines([stream], "j.0.0.0"), "j.0.0.0")
        self.assertEqual(
            [(entry.event, entry.fields["worker"]) for entry in result.lines],
            [("run began", "w"), ("run began", "v"), ("run ended", "w")],
        )
        self.assertIn("executed at once for 0.500 s", result.findings[-1])

    def test_runs_of_a_play_are_explained_with_their_tokens(self):
        runs = [
            Run("j.0.0.0", 1, "w", 5, 1.0, 3.5, "lapsed"),
            Run("j.0.0.0", 1, "v", 7, 3.0),
        ]
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "workers.log"
            write_run_log(runs, file)
            with file.open() as stream:
                result = explain(read_lines([stream], "j.0.0.0"), "j.0.0.0")
        self.assertEqual(
            result.findings[-1],
            "run 1 on w (token 5, ?) and run 1 on v (token 7, ?) executed at once for "
            "0.500 s",
        )


class TestSoak(unittest.TestCase):
    def test_seed_determines_schedule(self):
        self.assertEqual(make_schedule(7, 20), make_schedule(7, 20))
        self.assertEqual(list(parse_seeds("3-5")), [3, 4, 5])

    def test_short_seeded_run_finds_no_violations(self):
        self.assertEqual(anyio.run(SoakRun(1, 5, 2).run), [])

    def test_short_seeded_run_with_a_crashing_job_finds_no_violations(self):
        self.assertEqual(anyio.run(SoakRun(2, 5, 2, crashing_jobs=1).run), [])

    def test_short_seeded_run_with_a_service_and_a_wave_finds_no_violations(self):
        self.assertEqual(anyio.run(SoakRun(3, 5, 2, services=1).run), [])
