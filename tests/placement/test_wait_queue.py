import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.models import Demand, RequestSpec
from basilwind.placement.wait_queue import MAX_CONSECUTIVE_URGENT, WaitQueue


def spec(team, urgent=False, slots=1):
    return RequestSpec("id", team, "work", "pool", Demand(slots), urgent=urgent)


class Slots:
    """A count of free slots that can be reserved."""

    def __init__(self, free):
        self.free = free

    def reserve(self, demand):
        if self.free < demand.slots:
            return None
        self.free -= demand.slots
        return self


def grant_one(queue, tickets, slots):
    """Grants with one slot free and returns the request that got it."""
    slots.free = 1
    queue.grant(slots.reserve, 0.0)
    granted = next(t for t in tickets if t.granted.is_set())
    tickets.remove(granted)
    queue.release(granted)
    return granted.spec


class TestWaitQueue(unittest.TestCase):
    def test_teams_share_by_weight(self):
        queue, slots = WaitQueue(), Slots(0)
        queue.share("large").weight = 3.0
        queue.share("small").weight = 1.0
        tickets = [queue.enqueue(spec(t), 0.0) for t in ("large", "small") * 100]
        teams = [grant_one(queue, tickets, slots).team for _ in range(100)]
        self.assertAlmostEqual(teams.count("large"), 75, delta=2)

    def test_idle_team_earns_no_credit(self):
        queue, slots = WaitQueue(), Slots(0)
        tickets = [queue.enqueue(spec("busy"), 0.0) for _ in range(100)]
        for _ in range(50):
            grant_one(queue, tickets, slots)
        tickets += [queue.enqueue(spec("idle"), 0.0) for _ in range(40)]
        teams = [grant_one(queue, tickets, slots).team for _ in range(20)]
        self.assertAlmostEqual(teams.count("idle"), 10, delta=1)

    def test_urgent_requests_go_first_but_starve_no_others(self):
        queue, slots = WaitQueue(), Slots(0)
        tickets = [queue.enqueue(spec("a", urgent=True), 0.0) for _ in range(50)]
        tickets += [queue.enqueue(spec("b"), 0.0) for _ in range(50)]
        served = [grant_one(queue, tickets, slots) for _ in range(40)]
        self.assertTrue(all(s.urgent for s in served[:MAX_CONSECUTIVE_URGENT]))
        normal = sum(not s.urgent for s in served)
        self.assertEqual(normal, 40 // (MAX_CONSECUTIVE_URGENT + 1))

    def test_team_stays_within_its_limit(self):
        queue, slots = WaitQueue(), Slots(10)
        queue.share("a").limit_slots = 3
        tickets = [queue.enqueue(spec("a"), 0.0) for _ in range(10)]
        queue.grant(slots.reserve, 0.0)
        self.assertEqual(sum(t.granted.is_set() for t in tickets), 3)

    def test_large_request_is_not_bypassed_forever(self):
        queue, slots = WaitQueue(), Slots(2)
        large = queue.enqueue(spec("a", slots=4), 0.0)
        small = [queue.enqueue(spec("b"), 0.0) for _ in range(3)]
        queue.grant(slots.reserve, 1.0)
        self.assertEqual(sum(t.granted.is_set() for t in small), 2)
        slots.free = 2
        queue.grant(slots.reserve, 3.0)
        self.assertFalse(small[2].granted.is_set())
        slots.free = 4
        queue.grant(slots.reserve, 3.1)
        self.assertTrue(large.granted.is_set())

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("enqueue", "withdraw", "grant", "release")),
                st.sampled_from("abc"),
                st.booleans(),
                st.integers(1, 3),
            ),
            max_size=60,
        )
    )
    def test_counts_and_limits_hold_under_any_history(self, history):
        queue, slots, tickets, running = WaitQueue(), Slots(4), [], []
        queue.share("a").limit_slots = 2
        for action, team, urgent, count in history:
            if action == "enqueue":
                tickets.append(queue.enqueue(spec(team, urgent, count), 0.0))
            elif action == "withdraw" and tickets:
                queue.withdraw(tickets[count % len(tickets)])
            elif action == "grant":
                queue.grant(slots.reserve, 0.0)
            elif action == "release" and running:
                ticket = running.pop()
                slots.free += ticket.spec.demand.slots
                queue.release(ticket)
            running += [t for t in tickets if t.granted.is_set()]
            tickets = [
                t for t in tickets if not t.granted.is_set() and not t.is_withdrawn
            ]
            self.assertEqual(queue.waiting, len(tickets))
            in_use = sum(t.spec.demand.slots for t in running)
            self.assertEqual(in_use + slots.free, 4)
            self.assertLessEqual(queue.share("a").in_use, 2)
            if action == "grant" and slots.free:
                fitting = [
                    t
                    for t in tickets
                    if t.spec.demand.slots == 1
                    and not any(
                        o.spec.team == t.spec.team and o is not t for o in tickets
                    )
                    and queue.share(t.spec.team).may_use(1)
                ]
                self.assertFalse(
                    fitting, "a slot is free although a waiting request fits it"
                )
