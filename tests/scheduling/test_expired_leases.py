"""Tasks run elsewhere only after workers out of reach have ended their runs.

The workers' clocks are as slow as they may be, each incarnation has its own, and
ending a run takes as long as it may.
"""

import random
import unittest

from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.placement import is_usable
from basilwind.scheduling.reports import EndKind
from basilwind.scheduling.workers import MAX_CALL_S
from tests.scheduling.model import (
    LEASE_S,
    LONGEST_RUN_S,
    MAX_STOP_S,
    PoolModel,
    make_entry,
    make_job,
    seeds_to_play,
)
from tests.scheduling.test_pool import FAULTS, apply_fault

SEEDS = 400
# Regression: a previous owner's start reached a new incarnation (4462).
# Starts reached a new incarnation that had not reported yet (the others).
FAILED_SEEDS = (4462, 12346, 12709, 17082, 18168, 19137)
# The owner hears of such a restart from the next report or answer only.
UNHEARD_RESTART = "restart unheard"
UNHEARD_FAULTS = (UNHEARD_RESTART, UNHEARD_RESTART, "schedule", "finish", "wait long")
CLOCK_RATES = (0.98, 1.0, 0.99)


def make_model(fail, workers=2, **options):
    return PoolModel(
        fail,
        workers,
        clock_rates=CLOCK_RATES,
        stop_s=MAX_STOP_S,
        is_strict=True,
        **options,
    )


