"""Knows whether the store answers this daemon.

Load pattern: in a turn some fifty jobs a second come when the store falls silent.
An append that is sent then stays in doubt, its caller gets no refusal and can't
try elsewhere; one that is not sent can be refused at once, truthfully.
"""

import anyio

from basilwind.errors import PlatformError

DOUBT_S = 0.6  # heartbeats bring an answer each half second
AWAY_S = 1.2  # a slow store answers in 0.25 s; a lost answer costs 0.8 s
CHECK_S = 0.2  # a return is noticed before callers come back


class StoreWatch:
    """Notes the store's answers, and asks for one when none came for a while.

    Args:
        clock: Returns boot time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._answered_at = clock()

    @property
    def answered_at(self):
        """When the store last answered; boot time."""
        return self._answered_at

    def note_answer(self):
        """Takes note of an answer."""
        self._answered_at = self._clock()

    @property
    def is_in_doubt(self):
        """Whether an append might get no answer."""
        return self._clock() - self._answered_at > DOUBT_S

    @property
    def is_away(self):
        """Whether the store has been silent for too long to wait for it."""
        return self._clock() - self._answered_at > AWAY_S

    async def run(self, store):
        """Asks the store for an answer while it is in doubt."""
        while True:
            await anyio.sleep(CHECK_S)
            if self.is_in_doubt:
                await self.check(store)

    async def check(self, store):
        """Asks the store once; an answer of any kind is noted by ``store``."""
        try:
            await store.ping()
        except PlatformError:
            # The silence is what the caller goes by; followers log the loss.
            return
