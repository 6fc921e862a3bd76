"""Ownership of a zone's shards: claims, leases and who serves a shard."""

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
RECLAIM_BACKOFF_S = 6.0  # doubles with each further loss, up to 16 times as long


@dataclass(frozen=True, slots=True)
class OwnedShard:
    """A shard that this daemon owns according to the journal.

    Attributes:
        pool: Pool of the shard.
        epoch: Epoch of the ownership.
        usable_at: When the lease of the previous owner is certain to have expired,
            on the monotonic clock in seconds.
        succeeds_unreleased: Whether the previous owner may not have released the
            shard; see ``ShardOwnership``.
    """

    pool: str
    epoch: int
    usable_at: float
    succeeds_unreleased: bool = False


class Ownership:
    """Claims shards of this zone and checks their leases.

    Each read up to the journal's end confirms the leases: another host must have
    its claim on the log before it uses a shard, and then waits for the length of a
    lease. While the log is unavailable, promises from all other entry hosts of the
    zone confirm the leases instead.

    Args:
        journal: The zone's ``Journal``.
        members: ``Members``, to tell which hosts are live.
        promises: ``Promises`` received from the zone's other entry hosts.
        copy_store: ``CopyStore`` with journal entries of other hosts.
        own_name: Name of this entry host.
        own_zone: Availability zone of this entry host.
        incarnation: Id of this process.
        lease_s: Length of the lease, in seconds.
        clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        journal,
        members,
        promises,
        copy_store,
        own_name,
        own_zone,
        incarnation,
        lease_s,
        clock,
    ):
        self._journal = journal
        self._members = members
        self._promises = promises
        self._copy_store = copy_store
        self._own_name = own_name
        self._own_zone = own_zone
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._clock = clock
        self._started_at = clock()
        self._owned = {}
        self._lost_claims = {}
        self.is_leaving = False

    @property
    def owned(self):
        """``OwnedShard`` of each owned shard, by pool."""
        return self._owned

    def acts_for(self, pool, now):
        """Whether this daemon serves a shard's idempotent requests."""
        if self.is_leaving:
            return pool in self._owned
        return self.acting_owner(pool, now) == self._own_name

    def acting_owner(self, pool, now):
        """Returns the name of the live entry host that serves a shard.

        This is the holder according to the journal while it is live, else the
        live entry host that rendezvous hashing chooses.
        """
        owner = self._journal.state.ownership(pool)
        if not owner.is_released and self._is_holder_live(owner, now):
            return owner.holder
        return self._preferred_owner(pool, now)

    def check_lease(self, pool, epoch, now):
        """Checks that this daemon may start non-idempotent work of a shard.

        Args:
            pool: Pool of the shard.
            epoch: Ownership epoch under which the work was recorded.
            now: Current time on the monotonic clock, in seconds.

        Raises:
            LeaseLost: The ownership has ended, or may have, or may not be used yet.
        """
        owned = self._owned.get(pool)
        if owned is None or owned.epoch != epoch or not self._owns(pool, epoch):
            raise LeaseLost(f"shard {pool} has another owner")
        if now < owned.usable_at:
            raise LeaseLost(f"shard {pool} may still be in use by its previous owner")
        if not self.has_lease(now):
            raise LeaseLost(
                f"lease of shard {pool} is confirmed by neither the log nor the peers"
            )

    @property
    def may_claim(self):
        """Whether this daemon may claim shards."""
        return not self.is_leaving

    def has_lease(self, now):
        """Whether the leases of the owned shards are confirmed at ``now``."""
        confirmed_by_log_until = (
            self._journal.follower.confirmed_at + self._lease_s - LEASE_MARGIN_S
        )
        return now < confirmed_by_log_until or now < self._promises.all_promised_until()

    async def run(self, get_pools):
        """Claims shards and drops those lost to other hosts, until cancelled.

        Args:
            get_pools: Function that returns the pools of this zone.
        """
        while True:
            now = self._clock()
            self._drop_lost_shards(now)
            if self._journal.follower.is_caught_up and not self.is_leaving:
                for pool in get_pools():
                    await self._update_ownership(pool, now)
            await anyio.sleep(CHECK_INTERVAL_S)

    async def release_all(self):
        """Stops claiming shards and releases every owned one."""
        self.is_leaving = True
        now = self._clock()
        # Not owned any more before the release is sent: the next owner may use the
        # shard as soon as the release is on the log.
        released, self._owned = self._owned, {}
        for owned in released.values():
            if now < owned.usable_at:
                # The previous owner may still be using the shard. Without a release,
                # the next owner has to wait as well.
                continue
            entry = Release(pool=owned.pool, epoch=owned.epoch)
            try:
                await self._journal.append(entry, CLAIM_TIMEOUT_S)
            except (JournalUnavailable, EntryFenced):
                pass

    def may_miss_claims(self, peer, journal_offset):
        """Whether a peer may not have read the latest claim of another host.

        Args:
            peer: Name of the peer.
            journal_offset: Offset of the next journal record that the peer applies.
        """
        return any(
            owner.holder != peer and journal_offset <= owner.claimed_offset
            for owner in self._journal.state.shards.values()
            if owner.epoch > 0
        )

    async def _update_ownership(self, pool, now):
        owner = self._journal.state.ownership(pool)
        if pool in self._owned:
            return
        if self._owns(pool, owner.epoch):
            self._start_owning(pool, owner, now)
            return
        if not owner.is_released and self._is_holder_live(owner, now):
            return
        if self._preferred_owner(pool, now) == self._own_name and self._may_reclaim(
            pool, owner, now
        ):
            await self._claim(pool, owner)

    def _may_reclaim(self, pool, owner, now):
        # A host that is cut off from its peers, but not from the log, must not
        # immediately reclaim the shards that they claimed from it. It waits until the
        # holder has written nothing to the journal for a while, longer each time.
        lost_claims = self._lost_claims.get(pool, 0)
        if lost_claims == 0 or self._members.live_in_zone(self._own_zone, now):
            return True
        silence_s = now - self._journal.last_seen(owner.holder, owner.incarnation)
        return silence_s > RECLAIM_BACKOFF_S * 2 ** min(lost_claims - 1, 4)

    async def _claim(self, pool, owner):
        # Entries that the holder copied here during a log outage have to precede the
        # claim: once it is on the log, entries of the previous epoch are rejected.
        for entry in self._copy_store.missing_entries(pool, owner.holder):
            self._journal.append_nowait(entry)
        claim = self._make_claim(pool, owner)
        try:
            await self._journal.append(claim, CLAIM_TIMEOUT_S)
        except (EntryFenced, JournalUnavailable):
            return
        self._start_owning(pool, self._journal.state.ownership(pool), self._clock())

    def _make_claim(self, pool, owner):
        state = self._journal.state
        # Without the journal's beginning, the latest epoch is unknown. Offsets grow
        # faster than epochs, so the next offset is above every earlier epoch.
        is_forced = state.is_partial and owner.epoch == 0
        return Claim(
            pool=pool,
            epoch=state.next_offset + 1 if is_forced else owner.epoch + 1,
            holder=self._own_name,
            incarnation=self._incarnation,
            is_forced=is_forced,
        )

    def _start_owning(self, pool, owner, now):
        if not self._owns(pool, owner.epoch):
            return
        usable_at = now
        if owner.succeeds_unreleased:
            # By then the leases of all previous owners have expired, and so have all
            # promises that were made before this claim was read.
            usable_at = now + self._lease_s + PROMISE_MARGIN_S
        self._owned[pool] = OwnedShard(
            pool, owner.epoch, usable_at, owner.succeeds_unreleased
        )

    def renew(self):
        """Queues a renewal and the open work items of every owned shard.

        This keeps them in the journal when the log drops the original records.
        """
        for owned in self._owned.values():
            for work_item in self._journal.state.open_work_items(owned.pool):
                for entry in (work_item.job, work_item.started):
                    if entry is not None:
                        repeated = msgspec.structs.replace(entry, epoch=owned.epoch)
                        self._journal.append_nowait(repeated)
            entry = Renewal(
                pool=owned.pool,
                epoch=owned.epoch,
                holder=self._own_name,
                incarnation=self._incarnation,
            )
            self._journal.append_nowait(entry)

    def _drop_lost_shards(self, now):
        for pool, owned in list(self._owned.items()):
            if not self._owns(pool, owned.epoch):
                del self._owned[pool]
                self._count_lost_claim(pool, now)

    def _count_lost_claim(self, pool, now):
        # Losing a shard to a holder that does not seem live suggests that this host is
        # cut off from its peers; see _may_reclaim.
        owner = self._journal.state.ownership(pool)
        if self._is_holder_live(owner, now):
            self._lost_claims.pop(pool, None)
        else:
            self._lost_claims[pool] = self._lost_claims.get(pool, 0) + 1

    def _owns(self, pool, epoch):
        owner = self._journal.state.ownership(pool)
        return (
            owner.epoch == epoch
            and owner.holder == self._own_name
            and owner.incarnation == self._incarnation
            and not owner.is_released
        )

    def _is_holder_live(self, owner, now):
        if owner.holder == self._own_name:
            return owner.incarnation == self._incarnation
        member = self._members.by_name.get(owner.holder)
        if member is None and now - self._started_at < MEMBER_TIMEOUT_S:
            # This process has not run long enough to have received its heartbeat.
            return True
        if member is None or not self._members.is_live(owner.holder, now):
            return False
        # A host that is shutting down serves its shards until it has released them.
        return member.heartbeat.incarnation == owner.incarnation

    def _preferred_owner(self, pool, now):
        names = self._members.live_in_zone(self._own_zone, now)
        if not self.is_leaving:
            names.append(self._own_name)
        return choose_by_hash(f"{self._own_zone}/{pool}", names)
