"""Random faults of daemons, links and the store never run a task twice at once."""

import unittest

from tests.scheduling.model import seeds_to_play
from tests.utils.takeover_play import TakeoverPlay
from tests.utils.virtual_time import run_in_virtual_time

SEEDS = 12
# Regressions: a stopping daemon whose release got no answer extended leases (188, 207).
FAILED_SEEDS = (188, 207)


class TestTakeoverPlay(unittest.TestCase):
    def test_random_faults_by_seed(self):
        for seed in (*seeds_to_play(SEEDS), *FAILED_SEEDS):
            with self.subTest(seed=seed):
                play = TakeoverPlay(seed)
                run_in_virtual_time(play.run)
                self.assertEqual(play.workers.violations, [], play.log)
                self.assertEqual(play.unfinished(), [], play.log)
