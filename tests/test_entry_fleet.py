import socket
import unittest

from extras.entry_fleet import reserve_ports


class TestReservePorts(unittest.TestCase):
    """Two fleets, of two test runs at a time, must not get the same ports."""

    def test_reserved_ports_are_not_given_out_again(self):
        first, reservation = reserve_ports(5)
        with reservation:
            other, other_reservation = reserve_ports(5)
            with other_reservation:
                self.assertGreater(other, first + 4)
            with socket.socket() as server:
                server.bind(("127.0.0.1", first))
