import unittest

from basilwind.scheduling.zones import silent_zones


class TestSilentZones(unittest.TestCase):
    """A zone is cut off in a burst, while single workers are lost as well."""

    def test_zone_without_any_answer_is_silent(self):
        workers = [("a", False)] * 3 + [("b", True), ("b", False), ("b", False)]
        self.assertEqual(silent_zones(workers), {"a"})

    def test_single_silent_worker_says_nothing_about_its_zone(self):
        self.assertEqual(silent_zones([("a", False), ("b", True)]), set())

    def test_no_workers_mean_no_silent_zones(self):
        self.assertEqual(silent_zones([]), set())
