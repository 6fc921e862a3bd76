import unittest
from dataclasses import replace

from tests.scheduling import model as pool_model
from tests.scheduling.model import PoolModel, make_job


class TestPolicy(unittest.TestCase):
    """Queues whose placement policy allows only some workers."""

    def setUp(self):
        queue = pool_model.QUEUE
        pool_model.QUEUE = replace(queue, has_placement_policy=True)
        self.addCleanup(setattr, pool_model, "QUEUE", queue)
        self.model = PoolModel(self.fail)
        self.model.submit("job", make_job(count=1))
        self.model.hold()

    def test_nothing_starts_without_a_ticket(self):
        self.assertEqual(self.model.state.schedule(self.model.now, 1000.0), [])

    def test_task_starts_on_the_worker_that_has_a_ticket(self):
        state, now = self.model.state, self.model.now
        state.schedule(now, 1000.0)
        step, asked = state.next_policy_query(now, 1000.0)
        self.assertEqual(sorted(asked), ["w0", "w1", "w2"])
        state.apply_policy_answer(step, asked, {"w1": "t"}, now + 3.0)
        (order,) = state.schedule(now, 1000.0)
        self.assertEqual(order.worker.worker_id, "w1")

    def test_denied_workers_are_not_asked_about_again(self):
        state, now = self.model.state, self.model.now
        state.schedule(now, 1000.0)
        step, asked = state.next_policy_query(now, 1000.0)
        state.apply_policy_answer(step, asked, {}, now + 3.0)
        self.assertIsNone(state.next_policy_query(now, 1000.0))

    def test_expired_ticket_is_requested_again(self):
        state, now = self.model.state, self.model.now
        state.schedule(now, 1000.0)
        step, asked = state.next_policy_query(now, 1000.0)
        state.apply_policy_answer(step, asked, {"w1": "t"}, now + 3.0)
        later = now + 3.0
        self.assertEqual(state.schedule(later, 1000.0), [])
        self.assertEqual(state.next_policy_query(later, 1000.0)[1], ["w1"])
