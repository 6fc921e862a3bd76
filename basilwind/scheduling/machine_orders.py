"""Keeps two successive planners from giving orders for one host at the same time.

Load pattern: the planner alone loses the platform's store at the start of a burst, and
still runs. Its successor must not order a host within the lease time of its order for
the same host, but has to move other hosts at once. It therefore asks which hosts those
are, and the previous planner gives no orders any more.
"""

from dataclasses import dataclass, field


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
