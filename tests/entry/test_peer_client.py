import unittest

import anyio
import msgspec

from basilwind.entry.peer_client import PeerClient
from basilwind.entry.peer_messages import HandoverResponse
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


class TestHandOverPlanning(unittest.TestCase):
    """What a new planner learns from the previous one, which may still run."""

    def _hand_over(self, answer):
        client = PeerClient(FakeTransport(answer), lambda pool: None, lambda pool: None)
        return anyio.run(client.hand_over_planning, CLAIM, 9, 3.2)

    def test_responding_planner_tells_its_recent_orders(self):
        response = HandoverResponse("e1#1", {"m1": 0.5})
        answer = self._hand_over((200, msgspec.json.encode(response)))
        self.assertEqual(answer, {"m1": 0.5})

    def test_later_incarnation_at_same_address_tells_nothing(self):
        response = HandoverResponse("e1#2", {})
        self.assertIsNone(self._hand_over((200, msgspec.json.encode(response))))

    def test_unresponsive_planner_tells_nothing(self):
        self.assertIsNone(self._hand_over(None))

    def test_error_status_tells_nothing(self):
        self.assertIsNone(self._hand_over((404, b"no such page")))
