"""Waits for places in the right rack: when they begin, pay and end."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.scheduling.place_waits import (
    MAX_LASTING_WAIT_S,
    MAX_WAIT_S,
    PlaceWaits,
)
from basilwind.scheduling.reports import EndKind, StartOutcome
from tests.scheduling.model import QUEUE, PoolModel, make_entry, make_job

ROUND_S = 0.1
SLACK_S = QUEUE.target_s + QUEUE.stretch - 1.0  # of a new job of one step of 1 s
HOLDS_S = 0.004  # the model's clock advances with each hold


class PlaceWaitCase(unittest.TestCase):
    """Four workers of 8 cores, two in each of two racks."""

    def make_model(self, remote_factor=3.0):
        model = PoolModel(self.fail, workers=4, remote_factor=remote_factor)
        for number, worker in enumerate(model.workers.values()):
            name = worker.entry.worker_id
            worker.entry = make_entry(name, rack=f"r{number // 2}")
        model.refresh()
        model.hold()
        return model

    def occupy(self, model, rack="r0", count=16, elapsed_s=0.8, **fields):
        """Fills a rack with tasks of one core and 1 s that have run for a while."""
        spec = make_job(count=count, required_label=rack, **fields)
        model.submit(f"first{rack}", spec)
        model.schedule()
        model.advance(elapsed_s)
        model.hold()

    def submit(self, model, job_id="job", count=1, **fields):
        model.submit(job_id, make_job(count=count, **fields))
        model.schedule()

    def racks(self, model, job_id="job"):
        """Returns the racks in which the tasks of a job run, sorted."""
        return sorted(
            worker.entry.rack
            for worker in model.workers.values()
            for name in worker.runs
            if name.startswith(f"{job_id}.")
        )

    def free(self, model, rack="r0"):
        """Ends the tasks that fill a rack."""
        self.end_job(model, f"first{rack}")
        model.schedule()

    def end_job(self, model, job_id):
        """Ends all runs of a job, as a gang's tasks end together."""
        for worker in model.workers.values():
            for name in [n for n in worker.runs if n.startswith(f"{job_id}.")]:
                worker.end(name, EndKind.DONE)
        model.hold()

    def outcomes(self, model):
        """Returns the fields of the log lines of waits."""
        return [fields for event, fields in model.events if event == "place wait"]

    def play_until_started(self, model, longest_s):
        """Returns the time until a task of the job runs, seconds."""
        began_at = model.now
        while not self.racks(model):
            self.assertLess(model.now - began_at, longest_s + 1.0)
            model.advance(ROUND_S)
            model.hold()
            model.schedule()
        return model.now - began_at


