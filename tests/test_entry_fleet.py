import os
import socket
import unittest
from unittest import mock

from extras.entry_fleet import reserve_ports

COUNT = 40


class TestReservePorts(unittest.TestCase):
    """Fleets of several test runs at a time must not get the same ports."""

    def _reserve(self, process_id):
        with mock.patch.object(os, "getpid", lambda: process_id):
            first, reservation = reserve_ports(COUNT)
        self.addCleanup(reservation.close)
        return set(range(first, first + COUNT))

    def test_reserved_ports_are_not_given_out_again(self):
        # The second process starts its search before, at or after the first one's.
        for distance in (-3, -1, 0, 1, 3):
            first = self._reserve(5000)
            self.assertFalse(first & self._reserve(5000 + distance))

    def test_reserved_ports_can_be_bound(self):
        port = min(self._reserve(6000))
        with socket.socket() as server:
            server.bind(("127.0.0.1", port))
