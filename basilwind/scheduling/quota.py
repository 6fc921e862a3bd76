"""What the owner of a pool may start for customers with a maximum.

The granter of the fleet grants each pool a part of a customer's maximum. An owner
starts tasks only within its grants.
"""

from dataclasses import dataclass

import msgspec

from basilwind.checked_json import Count, Name, decode_json
from basilwind.errors import RecordInvalid
from basilwind.scheduling.fleet import Resources

UNBOUNDED = 10**12  # stands for no limit; sums of it stay exact in JSON
NOTHING = Resources()
BLOCKED_LOG_S = 1.0  # a blocked customer is blocked in each scheduling round


def combine(function, *amounts):
    """Returns the ``Resources`` with a function applied to each resource."""
    return Resources(
        function(amount.cpu for amount in amounts),
        function(amount.memory for amount in amounts),
        function(amount.gpu for amount in amounts),
    )


def subtract(amount, other):
    """Returns the difference of two ``Resources``; may be negative."""
    return Resources(
        amount.cpu - other.cpu, amount.memory - other.memory, amount.gpu - other.gpu
    )


def multiply(amount, count):
    """Returns a multiple of ``Resources``."""
    return Resources(amount.cpu * count, amount.memory * count, amount.gpu * count)


def is_within(amount, limit):
    """Returns whether an amount exceeds a limit in no resource."""
    return (
        amount.cpu <= limit.cpu
        and amount.memory <= limit.memory
        and amount.gpu <= limit.gpu
    )


def limit_of(customer):
    """Returns a customer's maximum with ``UNBOUNDED`` where there is no limit."""
    maximum = customer.maximum
    return Resources(
        maximum.cpu or UNBOUNDED, maximum.memory or UNBOUNDED, maximum.gpu or UNBOUNDED
    )


def has_limit(customer):
    """Returns whether a customer's maximum limits any resource."""
    return customer.maximum != NOTHING


def size_of(spec):
    """Returns what a task of a step counts; fillers count in full."""
    return Resources(spec.cpu, spec.memory, spec.gpu)


