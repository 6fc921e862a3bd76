import unittest

import anyio
import msgspec

from basilwind.entry.peers import HostAnswer, PeerCalls
from basilwind.errors import CallUnanswered
from basilwind.scheduling.ownership import Claim

CLAIM = Claim("e1#1", "127.0.0.1:1", 7)


class FakeTransport:
    """Answers every call alike; None stands for silence."""

    def __init__(self, answer):
        self._answer = answer

    async def call(self, method, url, timeout_s, body=None):
        if self._answer is None:
            raise CallUnanswered(f"{url}: no answer")
        return self._answer


class TestIsAlive(unittest.TestCase):
    """Whether a planner that nobody hears may still give orders for machines."""

    def _is_alive(self, answer):
        calls = PeerCalls(FakeTransport(answer), lambda pool: None, lambda pool: None)
        return anyio.run(calls.is_alive, CLAIM)

    def test_holder_that_answers_is_alive(self):
        self.assertTrue(
            self._is_alive((200, msgspec.json.encode(HostAnswer("e1#1", 0.1))))
        )

    def test_later_life_at_its_address_is_another(self):
        self.assertFalse(
            self._is_alive((200, msgspec.json.encode(HostAnswer("e1#2", 0.1))))
        )

    def test_silent_holder_is_gone_or_cut_off(self):
        self.assertFalse(self._is_alive(None))

    def test_address_that_serves_something_else_is_no_holder(self):
        self.assertFalse(self._is_alive((404, b"no such page")))
