"""The bounded wait queue of a shard, shared fairly between teams."""

from collections import deque
from dataclasses import dataclass, field

import anyio

from basilwind.models import Demand, RequestSpec

MAX_CONSECUTIVE_URGENT = 4
MAX_BYPASS_S = 2.0
MIN_DEMAND = Demand()  # if this fits no worker, no other demand does


@dataclass(eq=False)
class Ticket:
    """A request's place in the queue.

    Attributes:
        spec: The request.
        demand: What to reserve for it: as declared, or as measured.
        enqueued_at: When it entered the queue, on the monotonic clock in seconds.
        granted: Set when a worker is reserved for it or it is returned.
        reservation: The worker's reservation, once granted.
        is_withdrawn: Whether it has left the queue without a grant.
        is_returned: Whether it was returned to the router, because this process
            no longer serves the shard.
    """

    spec: RequestSpec
    demand: Demand
    enqueued_at: float
    granted: anyio.Event = field(default_factory=anyio.Event)
    reservation: object = None
    is_withdrawn: bool = False
    is_returned: bool = False


@dataclass
class TeamShare:
    """A team's queue and share of a shard.

    Attributes:
        weight: The team's weight in fair sharing.
        limit_slots: Maximum number of slots in use at once; 0 for no limit.
        max_waiting: Maximum number of waiting requests.
        served: Slots granted so far, divided by the weight.
        in_use: Slots in use now.
        waiting: Requests waiting now.
        urgent: Tickets of urgent requests, oldest first.
        normal: Tickets of other requests, oldest first.
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
        """Returns the oldest urgent or normal ticket, or None."""
        tickets = self.urgent if is_urgent else self.normal
        while tickets and tickets[0].is_withdrawn:
            tickets.popleft()
        return tickets[0] if tickets else None

    def may_use(self, slots):
        """Whether the team may use this many more slots under its limit."""
        return self.limit_slots == 0 or self.in_use + slots <= self.limit_slots


class WaitQueue:
    """Tickets of all teams, granted by weighted fair queueing.

    Urgent tickets are granted first, except that after
    ``MAX_CONSECUTIVE_URGENT`` of them a normal ticket is due.

    Attributes:
        waiting: Number of waiting tickets of all teams.
    """

    def __init__(self):
        self._teams = {}
        self._virtual_time = 0.0
        self._consecutive_urgent = 0
        self.waiting = 0

    def share(self, team):
        """Returns a team's ``TeamShare``."""
        share = self._teams.get(team)
        if share is None:
            share = self._teams[team] = TeamShare(served=self._virtual_time)
        return share

    def is_full(self, team):
        """Whether a team has reached its maximum of waiting requests."""
        share = self.share(team)
        return share.waiting >= share.max_waiting

    def enqueue(self, spec, now, demand=None):
        """Adds a request to its team's urgent or normal tickets.

        Args:
            spec: The request.
            now: Current time on the monotonic clock, in seconds.
            demand: What to reserve for it; None for the declared demand.

        Returns:
            Its ``Ticket``.
        """
        share = self.share(spec.team)
        if share.waiting == 0:
            # A team earns no credit while it has no waiting requests.
            share.served = max(share.served, self._virtual_time)
        ticket = Ticket(spec, demand or spec.demand, now)
        (share.urgent if spec.urgent else share.normal).append(ticket)
        share.waiting += 1
        self.waiting += 1
        return ticket

    def withdraw(self, ticket):
        """Removes a ticket that is not granted from the queue."""
        if ticket.is_withdrawn or ticket.reservation is not None:
            return
        ticket.is_withdrawn = True
        self._remove(ticket)

    def return_all(self):
        """Removes all waiting tickets and marks them as returned."""
        for share in self._teams.values():
            for ticket in (*share.urgent, *share.normal):
                self.withdraw(ticket)
                ticket.is_returned = True
                ticket.granted.set()
            share.urgent.clear()
            share.normal.clear()

    def grant(self, reserve, now):
        """Grants tickets while workers can be reserved for them.

        A ticket whose demand does not fit may be passed by other teams'
        tickets for ``MAX_BYPASS_S``; from then on they wait behind it, so
        that a large demand does not starve.

        Args:
            reserve: Function that returns a reservation for a ``Demand``, or
                None if it fits no worker now.
            now: Current time on the monotonic clock, in seconds.
        """
        blocked = set()
        while self.waiting:
            ticket = self._next(blocked)
            if ticket is None:
                return
            reservation = reserve(ticket.demand)
            if reservation is not None:
                self._grant_ticket(ticket, reservation)
                continue
            is_minimal = ticket.demand == MIN_DEMAND
            if is_minimal or now - ticket.enqueued_at > MAX_BYPASS_S:
                return
            blocked.add(ticket.spec.team)

    def release(self, ticket):
        """Subtracts the slots of a granted ticket from its team's use."""
        self.share(ticket.spec.team).in_use -= ticket.demand.slots

    def _next(self, blocked):
        is_normal_due = self._consecutive_urgent >= MAX_CONSECUTIVE_URGENT
        for is_urgent in (False, True) if is_normal_due else (True, False):
            ticket = self._next_by_share(is_urgent, blocked)
            if ticket is not None:
                return ticket
        return None

    def _next_by_share(self, is_urgent, blocked):
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

    def _grant_ticket(self, ticket, reservation):
        spec = ticket.spec
        share = self.share(spec.team)
        (share.urgent if spec.urgent else share.normal).popleft()
        self._remove(ticket)
        self._consecutive_urgent = self._consecutive_urgent + 1 if spec.urgent else 0
        self._virtual_time = max(self._virtual_time, share.served)
        share.served += ticket.demand.slots / share.weight
        share.in_use += ticket.demand.slots
        ticket.reservation = reservation
        ticket.granted.set()

    def _remove(self, ticket):
        self.share(ticket.spec.team).waiting -= 1
        self.waiting -= 1
