import json
import unittest

from basilwind.errors import RecordInvalid
from basilwind.platform.documents import decode_worker


def _entry(**capacity):
    entry = {
        "service": "pool",
        "address": "10.0.0.1:80",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0} | capacity,
    }
    return json.dumps(entry).encode()


class TestDocuments(unittest.TestCase):
    def test_worker_without_any_capacity_left_is_decoded(self):
        # Otherwise its last entry, with more capacity, would stay in force.
        self.assertEqual(decode_worker("w", _entry(cpu=0, memMb=0)).cpu, 0)

    def test_worker_with_negative_capacity_is_rejected(self):
        for capacity in ({"cpu": -1}, {"memMb": -1}, {"gpu": -1}):
            with self.subTest(capacity=capacity), self.assertRaises(RecordInvalid):
                decode_worker("w", _entry(**capacity))


if __name__ == "__main__":
    unittest.main()
