"""Ownership of a zone's shards: claims, leases and who acts as owner."""

from dataclasses import dataclass

import anyio
import msgspec

from basilwind.errors import EntryFenced, JournalUnavailable, LeaseLost
from basilwind.journal.entries import Claim, Release, Renewal
from basilwind.membership.members import MEMBER_TIMEOUT_S
from basilwind.membership.promises import PROMISE_MARGIN_S
from basilwind.membership.rendezvous import choose_by_hash

CHECK_INTERVAL_S = 0.2
CLAIM_TIMEOUT_S = 2.0
LEASE_MARGIN_S = 0.2
CONTEST_HOLD_S = 6.0


@dataclass(frozen=True, slots=True)
class OwnedShard:
    """A shard that this daemon owns by the journal.

    Attributes:
        pool: Pool of the shard.
        epoch: Epoch of the ownership.
        usable_at: When the lease of the owner before has surely lapsed, on
            the monotonic clock in seconds.
        succeeds_unreleased: Whether the owner before did not give it up.
    """

    pool: str
    epoch: int
    usable_at: float
    succeeds_unreleased: bool = False


class Ownership:
    """Claims shards of this zone and guards their leases.

    The lease is confirmed by each read of the journal's head: a claim by
    another host is on the log before that host may use it, and it waits a
    whole lease before it does. While the log is out, promises of all other
    entry hosts of the zone confirm it instead.

    Args:
        journal: The zone's ``Journal``.
        members: ``Members`` as heard of.
        promises: ``Promises`` given and received.
        copies: ``CopyStore`` of other holders' entries.
        name: This entry host.
        zone: Its availability zone.
        incarnation: This process.
        lease_s: Length of the lease, in seconds.
        clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        journal,
        members,
        promises,
        copies,
        name,
        zone,
        incarnation,
        lease_s,
        clock,
    ):
        self._journal = journal
        self._members = members
        self._promises = promises
        self._copies = copies
        self._name = name
        self._zone = zone
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._clock = clock
        self._started_at = clock()
        self._owned = {}
        self._contests = {}
        self.is_leaving = False

    @property
    def owned(self):
        """Owned shards by pool."""
        return self._owned

    def acts_for(self, pool, now):
        """Whether this daemon serves a shard's idempotent work."""
        if self.is_leaving:
            return pool in self._owned
        return self.acting_owner(pool, now) == self._name

    def acting_owner(self, pool, now):
        """Returns the live entry host that serves a shard.

        The journal's holder serves while it is live; else the rendezvous
        choice among the live ones does.
        """
        owner = self._journal.state.ownership(pool)
        if not owner.is_released and self._is_holder_live(owner, now):
            return owner.holder
        return self._choice(pool, now)

    def check_lease(self, pool, epoch, now):
        """Checks that non-idempotent work may be started.

        Args:
            pool: Pool of the shard.
            epoch: Epoch under which the work was recorded.
            now: Present time on the monotonic clock, in seconds.

        Raises:
            LeaseLost: The ownership has ended or may have.
        """
        owned = self._owned.get(pool)
        if owned is None or owned.epoch != epoch or not self._is_mine(pool, epoch):
            raise LeaseLost(f"shard {pool} has another owner")
        if now < owned.usable_at:
            raise LeaseLost(f"shard {pool} may still be in use by its owner before")
        if not self.has_lease(now):
            raise LeaseLost(f"lease of shard {pool} is not confirmed by the log")

    @property
    def may_claim(self):
        """Whether this daemon may come to own a shard."""
        return not self.is_leaving

    def has_lease(self, now):
        """Whether the lease of the owned shards is confirmed."""
        by_log = self._journal.follower.confirmed_at + self._lease_s - LEASE_MARGIN_S
        return now < by_log or now < self._promises.unanimous_until()

    async def run(self, pools):
        """Claims and renews shards until cancelled.

        Args:
            pools: Function that returns the pools of this zone.
        """
        while True:
            now = self._clock()
            self._drop_lost(now)
            if self._journal.follower.is_caught_up and not self.is_leaving:
                for pool in pools():
                    await self._tend(pool, now)
            await anyio.sleep(CHECK_INTERVAL_S)

    async def release_all(self):
        """Gives up every owned shard."""
        self.is_leaving = True
        now = self._clock()
        # The next owner may be at work as soon as a release is on the log.
        released, self._owned = self._owned, {}
        for owned in released.values():
            if now < owned.usable_at:
                # The owner before may still be at work, so the next has to wait.
                continue
            entry = Release(pool=owned.pool, epoch=owned.epoch)
            try:
                await self._journal.append(entry, CLAIM_TIMEOUT_S)
            except (JournalUnavailable, EntryFenced):
                pass

    def may_miss_claims(self, peer, journal_offset):
        """Whether another host's claim may be unknown to a peer.

        Args:
            peer: The entry host.
            journal_offset: Offset of the next journal record that it applies.
        """
        return any(
            owner.holder != peer and journal_offset <= owner.claimed_offset
            for owner in self._journal.state.shards.values()
            if owner.epoch > 0
        )

    async def _tend(self, pool, now):
        owner = self._journal.state.ownership(pool)
        if pool in self._owned:
            return
        if self._is_mine(pool, owner.epoch):
            self._adopt(pool, owner, now)
            return
        if not owner.is_released and self._is_holder_live(owner, now):
            return
        if self._choice(pool, now) == self._name and self._may_contest(
            pool, owner, now
        ):
            await self._claim(pool, owner)

    def _may_contest(self, pool, owner, now):
        # One that is cut off from its peers, but not from the log, must not
        # claim back at once what they claimed from it.
        contests = self._contests.get(pool, 0)
        if contests == 0 or self._members.live_in_zone(self._zone, now):
            return True
        quiet_s = now - self._journal.last_seen(owner.holder, owner.incarnation)
        return quiet_s > CONTEST_HOLD_S * 2 ** min(contests - 1, 4)

    async def _claim(self, pool, owner):
        # Entries that the holder copied here while the log was out go before
        # the claim, which makes its later entries void.
        for entry in self._copies.missing_entries(pool, owner.holder):
            self._journal.append_nowait(entry)
        claim = self._make_claim(pool, owner)
        try:
            await self._journal.append(claim, CLAIM_TIMEOUT_S)
        except (EntryFenced, JournalUnavailable):
            return
        self._adopt(pool, self._journal.state.ownership(pool), self._clock())

    def _make_claim(self, pool, owner):
        state = self._journal.state
        # Offsets grow faster than epochs, so this one is above any before.
        is_forced = state.is_partial and owner.epoch == 0
        return Claim(
            pool=pool,
            epoch=state.next_offset + 1 if is_forced else owner.epoch + 1,
            holder=self._name,
            incarnation=self._incarnation,
            is_forced=is_forced,
        )

    def _adopt(self, pool, owner, now):
        if not self._is_mine(pool, owner.epoch):
            return
        usable_at = now
        if owner.succeeds_unreleased:
            # By then the lease of any owner before has lapsed, and so have
            # all promises that were given before this claim was seen.
            usable_at = now + self._lease_s + PROMISE_MARGIN_S
        self._owned[pool] = OwnedShard(
            pool, owner.epoch, usable_at, owner.succeeds_unreleased
        )

    def renew(self):
        """Queues renewals and open works of every owned shard.

        They are carried over before the log drops their first records.
        """
        for owned in self._owned.values():
            for work in self._journal.state.open_work_items(owned.pool):
                for entry in (work.job, work.started):
                    if entry is not None:
                        carried = msgspec.structs.replace(entry, epoch=owned.epoch)
                        self._journal.append_nowait(carried)
            entry = Renewal(
                pool=owned.pool,
                epoch=owned.epoch,
                holder=self._name,
                incarnation=self._incarnation,
            )
            self._journal.append_nowait(entry)

    def _drop_lost(self, now):
        for pool, owned in list(self._owned.items()):
            if not self._is_mine(pool, owned.epoch):
                del self._owned[pool]
                self._note_contest(pool, now)

    def _note_contest(self, pool, now):
        owner = self._journal.state.ownership(pool)
        if self._is_holder_live(owner, now):
            self._contests.pop(pool, None)
        else:
            self._contests[pool] = self._contests.get(pool, 0) + 1

    def _is_mine(self, pool, epoch):
        owner = self._journal.state.ownership(pool)
        return (
            owner.epoch == epoch
            and owner.holder == self._name
            and owner.incarnation == self._incarnation
            and not owner.is_released
        )

    def _is_holder_live(self, owner, now):
        if owner.holder == self._name:
            return owner.incarnation == self._incarnation
        member = self._members.by_name.get(owner.holder)
        if member is None and now - self._started_at < MEMBER_TIMEOUT_S:
            # There was no time yet to hear of it.
            return True
        if member is None or not self._members.is_live(owner.holder, now):
            return False
        # One that leaves serves until it has released.
        return member.heartbeat.incarnation == owner.incarnation

    def _choice(self, pool, now):
        names = self._members.live_in_zone(self._zone, now)
        if not self.is_leaving:
            names.append(self._name)
        return choose_by_hash(f"{self._zone}/{pool}", names)
