import socket
import unittest

from basilwind.metrics import Metrics


class TestMetrics(unittest.TestCase):
    def test_values_reach_the_receiver(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(2.0)
            address = f"127.0.0.1:{receiver.getsockname()[1]}"
            metrics = Metrics(address, "zone-a.e1")
            metrics.count("outcome.done")
            metrics.gauge("waiting", 3)
            metrics.timing("rollout", 0.25)
            received = [receiver.recv(200).decode() for _ in range(3)]
        prefix = "basilwind.zone-a_e1"
        self.assertEqual(
            received,
            [
                f"{prefix}.outcome.done:1|c",
                f"{prefix}.waiting:3|g",
                f"{prefix}.rollout:250.000000|ms",
            ],
        )

    def test_nothing_is_sent_without_an_address(self):
        Metrics("", "e1").count("x")