class TestData(PlaceWaitCase):
    def test_wait_that_pays_is_taken(self):
        # Guards against a remote run of 3 s for want of a place that is free in 0.2 s.
        model = self.make_model()
        self.occupy(model)
        self.submit(model, data_rack="r0")
        self.assertEqual(self.racks(model), [])
        model.advance(0.2)
        self.free(model)
        self.assertEqual(self.racks(model), ["r0"])
        (line,) = self.outcomes(model)
        self.assertEqual((line["step"], line["rack"]), ("job.0.0", "r0"))
        self.assertEqual(line["outcome"], "near")
        self.assertAlmostEqual(line["expected_s"], 0.2, delta=0.02)
        self.assertAlmostEqual(line["waited_s"], 0.2, delta=0.02)

    def test_wait_that_does_not_pay_is_not_begun(self):
        # Guards against a fixed patience, which loses time behind long tasks.
        model = self.make_model()
        self.occupy(model, estimate_s=20.0)
        self.submit(model, data_rack="r0")
        self.assertEqual(self.racks(model), ["r1"])
        self.assertEqual(self.outcomes(model), [])

    def test_free_place_near_the_data_is_taken_at_once(self):
        # Guards against waits of tasks that have a place.
        model = self.make_model()
        self.occupy(model, count=15)
        self.submit(model, count=2, data_rack="r0")
        self.assertEqual(self.racks(model), ["r0"])

    def test_hot_rack_spills_early(self):
        # Guards against 20 tasks that wait for one rack until a limit and then all go.
        model = self.make_model()
        self.occupy(model, elapsed_s=0.5, cpu=2000, count=8)
        self.submit(model, count=20, cpu=2000, data_rack="r0", estimate_s=1.0)
        remote = len(self.racks(model))
        self.assertGreaterEqual(remote, 4)
        self.assertLess(remote, 20)

    def test_tasks_of_other_jobs_ahead_count(self):
        # Guards against jobs that each expect to get the same place.
        model = self.make_model()
        self.occupy(model, elapsed_s=0.5, cpu=8000, count=2)
        for number in range(4):
            model.submit(f"j{number}", make_job(count=1, cpu=8000, data_rack="r0"))
        model.schedule()
        started = [self.racks(model, f"j{number}") for number in range(4)]
        self.assertEqual(sum(map(len, started)), 2)

    def test_places_that_small_steps_share_all_count(self):
        # Guards against steps of one task that each see one place on a worker.
        model = self.make_model()
        self.occupy(model, elapsed_s=0.5)
        for number in range(20):
            model.submit(f"j{number}", make_job(count=1, data_rack="r0"))
        model.schedule()
        started = sum(len(self.racks(model, f"j{number}")) for number in range(20))
        self.assertEqual(started, 4)

    def test_rack_that_goes_away_ends_the_wait(self):
        # Guards against a wait for workers that have left.
        model = self.make_model()
        self.occupy(model)
        self.submit(model, data_rack="r0")
        self.assertEqual(self.racks(model), [])
        model.refresh(listed=["w2", "w3"])
        model.schedule()
        self.assertEqual(self.racks(model), ["r1"])
        self.assertEqual([line["outcome"] for line in self.outcomes(model)], ["remote"])

    def test_rack_that_can_never_fit_the_task_is_not_waited_for(self):
        # Guards against a wait for workers that are too small.
        model = self.make_model()
        for name in ("w0", "w1"):
            model.workers[name].entry = make_entry(name, cpu=2000, rack="r0")
        model.refresh()
        self.occupy(model, count=4)
        self.submit(model, cpu=4000, data_rack="r0")
        self.assertEqual(self.racks(model), ["r1"])

    def test_job_whose_deadline_is_near_does_not_wait(self):
        # Guards against a wait that makes a job late.
        for age_s in (SLACK_S - 0.1, 20.0):
            model = self.make_model()
            self.occupy(model, elapsed_s=0.5)
            model.submit("job", make_job(count=1, data_rack="r0"))
            model.state.jobs["job"].accepted_at -= age_s
            model.schedule()
            self.assertEqual(self.racks(model), ["r1"], age_s)

    def test_waiting_task_blocks_no_other(self):
        # Guards against a wait that counts as a shortage of workers of this size.
        model = self.make_model()
        self.occupy(model)
        self.submit(model, "job", data_rack="r0")
        self.submit(model, "other")
        self.assertEqual(self.racks(model), [])
        self.assertEqual(self.racks(model, "other"), ["r1"])

    def test_rejected_start_does_not_renew_the_wait(self):
        # Guards against waits of 1.5 s that add up to more than the fleet allows.
        model = self.make_model()
        self.occupy(model, elapsed_s=0.95)
        self.submit(model, data_rack="r0", estimate_s=1.4)
        model.advance(MAX_WAIT_S)
        model.hold()
        (order,) = model.state.schedule(model.now, model.now)
        self.assertEqual(order.worker.entry.rack, "r1")
        model.state.apply_start_outcome(
            order, StartOutcome.WRONG_INCARNATION, model.now
        )
        (order,) = model.state.schedule(model.now, model.now)
        self.assertEqual(order.worker.entry.rack, "r1")

    def test_long_running_task_waits_once_but_not_longer_than_2_s(self):
        # Guards against minutes on the wrong rack, and against a wait without an end.
        model = self.make_model(remote_factor=1.1)
        self.occupy(model, elapsed_s=0.2, estimate_s=2.0)
        self.submit(model, data_rack="r0", is_lasting=True)
        waited_s = self.play_until_started(model, MAX_LASTING_WAIT_S)
        self.assertEqual(self.racks(model), ["r1"])
        self.assertGreater(waited_s, MAX_WAIT_S)
        self.assertLess(waited_s, MAX_LASTING_WAIT_S + ROUND_S + HOLDS_S + 0.01)

    def test_full_pool_makes_a_longer_wait_worthwhile(self):
        # Guards against remote runs that take core-seconds from waiting jobs.
        model = self.make_model(remote_factor=1.5)
        waits = PlaceWaits(
            model.state.run_times, 1.5, lambda name: QUEUE, lambda *_, **__: None
        )
        model.submit("job", make_job(count=1, data_rack="r0", estimate_s=1.0))
        (step,) = model.state.jobs["job"].occurrences[0]
        limits = []
        for is_overloaded in (False, True):
            waits.begin_round(model.now, model.now, is_overloaded)
            limits.append(waits.limit_s(step))
        self.assertAlmostEqual(limits[0], 0.5)
        self.assertAlmostEqual(limits[1], 1.0)

    def test_gang_waits_as_a_whole(self):
        # Guards against a gang that is held back by one task or started in part.
        model = self.make_model()
        self.occupy(model, cpu=4000, count=4)
        self.submit(model, count=4, cpu=4000, data_rack="r0", is_gang=True)
        self.assertEqual(self.racks(model), [])
        model.advance(0.2)
        self.free(model)
        self.assertEqual(self.racks(model), ["r0"] * 4)

    def test_gang_that_the_rack_cannot_hold_does_not_wait(self):
        # Guards against a gang that waits for places of which there are too few.
        model = self.make_model()
        for name in ("w0", "w1"):
            model.workers[name].entry = make_entry(name, cpu=4000, rack="r0")
        model.refresh()
        self.occupy(model, cpu=4000, count=2)
        self.submit(model, count=4, cpu=3000, data_rack="r0", is_gang=True)
        self.assertEqual(self.racks(model), ["r1"] * 4)


