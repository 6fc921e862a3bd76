"""Asks other daemons whether the store answers them."""

import anyio

from basilwind.scheduling.outages import (
    CONFIRMATION_VALID_S,
    SUSPECT_AFTER_S,
    StoreSilence,
    is_unavailable_in_all_zones,
)

QUERY_INTERVAL_S = 0.2  # half of the time for which a confirmation is valid
RELAY_VALID_S = 0.8  # a round of questions takes 0.5 s if a holder does not answer
DAEMONS_PER_ROUND = 4  # besides the duty holders
DAEMON_TIMEOUT_S = 0.15  # with the interval, less than CONFIRMATION_VALID_S


class OutageDetector:
    """Confirms an outage of the store by asking other daemons.

    Duty holders in other zones are asked in each round, the other daemons in turn.

    Args:
        zone: This daemon's availability zone.
        store_monitor: ``StoreMonitor``.
        get_claims: Returns the ``Claim`` of each duty.
        get_daemons: Returns a ``Claim`` for each daemon that is known, in the same
            order each time.
        query_daemon: Coroutine function that takes a claim and returns the
            ``DaemonResponse`` of the daemon, or None if it did not respond.
        clock: Returns boot time.
    """

    def __init__(
        self, zone, store_monitor, get_claims, get_daemons, query_daemon, clock
    ):
        self._zone = zone
        self._store_monitor = store_monitor
        self._get_claims = get_claims
        self._get_daemons = get_daemons
        self._query_daemon = query_daemon
        self._clock = clock
        self._confirmed_at = None
        self._is_stopped = False
        # Claim and boot time of the answer of each daemon that reached the store.
        self._relays = {}
        # Boot time at which the store last answered some other daemon, as it told.
        self._others_served_at = None
        self._next_daemon = 0

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
        """Returns the ``Claim`` of each daemon that recently reached the store.

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
        """Asks all known duty holders, and some of the other daemons, once."""
        asked_at = self._clock()
        answers = []

        async def ask(claim, is_holder):
            answer = await self._query_daemon(claim)
            if answer is not None:
                answers.append(self._apply_answer(claim, answer, is_holder))

        async def ask_briefly(claim):
            with anyio.move_on_after(DAEMON_TIMEOUT_S):
                await ask(claim, False)

        holders = {
            claim.address: claim for claim in self._get_claims() if claim.address
        }
        async with anyio.create_task_group() as tasks:
            for claim in holders.values():
                tasks.start_soon(ask, claim, True)
            for claim in self._choose_daemons(holders):
                tasks.start_soon(ask_briefly, claim)
        is_unavailable = not self._were_others_served(
            self._clock()
        ) and is_unavailable_in_all_zones(self._zone, answers)
        self._confirmed_at = asked_at if is_unavailable else None

    def _apply_answer(self, claim, answer, is_holder):
        """Records a daemon's answer and returns its ``StoreSilence``."""
        now = self._clock()
        silence_s = answer.store_silence_s
        if silence_s <= SUSPECT_AFTER_S:
            self._relays[claim.address] = claim, now
            self._others_served_at = max(self._others_served_at or 0.0, now - silence_s)
        return StoreSilence(claim.zone, silence_s, answer.takeover_age_s, is_holder)

    def _were_others_served(self, now):
        """Returns whether a daemon that answered in an earlier round was served."""
        served_at = self._others_served_at
        return served_at is not None and now - served_at <= SUSPECT_AFTER_S

    def _choose_daemons(self, holders):
        """Returns the claims of the next daemons that hold no duty."""
        daemons = [
            claim for claim in self._get_daemons() if claim.address not in holders
        ]
        if not daemons:
            return []
        first = self._next_daemon % len(daemons)
        self._next_daemon = first + DAEMONS_PER_ROUND
        return (daemons + daemons)[first : first + min(DAEMONS_PER_ROUND, len(daemons))]
