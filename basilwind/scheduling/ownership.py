"""Which daemon holds which duty, and when a daemon should claim one.

A duty is the ownership of a pool or the planning of the fleet. Its holder is the daemon
that last claimed it with a conditional append to the store; the offset of that append
gives a monotonically increasing fencing token. Holders append heartbeats. A holder
whose heartbeats are missing while the store answers is considered gone.

Load pattern: a zone with the owner of a pool is cut off at the height of the pool's
burst, and until it has another owner none of its work starts. A holder with an overdue
heartbeat is therefore asked directly. If it does not answer, or lacks the store, it
counts as gone earlier than one that nobody could ask.
"""

import math
from dataclasses import dataclass, field

from basilwind.scheduling.outages import SUSPECT_AFTER_S

HEARTBEAT_S = 0.5  # two may be missed before a holder counts as gone
HOLDER_SILENCE_S = 1.7  # lets a successor take over before 5 s leases expire
HEARTBEAT_OVERDUE_S = 0.75  # one heartbeat is missing; its holder is asked
QUERY_INTERVAL_S = 0.3  # between two questions to one holder; the time for an answer
# Silence of a holder that does not answer either. A slow store delays heartbeats by
# 0.4 s, but not the holder's answer.
UNRESPONSIVE_HOLDER_SILENCE_S = 1.0
MAX_STORE_SILENCE_S = 3.5  # leases are not extended after this long without the store
DUTY_DELAY_S = 0.2  # for each duty held, so that idle daemons claim first
MAX_DUTY_DELAY_S = 1.0  # for each duty held by a slow host
SLOW_HOST_DELAY_S = 0.2  # for each 100% by which the fastest host is faster
MAX_SLOW_HOST_DELAY_S = 0.65  # a fast host with three duties still claims earlier
FASTEST_HOST_CORES = 2.2  # fastest entry host of the deployments
LOST_DUTY_DELAY_S = 0.5  # limits how often a persistent error repeats
UNKNOWN_HOLDER = "?"  # a later claim exists that has not been read yet
CLAIM_JITTER_S = 0.2  # spreads the claims of otherwise equal daemons
PAST_CLAIM_S = 15.0  # longer than the runs of a previous owner without a record last


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim of a duty by a daemon.

    Attributes:
        holder: Incarnation of the daemon; empty if it released the duty.
        address: HOST:PORT of the daemon for calls of its peers.
        token: Fencing token.
        zone: The holder's availability zone.
        is_settled: Whether a holder that released the duty knew all that previous ones
            had started.
        has_predecessor: Whether another holder might still have been active when the
            claim was made.
    """

    holder: str
    address: str
    token: int
    zone: str = ""
    is_settled: bool = True
    has_predecessor: bool = False


def is_same_daemon(holder, other):
    """Returns whether two incarnations are runs of one daemon."""
    return holder.partition("#")[0] == other.partition("#")[0]


def may_still_be_active(previous, claim):
    """Returns whether a previous holder of a duty may still act on it.

    None does if the last one released the duty and knew what others before it had
    started, or if the new holder is a later incarnation of the same daemon and that one
    had no predecessor.

    Args:
        previous: ``Claim`` of the previous holder.
        claim: ``Claim`` of the new holder.
    """
    if not claim.holder:
        return False
    if not previous.holder:
        return not previous.is_settled
    if not is_same_daemon(previous.holder, claim.holder):
        return True
    return previous.has_predecessor


def may_extend_leases(confirmed_at, now):
    """Returns whether a pool's owner may still grant and extend leases.

    A new owner waits for leases that were extended until ``MAX_STORE_SILENCE_S`` after
    it announced its claim, and then starts the tasks elsewhere.

    Args:
        confirmed_at: Boot time at which the latest call was sent whose answer showed
            that no claim had been announced which is unknown here.
        now: Boot time in seconds.
    """
    return now - confirmed_at < MAX_STORE_SILENCE_S


def has_reached_store(confirmed_at, now):
    """Returns whether the store answered so lately that no duty was taken over since.

    Args:
        confirmed_at: Boot time at which the latest call that the store answered was
            sent.
        now: Boot time in seconds.
    """
    return now - confirmed_at < UNRESPONSIVE_HOLDER_SILENCE_S


def is_sole_holder(confirmed_at, is_outage_confirmed, now):
    """Returns whether no other daemon can have taken over this daemon's duties.

    Args:
        confirmed_at: Boot time at which the latest call that the store answered was
            sent.
        is_outage_confirmed: Whether daemons in other zones do not reach the store
            either, so that none can claim a duty.
        now: Boot time in seconds.
    """
    if has_reached_store(confirmed_at, now):
        return True
    return is_outage_confirmed and may_extend_leases(confirmed_at, now)


def claim_delay_s(cpu_cores, duties):
    """Returns how long a daemon waits before it claims a free duty, seconds.

    Load pattern: next to entry hosts of two cores there are four times as many of half
    a core, which the burst of a single pool uses up. A fast host with two duties serves
    a third one better than a slow host serves its first.

    Args:
        cpu_cores: Speed of the host, cores.
        duties: Number of duties that the daemon holds.
    """
    slowdown = max(1.0, FASTEST_HOST_CORES / cpu_cores)
    speed_delay_s = min(MAX_SLOW_HOST_DELAY_S, SLOW_HOST_DELAY_S * (slowdown - 1))
    return speed_delay_s + duties * min(MAX_DUTY_DELAY_S, DUTY_DELAY_S * slowdown)


@dataclass
class DutyTable:
    """A daemon's view of all duties.

    Args:
        incarnation: Id of this run of the daemon: name of the host, ``#`` and a suffix.
        host: Name of this entry host.

    Attributes:
        claims: Newest ``Claim`` by duty.
        last_heartbeat_at: Boot time at which a heartbeat was last read, by holder.
        previous_claims: ``Claim`` that the newest one replaced, by duty, if its holder
            or one before it may still be active.
        handed_over: Duties that the previous holder released, or that had no holder.
    """

    incarnation: str
    host: str
    claims: dict[str, Claim] = field(default_factory=dict)
    last_heartbeat_at: dict[str, float] = field(default_factory=dict)
    previous_claims: dict[str, Claim] = field(default_factory=dict)
    handed_over: set[str] = field(default_factory=set)
    _free_since: dict[str, float] = field(default_factory=dict)
    # Boot times of the last question to a holder, and of the last one without success.
    _asked_at: dict[str, float] = field(default_factory=dict)
    _unresponsive_at: dict[str, float] = field(default_factory=dict)
    # Holders that have been replaced by a later incarnation.
    _replaced: set[str] = field(default_factory=set)
    # Duty, ``Claim`` and boot time of its replacement, the oldest first.
    _past_claims: list[tuple[str, Claim, float]] = field(default_factory=list)

    def apply_claim(self, duty, claim, now):
        """Applies a claim or a release, unless a later claim is known."""
        known = self.claims.get(duty)
        if known is not None and (
            claim.token < known.token or (claim.token == known.token and claim.holder)
        ):
            return
        if known is not None and may_still_be_active(known, claim):
            self.previous_claims[duty] = known
        elif claim.holder:
            self.previous_claims.pop(duty, None)
        if claim.holder and (known is None or (not known.holder and known.is_settled)):
            self.handed_over.add(duty)
        elif claim.holder:
            self.handed_over.discard(duty)
        self._remember_past_claim(duty, now)
        self.claims[duty] = claim
        self._free_since.pop(duty, None)
        self.last_heartbeat_at.setdefault(claim.holder, now)
        if claim.holder:
            self.last_heartbeat_at[claim.holder] = max(
                self.last_heartbeat_at[claim.holder], now
            )

    def _remember_past_claim(self, duty, now):
        self._past_claims = [
            past for past in self._past_claims if now - past[2] < PAST_CLAIM_S
        ]
        known = self.claims.get(duty)
        if known is not None:
            self._past_claims.append((duty, known, now))

    def outage_witnesses(self, duty, now):
        """Returns the claims of daemons that can have confirmed an outage to previous
        holders of a duty: recent holders of any duty, except in their own zone.

        Args:
            duty: Name of the duty.
            now: Boot time in seconds.
        """
        past = [past for past in self._past_claims if now - past[2] < PAST_CLAIM_S]
        zones = {claim.zone for name, claim, _ in past if name == duty and claim.holder}
        excluded_zone = zones.pop() if len(zones) == 1 else ""
        claims = [claim for _, claim, _ in past] + list(self.claims.values())
        witnesses = {
            claim.holder: claim
            for claim in claims
            if claim.address and claim.holder != self.incarnation
        }
        return [
            claim
            for claim in witnesses.values()
            if not excluded_zone or claim.zone != excluded_zone
        ]

    def mark_lost(self, duty, now):
        """Drops this daemon's claim; its token was refused or its work failed.

        This daemon may claim the duty again later, under a new token, if nobody has
        claimed it meanwhile.
        """
        claim = self.claims[duty]
        self._remember_past_claim(duty, now)
        self.claims[duty] = Claim(UNKNOWN_HOLDER, "", claim.token)
        self._free_since[duty] = now + LOST_DUTY_DELAY_S

    def apply_heartbeat(self, holder, now):
        """Records a holder's heartbeat."""
        self.last_heartbeat_at[holder] = now

    def _heard_at(self, holder, heartbeats_reliable_since):
        return max(self.last_heartbeat_at.get(holder, 0.0), heartbeats_reliable_since)

    def holders_to_ask(
        self, wanted, heartbeats_reliable_since, heartbeats_read_at, now
    ):
        """Returns the ``Claim`` of each holder that should be asked now.

        Args:
            wanted: Names of the duties that need a holder.
            heartbeats_reliable_since: As for ``is_free``.
            heartbeats_read_at: As for ``is_free``.
            now: Boot time in seconds.
        """
        due = {}
        for duty in wanted:
            claim = self.claims.get(duty)
            if claim is None or not claim.address or claim.holder == self.incarnation:
                continue
            heard_at = self._heard_at(claim.holder, heartbeats_reliable_since)
            silence_s = heartbeats_read_at - heard_at
            asked_at = self._asked_at.get(claim.holder, -math.inf)
            if silence_s > HEARTBEAT_OVERDUE_S and now - asked_at > QUERY_INTERVAL_S:
                due[claim.holder] = claim
        for holder in due:
            self._asked_at[holder] = now
        return list(due.values())

    def apply_answer(self, holder, incarnation, store_silence_s, now):
        """Applies a holder's answer to the question whether it still acts.

        Args:
            holder: Incarnation that made the claim.
            incarnation: Incarnation that answered; empty if there was no answer.
            store_silence_s: Seconds since the store last answered it.
            now: Boot time at which it was asked.
        """
        if incarnation and incarnation != holder:
            self._replaced.add(holder)
        elif not incarnation or store_silence_s > SUSPECT_AFTER_S:
            self._unresponsive_at[holder] = now
        else:
            self._unresponsive_at.pop(holder, None)

    def held_duties(self):
        """Returns the fencing tokens of this daemon's duties, by duty."""
        return {
            duty: claim.token
            for duty, claim in self.claims.items()
            if claim.holder == self.incarnation
        }

    def is_free(self, duty, heartbeats_reliable_since, heartbeats_read_at):
        """Returns whether a duty has no live holder.

        Args:
            duty: Name of the duty.
            heartbeats_reliable_since: Boot time since which no heartbeat can have been
                missed: the store answered all reads, and this process did not pause.
            heartbeats_read_at: Boot time up to which heartbeats have been read. While
                the store answers nobody, no holder becomes silent.
        """
        claim = self.claims.get(duty)
        if claim is None or not claim.holder:
            return True
        if claim.holder == self.incarnation:
            return False
        if claim.holder.partition("#")[0] == self.host:
            # A previous incarnation of this daemon.
            return True
        if claim.holder in self._replaced:
            return True
        heard_at = self._heard_at(claim.holder, heartbeats_reliable_since)
        silence_s = heartbeats_read_at - heard_at
        is_unresponsive = self._unresponsive_at.get(claim.holder, 0.0) > heard_at
        if is_unresponsive and silence_s > UNRESPONSIVE_HOLDER_SILENCE_S:
            return True
        return silence_s > HOLDER_SILENCE_S

    def duty_to_claim(
        self, wanted, cpu_cores, heartbeats_reliable_since, heartbeats_read_at, now
    ):
        """Returns a duty that this daemon should claim now, or None.

        Daemons on fast hosts with few duties claim first; the others find the duty
        taken when their delay has passed.

        Args:
            wanted: Names of the duties that need a holder.
            cpu_cores: Speed of this entry host, cores.
            heartbeats_reliable_since: As for ``is_free``.
            heartbeats_read_at: As for ``is_free``.
            now: Boot time in seconds.
        """
        delay = claim_delay_s(cpu_cores, len(self.held_duties()))
        for duty in wanted:
            if not self.is_free(duty, heartbeats_reliable_since, heartbeats_read_at):
                self._free_since.pop(duty, None)
                continue
            since = self._free_since.setdefault(duty, now)
            if now - since >= delay + CLAIM_JITTER_S * _jitter_fraction(
                self.host, duty
            ):
                return duty
        return None


def _jitter_fraction(host, duty):
    """Returns a number from 0 to 1 derived from the names of a host and a duty."""
    value = 0
    for byte in f"{host}/{duty}".encode():
        value = (value * 131 + byte) % 65521
    return value / 65521
