"""Knows whether the store answers this daemon.

Load pattern: in a turn some fifty jobs a second come when the store falls silent.
An append that is sent then stays in doubt, its caller gets no refusal and can't
try elsewhere; one that is not sent can be refused at once, truthfully.
"""

import anyio

from basilwind.errors import PlatformError
from basilwind.scheduling.outages import SUSPECT_AFTER_S, UNRECORDED_RUN_MAX_S

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
        # What was before this daemon's start is unknown.
        self._doubt_ended_at = self._answered_at

    @property
    def answered_at(self):
        """When the store last answered; boot time."""
        return self._answered_at

    def note_answer(self):
        """Takes note of an answer."""
        if self.is_in_doubt:
            self._doubt_ended_at = self._clock()
        self._answered_at = self._clock()

    @property
    def silence_s(self):
        """Time since the last answer."""
        return self._clock() - self._answered_at

    @property
    def doubt_ended_at(self):
        """End of the last silence, or this daemon's start; boot time."""
        return self._doubt_ended_at

    @property
    def was_away_lately(self):
        """Whether runs may go on that no journal has, from an outage or before."""
        return self._clock() - self._doubt_ended_at < UNRECORDED_RUN_MAX_S

    @property
    def is_in_doubt(self):
        """Whether an append might get no answer."""
        return self.silence_s > SUSPECT_AFTER_S

    @property
    def is_away(self):
        """Whether the store has been silent for too long to wait for it."""
        return self.silence_s > AWAY_S

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