def count_within(room, size):
    """Returns how many tasks of a size fit into an amount."""
    pairs = ((room.cpu, size.cpu), (room.memory, size.memory), (room.gpu, size.gpu))
    counts = [max(0, free) // each for free, each in pairs if each]
    return min(counts, default=UNBOUNDED)


class Amount(msgspec.Struct, array_like=True, frozen=True):
    """``Resources`` in messages and records."""

    cpu: Count = 0
    memory: Count = 0
    gpu: Count = 0

    @classmethod
    def of(cls, amount):
        """Returns the message form of ``Resources``."""
        return cls(amount.cpu, amount.memory, amount.gpu)

    @property
    def resources(self):
        """The ``Resources``."""
        return Resources(self.cpu, self.memory, self.gpu)


class UseRow(msgspec.Struct, array_like=True, frozen=True):
    """What a pool holds and needs for a customer.

    Attributes:
        customer: Name of the customer.
        held: What the pool's owner, or a successor, may have running at most without a
            further grant.
        grant: Grant in force.
        basis: Maximum from which the grant was computed; nothing without a grant.
        used: What may be running.
        need: ``used`` and what waits.
        unit: Size of the task, or gang, that quota holds up; nothing if none.
    """

    customer: str
    held: Amount
    grant: Amount
    basis: Amount
    used: Amount
    need: Amount
    unit: Amount = Amount()


class GrantRequest(msgspec.Struct):
    """Report of a pool's owner to the granter.

    Attributes:
        pool: Name of the pool.
        token: Fencing token of the owner.
        number: Number of the report, which rises with each call of the owner. A call
            that arrives after a later one must not lower what the later one raised.
        rows: ``UseRow`` of each customer that the granter may not know.
    """

    pool: Name
    token: Count
    number: Count
    rows: list[UseRow]


class GrantRow(msgspec.Struct, array_like=True, frozen=True):
    """A grant to a pool for a customer, and the maximum that it rests on."""

    customer: str
    grant: Amount
    basis: Amount


class GrantResponse(msgspec.Struct):
    """The granter's answer; holds the grants that differ from those reported.

    Attributes:
        token: Fencing token of the granter.
        sequence: Number of the answer; rises with each answer of the granter.
        rows: ``GrantRow`` of each changed grant.
    """

    token: Count
    sequence: Count
    rows: list[GrantRow]


class QuotaRecord(msgspec.Struct):
    """The pool's journal of its grants.

    Attributes:
        token: Fencing token of the granter whose answer was last applied.
        sequence: Number of that answer.
        rows: ``GrantRow`` of each customer with a grant.
        ending: Runs of ended jobs and runs that no task needs, by customer. The records
            of jobs lack them.
    """

    token: Count
    sequence: Count
    rows: list[GrantRow]
    ending: dict[str, Amount] = {}


@dataclass(slots=True)
class Use:
    """What a customer uses and needs in a pool.

    Attributes:
        used: What may be running.
        need: ``used`` and what waits.
    """

    used: Resources = NOTHING
    need: Resources = NOTHING


@dataclass(slots=True)
class _Holding:
    grant: Resources = NOTHING
    basis: Resources = NOTHING
    # The most that the pool's journal may have.
    recorded: Resources = NOTHING
    lowered_at: float = 0.0
    has_grant: bool = False


class QuotaBook:
    """The grants of a pool's owner.

    Args:
        find_customer: Returns the ``Customer`` of a name, or None if it is unknown.
            None if there are no customers.
        customer_names: Returns the names of the configuration's customers.
        is_confirmed: Takes the boot time and returns whether the configuration is known
            to be recent enough to start tasks of limited customers.
        report: Called with an event's name and fields.
    """

    def __init__(
        self,
        find_customer=None,
        customer_names=lambda: (),
        is_confirmed=lambda now: True,
        report=lambda event, **fields: None,
    ):
        self._find_customer = find_customer
        self._customer_names = customer_names
        self._is_confirmed = is_confirmed
        self._report = report
        self._holdings = {}
        self._applied = (0, 0)
        self._blocked_logged_at = {}
        # Size of the first task, or gang, that quota held up in the last scheduling
        # round, by customer.
        self._blocked_units = {}
        self._is_record_due = False
        self._is_call_due = False
        self._has_changed = False
        # ``Resources`` of runs that job records lack, by customer, as last recorded
        # here, and as the previous owner recorded them.
        self._recorded_ending = {}
        self._previous_ending = {}
        # Grants that are being written to the journal.
        self._being_recorded = None

    @property
    def is_record_due(self):
        """Whether a lowered grant has to be journalled."""
        return self._is_record_due

    def limit(self, name):
        """Returns the limit of a customer, or None if it has none.

        A customer that is not in the configuration is limited to what its last grant
        rested on, since it may still have tasks elsewhere.
        """
        if not name or self._find_customer is None:
            return None
        customer = self._find_customer(name)
        if customer is None:
            holding = self._holdings.get(name)
            return holding.basis if holding else NOTHING
        return limit_of(customer) if has_limit(customer) else None

    def limited_customers(self):
        """Returns the names of all customers that have a limit."""
        names = dict.fromkeys([*self._customer_names(), *self._holdings])
        return [name for name in names if self.limit(name) is not None]

    def begin_round(self, now):
        """Begins a scheduling round."""
        self.note_limits(now)
        self._blocked_units.clear()

    def note_limits(self, now):
        """Applies the configuration's limits to the grants.

        A grant that was in force together with a higher maximum may coexist with grants
        computed from that, so it rests on the higher one from then on.
        """
        for name, holding in self._holdings.items():
            limit = self.limit(name)
            if limit is None:
                limit = Resources(UNBOUNDED, UNBOUNDED, UNBOUNDED)
            basis = combine(max, holding.basis, limit)
            if basis != holding.basis:
                holding.basis = basis
                # A successor may only see the maximum after it was lowered again.
                self._has_changed = self._is_record_due = True
            if not is_within(holding.grant, limit):
                holding.grant = combine(min, holding.grant, limit)
                self._note_lowered(holding, now)

    def room(self, name, used, now):
        """Returns what a limited customer may still start.

        Args:
            name: Name of the customer.
            used: ``Resources`` that may be running.
            now: Boot time in seconds.
        """
        holding = self._holdings.get(name)
        if holding is None or not self.may_start(name, now):
            return NOTHING
        free = subtract(holding.grant, used)
        # Nothing starts while any limited resource is exceeded.
        if not is_within(NOTHING, free):
            return NOTHING
        return free

    def may_start(self, name, now):
        """Returns whether grants of a customer may be used now."""
        limit = self.limit(name)
        if limit is None:
            return True
        holding = self._holdings.get(name)
        return (
            holding is not None
            and holding.has_grant
            and is_within(holding.basis, limit)
            and self._is_confirmed(now)
        )

    def was_lowered_since(self, name, time):
        """Returns whether a customer's grant was lowered at or after a boot time."""
        holding = self._holdings.get(name)
        return holding is not None and holding.lowered_at >= time

    def note_blocked(self, name, used, unit, now):
        """Notes that quota holds up a task, and logs it at most once a second.

        Args:
            name: Name of the customer.
            used: ``Resources`` that may be running.
            unit: ``Resources`` of the task or gang.
            now: Boot time in seconds.
        """
        self._is_call_due = True
        self._blocked_units.setdefault(name, unit)
        if now - self._blocked_logged_at.get(name, -BLOCKED_LOG_S) < BLOCKED_LOG_S:
            return
        self._blocked_logged_at[name] = now
        holding = self._holdings.get(name, _Holding())
        self._report(
            "quota blocked",
            customer=name,
            used=_row(used),
            grant=_row(holding.grant),
            basis=_row(holding.basis),
            maximum=_row(self.limit(name) or NOTHING),
        )

    def take_call_due(self):
        """Returns whether the granter should be called at once, and resets that."""
        is_due, self._is_call_due = self._is_call_due, False
        return is_due

    def grant(self, name):
        """Returns the grant of a customer."""
        holding = self._holdings.get(name)
        return holding.grant if holding else NOTHING

    def has_surplus(self, rows, pools):
        """Returns whether more is granted than is needed, beyond the even share.

        Args:
            rows: ``UseRow`` of each limited customer.
            pools: Number of pools.
        """
        return any(
            grant > max(need, most // 2 // max(1, pools))
            for row in rows
            for grant, need, most in zip(
                _row(row.grant), _row(row.need), _row(row.basis), strict=True
            )
            if most < UNBOUNDED
        )

    # Messages

    def rows(self, uses, now):
        """Returns the ``UseRow`` of each limited customer.

        Args:
            uses: ``Use`` by customer, measured now.
            now: Boot time in seconds.
        """
        self.note_limits(now)
        return [
            self._row(name, uses.get(name) or Use())
            for name in self.limited_customers()
        ]

    def _row(self, name, use):
        holding = self._holdings.get(name, _Holding())
        return UseRow(
            name,
            Amount.of(combine(max, holding.grant, holding.recorded, use.used)),
            Amount.of(holding.grant),
            Amount.of(holding.basis if holding.has_grant else NOTHING),
            Amount.of(use.used),
            Amount.of(combine(max, use.need, use.used)),
            Amount.of(self._blocked_units.get(name, NOTHING)),
        )

    def apply(self, response, now):
        """Applies an answer to the latest call.

        Returns:
            Whether it was applied; answers that are older than the last are not.
        """
        if (response.token, response.sequence) <= self._applied:
            return False
        self._applied = response.token, response.sequence
        for row in response.rows:
            self._apply_row(row, now)
        return True

    def _apply_row(self, row, now):
        holding = self._holdings.setdefault(row.customer, _Holding())
        before, holding.grant = holding.grant, row.grant.resources
        holding.basis = row.basis.resources
        holding.has_grant = True
        self._has_changed = True
        is_lower = not is_within(before, holding.grant)
        if is_lower:
            self._note_lowered(holding, now)
        self._report(
            "quota lowered" if is_lower else "quota granted",
            customer=row.customer,
            grant=_row(holding.grant),
            previous=_row(before),
            basis=_row(holding.basis),
        )

    def _note_lowered(self, holding, now):
        holding.lowered_at = now
        self._has_changed = self._is_record_due = True

    # Journal

    @property
    def previous_ending(self):
        """``Resources`` of previous runs that job records lack, by customer."""
        return self._previous_ending

    def forget_previous_ending(self):
        """Forgets these runs, once the workers have reported all that execute."""
        self._previous_ending = {}

    def begin_record(self, ending):
        """Returns the journal's record of the grants, or None if it is up to date.

        Args:
            ending: ``Resources`` of runs that job records lack, by customer.
        """
        ending = dict(ending)
        for name, amount in self._previous_ending.items():
            ending[name] = combine(sum, amount, ending.get(name, NOTHING))
        if not self._has_changed and ending == self._recorded_ending:
            return None
        self._recorded_ending = ending
        self._has_changed = self._is_record_due = False
        rows = []
        self._being_recorded = {}
        for name, holding in self._holdings.items():
            self._being_recorded[name] = holding.grant
            holding.recorded = combine(max, holding.recorded, holding.grant)
            rows.append(
                GrantRow(name, Amount.of(holding.grant), Amount.of(holding.basis))
            )
        amounts = {name: Amount.of(amount) for name, amount in ending.items()}
        return msgspec.json.encode(QuotaRecord(*self._applied, rows, amounts))

    def finish_record(self):
        """Notes that the record of the last ``begin_record`` is durable."""
        recorded, self._being_recorded = self._being_recorded or {}, None
        for name, grant in recorded.items():
            self._holdings[name].recorded = grant

    def restore(self, data):
        """Restores the grants from the journal's record.

        Raises:
            RecordInvalid: The record does not parse.
        """
        record = decode_json(data, QuotaRecord, "quota", RecordInvalid)
        self._applied = record.token, record.sequence
        self._previous_ending = {
            name: amount.resources for name, amount in record.ending.items()
        }
        self._recorded_ending = dict(self._previous_ending)
        for row in record.rows:
            grant = row.grant.resources
            self._holdings[row.customer] = _Holding(
                grant, row.basis.resources, grant, 0.0, True
            )


def _row(amount):
    return [amount.cpu, amount.memory, amount.gpu]
