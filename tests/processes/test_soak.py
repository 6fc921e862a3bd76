import unittest

import anyio

from basilwind.standin.entry_worker import RunEnd, RunStart
from extras.soak.__main__ import Soak, parse_seeds
from extras.soak.checks import find_broken
from extras.soak.faults import make_schedule


class FakePlatform:
    def __init__(self, ledger, ends):
        self.run_starts, self.run_ends = ledger, ends


class TestChecks(unittest.TestCase):
    def _find(self, ledger, ends=(), outcomes=None):
        return find_broken(FakePlatform(ledger, ends), outcomes or {})

    def test_runs_one_after_the_other_are_fine(self):
        starts = [RunStart(1.0, "j.0.0.0", 1, "w"), RunStart(3.0, "j.0.0.0", 2, "v")]
        self.assertEqual(self._find(starts, [RunEnd(2.0, "j.0.0.0", 1, "lapsed")]), [])

    def test_overlap_and_start_after_done_and_refused_that_ran_are_found(self):
        starts = [RunStart(1.0, "j.0.0.0", 1, "w"), RunStart(3.0, "j.0.0.0", 2, "v")]
        (overlap,) = self._find(starts)
        self.assertIn("overlap", overlap)
        (again,) = self._find(starts, [RunEnd(2.0, "j.0.0.0", 1, "done")])
        self.assertIn("began after", again)
        broken = self._find(starts[:1], outcomes={"j": "refused"})
        self.assertIn("refused", broken[0])


class TestSoak(unittest.TestCase):
    def test_a_seed_gives_the_same_schedule_each_time(self):
        self.assertEqual(make_schedule(7, 20), make_schedule(7, 20))
        self.assertEqual(list(parse_seeds("3-5")), [3, 4, 5])

    def test_short_seeded_run_breaks_nothing(self):
        self.assertEqual(anyio.run(Soak(1, 5, 2).run), [])
