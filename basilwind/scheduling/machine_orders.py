"""Orders for hosts: those of two successive planners, and those that may still act.

Load pattern: the planner alone loses the platform's store at the start of a burst, and
still runs. Its successor must not order a host within the lease time of its order for
the same host, but has to move other hosts at once. It therefore asks which hosts those
are, and the previous planner gives no orders any more.

Load pattern: the platform leaves orders unanswered and carries them out seconds later,
during a maintenance wave. Such a host counts as going down until the outcome shows.
"""

from dataclasses import dataclass, field

# The platform carries orders out up to 12 s late.
UNSETTLED_S = 13.0
# Workers are kept empty for less: while the machine service is down, no order is
# answered, and one idle worker after the other would be closed.
WITHHOLD_UNSETTLED_S = 4.0


@dataclass
class MachineOrders:
    """The latest orders for hosts that this daemon gave, and those it has to wait for.

    Attributes:
        handed_over_to: Highest fencing token of a planner to which this daemon handed
            over; orders with a lower token are not given any more.
    """

    handed_over_to: int = 0
    _ordered_at: dict[str, float] = field(default_factory=dict)
    _not_before: dict[str, float] = field(default_factory=dict)

    def record(self, host, now):
        """Records that an order for a host is being sent."""
        self._ordered_at[host] = now

    def hand_over(self, token, lease_s, now):
        """Hands over to a later planner.

        Args:
            token: Fencing token of that planner.
            lease_s: Time between orders of two planners for one host, seconds.
            now: Boot time in seconds.

        Returns:
            Seconds since the latest order for each host that had one within
            ``lease_s``.
        """
        self.handed_over_to = max(self.handed_over_to, token)
        return {
            host: now - ordered_at
            for host, ordered_at in self._ordered_at.items()
            if now - ordered_at < lease_s
        }

    def wait_for(self, ages_s, lease_s, now):
        """Keeps this daemon's orders off the hosts that a previous planner ordered.

        Args:
            ages_s: Return value of that planner's ``hand_over``.
            lease_s: As for ``hand_over``.
            now: Boot time in seconds.
        """
        for host, age_s in ages_s.items():
            self._not_before[host] = now + lease_s - age_s

    def may_order(self, host, token, now):
        """Returns whether a planner may give an order for a host now.

        Args:
            host: Name of the host.
            token: Fencing token of the planner.
            now: Boot time in seconds.
        """
        return token > self.handed_over_to and now >= self._not_before.get(host, 0.0)


@dataclass(frozen=True, slots=True)
class UnsettledOrder:
    """An order for a host that got no answer and may still be carried out.

    Attributes:
        pool: Pool of the host when it was ordered; empty if unknown.
        worker_id: Worker on the host; empty if unknown or none.
        is_maintenance: Whether it takes the host down for maintenance.
        ordered_at: Boot time at which it was given.
    """

    pool: str
    worker_id: str
    is_maintenance: bool
    ordered_at: float


class UnsettledOrders:
    """The orders of one planner, and of its predecessor, that may still act."""

    def __init__(self):
        self._orders = {}

    def add(self, host, order):
        """Adds an ``UnsettledOrder`` for a host."""
        self._orders[host] = order

    def settle(self, host):
        """Drops a host's order, as its outcome is known."""
        self._orders.pop(host, None)

    def hosts_going_down(self, now):
        """Returns the names of hosts that may still go into maintenance.

        Args:
            now: Boot time in seconds.
        """
        return {
            host
            for host, order in self._recent(UNSETTLED_S, now)
            if order.is_maintenance
        }

    def workers_to_withhold(self, now):
        """Returns the ids of the workers to keep empty, by pool."""
        return self._workers_by_pool(WITHHOLD_UNSETTLED_S, now)

    def workers_at_risk(self, now):
        """Returns the ids of the workers whose runs may still be ended, by pool."""
        return self._workers_by_pool(UNSETTLED_S, now)

    def _workers_by_pool(self, max_age_s, now):
        workers = {}
        for _, order in self._recent(max_age_s, now):
            if order.worker_id:
                workers.setdefault(order.pool, set()).add(order.worker_id)
        return workers

    def _recent(self, max_age_s, now):
        return [
            (host, order)
            for host, order in self._orders.items()
            if now - order.ordered_at <= max_age_s
        ]
