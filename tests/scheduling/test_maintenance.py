import unittest

from basilwind.scheduling.maintenance import (
    MaintenanceCandidate,
    choose_hosts,
    max_hosts_down,
)

DEADLINE_S, MAINTENANCE_S = 26.0, 2.0


def make_candidate(
    host,
    tasks=0,
    long_running=0,
    worker_id="w",
    is_pool_short=False,
    is_answering=True,
):
    return MaintenanceCandidate(
        host, worker_id, "a", tasks, long_running, is_pool_short, is_answering
    )


class TestMaxHostsDown(unittest.TestCase):
    """A wave of half the hosts is announced in the first seconds of a burst."""

    def _max_down(self, left, elapsed_s, is_busy=True):
        return max_hosts_down(7, left, elapsed_s, DEADLINE_S, MAINTENANCE_S, is_busy)

    def test_wave_goes_only_as_fast_as_it_must_while_a_burst_needs_hosts(self):
        # Regression (fleetbench cordillera-flota trouble-2): 7 of 30 hosts went down at
        # once during the first burst, though the wave had 26 s for 17 hosts.
        self.assertLessEqual(self._max_down(17, 0.0), 4)

    def test_wave_goes_as_fast_as_allowed_while_hosts_are_idle(self):
        self.assertEqual(self._max_down(17, 0.0, is_busy=False), 7)

    def test_throttled_wave_meets_its_deadline(self):
        left, now = 17, 0.0
        while left and now < DEADLINE_S:
            left -= min(left, self._max_down(left, now))
            now += MAINTENANCE_S + 1.0
        self.assertEqual(left, 0)

    def test_late_wave_no_longer_waits_for_demand(self):
        self.assertEqual(self._max_down(10, 0.8 * DEADLINE_S), 7)


class TestChoice(unittest.TestCase):
    def _choose(self, candidates, max_count, chosen=(), elapsed_s=0.0):
        selected = choose_hosts(candidates, max_count, elapsed_s, DEADLINE_S, chosen)
        return [candidate.host for candidate in selected]

    def test_hosts_that_are_off_go_first_and_long_running_tasks_last(self):
        candidates = [
            make_candidate("long-running", tasks=1, long_running=1),
            make_candidate("busy", tasks=3),
            make_candidate("empty"),
            make_candidate("off", worker_id=""),
        ]
        self.assertEqual(self._choose(candidates, 3), ["off", "empty", "busy"])

    def test_silent_host_does_not_take_the_place_of_another(self):
        # A silent worker reports no tasks, so it seemed to be the best choice and
        # stayed chosen, but it never became empty.
        candidates = [
            make_candidate("silent", is_answering=False),
            make_candidate("busy", tasks=3),
        ]
        for chosen in ((), {"silent"}):
            self.assertEqual(self._choose(candidates, 1, chosen), ["busy"])

    def test_host_that_is_being_emptied_stays_chosen(self):
        candidates = [make_candidate("a", tasks=2), make_candidate("b")]
        self.assertEqual(self._choose(candidates, 1, chosen={"a"}), ["a"])

    def test_pool_that_lacks_hosts_waits_until_the_wave_is_late(self):
        candidates = [make_candidate("a", is_pool_short=True)]
        self.assertEqual(self._choose(candidates, 1), [])
        self.assertEqual(self._choose(candidates, 1, elapsed_s=25.0), ["a"])
