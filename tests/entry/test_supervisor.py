import unittest

import anyio

from basilwind.entry.supervisor import supervise


class TestSupervise(unittest.TestCase):
    """An unexpected error in one service leaves the others running."""

    def test_failed_service_starts_again(self):
        starts = []

        async def service():
            starts.append(len(starts))
            if len(starts) == 1:
                raise KeyError("unexpected")

        anyio.run(supervise, "service", service)
        self.assertEqual(len(starts), 2)

    def test_cancelled_service_ends(self):
        async def main():
            with anyio.move_on_after(0.05) as scope:
                await supervise("service", anyio.sleep_forever)
            self.assertTrue(scope.cancelled_caught)

        anyio.run(main)
