"""What the owners of all pools may hold of the customers' maximums."""

from dataclasses import dataclass, field

import msgspec

from basilwind.checked_json import Count, decode_json
from basilwind.errors import RecordInvalid
from basilwind.scheduling.fleet import Resources
from basilwind.scheduling.quota import (
    NOTHING,
    UNBOUNDED,
    Amount,
    GrantRow,
    UseRow,
    combine,
    count_within,
    has_limit,
    is_within,
    limit_of,
    multiply,
    subtract,
)

TURN_S = 2.0  # longer than the exchanges that move an amount between two pools
UNKNOWN = Resources(UNBOUNDED, UNBOUNDED, UNBOUNDED)


class LedgerRecord(msgspec.Struct):
    """The granter's journal of a pool.

    Attributes:
        token: Highest fencing token of an owner that has reported.
        number: Number of its last report.
        entries: What the pool's owner may hold, by customer.
    """

    token: Count
    number: Count
    entries: dict[str, Amount]


@dataclass(slots=True)
class _PoolEntry:
    token: int = 0
    number: int = 0
    entries: dict[str, Resources] = field(default_factory=dict)
    rows: dict[str, UseRow] = field(default_factory=dict)
    # What the last answer was computed from, by customer.
    answered: dict[str, tuple] = field(default_factory=dict)


