"""Claims duties through the platform's store and renews them with heartbeats.

A duty is the ownership of a pool, the planning of the fleet or the granting of quota;
one daemon at a time holds it.
"""

import math
from dataclasses import replace

import anyio
import msgspec

from basilwind.checked_json import Count, check_address, check_name, decode_json
from basilwind.entry.follower import KeyedFollower
from basilwind.errors import PlatformError, RecordInvalid, StoreConflict, StoreRefused
from basilwind.logs import log
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.ownership import (
    HEARTBEAT_S,
    Claim,
    DutyTable,
    may_still_be_active,
)

TOPIC = "keyed.duties"
# Heartbeats have their own topic, since appending them to the claims' topic would
# make conditional claims fail.
HEARTBEATS_TOPIC = "keyed.heartbeats"
FLEET_DUTY = "fleet"
QUOTA_DUTY = "quota"
POOL_PREFIX = "pool/"
_CLAIM_PREFIX = "claim/"
_RELEASE_PREFIX = "release/"
_UNSETTLED_PREFIX = "unsettled/"  # a release after an unfinished takeover
CLAIM_CHECK_S = 0.1  # a tenth of the time that changing a holder may take
PAUSE_S = 0.6  # between two checks; a claim takes some ms, and 0.4 s on a slow store
CLAIM_RETRY_S = 0.3  # store outages last seconds
ANNOUNCE_INTERVAL_S = 600.0  # between heartbeats of a daemon without a duty
MAX_DAEMONS = 500  # whose heartbeats are kept; several times as many as a fleet has
MAX_DELETED_HEARTBEATS = 200  # in one append
HEARTBEAT_POLL_S = 0.25  # limits reads, as all holders append heartbeats
HEARTBEAT_WAIT_S = 0.6  # heartbeats arrive every 0.5 s; silence means a dead connection
MAX_TOKEN_DIGITS = 15
ANNOUNCE_RETRY_S = 0.15  # a busy store rejects calls for some tenths of a second
RELEASE_RETRY_S = 0.1  # shutdown takes seconds, and other daemons wait for it


class _ClaimRecord(msgspec.Struct, array_like=True):
    holder: str
    address: str
    token: Count
    zone: str = ""
    has_predecessor: bool = False


class _HeartbeatRecord(msgspec.Struct, array_like=True):
    address: str
    zone: str
    # Offset up to which the daemon knows the claims.
    claims_end: Count = 0


