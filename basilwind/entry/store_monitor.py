"""Tracks whether the store answers this daemon.

Load pattern: about fifty jobs a second arrive in a burst while the store stops
answering. The outcome of an append that was already sent is then unknown, so its
caller can't be refused and can't retry elsewhere. An append that was not sent can be
refused immediately, with certainty that the job will not run.
"""

import anyio

from basilwind.errors import PlatformError
from basilwind.scheduling.outages import SUSPECT_AFTER_S, UNRECORDED_RUN_MAX_S

UNAVAILABLE_S = 1.2  # a slow store answers in 0.25 s; a lost answer costs 0.8 s
CHECK_S = 0.2  # recovery is noticed before callers retry


class StoreMonitor:
    """Records when the store answered, and pings it after a silence.

    Args:
        clock: Returns boot time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._answered_at = clock()
        self._confirmed_at = self._answered_at
        # The store may have been unavailable before this daemon started.
        self._silence_ended_at = self._answered_at
        self._takeover_heard_at = None

    @property
    def confirmed_at(self):
        """Boot time at which the latest call that the store answered was sent.

        An answer may have waited while this process was paused, so the time of reading
        it says nothing. A call that says nothing of claims counts, too, so owners may
        extend leases for a time that counts from ``DutyManager.confirmed_at``.
        """
        return self._confirmed_at

    def record_answer(self, sent_at):
        """Records that the store has answered a call.

        Args:
            sent_at: Boot time at which the call was sent.
        """
        if self.is_suspected:
            self._silence_ended_at = self._clock()
        self._answered_at = self._clock()
        self._confirmed_at = max(self._confirmed_at, sent_at)

    @property
    def silence_s(self):
        """Seconds since the last answer."""
        return self._clock() - self._answered_at

    @property
    def silence_ended_at(self):
        """Boot time when the last silence ended, or when this daemon started."""
        return self._silence_ended_at

    @property
    def was_silent_recently(self):
        """Whether runs from a recent outage may be missing from the journal.

        If not, this daemon has confirmed no outage to any pool's owner whose unrecorded
        runs may still execute.
        """
        silence_ended_s = self._clock() - self._silence_ended_at
        return self.is_suspected or silence_ended_s < UNRECORDED_RUN_MAX_S

    @property
    def takeover_age_s(self):
        """Seconds since another daemon announced a takeover, or None."""
        if self._takeover_heard_at is None:
            return None
        return self._clock() - self._takeover_heard_at

    def record_takeover(self):
        """Records that another daemon has taken over a duty, so the store serves it."""
        self._takeover_heard_at = self._clock()

    @property
    def is_suspected(self):
        """Whether the store is suspected unavailable; appends may go unanswered."""
        return self.silence_s > SUSPECT_AFTER_S

    @property
    def is_unavailable(self):
        """Whether the store has been silent for too long to keep callers waiting."""
        return self.silence_s > UNAVAILABLE_S

    async def run(self, store):
        """Pings the store while it is suspected unavailable."""
        while True:
            await anyio.sleep(CHECK_S)
            if self.is_suspected:
                await self.check(store)

    async def check(self, store):
        """Pings the store once; ``store`` reports any answer to ``record_answer``."""
        try:
            await store.ping()
        except PlatformError:
            # Callers use the duration of the silence; followers log the failure.
            return
