import unittest
from dataclasses import fields, is_dataclass, replace

from basilwind.scheduling.admission import RefusalReason
from basilwind.scheduling.fleet import Customer, Resources
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.where import (
    MAX_TASKS_TOLD,
    TRIAL_JOB_ID,
    Trial,
    explain_placement,
)
from tests.scheduling.model import QUEUE, PoolModel, make_job


def dump(value, seen=None):
    """Returns all attributes of a state as nested lists, each object once."""
    seen = {} if seen is None else seen
    if value is None or isinstance(value, (str, bytes, int, float)) or callable(value):
        return value
    if id(value) in seen:
        return f"object {seen[id(value)]}"
    seen[id(value)] = len(seen)
    if isinstance(value, dict):
        return [[dump(key, seen), dump(item, seen)] for key, item in value.items()]
    if isinstance(value, (set, frozenset)):
        return sorted(map(str, value))
    if isinstance(value, (list, tuple)):
        return [dump(item, seen) for item in value]
    if is_dataclass(value):
        names = [field.name for field in fields(value)]
    else:
        slots = [
            name
            for kind in type(value).__mro__
            for name in vars(kind).get("__slots__", ())
        ]
        names = [*getattr(value, "__dict__", ()), *slots]
    return [[name, dump(getattr(value, name, None), seen)] for name in names]


class TestExplainPlacement(unittest.TestCase):
    """Where a job would go, on the state of a pool that is partly occupied."""

    def setUp(self):
        self.model = PoolModel(self.fail)
        self.model.hold()

    def _explain(self, spec, queue=QUEUE, customer=""):
        """Returns the texts of the reasons by topic."""
        now = self.model.now
        trial = Trial(
            self.model.state.snapshot(now, now),
            None,
            queue,
            Job(TRIAL_JOB_ID, queue.name, spec, now, customer),
            now,
            now,
        )
        texts = {}
        for reason in explain_placement(trial):
            texts.setdefault(reason.topic, []).append(reason.text)
        return texts

    def _occupy(self, job_id="a" * 16, **fields):
        self.model.submit(job_id, make_job(**fields))
        self.model.schedule()

    def test_told_workers_are_those_of_the_next_round(self):
        self._occupy(count=3, cpu=3000)
        spec = make_job(count=4, cpu=2500)
        texts = self._explain(spec)
        self.model.submit("b" * 16, spec)
        now = self.model.now
        orders = self.model.state.schedule(now, now)
        for order in orders:
            (text,) = texts[f"task 0.{order.task.index}"]
            self.assertIn(f"worker {order.worker.worker_id},", text)
        self.assertEqual(len(orders), 4)
        self.assertTrue(texts["admission"][0].startswith("accept"))

    def _check_unchanged(self):
        before = dump(self.model.state)
        for spec in (
            make_job(count=30, steps=3),
            make_job(count=2, cpu=3000, is_gang=True),
            make_job(is_lasting=True),
        ):
            self._explain(spec)
            self.assertEqual(dump(self.model.state), before)

    def test_asking_changed_estimates_or_reservations_of_the_pool(self):
        # A reservation that stays, or a job left dirty, would act on a mere question.
        self._occupy(count=3, steps=2)
        self._check_unchanged()
        self._occupy("d" * 16, count=40)
        self.model.submit("b" * 16, make_job(count=9, cpu=7000))
        self.model.submit("c" * 16, make_job(count=2, is_lasting=True))
        self.model.advance(5.0)
        self._check_unchanged()

    def test_missing_capacity_is_told_by_worker(self):
        self._occupy(count=3, cpu=8000)
        self.model.withhold("w1")
        texts = self._explain(make_job(count=1))["step 0"]
        self.assertIn("no worker for 1 tasks", texts[-1])
        self.assertIn("1 withheld by the planner", texts[-1])
        self.assertIn("2 without capacity", texts[-1])

    def test_missing_label_is_told(self):
        texts = self._explain(make_job(count=1, required_label="ssd"))["step 0"]
        self.assertIn("3 without the label", texts[-1])

    def test_steps_ahead_take_their_workers_first(self):
        # Otherwise it told a worker that goes to a job ahead.
        self.model.submit("b" * 16, make_job(count=3, cpu=8000, is_lasting=True))
        texts = self._explain(make_job(count=1))["step 0"]
        self.assertEqual(texts[0], "1 waiting steps ahead")
        self.assertIn("no worker for 1 tasks", texts[-1])

    def test_large_steps_are_told_in_part(self):
        spec = make_job(count=24, cpu=100, steps=2)
        texts = self._explain(spec)
        self.assertEqual(sum(topic.startswith("task ") for topic in texts), 20)
        self.assertEqual(MAX_TASKS_TOLD, 20)
        self.assertIn("4 more tasks have a worker", texts["step 0"])
        self.assertEqual(texts["step 1"], ["starts after step 0"])

    def test_queue_with_a_placement_policy_waits_for_its_answer(self):
        queue = replace(QUEUE, has_placement_policy=True)
        texts = self._explain(make_job(count=1), queue)["step 0"]
        self.assertIn("policy", texts[-1])


if __name__ == "__main__":
    unittest.main()


class TestCustomers(unittest.TestCase):
    """Where a customer's job would go while the pool is overloaded."""

    def setUp(self):
        maximums = {"capped": Resources(4000)}
        self.model = PoolModel(
            self.fail,
            find_customer=lambda name: Customer(
                name, 1e6, maximums.get(name, Resources())
            ),
        )
        self.model.hold()
        state, now = self.model.state, self.model.now
        for number in range(40):
            self.model.submit(f"{number:016x}", make_job(count=20), "large")
            self.model.submit(f"c{number:015x}", make_job(count=20), "capped")
        for _ in range(3):
            state.schedule(now, now)

    def _explain(self, spec, customer):
        state, now = self.model.state, self.model.now
        job = Job(TRIAL_JOB_ID, "q", spec, now, customer)
        trial = Trial(state.snapshot(now, now), None, QUEUE, job, now, now)
        # The first reason of each topic.
        reasons = reversed(explain_placement(trial))
        return {reason.topic: reason.text for reason in reasons}

    def test_rank_among_the_jobs_of_other_customers_is_that_of_a_round(self):
        # It was told as ahead of all others, as it had no start tag.
        texts = self._explain(make_job(count=1), "large")
        self.assertIn("by share", texts["overload"])
        ahead = int(texts["step 0"].partition(" ")[0])
        self.assertGreater(ahead, 20)
        small = int(self._explain(make_job(count=1), "small")["step 0"].split()[0])
        self.assertLess(small, ahead)

    def test_refusal_of_a_customer_is_told_with_its_reason(self):
        now = self.model.now
        admission = self.model.state.admit("q", "capped", now, now)
        self.assertIs(admission.reason, RefusalReason.QUOTA)
        texts = self._explain(make_job(count=1), "capped")
        self.assertIn("quota", texts["admission"])
        self.assertIn("accept", self._explain(make_job(count=1), "small")["admission"])