class TestExpiredLeases(unittest.TestCase):
    def _running_model(self):
        """Returns a model, its only task, and the worker that executes the task."""
        model = make_model(self.fail)
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        model.schedule()
        model.hold()
        (task,) = model.all_tasks()
        return model, task, model.workers[task.worker_id]

    def _wait_for_restart(self, model, run):
        for _ in range(400):
            model.hold()
            model.advance(0.05)
            model.schedule()
            (task,) = model.all_tasks()
            if task.run > run:
                return
        self.fail("the task is not started again")

    def test_cut_worker_was_still_ending_a_run_that_was_started_elsewhere(self):
        model, task, worker = self._running_model()
        worker.is_reachable = False
        self._wait_for_restart(model, task.run)

    def test_successor_started_a_run_that_a_cut_worker_was_still_ending(self):
        model, task, worker = self._running_model()
        worker.is_reachable = False
        model.take_over()
        self._wait_for_restart(model, task.run)

    def test_new_incarnation_got_a_longer_lease_with_a_start_for_the_one_before(self):
        model = make_model(self.fail)
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        for worker in model.workers.values():
            worker.restart()
        model.schedule()
        model.hold()
        (task,) = model.all_tasks()
        model.workers[task.worker_id].is_reachable = False
        self._wait_for_restart(model, task.run)

    def test_new_incarnation_got_a_longer_lease_with_a_delayed_start(self):
        model = make_model(self.fail)
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        for worker in model.workers.values():
            worker.restart()
        model.schedule(lambda: "delayed")
        model.hold(stops="lost")
        model.advance(2.0)
        model.deliver_delayed_orders()
        (task,) = model.all_tasks()
        model.workers[task.worker_id].is_reachable = False
        self._wait_for_restart(model, task.run)

    def test_new_incarnation_got_a_longer_lease_from_the_previous_owner(self):
        model = make_model(self.fail)
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        for worker in model.workers.values():
            worker.restart()
        model.schedule()
        model.take_over()
        model.hold()
        (task,) = model.all_tasks()
        model.workers[task.worker_id].is_reachable = False
        self._wait_for_restart(model, task.run)

    def test_unheard_incarnation_got_a_longer_lease_from_the_previous_owner(self):
        # Its successor never hears from the worker.
        model = make_model(self.fail, names_incarnations=True)
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        for worker in model.workers.values():
            worker.restart()
        model.schedule()
        self.assertEqual([w.lease_until for w in model.workers.values()], [0.0, 0.0])
        model.take_over()
        (task,) = model.all_tasks()
        model.workers["w0"].is_reachable = False
        self._wait_for_restart(model, task.run)

    def test_unheard_incarnation_got_a_longer_lease_by_the_clock_of_before(self):
        # Regression (issue 40): the owner of both runs waited for the shorter one.
        model = make_model(self.fail, names_incarnations=True)
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        for worker in model.workers.values():
            worker.restart()
        model.schedule()
        (task,) = model.all_tasks()
        run = task.run
        for name, worker in model.workers.items():
            worker.is_reachable = name != (task.worker_id or "w0")
        self._wait_for_restart(model, run)

    def test_worker_that_crashed_twice_is_given_up_with_its_last_lease(self):
        model, task, worker = self._running_model()
        model.crash(task.worker_id)
        model.hold()
        model.advance(MAX_CALL_S)
        worker.restart()
        worker.is_reachable = True
        model.hold()
        worker.is_reachable = False
        cut_at = model.now
        self._wait_for_restart(model, task.run)
        self.assertLess(model.now - cut_at, LONGEST_RUN_S + 0.5)

    def _cut_worker_with_an_unanswered_start(self):
        """Returns a model and a worker, on which a start is still to arrive."""
        model = make_model(self.fail)
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        model.schedule(lambda: "delayed")
        (task,) = model.all_tasks()
        worker = model.workers[task.worker_id]
        worker.is_reachable = False
        return model, task, worker

    def _deliver_start_late(self, model, worker):
        worker.is_reachable = True
        model.refresh()
        model.hold()
        model.hold()
        model.deliver_delayed_orders()
        self.assertEqual(worker.runs, {})

    def test_start_arrived_after_its_task_was_started_elsewhere(self):
        model, task, worker = self._cut_worker_with_an_unanswered_start()
        self._wait_for_restart(model, task.run)
        self._deliver_start_late(model, worker)

    def test_start_arrived_after_its_worker_had_left_the_registry(self):
        model, task, worker = self._cut_worker_with_an_unanswered_start()
        model.refresh([name for name in model.workers if name != task.worker_id])
        self._wait_for_restart(model, task.run)
        self._deliver_start_late(model, worker)

    def test_worker_gets_no_lease_before_a_given_up_start_is_revoked(self):
        model, task, worker = self._cut_worker_with_an_unanswered_start()
        worker_id = task.worker_id
        self._wait_for_restart(model, task.run)
        worker.is_reachable = True
        model.hold(stops="lost")
        model.hold(stops="lost")
        model.submit("next", make_job(count=1, cpu=8000))
        model.schedule()
        self.assertEqual(worker.runs, {})
        model.deliver_delayed_orders()
        self.assertEqual(worker.runs, {})
        model.advance(1.0)
        model.hold()
        model.schedule()
        self.assertEqual(set(worker.runs), {"next.0.0.0"})
        self.assertEqual(model.state.workers[worker_id].revoked_starts, {})

    def test_start_was_sent_to_a_worker_that_no_longer_answered(self):
        # It may have started anew, under the same id and with another clock.
        model = make_model(self.fail)
        model.submit("job", make_job(count=1))
        model.hold()
        (order,) = model.state.schedule(model.now, model.now)
        self.assertTrue(model.state.may_send(order, model.now))
        model.restart(order.worker.worker_id)
        self.assertFalse(model.state.may_send(order, model.now))

    def test_worker_that_answered_was_taken_for_gone_as_its_host_started_another(self):
        model = make_model(self.fail, workers=1)
        model.workers["w0"].entry = make_entry("w0", host="host")
        model.refresh()
        model.submit("job", make_job(count=1, is_lasting=True))
        model.hold()
        model.schedule()
        model.hold()
        successor = make_entry("w1", host="host", incarnation_started_ms=2)
        entries = {"w0": model.workers["w0"].entry, "w1": successor}
        model.state.set_workers(entries, model.now)
        (task,) = model.all_tasks()
        self.assertIs(task.state, TaskState.RUNNING)
        self.assertFalse(is_usable(model.state.workers["w0"], model.now))
        # It is gone once its connection has broken.
        model.state.workers["w0"].mark_unanswered(model.now, True, model.now)
        model.state.set_workers(entries, model.now)
        self.assertIs(task.state, TaskState.WAITING)
        self.assertEqual(set(model.state.workers), {"w1"})

    def test_start_without_an_answer_was_executed_after_its_task_was_done(self):
        model = make_model(self.fail)
        model.submit("job", make_job(count=1))
        model.hold()
        model.schedule()
        (task,) = model.all_tasks()
        first = model.workers[task.worker_id]
        first.is_reachable = False
        first.end(task.name, EndKind.DONE)
        while task.is_active:
            model.hold()
            model.advance(0.25)
        model.schedule(lambda: "delayed")
        second = model.workers[task.worker_id]
        self.assertIsNot(first, second)
        second.is_reachable = False
        first.is_reachable = True
        model.hold()
        second.is_reachable = True
        model.hold(stops="lost")
        model.hold(stops="lost")
        model.advance(1.0)
        model.hold()
        model.deliver_delayed_orders()
        self.assertEqual(second.runs, {})

    def test_start_of_a_paused_owner_arrived_after_its_task_was_given_up(self):
        # The pause ended with the leases, before the call had timed out here.
        model = make_model(self.fail)
        model.submit("job", make_job(count=1))
        model.hold()
        (order,) = model.state.schedule(model.now, model.now)
        view, task = order.worker, order.task
        view.grant_lease(LEASE_S, model.now)
        view.pending_starts[task.name] = model.now
        view.mark_unanswered(model.now, False, model.now)
        model.now += LONGEST_RUN_S + 1.0
        model.state.expire_leases(model.now)
        self.assertFalse(task.is_active)
        self.assertIn((task.name, order.run), view.revoked_starts)

    def test_random_faults_by_seed(self):
        for seed in (*seeds_to_play(SEEDS), *FAILED_SEEDS):
            with self.subTest(seed=seed):
                self._run_seed(seed)

    def test_random_unheard_restarts_by_seed(self):
        for seed in seeds_to_play(SEEDS):
            with self.subTest(seed=seed):
                self._run_seed(seed, UNHEARD_FAULTS, names_incarnations=True)

    def _run_seed(self, seed, more_faults=(), **options):
        source = random.Random(seed)
        model = make_model(self.fail, workers=3, **options)
        for number in range(source.randint(1, 3)):
            model.submit(f"job{number}", make_job(count=2, steps=2))
        model.submit("lasting", make_job(count=2, is_lasting=True, may_miss=1))
        faults = (*FAULTS.elements, "schedule", "hold", "hold", "hold one", "submit")
        faults += more_faults
        for _ in range(source.randint(5, 60)):
            fault, which = source.choice(faults), source.randint(0, 2)
            if fault == UNHEARD_RESTART:
                model.workers[f"w{which}"].restart()
            else:
                apply_fault(model, fault, which)
        model.settle()
        model.check_all_finished()


if __name__ == "__main__":
    unittest.main()
