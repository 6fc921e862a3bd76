"""Asks daemons in other zones whether the store answers them."""

import anyio

from basilwind.scheduling.outages import (
    CONFIRMATION_VALID_S,
    SUSPECT_AFTER_S,
    is_unavailable_in_all_zones,
)

QUERY_INTERVAL_S = 0.2  # half of the time for which a confirmation is valid
RELAY_VALID_S = 0.8  # a round of questions takes 0.5 s if a holder does not answer


class OutageDetector:
    """Confirms an outage of the store by asking duty holders in other zones.

    Args:
        zone: This daemon's availability zone.
        store_monitor: ``StoreMonitor``.
        get_claims: Returns the ``Claim`` of each duty.
        query_store_silence_s: Coroutine function that takes a claim and returns for
            how many seconds the store has not answered its holder, or None if the
            holder did not respond.
        clock: Returns boot time.
    """

    def __init__(self, zone, store_monitor, get_claims, query_store_silence_s, clock):
        self._zone = zone
        self._store_monitor = store_monitor
        self._get_claims = get_claims
        self._query_store_silence_s = query_store_silence_s
        self._clock = clock
        self._confirmed_at = None
        self._is_stopped = False
        # Claim and boot time of the answer of each holder that reached the store.
        self._relays = {}

    def stop(self):
        """Stops confirming outages, so that everything from now on is journalled."""
        self._is_stopped = True

    @property
    def is_confirmed(self):
        """Whether no daemon reaches the store, according to recent responses."""
        return (
            self._confirmed_at is not None
            and not self._is_stopped
            and self._store_monitor.is_suspected
            and self._clock() - self._confirmed_at < CONFIRMATION_VALID_S
        )

    def relays(self):
        """Returns the ``Claim`` of each duty holder that recently reached the store.

        Those in this daemon's zone come first.
        """
        now = self._clock()
        recent = [
            claim
            for claim, answered_at in self._relays.values()
            if now - answered_at < RELAY_VALID_S
        ]
        return sorted(recent, key=lambda claim: claim.zone != self._zone)

    async def run(self):
        """Asks repeatedly while the store is suspected unavailable."""
        while True:
            await anyio.sleep(QUERY_INTERVAL_S)
            if self._store_monitor.is_suspected:
                await self.check()

    async def check(self):
        """Asks all known duty holders once."""
        asked_at = self._clock()
        answers = []

        async def ask(claim):
            silence_s = await self._query_store_silence_s(claim)
            if silence_s is None:
                return
            answers.append((claim.zone, silence_s))
            if silence_s <= SUSPECT_AFTER_S:
                self._relays[claim.address] = claim, self._clock()

        claims = {claim.address: claim for claim in self._get_claims() if claim.address}
        async with anyio.create_task_group() as tasks:
            for claim in claims.values():
                tasks.start_soon(ask, claim)
        is_unavailable = is_unavailable_in_all_zones(self._zone, answers)
        self._confirmed_at = asked_at if is_unavailable else None
