import unittest

import anyio
import msgspec

from basilwind.entry.peers import DaemonResponse, PeerClient
from basilwind.errors import CallUnanswered
from basilwind.scheduling.ownership import Claim

CLAIM = Claim("e1#1", "127.0.0.1:1", 7)


class FakeTransport:
    """Gives the same answer to every call; None means no answer."""

    def __init__(self, answer):
        self._answer = answer

    async def call(self, method, url, timeout_s, body=None):
        if self._answer is None:
            raise CallUnanswered(f"{url}: no answer")
        return self._answer


class TestIsAlive(unittest.TestCase):
    """Whether the holder of a duty still responds, as a new planner has to know."""

    def _is_alive(self, answer):
        calls = PeerClient(FakeTransport(answer), lambda pool: None, lambda pool: None)
        return anyio.run(calls.is_alive, CLAIM)

    def test_responding_holder_is_alive(self):
        self.assertTrue(
            self._is_alive((200, msgspec.json.encode(DaemonResponse("e1#1", 0.1))))
        )

    def test_later_incarnation_at_same_address_is_not_alive(self):
        self.assertFalse(
            self._is_alive((200, msgspec.json.encode(DaemonResponse("e1#2", 0.1))))
        )

    def test_unresponsive_holder_is_not_alive(self):
        self.assertFalse(self._is_alive(None))

    def test_error_status_means_not_alive(self):
        self.assertFalse(self._is_alive((404, b"no such page")))