class TestOneRack(PlaceWaitCase):
    def test_step_waits_for_room_in_one_rack(self):
        # Guards against a step that runs 3 times as long on two racks.
        for is_gang in (False, True):
            model = self.make_model()
            self.occupy(model, "r0", count=8)
            self.occupy(model, "r1", count=8, elapsed_s=0.0, estimate_s=9.0)
            fields = dict(count=12, needs_one_rack=True, is_gang=is_gang)
            self.submit(model, **fields)
            self.assertEqual(self.racks(model), [])
            self.free(model)
            self.assertEqual(self.racks(model), ["r0"] * 12)
            self.assertEqual(self.outcomes(model)[0]["outcome"], "near")

    def test_step_is_spread_if_waiting_does_not_pay(self):
        # Guards against a patience of 1.5 s for short tasks behind long ones.
        for is_gang in (False, True):
            model = self.make_model()
            for rack in ("r0", "r1"):
                self.occupy(model, rack, count=8, estimate_s=20.0)
            self.submit(model, count=12, needs_one_rack=True, is_gang=is_gang)
            self.assertEqual(set(self.racks(model)), {"r0", "r1"})
            self.assertEqual(len(self.racks(model)), 12)

    def test_waiting_step_blocks_no_other(self):
        # Guards against a wait that counts as a shortage of workers of this size.
        model = self.make_model()
        self.occupy(model, "r0", count=8)
        self.occupy(model, "r1", count=8, elapsed_s=0.0, estimate_s=9.0)
        self.submit(model, count=12, needs_one_rack=True)
        self.submit(model, "other", count=2)
        self.assertEqual(len(self.racks(model, "other")), 2)


