"""Claims duties through the platform's store and keeps them alive."""

import anyio
import msgspec

from basilwind.entry.follower import KeyedFollower
from basilwind.errors import PlatformError, StoreConflict
from basilwind.logs import log
from basilwind.platform.store import encode_keyed
from basilwind.scheduling.ownership import HEARTBEAT_S, Claim, DutyBook

TOPIC = "keyed.duties"
FLEET_DUTY = "fleet"
POOL_PREFIX = "pool/"
_CLAIM_PREFIX = "claim/"
_HEARTBEAT_PREFIX = "heartbeat/"
CHECK_S = 0.1  # a tenth of the time in which a duty changes hands
PAUSE_S = 0.25  # bounds the reads that heartbeats of all holders cause
RELEASE_TRIES = 10  # conflicts with heartbeats of others


class _ClaimRecord(msgspec.Struct, array_like=True):
    holder: str
    address: str
    token: int


class Duties:
    """This daemon's part in sharing the duties.

    Args:
        store: ``Store``.
        settings: ``HostSettings``.
        incarnation: Name of this daemon's life.
        address: HOST:PORT for calls of peers.
        clock: Returns boot time.
        on_change: Called when duties may have changed hands.
    """

    def __init__(self, store, settings, incarnation, address, clock, on_change):
        self._store = store
        self._strength = settings.strength
        self._me = incarnation
        self._address = address
        self._clock = clock
        self._on_change = on_change
        self._book = DutyBook(incarnation, settings.name)
        self._wanted = []
        self._well_since = clock()
        self._is_stopping = False
        self._follower = KeyedFollower(
            store, TOPIC, self._apply, self._apply, clock, PAUSE_S
        )

    def want(self, duties):
        """Sets the duties that somebody has to hold."""
        self._wanted = list(duties)

    def mine(self):
        """Returns the duties held here, with their fencing tokens."""
        return self._book.mine()

    def claim_of(self, duty):
        """Returns a duty's newest ``Claim``, or None."""
        return self._book.claims.get(duty)

    def is_handed_over(self, duty):
        """Tells whether the former holder gave a duty back before it was claimed."""
        return duty in self._book.handed_over

    def abandon(self, duty):
        """Drops a duty here after a refusal for a lower token."""
        claim = self._book.claims.get(duty)
        if claim is not None and claim.holder == self._me:
            log("duty lost", duty=duty, token=claim.token)
            self._book.forget(duty)
            self._on_change()

    async def follow(self):
        """Follows claims and heartbeats of all daemons."""
        await self._follower.run()

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
                record = encode_keyed(_HEARTBEAT_PREFIX + self._me, b"1")
                try:
                    await self._store.append(TOPIC, [record])
                except PlatformError as error:
                    log("heartbeat failed", error=str(error))
            await anyio.sleep(HEARTBEAT_S)

    async def release(self, duties=None):
        """Hands duties back, so that others claim them at once.

        Args:
            duties: Names; all that are held if None.
        """
        self._is_stopping = self._is_stopping or duties is None
        for duty, token in self.mine().items():
            if duties is None or duty in duties:
                await self._release(duty, token)

    async def _release(self, duty, token):
        for _ in range(RELEASE_TRIES):
            if self.mine().get(duty) != token:
                return
            record = _encode_claim(duty, _ClaimRecord("", "", token))
            position = self._follower.position
            try:
                await self._store.append(TOPIC, [record], at=position)
            except StoreConflict:
                await anyio.sleep(PAUSE_S / 5)
                continue
            except PlatformError as error:
                log("duty not handed back", duty=duty, error=str(error))
                return
            log("duty handed back", duty=duty, token=token)
            self._book.apply_claim(duty, Claim("", "", token), self._clock())
            self._on_change()
            return

    def _note_trouble(self):
        follower, now = self._follower, self._clock()
        if follower.failed_at is not None:
            self._well_since = max(self._well_since, follower.failed_at)
        # A pause of this process looks like silence of all others.
        if follower.read_at is not None and now - follower.read_at > HEARTBEAT_S * 3:
            self._well_since = now

    async def _claim(self, duty):
        position = self._follower.position
        claim = _ClaimRecord(self._me, self._address, position + 1)
        try:
            await self._store.append(TOPIC, [_encode_claim(duty, claim)], at=position)
        except StoreConflict:
            return
        except PlatformError as error:
            # A claim that took effect all the same is found by following.
            log("claim failed", duty=duty, error=str(error))
            return
        self._set_claim(duty, claim)

    def _set_claim(self, duty, record):
        claim = Claim(record.holder, record.address, record.token)
        known = self._book.claims.get(duty)
        self._book.apply_claim(duty, claim, self._clock())
        if self._book.claims.get(duty) != known:
            log("duty claimed", duty=duty, holder=claim.holder, token=claim.token)
            self._on_change()

    def _apply(self, records):
        now = self._clock()
        for record in records:
            kind, _, name = record.key.partition("/")
            if kind + "/" == _HEARTBEAT_PREFIX:
                self._book.apply_heartbeat(name, now)
            elif kind + "/" == _CLAIM_PREFIX and record.value:
                try:
                    claim = msgspec.json.decode(record.value, type=_ClaimRecord)
                except msgspec.DecodeError as error:
                    log("record ignored", topic=TOPIC, error=str(error))
                    continue
                self._set_claim(name, claim)


def _encode_claim(duty, record):
    return encode_keyed(_CLAIM_PREFIX + duty, msgspec.json.encode(record))
