"""Claims duties through the platform's store and keeps them alive."""

import anyio
import msgspec

from basilwind.entry.follower import KeyedFollower
from basilwind.errors import PlatformError, StoreConflict
from basilwind.logs import log
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.ownership import HEARTBEAT_S, Claim, DutyTable

TOPIC = "keyed.duties"
# Heartbeats have a topic of their own, so that conditional claims don't collide
# with them.
HEARTBEATS_TOPIC = "keyed.heartbeats"
FLEET_DUTY = "fleet"
POOL_PREFIX = "pool/"
_CLAIM_PREFIX = "claim/"
_RELEASE_PREFIX = "release/"
CHECK_S = 0.1  # a tenth of the time in which a duty changes hands
CLAIM_RETRY_S = 0.3  # a store that is away returns after seconds
PAUSE_S = 0.25  # bounds the reads that heartbeats of all holders cause
HEARTBEAT_WAIT_S = 0.6  # heartbeats come each half second; a dead connection stands out
RELEASE_RETRY_S = 0.1  # a stopping daemon has seconds, and others wait for it


class _ClaimRecord(msgspec.Struct, array_like=True):
    holder: str
    address: str
    token: int
    zone: str = ""


class Duties:
    """This daemon's part in sharing the duties.

    Args:
        store: ``StoreClient``.
        settings: ``EntryHostSettings``.
        incarnation: Name of this daemon's life.
        address: HOST:PORT for calls of peers.
        clock: Returns boot time.
        on_change: Called when duties may have changed hands.
    """

    def __init__(self, store, settings, incarnation, address, clock, on_change):
        self._store = store
        self._strength = settings.cpu_cores
        self._zone = settings.zone
        self._me = incarnation
        self._address = address
        self._clock = clock
        self._on_change = on_change
        self._book = DutyTable(incarnation, settings.name)
        self._wanted = []
        self._well_since = clock()
        self._is_stopping = False
        self._follower = KeyedFollower(store, TOPIC, self._apply, self._apply, clock)
        self._heartbeats = KeyedFollower(
            store,
            HEARTBEATS_TOPIC,
            self._apply_heartbeats,
            self._apply_heartbeats,
            clock,
            PAUSE_S,
            wait_s=HEARTBEAT_WAIT_S,
        )

    def want(self, duties):
        """Sets the duties that somebody has to hold."""
        self._wanted = list(duties)

    def mine(self):
        """Returns the duties held here, with their fencing tokens."""
        return self._book.held_duties()

    def claim_of(self, duty):
        """Returns a duty's newest ``Claim``, or None."""
        return self._book.claims.get(duty)

    def claims(self):
        """Returns the newest ``Claim`` of each duty."""
        return list(self._book.claims.values())

    def former_of(self, duty):
        """Returns the claim that the newest one replaced.

        Returns:
            ``Claim`` of a holder that may be at work still, or None.
        """
        return self._book.previous_claims.get(duty)

    def abandon(self, duty):
        """Drops a duty here after a refusal for a lower token."""
        claim = self._book.claims.get(duty)
        if claim is not None and claim.holder == self._me:
            log("duty lost", duty=duty, token=claim.token)
            self._book.mark_lost(duty)
            self._on_change()

    def is_handed_over(self, duty):
        """Tells whether the former holder recorded all and gave the duty back."""
        return duty in self._book.handed_over

    async def follow(self):
        """Follows the claims of all daemons."""
        await self._follower.run()

    async def follow_heartbeats(self):
        """Follows the heartbeats of all daemons."""
        await self._heartbeats.run()

    async def claim_free(self):
        """Claims duties that nobody holds."""
        while True:
            await anyio.sleep(CHECK_S)
            if self._follower.position is None or self._is_stopping:
                continue
            self._note_trouble()
            duty = self._book.duty_to_claim(
                self._wanted, self._strength, self._well_since, self._clock()
            )
            if duty is not None:
                await self._claim(duty)

    async def beat(self):
        """Appends heartbeats while this daemon holds a duty."""
        while True:
            if self.mine():
                record = encode_keyed_record(self._me, b"1")
                try:
                    await self._store.append(HEARTBEATS_TOPIC, [record])
                except PlatformError as error:
                    log("heartbeat failed", error=str(error))
            await anyio.sleep(HEARTBEAT_S)

    async def release(self):
        """Hands all duties back, so that others claim them at once.

        The duties are held on until the store has the release.
        """
        self._is_stopping = True
        while held := self.mine():
            records = [
                encode_keyed_record(_RELEASE_PREFIX + duty, str(token).encode())
                for duty, token in held.items()
            ]
            try:
                await self._store.append(TOPIC, records)
            except PlatformError as error:
                log("duties not handed back", error=str(error))
                await anyio.sleep(RELEASE_RETRY_S)
                continue
            for duty, token in held.items():
                self._set_released(duty, token)

    def _set_released(self, duty, token):
        claim = self._book.claims.get(duty)
        if claim is None or claim.token != token or not claim.holder:
            return
        log("duty handed back", duty=duty, token=token, holder=claim.holder)
        self._book.apply_claim(duty, Claim("", "", token), self._clock())
        self._on_change()

    def _note_trouble(self):
        follower, now = self._heartbeats, self._clock()
        if follower.failed_at is not None:
            self._well_since = max(self._well_since, follower.failed_at)
        # A pause of this process looks like silence of all others.
        if follower.read_at is not None and now - follower.read_at > HEARTBEAT_S * 3:
            self._well_since = now

    async def _claim(self, duty):
        position = self._follower.position
        claim = _ClaimRecord(self._me, self._address, position + 1, self._zone)
        try:
            await self._store.append(TOPIC, [_encode_claim(duty, claim)], at=position)
        except StoreConflict:
            return
        except PlatformError as error:
            # A claim that took effect all the same is found by following.
            log("claim failed", duty=duty, error=str(error))
            await anyio.sleep(CLAIM_RETRY_S)
            return
        self._set_claim(duty, claim)

    def _set_claim(self, duty, record):
        claim = Claim(record.holder, record.address, record.token, record.zone)
        known = self._book.claims.get(duty)
        self._book.apply_claim(duty, claim, self._clock())
        if self._book.claims.get(duty) != known:
            log("duty claimed", duty=duty, holder=claim.holder, token=claim.token)
            self._on_change()

    def _apply(self, records):
        # Claims first: a complete reading is ordered by key, not by time.
        for record in records:
            if record.key.startswith(_CLAIM_PREFIX) and record.value:
                self._apply_claim(record)
        for record in records:
            if record.key.startswith(_RELEASE_PREFIX) and record.value.isdigit():
                duty = record.key[len(_RELEASE_PREFIX) :]
                self._set_released(duty, int(record.value))

    def _apply_claim(self, record):
        try:
            claim = msgspec.json.decode(record.value, type=_ClaimRecord)
        except msgspec.DecodeError as error:
            log("record ignored", topic=TOPIC, error=str(error))
            return
        self._set_claim(record.key[len(_CLAIM_PREFIX) :], claim)

    def _apply_heartbeats(self, records):
        now = self._clock()
        for record in records:
            self._book.apply_heartbeat(record.key, now)


def _encode_claim(duty, record):
    return encode_keyed_record(_CLAIM_PREFIX + duty, msgspec.json.encode(record))
