"""Asks daemons of other zones whether the store answers them."""

import anyio

from basilwind.scheduling.outages import (
    CONFIRMATION_VALID_S,
    is_unavailable_in_all_zones,
)

CHECK_S = 0.2  # half of the time for which an answer counts


class OutageWatch:
    """Confirms an outage of the store with holders of duties in other zones.

    Args:
        zone: This daemon's availability zone.
        store_watch: ``StoreWatch``.
        holders: Returns the ``Claim`` of each duty.
        ask: Coroutine function that returns how long the store has been silent for
            a claim's holder, or None without an answer.
        clock: Returns boot time.
    """

    def __init__(self, zone, store_watch, holders, ask, clock):
        self._zone = zone
        self._store_watch = store_watch
        self._holders = holders
        self._ask = ask
        self._clock = clock
        self._confirmed_at = None
        self._is_stopped = False

    def stop(self):
        """Confirms no outage any more: what follows has to be recorded."""
        self._is_stopped = True

    @property
    def is_confirmed(self):
        """Whether nobody reaches the store, as far as others have said just now."""
        return (
            self._confirmed_at is not None
            and not self._is_stopped
            and self._store_watch.is_in_doubt
            and self._clock() - self._confirmed_at < CONFIRMATION_VALID_S
        )

    async def run(self):
        """Asks again and again while the store is in doubt."""
        while True:
            await anyio.sleep(CHECK_S)
            if self._store_watch.is_in_doubt:
                await self.check()

    async def check(self):
        """Asks all known holders once."""
        asked_at = self._clock()
        answers = []

        async def ask(claim):
            silence_s = await self._ask(claim)
            if silence_s is not None:
                answers.append((claim.zone, silence_s))

        claims = {claim.address: claim for claim in self._holders() if claim.address}
        async with anyio.create_task_group() as tasks:
            for claim in claims.values():
                tasks.start_soon(ask, claim)
        is_away = is_unavailable_in_all_zones(self._zone, answers)
        self._confirmed_at = asked_at if is_away else None