class TestCap(PlaceWaitCase):
    @given(
        st.floats(0.0, 20.0),
        st.floats(0.0, 20.0),
        st.floats(1.0, 3.0),
        st.lists(st.floats(0.0, 100.0), max_size=30),
        st.sampled_from(["data", "one rack", "long-running"]),
        st.booleans(),
    )
    def test_no_estimate_makes_a_wait_longer(
        self, running_s, declared_s, remote_factor, history, kind, is_gang
    ):
        # Guards against a job without a run for 3 s: the tasks of the rack never end.
        model = self.make_model(remote_factor)
        for measured_s in history:
            model.state.run_times.record("q", running_s, measured_s)
        for rack, count in (("r0", 16), ("r1", 8)):
            self.occupy(model, rack, count=count, elapsed_s=0.1, estimate_s=running_s)
        fields = dict(count=4, estimate_s=declared_s, is_gang=is_gang)
        if kind == "one rack":
            fields.update(count=8, cpu=1000, needs_one_rack=True)
        else:
            fields.update(data_rack="r0", is_lasting=kind == "long-running")
        longest_s = MAX_LASTING_WAIT_S if kind == "long-running" else MAX_WAIT_S
        self.submit(model, **fields)
        waited_s = self.play_until_started(model, longest_s)
        self.assertLess(waited_s, longest_s + ROUND_S + 2 * HOLDS_S)


class TestOtherJobs(PlaceWaitCase):
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 12),
                st.sampled_from([100, 1000, 4000, 8000]),
                st.floats(0.1, 5.0),
                st.booleans(),
            ),
            min_size=1,
            max_size=10,
        )
    )
    def test_jobs_without_a_rack_are_placed_alike_with_any_factor(self, jobs):
        # Guards against waits of jobs that name no rack.
        plays = []
        for remote_factor in (1.0, 3.0):
            model = self.make_model(remote_factor)
            for number, (count, cpu, estimate_s, is_gang) in enumerate(jobs):
                fields = dict(cpu=cpu, estimate_s=estimate_s, is_gang=is_gang)
                self.submit(model, f"j{number}", count=count, **fields)
                model.advance(0.1)
                self.end_job(model, f"j{number // 3}")
            model.settle(rounds=10)
            plays.append([e for e in model.events if e[0] == "step placed"])
            self.assertEqual(self.outcomes(model), [])
        self.assertEqual(plays[0], plays[1])


class TestPreemption(PlaceWaitCase):
    def test_overdue_run_of_a_queue_with_a_tail_is_stopped(self):
        # Guards against a host that is kept for seconds by a run that counts as done.
        stopping = []
        for tail_ratio in (1.0, 7.0):
            model = self.make_model()
            for number in range(600):
                measured_s = tail_ratio if number % 33 == 0 else 1.0
                model.state.run_times.record("q", 1.0, measured_s)
            self.submit(model)
            model.state.jobs["job"].accepted_at -= 20.0
            model.advance(1.6)
            model.hold()
            (task,) = model.state.jobs["job"].tasks()
            model.state.withhold([task.worker_id], model.now, model.now)
            stopping.append(task.is_stopping)
        self.assertEqual(stopping, [False, True])

    def test_remote_run_is_learned_as_what_it_takes_near_its_data(self):
        # Guards against a mean that follows how many tasks ran on another rack.
        model = self.make_model(remote_factor=3.0)
        self.occupy(model, estimate_s=20.0, elapsed_s=0.0)
        self.submit(model, data_rack="r0")
        self.assertEqual(self.racks(model), ["r1"])
        model.advance(3.0)
        for worker in model.workers.values():
            if "job.0.0.0" in worker.runs:
                worker.end("job.0.0.0", EndKind.DONE)
        model.hold()
        self.assertAlmostEqual(model.state.run_times.expected_s("q", 0), 1.0, delta=0.1)
