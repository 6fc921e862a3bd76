"""Who holds which duty, and when a daemon should claim one.

A duty is the ownership of a pool, or the planning of the fleet. Its holder is
the daemon that last claimed it with a conditional append; the offset of that
append makes a fencing token that only rises. The holder of any duty appends a
heartbeat; a holder whose heartbeats are missing while the store answers is taken
to be gone.
"""

from dataclasses import dataclass, field

HEARTBEAT_S = 0.5  # two may be missed before a holder counts as gone
HOLDER_SILENCE_S = 1.7  # a successor is at work before 5 s leases run out
LOAD_DELAY_S = 0.2  # for each duty held, so that idle daemons claim first
MAX_LOAD_DELAY_S = 1.0  # for each duty held by a weak host
WEAKNESS_DELAY_S = 0.2  # for each time that the strongest host is faster
MAX_WEAKNESS_DELAY_S = 0.65  # after a strong host with three duties
STRONGEST_CORES = 2.2  # fastest machine of the deployments
UNKNOWN_HOLDER = "?"  # a later claim exists that was not read yet
STAGGER_S = 0.2  # spreads daemons that are equal in all else


@dataclass(frozen=True, slots=True)
class Claim:
    """A duty's newest claim.

    Attributes:
        holder: The daemon's incarnation; empty if it was handed back.
        address: HOST:PORT for calls of peers.
        token: Fencing token.
        zone: The holder's availability zone.
    """

    holder: str
    address: str
    token: int
    zone: str = ""


def may_be_at_work(former, claim):
    """Tells whether a duty's former holder may be at work beside the new one.

    It isn't if it gave the duty back, or if the new holder is a later life of it.
    """
    if not former.holder or not claim.holder:
        return False
    return former.holder.partition("#")[0] != claim.holder.partition("#")[0]


def claim_delay_s(strength, duties):
    """Returns how long a daemon leaves a free duty to others.

    Load pattern: hosts of two cores stand beside four times as many of half a core,
    on which one pool in its turn takes all. A strong host with two duties does more
    for a third one than a weak host that has none.

    Args:
        strength: Speed of the host, cores.
        duties: How many duties the daemon holds.
    """
    times_slower = max(1.0, STRONGEST_CORES / strength)
    weakness = min(MAX_WEAKNESS_DELAY_S, WEAKNESS_DELAY_S * (times_slower - 1))
    return weakness + duties * min(MAX_LOAD_DELAY_S, LOAD_DELAY_S * times_slower)


@dataclass
class DutyTable:
    """What a daemon knows of all duties.

    Args:
        me: This daemon's incarnation.
        host: Name of this entry host, with which its incarnations begin.

    Attributes:
        claims: ``Claim`` by duty.
        heard_at: When a heartbeat of a holder was last read; boot time.
        previous_claims: Claim that the newest one replaced, by duty, where its holder
            may be at work still.
        handed_over: Duties that the former holder gave back, or that had none.
    """

    me: str
    host: str
    claims: dict[str, Claim] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    previous_claims: dict[str, Claim] = field(default_factory=dict)
    handed_over: set[str] = field(default_factory=set)
    _free_since: dict[str, float] = field(default_factory=dict)

    def apply_claim(self, duty, claim, now):
        """Takes over a claim, unless a later one is known."""
        known = self.claims.get(duty)
        if known is not None and (
            claim.token < known.token or (claim.token == known.token and claim.holder)
        ):
            return
        if known is not None and may_be_at_work(known, claim):
            self.previous_claims[duty] = known
        elif claim.holder:
            self.previous_claims.pop(duty, None)
        if claim.holder and (known is None or not known.holder):
            self.handed_over.add(duty)
        elif claim.holder:
            self.handed_over.discard(duty)
        self.claims[duty] = claim
        self._free_since.pop(duty, None)
        self.heard_at.setdefault(claim.holder, now)
        if claim.holder:
            self.heard_at[claim.holder] = max(self.heard_at[claim.holder], now)

    def mark_lost(self, duty):
        """Drops this daemon's claim after a refusal for a lower token."""
        claim = self.claims[duty]
        self.claims[duty] = Claim(UNKNOWN_HOLDER, "", claim.token)

    def apply_heartbeat(self, holder, now):
        """Takes note of a holder's heartbeat."""
        self.heard_at[holder] = now

    def held_duties(self):
        """Returns the duties that this daemon holds, with their tokens."""
        return {
            duty: claim.token
            for duty, claim in self.claims.items()
            if claim.holder == self.me
        }

    def is_free(self, duty, store_well_since, now):
        """Tells whether a duty has no living holder.

        Args:
            duty: Name of the duty.
            store_well_since: Since when the store has answered all reads.
            now: Boot time in seconds.
        """
        claim = self.claims.get(duty)
        if claim is None or not claim.holder:
            return True
        if claim.holder == self.me:
            return False
        if claim.holder.partition("#")[0] == self.host:
            # A former incarnation of this daemon.
            return True
        heard_at = max(self.heard_at.get(claim.holder, 0.0), store_well_since)
        return now - heard_at > HOLDER_SILENCE_S

    def duty_to_claim(self, wanted, strength, store_well_since, now):
        """Returns a duty that this daemon should claim now, or None.

        Strong daemons with few duties claim first; the others find the duty
        taken when their delay is over.
        """
        delay = claim_delay_s(strength, len(self.held_duties()))
        for duty in wanted:
            if not self.is_free(duty, store_well_since, now):
                self._free_since.pop(duty, None)
                continue
            since = self._free_since.setdefault(duty, now)
            if now - since >= delay + STAGGER_S * _spread(self.host, duty):
                return duty
        return None


def _spread(host, duty):
    """Returns a number from 0 to 1 that differs by host and duty."""
    value = 0
    for byte in f"{host}/{duty}".encode():
        value = (value * 131 + byte) % 65521
    return value / 65521
