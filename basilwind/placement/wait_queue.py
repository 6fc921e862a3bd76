"""The bounded, fair queue of a shard."""

from collections import deque
from dataclasses import dataclass, field

import anyio

from basilwind.models import Demand, RequestSpec

URGENT_GRANTS_IN_A_ROW = 4
BLOCKED_PATIENCE_S = 2.0
SMALLEST_DEMAND = Demand()


@dataclass(eq=False)
class Ticket:
    """A request's place in the queue.

    Attributes:
        spec: The request.
        demand: What is reserved for it; declared, or corrected by use.
        entered_at: When it entered, on the monotonic clock in seconds.
        granted: Set when a worker has been reserved for it.
        reservation: The worker's reservation, once granted.
        is_withdrawn: Whether it has left the queue ungranted.
        is_returned: Whether it was handed back, to be placed by another owner.
    """

    spec: RequestSpec
    demand: Demand
    entered_at: float
    granted: anyio.Event = field(default_factory=anyio.Event)
    reservation: object = None
    is_withdrawn: bool = False
    is_returned: bool = False


@dataclass
class TeamShare:
    """A team's part in a shard.

    Attributes:
        weight: The team's weight in fair sharing.
        limit_slots: Most slots in use at once; 0 for no limit.
        max_waiting: Most requests waiting.
        served: Slots granted so far, divided by the weight.
        in_use: Slots in use now.
        waiting: Requests waiting now.
    """

    weight: float = 1.0
    limit_slots: int = 0
    max_waiting: int = 256
    served: float = 0.0
    in_use: int = 0
    waiting: int = 0
    urgent: deque = field(default_factory=deque)
    normal: deque = field(default_factory=deque)

    def head(self, is_urgent):
        """Returns the oldest ticket of a class, or None."""
        tickets = self.urgent if is_urgent else self.normal
        while tickets and tickets[0].is_withdrawn:
            tickets.popleft()
        return tickets[0] if tickets else None

    def may_use(self, slots):
        """Whether the team's limit admits more slots."""
        return self.limit_slots == 0 or self.in_use + slots <= self.limit_slots


class WaitQueue:
    """Tickets of all teams, granted by weighted fair sharing.

    Urgent tickets go first, but not for ever: after some in a row a normal
    one has its turn.
    """

    def __init__(self):
        self._teams = {}
        self._virtual_time = 0.0
        self._urgent_in_a_row = 0
        self.waiting = 0

    def share(self, team):
        """Returns a team's ``TeamShare``."""
        share = self._teams.get(team)
        if share is None:
            share = self._teams[team] = TeamShare(served=self._virtual_time)
        return share

    def is_full(self, team):
        """Whether the team may not wait with one more request."""
        share = self.share(team)
        return share.waiting >= share.max_waiting

    def enter(self, spec, now, demand=None):
        """Adds a request at the end of its team's class.

        Args:
            spec: The request.
            now: Present time on the monotonic clock, in seconds.
            demand: What to reserve for it; what it declares if None.

        Returns:
            Its ``Ticket``.
        """
        share = self.share(spec.team)
        if share.waiting == 0:
            # A team gathers no credit while it asks for nothing.
            share.served = max(share.served, self._virtual_time)
        ticket = Ticket(spec, demand or spec.demand, now)
        (share.urgent if spec.urgent else share.normal).append(ticket)
        share.waiting += 1
        self.waiting += 1
        return ticket

    def withdraw(self, ticket):
        """Takes an ungranted ticket out of the queue."""
        if ticket.is_withdrawn or ticket.reservation is not None:
            return
        ticket.is_withdrawn = True
        self._leave(ticket)

    def return_all(self):
        """Hands every waiting ticket back."""
        for share in self._teams.values():
            for ticket in (*share.urgent, *share.normal):
                self.withdraw(ticket)
                ticket.is_returned = True
                ticket.granted.set()
            share.urgent.clear()
            share.normal.clear()

    def grant(self, reserve, now):
        """Grants tickets while workers can be reserved for them.

        Args:
            reserve: Function from a ``Demand`` to a reservation, or None if
                no worker has room.
            now: Present time on the monotonic clock, in seconds.
        """
        blocked = set()
        while self.waiting:
            ticket = self._next(blocked)
            if ticket is None:
                return
            reservation = reserve(ticket.demand)
            if reservation is not None:
                self._take(ticket, reservation)
                continue
            is_smallest = ticket.demand == SMALLEST_DEMAND
            if is_smallest or now - ticket.entered_at > BLOCKED_PATIENCE_S:
                return
            blocked.add(ticket.spec.team)

    def release(self, ticket):
        """Returns the slots of a granted ticket to its team's share."""
        self.share(ticket.spec.team).in_use -= ticket.demand.slots

    def _next(self, blocked):
        is_normal_due = self._urgent_in_a_row >= URGENT_GRANTS_IN_A_ROW
        for is_urgent in (False, True) if is_normal_due else (True, False):
            ticket = self._fairest(is_urgent, blocked)
            if ticket is not None:
                return ticket
        return None

    def _fairest(self, is_urgent, blocked):
        best, best_served = None, 0.0
        for team, share in self._teams.items():
            if team in blocked or share.waiting == 0:
                continue
            ticket = share.head(is_urgent)
            if ticket is None or not share.may_use(ticket.demand.slots):
                continue
            if best is None or share.served < best_served:
                best, best_served = ticket, share.served
        return best

    def _take(self, ticket, reservation):
        spec = ticket.spec
        share = self.share(spec.team)
        (share.urgent if spec.urgent else share.normal).popleft()
        self._leave(ticket)
        self._urgent_in_a_row = self._urgent_in_a_row + 1 if spec.urgent else 0
        self._virtual_time = max(self._virtual_time, share.served)
        share.served += ticket.demand.slots / share.weight
        share.in_use += ticket.demand.slots
        ticket.reservation = reservation
        ticket.granted.set()

    def _leave(self, ticket):
        self.share(ticket.spec.team).waiting -= 1
        self.waiting -= 1