def share_fairly(total, wishes):
    """Divides an amount by max-min fairness.

    Args:
        total: Amount to divide.
        wishes: Wished amounts.

    Returns:
        Shares in the same order; their sum is at most ``total``.
    """
    shares = [0] * len(wishes)
    order = sorted(range(len(wishes)), key=lambda index: wishes[index])
    left = max(0, total)
    for position, index in enumerate(order):
        shares[index] = min(wishes[index], left // (len(order) - position))
        left -= shares[index]
    return shares


def divide(maximum, needs, held):
    """Divides a maximum among pools.

    Needs come first. Of the rest, each pool is topped up to its part of one half of the
    maximum, so that a burst starts without a call. Then pools keep what they hold.

    Args:
        maximum: Amount to divide.
        needs: What each pool needs.
        held: What each pool holds.

    Returns:
        Targets in the same order; their sum is at most ``maximum``.
    """
    targets = share_fairly(maximum, needs)
    even = maximum // 2 // max(1, len(needs))
    for wanted in ([even] * len(needs), held):
        wishes = [
            max(0, want - target) for want, target in zip(wanted, targets, strict=True)
        ]
        extra = share_fairly(maximum - sum(targets), wishes)
        targets = [target + more for target, more in zip(targets, extra, strict=True)]
    return targets


class QuotaLedger:
    """Upper bounds of what the owner of each pool may hold for each customer.

    Each answer to a report is computed such that the bounds of a customer together stay
    within its maximum. They are lowered only by reports.

    Args:
        find_customer: Returns the ``Customer`` of a name, or None.
    """

    def __init__(self, find_customer):
        self._find_customer = find_customer
        self._pools = {}
        # Number of changes of what is known of a customer. Answers are computed anew
        # only after a change, as each one looks at all pools.
        self._changes = {}
        # Names of pools whose record has changed.
        self.dirty = set()

    def restore(self, pool, data):
        """Restores a pool's bounds from its record.

        Raises:
            RecordInvalid: The record does not parse.
        """
        record = decode_json(data, LedgerRecord, "quota ledger", RecordInvalid)
        self._pools[pool] = _PoolEntry(
            record.token,
            record.number,
            {name: amount.resources for name, amount in record.entries.items()},
        )

    def encode(self, pool):
        """Returns the record of a pool."""
        entry = self._pools[pool]
        return msgspec.json.encode(
            LedgerRecord(
                entry.token,
                entry.number,
                {name: Amount.of(held) for name, held in entry.entries.items()},
            )
        )

    def entry(self, pool, customer):
        """Returns the bound of what a pool holds; ``UNKNOWN`` if it never reported."""
        known = self._pools.get(pool)
        return known.entries.get(customer, UNKNOWN) if known else UNKNOWN

    def forget_unlimited(self):
        """Forgets the bounds of customers that have no limit.

        Owners start their tasks without grants, so nothing is known of what they use
        if they get a limit again, until all owners have reported.

        Returns:
            Whether there were any.
        """
        has_changed = False
        for pool_name, pool in self._pools.items():
            for name in list(pool.entries):
                customer = self._find_customer(name)
                if customer is not None and not has_limit(customer):
                    del pool.entries[name]
                    pool.rows.pop(name, None)
                    self._note_change(name)
                    self.dirty.add(pool_name)
                    has_changed = True
        return has_changed

    def apply_report(self, request):
        """Applies an owner's report.

        Returns:
            Whether it is the newest of the pool. If not, it must not be answered, as a
            later owner or report may rely on what it would lower.
        """
        pool = self._pools.setdefault(request.pool, _PoolEntry())
        if (request.token, request.number) <= (pool.token, pool.number):
            return False
        if request.token != pool.token:
            pool.rows.clear()
            pool.answered.clear()
            self.dirty.add(request.pool)
        # The number need not be durable before a raise, which is written with it.
        pool.token, pool.number = request.token, request.number
        for row in request.rows:
            bound = self._bound(pool, row)
            if pool.entries.get(row.customer) != bound:
                self.dirty.add(request.pool)
            pool.rows[row.customer] = row
            pool.entries[row.customer] = bound
            self._note_change(row.customer)
        return True

    def _note_change(self, customer):
        self._changes[customer] = self._changes.get(customer, 0) + 1

    def forget_answers(self, pool):
        """Has all grants of a pool computed anew, as an answer was not sent."""
        if pool in self._pools:
            self._pools[pool].answered.clear()

    def _bound(self, pool, row):
        """Returns what a pool may hold after a report.

        After a takeover ``used`` contains runs that may not exist. While the customer
        was limited all the time, it can't exceed the bound that was known before.
        """
        held = row.held.resources
        known = pool.entries.get(row.customer)
        limit = self._limit(row.customer)
        if known is None or limit is None or row.basis == Amount():
            return held
        if not is_within(row.basis.resources, limit):
            return held
        return combine(min, known, held)

    def _limit(self, name):
        customer = self._find_customer(name)
        if customer is None or not has_limit(customer):
            return None
        return limit_of(customer)

    def answer(self, pool_name, pool_names, may_raise, now):
        """Returns the changed grants of a pool, and whether any has to be journalled.

        A raise, or a grant on another basis, may be sent only after a fenced append
        that began later than this call: a later granter may have granted the amount.

        Args:
            pool_name: Name of the pool.
            pool_names: Names of all pools of the configuration.
            may_raise: Whether raises and grants on another basis are allowed.
            now: Boot time in seconds.

        Returns:
            List of ``GrantRow``, and whether the ledger has to be journalled first.
        """
        pool = self._pools[pool_name]
        names = sorted({*pool_names, *self._pools})
        changed, has_raise = [], False
        for name, row in pool.rows.items():
            limit = self._limit(name)
            if limit is None:
                continue
            turn = int(now // TURN_S) if row.unit != Amount() else 0
            inputs = self._changes.get(name, 0), limit, names, turn
            if pool.answered.get(name) == inputs:
                continue
            grant = self._grant(pool_name, row, limit, names, now)
            before, is_new_basis = row.grant.resources, limit != row.basis.resources
            if grant == before and not is_new_basis:
                pool.answered[name] = inputs
                continue
            is_raise = is_new_basis or not is_within(grant, before)
            if is_raise and not may_raise:
                continue
            has_raise |= is_raise
            pool.answered[name] = inputs
            if not is_within(grant, pool.entries[name]):
                pool.entries[name] = combine(max, pool.entries[name], grant)
                self._note_change(name)
                pool.answered[name] = (self._changes[name], *inputs[1:])
            changed.append(GrantRow(name, Amount.of(grant), Amount.of(limit)))
        if changed:
            self.dirty.add(pool_name)
        return changed, has_raise

    def _grant(self, pool_name, row, limit, names, now):
        """Returns the grant of a pool: its target as far as it is known to be free."""
        others = [
            self.entry(other, row.customer) for other in names if other != pool_name
        ]
        own = self.entry(pool_name, row.customer)
        free = subtract(limit, combine(sum, NOTHING, *others))
        known = [entry for entry in others if entry != UNKNOWN]
        if row.basis.resources == limit and _is_covered(limit, own, *known):
            # A new pool that has not reported yet costs the others nothing. If the
            # bounds exceed a maximum that was lowered, nothing may start.
            free = combine(max, free, combine(min, row.grant.resources, own))
        target = self._targets(row.customer, limit, names, now)[pool_name]
        grant = combine(max, NOTHING, combine(min, target, free))
        return Resources(
            *(
                UNBOUNDED if most >= UNBOUNDED else amount
                for most, amount in zip(_values(limit), _values(grant), strict=True)
            )
        )

    def _targets(self, customer, limit, names, now):
        """Returns what each pool should hold, by name."""
        rows = [self._row(name, customer) for name in names]
        held = [self.entry(name, customer) for name in names]
        columns = [
            divide(
                most,
                [_values(row.need.resources)[index] if row else 0 for row in rows],
                [min(most, _values(amount)[index]) for amount in held],
            )
            for index, most in enumerate(_values(limit))
        ]
        targets = [Resources(*amounts) for amounts in zip(*columns, strict=True)]
        targets = _round_to_tasks(limit, rows, targets, int(now // TURN_S))
        return dict(zip(names, targets, strict=True))

    def _row(self, name, customer):
        pool = self._pools.get(name)
        return pool.rows.get(customer) if pool else None


def _round_to_tasks(limit, rows, targets, turn):
    """Moves amounts that are too small for a task to pools where they complete one.

    Without it, two pools that share a maximum of one task would never start any.

    Args:
        limit: Limit of the customer.
        rows: ``UseRow`` of each pool, or None.
        targets: Target of each pool.
        turn: Number that selects the pool that is served first.
    """
    rounded = list(targets)
    short = []
    for index, (row, target) in enumerate(zip(rows, targets, strict=True)):
        if row is None or row.unit == Amount():
            continue
        used, unit = row.used.resources, row.unit.resources
        need = row.need.resources
        if is_within(need, target):
            continue
        count = count_within(subtract(target, used), unit)
        whole = combine(sum, used, multiply(unit, count))
        rounded[index] = Resources(
            *(
                min(most, amount) if each else most
                for most, amount, each in zip(
                    _values(target), _values(whole), _values(unit), strict=True
                )
            )
        )
        short.append((index, unit))
    first = turn % max(1, len(short))
    left = subtract(limit, combine(sum, NOTHING, *rounded))
    for index, unit in short[first:] + short[:first]:
        if is_within(unit, left):
            rounded[index] = combine(sum, rounded[index], unit)
            left = subtract(left, unit)
    return rounded


def _is_covered(limit, *entries):
    """Returns whether bounds are together within the resources that are limited."""
    totals = _values(combine(sum, NOTHING, *entries))
    return all(
        most >= UNBOUNDED or total <= most
        for most, total in zip(_values(limit), totals, strict=True)
    )


def _values(amount):
    return amount.cpu, amount.memory, amount.gpu