class DutyManager:
    """Claims, renews and releases this daemon's duties.

    Args:
        store: ``StoreClient``.
        settings: ``EntryHostSettings``.
        incarnation: Id of this run of the daemon.
        address: HOST:PORT at which peers reach this daemon.
        clock: Returns boot time.
        on_change: Called when the holder of a duty may have changed.
        query_daemon: Coroutine function that takes a ``Claim`` and returns the
            ``DaemonResponse`` of the daemon at its address, or None.
    """

    def __init__(
        self, store, settings, incarnation, address, clock, on_change, query_daemon
    ):
        self._store = store
        self._cpu_cores = settings.cpu_cores
        self._zone = settings.zone
        self._incarnation = incarnation
        self._address = address
        self._clock = clock
        self._on_change = on_change
        self._query_daemon = query_daemon
        self._table = DutyTable(incarnation, settings.name)
        self._wanted = []
        self._heartbeats_reliable_since = clock()
        # Boot time at which free duties were last looked for.
        self._checked_at = clock()
        self._is_stopping = False
        # Offset of the newest heartbeat and ``Claim`` of each daemon, by host.
        self._daemons = {}
        # Offset of the newest heartbeat of each incarnation.
        self._heartbeat_offsets = {}
        # Offset up to which some daemon knows the claims, according to its heartbeat.
        self._announced_claims_end = 0
        # Whether a release may have taken effect that is not known here.
        self._is_release_open = False
        self._follower = KeyedFollower(
            store, TOPIC, self._apply_records, self._apply_records, clock
        )
        self._heartbeats = KeyedFollower(
            store,
            HEARTBEATS_TOPIC,
            self._apply_heartbeats,
            self._apply_heartbeats,
            clock,
            HEARTBEAT_POLL_S,
            wait_s=HEARTBEAT_WAIT_S,
        )

    def set_wanted(self, duties):
        """Sets the duties that some daemon has to hold."""
        self._wanted = list(duties)

    def held_tokens(self):
        """Returns the fencing tokens of the duties held here, by duty."""
        return self._table.held_duties()

    @property
    def confirmed_at(self):
        """Latest boot time of which all claims announced until then are known here.

        A claimant announces its claim before it counts how long leases of its
        predecessors may last, so owners here may extend leases for a time that counts
        from here. Minus infinity from a release on, after which a successor does not
        wait for that time.
        """
        if self._is_release_open:
            return -math.inf
        confirmed_at = self._follower.confirmed_at
        if self._announced_claims_end <= self._known_claims_end:
            # Claims are read by a long poll, heartbeats several times in that time.
            confirmed_at = max(
                confirmed_at or -math.inf, self._heartbeats.confirmed_at or -math.inf
            )
        return -math.inf if confirmed_at is None else confirmed_at

    @property
    def _known_claims_end(self):
        """Offset up to which the claims are known here."""
        # Nothing precedes a claim of this daemon that it has not read.
        return max([self._follower.position or 0, *self.held_tokens().values()])

    def find_claim(self, duty):
        """Returns a duty's newest ``Claim``, or None."""
        return self._table.claims.get(duty)

    def current_claims(self):
        """Returns the newest ``Claim`` of each duty."""
        return list(self._table.claims.values())

    def known_daemons(self):
        """Returns a ``Claim`` of no duty for each other daemon that is known."""
        return [
            claim
            for _, (_, claim) in sorted(self._daemons.items())
            if claim.holder != self._incarnation
        ]

    def outage_witnesses(self, duty):
        """Returns the claims of daemons that can have confirmed an outage.

        Args:
            duty: Name of the duty to whose previous holders they can have confirmed it.
        """
        return self._table.outage_witnesses(duty, self._clock())

    def previous_claim(self, duty):
        """Returns the claim that the newest one replaced.

        Returns:
            Its ``Claim`` if its holder or one before it may still be active, or None.
        """
        return self._table.previous_claims.get(duty)

    def mark_lost(self, duty):
        """Gives up a duty after its token was rejected or its work failed."""
        claim = self._table.claims.get(duty)
        if claim is not None and claim.holder == self._incarnation:
            log("duty lost", duty=duty, token=claim.token)
            self._table.mark_lost(duty, self._clock())
            self._on_change()

    def is_handed_over(self, duty):
        """Returns whether the previous holder recorded everything and released it."""
        return duty in self._table.handed_over

    async def follow_claims(self):
        """Follows the claims of all daemons."""
        await self._follower.run()

    async def follow_heartbeats(self):
        """Follows the heartbeats of all daemons."""
        await self._heartbeats.run()

    async def claim_free_duties(self):
        """Claims duties that have no live holder."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(CLAIM_CHECK_S)
                if self._follower.position is None or self._is_stopping:
                    continue
                self._update_heartbeats_reliable_since()
                now = self._clock()
                heard = self._heartbeats_reliable_since, self._heartbeats.read_at or 0.0
                for claim in self._table.holders_to_ask(self._wanted, *heard, now):
                    tasks.start_soon(self._ask_holder, claim)
                duty = self._table.duty_to_claim(
                    self._wanted, self._cpu_cores, *heard, now
                )
                if duty is not None:
                    await self._try_claim(duty)

    async def _ask_holder(self, claim):
        asked_at = self._clock()
        answer = await self._query_daemon(claim)
        incarnation = answer.incarnation if answer else ""
        store_silence_s = answer.store_silence_s if answer else 0.0
        log(
            "holder asked",
            holder=claim.holder,
            incarnation=incarnation,
            store_silence_s=round(store_silence_s, 3),
        )
        self._table.apply_answer(claim.holder, incarnation, store_silence_s, asked_at)

    async def send_heartbeats(self):
        """Appends heartbeats while this daemon holds any duty, and now and then.

        The others tell the other daemons where this one can be reached.
        """
        announced_at = None
        while True:
            now = self._clock()
            is_due = announced_at is None or now - announced_at > ANNOUNCE_INTERVAL_S
            if self.held_tokens() or (is_due and self._heartbeats.position is not None):
                outdated = self._outdated_heartbeats() if is_due else []
                try:
                    await self._append_heartbeat(outdated)
                    announced_at = now
                except PlatformError as error:
                    log("heartbeat failed", error=str(error))
            await anyio.sleep(HEARTBEAT_S)

    async def announce_claims(self):
        """Appends a heartbeat at once, retrying until the store accepts it.

        From then on, no holder that has not read the claims of this daemon renews its
        authority by reading heartbeats.
        """
        while True:
            try:
                return await self._append_heartbeat([])
            except PlatformError as error:
                log("announcing claims failed", error=str(error))
                await anyio.sleep(ANNOUNCE_RETRY_S)

    async def _append_heartbeat(self, outdated):
        heartbeat = _HeartbeatRecord(self._address, self._zone, self._known_claims_end)
        record = encode_keyed_record(self._incarnation, msgspec.json.encode(heartbeat))
        deletions = [encode_keyed_record(key, b"") for key in outdated]
        await self._store.append(HEARTBEATS_TOPIC, [record, *deletions])

    def _outdated_heartbeats(self):
        """Returns keys of heartbeats to delete, as they would add up for ever.

        Those are the keys of previous incarnations of this daemon, and the oldest ones
        if there are more than any fleet has daemons.
        """
        host = self._incarnation.partition("#")[0]
        keys = sorted(self._heartbeat_offsets, key=self._heartbeat_offsets.get)
        surplus = max(0, len(keys) - MAX_DAEMONS)
        outdated = [
            key
            for number, key in enumerate(keys)
            if key != self._incarnation
            and (number < surplus or key.partition("#")[0] == host)
        ]
        return outdated[:MAX_DELETED_HEARTBEATS]

    async def release_all(
        self, is_settled=lambda duty: True, is_store_away=lambda: False
    ):
        """Releases all duties, so that other daemons claim them immediately.

        The duties stay held until the store has recorded the release, but no leases are
        extended once it may have.

        Args:
            is_settled: Returns whether everything that previous holders of a duty
                started is known here.
            is_store_away: Returns whether the store does not answer this daemon. Then
                no release is attempted, as leases would end that may outlast this.
        """
        self._is_stopping = True
        while held := self.held_tokens():
            if is_store_away():
                await anyio.sleep(RELEASE_RETRY_S)
                continue
            settled = {duty for duty in held if is_settled(duty)}
            records = [
                encode_keyed_record(
                    (_RELEASE_PREFIX if duty in settled else _UNSETTLED_PREFIX) + duty,
                    str(token).encode(),
                )
                for duty, token in held.items()
            ]
            was_release_open = self._is_release_open
            self._is_release_open = True
            try:
                await self._store.append(TOPIC, records)
            except PlatformError as error:
                if isinstance(error, StoreRefused):
                    self._is_release_open = was_release_open
                log("releasing duties failed", error=str(error))
                await anyio.sleep(RELEASE_RETRY_S)
                continue
            for duty, token in held.items():
                self._apply_release(duty, token, duty in settled)

    def _apply_release(self, duty, token, is_settled):
        claim = self._table.claims.get(duty)
        if claim is None or claim.token != token or not claim.holder:
            return
        log(
            "duty released",
            duty=duty,
            token=token,
            holder=claim.holder,
            is_settled=is_settled,
        )
        release = Claim("", "", token, is_settled=is_settled)
        self._table.apply_claim(duty, release, self._clock())
        self._on_change()

    def _update_heartbeats_reliable_since(self):
        follower, now = self._heartbeats, self._clock()
        if follower.failed_at is not None:
            self._heartbeats_reliable_since = max(
                self._heartbeats_reliable_since, follower.failed_at
            )
        # After a pause of this process, heartbeats of all others seem to be missing,
        # also if an answer from before the pause was read meanwhile.
        since_check_s = now - self._checked_at
        was_paused = since_check_s > PAUSE_S
        self._checked_at = now
        if was_paused:
            log("duty check late", seconds=round(since_check_s, 3))
        if was_paused or (
            follower.read_at is not None and now - follower.read_at > HEARTBEAT_S * 3
        ):
            self._heartbeats_reliable_since = now

    async def _try_claim(self, duty):
        position = self._follower.position
        claim = Claim(self._incarnation, self._address, position + 1, self._zone)
        known = self._table.claims.get(duty)
        if known is not None and may_still_be_active(known, claim):
            claim = replace(claim, has_predecessor=True)
        try:
            await self._store.append(TOPIC, [_encode_claim(duty, claim)], at=position)
        except StoreConflict:
            return
        except PlatformError as error:
            # If the claim took effect after all, following the topic shows it.
            log("claiming duty failed", duty=duty, error=str(error))
            await anyio.sleep(CLAIM_RETRY_S)
            return
        self._record_claim(duty, claim)

    def _record_claim(self, duty, claim):
        known = self._table.claims.get(duty)
        self._table.apply_claim(duty, claim, self._clock())
        if self._table.claims.get(duty) != known:
            log(
                "duty claimed",
                duty=duty,
                holder=claim.holder,
                token=claim.token,
                previous_holder=known.holder if known else None,
                previous_token=known.token if known else None,
                is_handed_over=duty in self._table.handed_over,
                may_previous_be_active=duty in self._table.previous_claims,
            )
            self._on_change()

    def _apply_records(self, records):
        # Claims go first, since a complete read is ordered by key and not by time.
        for record in records:
            if record.key.startswith(_CLAIM_PREFIX) and record.value:
                self._apply_claim(record)
        for record in records:
            for prefix in (_RELEASE_PREFIX, _UNSETTLED_PREFIX):
                if record.key.startswith(prefix) and _is_token(record.value):
                    duty = record.key[len(prefix) :]
                    self._apply_release(
                        duty, int(record.value), prefix == _RELEASE_PREFIX
                    )

    def _apply_claim(self, record):
        what = f"claim {record.key!r}"
        try:
            decoded = decode_json(record.value, _ClaimRecord, what, RecordInvalid)
            check_name(decoded.holder, what, RecordInvalid)
            check_address(decoded.address, what, RecordInvalid)
        except RecordInvalid as error:
            log("invalid record ignored", topic=TOPIC, error=str(error))
            return
        claim = Claim(
            decoded.holder,
            decoded.address,
            decoded.token,
            decoded.zone,
            has_predecessor=decoded.has_predecessor,
        )
        self._record_claim(record.key[len(_CLAIM_PREFIX) :], claim)

    def _apply_heartbeats(self, records):
        now = self._clock()
        for record in records:
            if record.value:
                self._heartbeat_offsets[record.key] = record.offset
                self._table.apply_heartbeat(record.key, now)
                self._apply_heartbeat(record)
            else:
                self._heartbeat_offsets.pop(record.key, None)
                self._forget_daemon(record.key)

    def _forget_daemon(self, incarnation):
        host = incarnation.partition("#")[0]
        if host in self._daemons and self._daemons[host][1].holder == incarnation:
            del self._daemons[host]

    def _apply_heartbeat(self, record):
        """Applies what a heartbeat tells of its daemon."""
        what = f"heartbeat of {record.key!r}"
        try:
            heartbeat = decode_json(record.value, _HeartbeatRecord, what, RecordInvalid)
            check_address(heartbeat.address, what, RecordInvalid)
        except RecordInvalid:
            # Daemons of earlier versions don't tell where they are.
            return
        self._announced_claims_end = max(
            self._announced_claims_end, heartbeat.claims_end
        )
        # The address counts from the newest heartbeat of the host.
        host = record.key.partition("#")[0]
        if host in self._daemons and self._daemons[host][0] > record.offset:
            return
        claim = Claim(record.key, heartbeat.address, 0, heartbeat.zone)
        self._daemons[host] = record.offset, claim


def _is_token(value):
    return value.isdigit() and len(value) <= MAX_TOKEN_DIGITS


def _encode_claim(duty, claim):
    record = _ClaimRecord(
        claim.holder, claim.address, claim.token, claim.zone, claim.has_predecessor
    )
    return encode_keyed_record(_CLAIM_PREFIX + duty, msgspec.json.encode(record))
