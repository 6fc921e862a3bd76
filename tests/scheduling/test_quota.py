"""Quota: all pools together never start more than a customer's maximum."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.scheduling.fleet import Customer, Resources
from basilwind.scheduling.quota import Amount, GrantResponse, GrantRow, QuotaBook
from basilwind.scheduling.quota_ledger import UNKNOWN, divide, share_fairly
from basilwind.scheduling.quota_use import measure_ending
from basilwind.scheduling.reports import EndedRun, EndKind, WorkerReport
from tests.scheduling.model import PoolModel, make_job, seeds_to_play
from tests.scheduling.quota_model import CUSTOMER, QuotaFleet
from tests.scheduling.test_pool import apply_fault

BASIS = Amount(8000, 10**12, 10**12)
SEEDS = 150
STEP_COUNT = 400
POOL_SEEDS = 100
# Weights of the faults of ``apply_fault``.
POOL_FAULTS = {
    "schedule": 3,
    "schedule delayed": 1,
    "schedule answer lost": 1,
    "hold": 1,
    "hold one": 1,
    "finish": 2,
    "wait": 1,
    "wait long": 1,
    "disconnect": 1,
    "reconnect": 1,
    "restart": 1,
    "deliver delayed": 1,
    "take over": 1,
    "take over unlisted": 1,
    "relist": 1,
    "store down": 2,
    "store up": 1,
    "cancel": 1,
    "submit": 3,
    "submit unread": 1,
}
AMOUNTS = st.lists(st.integers(0, 5000), min_size=1, max_size=6)


def raise_failure(message):
    raise AssertionError(message)


class TestDivide(unittest.TestCase):
    """A division above the maximum would be granted as it is."""

    @given(st.integers(0, 10_000), AMOUNTS, st.data())
    def test_sum_is_within_the_maximum_and_needs_come_first(self, total, needs, data):
        held = data.draw(
            st.lists(st.integers(0, 5000), min_size=len(needs), max_size=len(needs))
        )
        targets = divide(total, needs, held)
        self.assertLessEqual(sum(targets), total)
        for need, target, fair in zip(
            needs, targets, share_fairly(total, needs), strict=True
        ):
            self.assertGreaterEqual(target, fair)
            if sum(needs) <= total:
                self.assertGreaterEqual(target, need)

    def test_small_needs_are_met_in_full(self):
        self.assertEqual(share_fairly(900, [100, 1000, 1000]), [100, 400, 400])

    def test_half_is_spread_evenly_without_need(self):
        self.assertEqual(divide(8000, [0, 0], [0, 0]), [2000, 2000])

    def test_even_share_is_given_up_for_needs(self):
        self.assertEqual(divide(8000, [0, 9000], [2000, 2000]), [0, 8000])

    def test_surplus_stays_where_it_is(self):
        self.assertEqual(divide(8000, [0, 1000], [6000, 0]), [6000, 2000])


class TestExchanges(unittest.TestCase):
    def setUp(self):
        self.fleet = QuotaFleet(self.fail, maximum=8000, pools=2)
        self.fleet.settle()

    def test_burst_within_the_even_share_starts_without_a_call(self):
        self.assertEqual(self.fleet.start("p0", 2), 2)

    def test_demand_that_moves_gets_the_amount_within_two_exchanges(self):
        self.assertEqual(self.fleet.start("p0", 2), 2)
        self.fleet.owners["p0"].waiting = 6
        self.fleet.settle()
        self.assertEqual(self.fleet.start("p0", 0), 6)
        self.fleet.finish("p0")
        self.fleet.start("p1", 8)
        self.fleet.exchange("p1")
        started = 0
        for _ in range(2):
            self.fleet.exchange("p0")
            self.fleet.exchange("p1")
            started += self.fleet.start("p1", 0)
        self.assertEqual(len(self.fleet.runs["p1"]), 8)

    def test_pools_that_share_a_maximum_of_one_task_take_turns(self):
        fleet = QuotaFleet(self.fail, maximum=1000, pools=2)
        started = {"p0": 0, "p1": 0}
        for _ in range(40):
            for pool in fleet.pools:
                started[pool] += fleet.start(pool, 1)
                fleet.exchange(pool)
            fleet.now += 0.3
            for owner in (*fleet.owners.values(), fleet.granter):
                owner.read_configuration()
            for pool in fleet.pools:
                fleet.finish(pool)
        self.assertTrue(all(started.values()), started)

    def test_nothing_starts_below_a_lowered_maximum_until_enough_has_ended(self):
        self.fleet.owners["p0"].waiting = 8
        self.fleet.settle()
        self.assertEqual(self.fleet.start("p0", 0), 8)
        self.fleet.publish(4000)
        self.fleet.now += 4.0
        for daemon in (*self.fleet.owners.values(), self.fleet.granter):
            daemon.read_configuration()
        self.fleet.start("p1", 4)
        self.fleet.settle()
        self.assertEqual(self.fleet.start("p1", 0), 0)
        self.fleet.finish("p0")
        self.fleet.settle()
        self.assertEqual(self.fleet.start("p1", 0), 4)

    def test_owner_that_missed_a_raise_starts_nothing_after_the_cut(self):
        # The maximum was 8000 before and is 8000 again, but 12000 run elsewhere.
        fleet = self.fleet
        fleet.publish(14000)
        for daemon in (fleet.owners["p1"], fleet.granter):
            daemon.read_configuration()
        fleet.owners["p1"].waiting = 12
        for _ in range(4):
            fleet.exchange("p1")
        self.assertEqual(fleet.start("p1", 0), 12)
        fleet.publish(8000)
        fleet.now += 4.0
        fleet.take_over("p0")
        fleet.granter.read_configuration()
        fleet.owners["p1"].read_configuration()
        fleet.owners["p0"].waiting = 1
        fleet.exchange("p0")
        self.assertEqual(fleet.start("p0", 0), 0)

    def test_new_pool_costs_the_others_nothing(self):
        self.fleet.pools.append("p2")
        self.fleet.exchange("p0")
        self.assertEqual(self.fleet.start("p0", 2), 2)

    def test_unconfirmed_configuration_lets_nothing_start(self):
        self.fleet.now += 3.5
        self.assertEqual(self.fleet.start("p0", 1), 0)

    def test_late_report_does_not_lower_what_a_later_one_raised(self):
        late = self.fleet.owners["p0"].call()
        self.fleet.owners["p0"].waiting = 8
        self.fleet.settle()
        self.fleet.replace_granter()
        self.fleet.granter.receive(*late)
        self.assertEqual(self.fleet.granter.ledger.entry("p0", CUSTOMER).cpu, 8000)

    def test_report_of_a_superseded_owner_is_refused(self):
        previous = self.fleet.owners["p0"]
        self.fleet.take_over("p0")
        self.fleet.settle()
        _, request = previous.call()
        self.assertFalse(self.fleet.granter.ledger.apply_report(request))

    def test_reports_that_change_no_bound_are_not_journalled(self):
        # The records of all pools that reported were written with each raise, 3 KB per
        # pool with 66 customers.
        self.fleet.settle()
        ledger = self.fleet.granter.ledger
        ledger.dirty.clear()
        _, request = self.fleet.owners["p0"].call()
        self.assertTrue(ledger.apply_report(request))
        self.assertEqual(ledger.dirty, set())

    def test_pool_that_never_reported_may_hold_everything(self):
        # Its owner may have started tasks before the customer had a maximum.
        fleet = QuotaFleet(self.fail, maximum=8000, pools=2)
        for _ in range(4):
            fleet.exchange("p0")
        self.assertEqual(fleet.start("p0", 1), 0)

    def test_bounds_from_before_a_time_without_a_limit_are_forgotten(self):
        # Owners have started tasks without grants meanwhile.
        ledger, granter = self.fleet.granter.ledger, self.fleet.granter
        self.assertFalse(ledger.forget_unlimited())
        granter.maximum = 0
        self.assertTrue(ledger.forget_unlimited())
        granter.maximum = 8000
        self.fleet.owners["p1"].active = {1, 2, 3, 4, 5}
        self.fleet.exchange("p0")
        self.fleet.exchange("p0")
        self.assertEqual(ledger.entry("p1", CUSTOMER), UNKNOWN)
        self.fleet.owners["p0"].waiting = 8
        self.fleet.settle()
        self.assertEqual(self.fleet.owners["p0"].book.grant(CUSTOMER).cpu, 3000)


class FaultPlay:
    """Random steps of owners and granters that are late, frozen and replaced.

    Args:
        seed: Seed of the random steps.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = QuotaFleet(raise_failure, maximum=6000, pools=3)
        self.fleet.settle(2)

    def play(self, steps):
        """Plays a number of steps."""
        names = self.random.choices(list(STEPS), STEPS.values(), k=steps)
        for name in names:
            getattr(self, name)()

    def _pool(self):
        return self.random.choice(self.fleet.pools)

    def _owner(self):
        # Superseded owners and granters go on until they notice.
        if self.random.random() < 0.8:
            return self.fleet.owners[self._pool()]
        return self.random.choice(self.fleet.all_owners[-6:])

    def _granter(self):
        if self.random.random() < 0.8:
            return self.fleet.granter
        return self.random.choice(self.fleet.all_granters[-2:])

    def _take(self, messages):
        """Takes a message: mostly the newest, sometimes one that is late."""
        if not messages:
            return None
        is_late = self.random.random() < 0.3
        return messages.pop(self.random.randrange(len(messages)) if is_late else -1)

    def submit(self):
        self._owner().waiting += self.random.randint(1, 6)

    def drop_waiting(self):
        self._owner().waiting = 0

    def schedule(self):
        self._owner().schedule()

    def send_one(self):
        owner = self._owner()
        if owner.orders:
            owner.send(self.random.choice(list(owner.orders)))

    def send_all(self):
        owner = self._owner()
        for task in list(owner.orders):
            owner.send(task)

    def start(self):
        self.schedule()
        self.send_all()

    def write_journal(self):
        self._owner().write(self.random.random() < 0.8)

    def call(self):
        self.fleet.requests.append(self._owner().call())

    def deliver_request(self):
        request = self._take(self.fleet.requests)
        if request is not None:
            self._granter().receive(*request)

    def write_ledger(self):
        self._granter().write()

    def deliver_response(self):
        response = self._take(self.fleet.responses)
        if response is not None:
            owner, request, answer = response
            owner.apply(request, answer)

    def exchange(self):
        self.fleet.exchange(self._pool())

    def end_runs(self):
        running = self.fleet.runs[self._pool()]
        for task in self.random.sample(sorted(running), len(running) // 2):
            running.discard(task)

    def finish(self):
        self.fleet.finish(self._pool())

    def learn(self):
        self.fleet.owners[self._pool()].learn()

    def replace_owner(self):
        self.fleet.take_over(self._pool())

    def replace_granter(self):
        self.fleet.replace_granter()

    def publish(self):
        self.fleet.publish(self.random.choice((1000, 3000, 6000, 9000)))

    def read_configuration(self):
        self.random.choice((self._owner(), self._granter())).read_configuration()

    def all_read_configuration(self):
        for daemon in (*self.fleet.owners.values(), self.fleet.granter):
            daemon.read_configuration()

    def advance(self):
        self.fleet.now += self.random.choice((0.1, 1.0, 4.0))


STEPS = dict(
    submit=8,
    drop_waiting=3,
    schedule=6,
    send_one=3,
    send_all=6,
    start=15,
    write_journal=12,
    call=12,
    deliver_request=12,
    write_ledger=10,
    deliver_response=12,
    exchange=8,
    end_runs=3,
    finish=6,
    learn=6,
    replace_owner=2,
    replace_granter=2,
    publish=1,
    read_configuration=4,
    all_read_configuration=8,
    advance=4,
)


class TestFaults(unittest.TestCase):
    """No order of late, lost and repeated steps lets more start than the maximum."""

    def test_starts_stay_within_the_highest_maximum_in_force(self):
        for seed in seeds_to_play(SEEDS):
            with self.subTest(seed=seed):
                FaultPlay(seed).play(STEP_COUNT)

    def test_single_pool_keeps_its_grant_under_faults(self):
        # Runs of a previous owner count, recorded or not, as do those being stopped.
        for seed in seeds_to_play(POOL_SEEDS):
            with self.subTest(seed=seed):
                self._play_pool(seed)

    def _play_pool(self, seed):
        choose = random.Random(seed)
        model = PoolModel(
            self.fail, make_quota=lambda: make_quota(3000), max_running_cpu=3000
        )
        for number in range(3):
            model.submit(f"job{number}", make_job(count=3, steps=2))
        for fault in choose.choices(list(POOL_FAULTS), POOL_FAULTS.values(), k=80):
            apply_fault(model, fault, choose.randrange(3))
        model.settle()
        model.check_all_finished()


def make_quota(grant, names=(CUSTOMER,)):
    """Returns a ``QuotaBook`` with a grant of CPU."""
    book = QuotaBook(lambda name: _find(name, names), lambda: names)
    row = GrantRow(CUSTOMER, Amount(grant, 10**12, 10**12), BASIS)
    book.apply(GrantResponse(1, 1, [row]), 0.0)
    return book


def _find(name, names):
    return Customer(name, 1.0, Resources(cpu=8000 if name in names else 0))


class TestBook(unittest.TestCase):
    """What an owner reports must cover what a successor may use."""

    def _held(self, book):
        (row,) = book.rows({}, 1.0)
        return row.held.cpu

    def _lower(self, book, cpu):
        row = GrantRow(CUSTOMER, Amount(cpu, 10**12, 10**12), BASIS)
        return book.apply(GrantResponse(1, 2, [row]), 1.0)

    def test_lowered_grant_is_held_until_the_journal_has_it(self):
        book = make_quota(3000)
        book.begin_record({})
        book.finish_record()
        self._lower(book, 1000)
        self.assertTrue(book.is_record_due)
        self.assertEqual(book.room(CUSTOMER, Resources(), 1.0).cpu, 1000)
        self.assertEqual(self._held(book), 3000)
        book.begin_record({})
        # The write may have taken effect or not.
        self.assertEqual(self._held(book), 3000)
        book.finish_record()
        self.assertEqual(self._held(book), 1000)

    def test_older_answer_is_ignored(self):
        book = make_quota(3000)
        self.assertTrue(self._lower(book, 1000))
        self.assertFalse(self._lower(book, 3000))
        self.assertEqual(book.grant(CUSTOMER).cpu, 1000)

    def test_grant_from_before_a_raise_and_a_cut_needs_a_new_one(self):
        # Other pools may hold what was granted while the maximum was higher.
        maximums = []
        book = QuotaBook(lambda name: Customer(name, 1.0, Resources(cpu=maximums[-1])))
        self._lower(book, 3000)
        for maximum, room in ((8000, 3000), (9000, 3000), (8000, 0)):
            maximums.append(maximum)
            book.begin_round(1.0)
            self.assertEqual(book.room(CUSTOMER, Resources(), 1.0).cpu, room)

    def test_restored_grants_are_those_of_the_journal(self):
        book = make_quota(3000)
        data = book.begin_record({CUSTOMER: Resources(cpu=500)})
        successor = make_quota(0)
        successor.restore(data)
        self.assertEqual(successor.grant(CUSTOMER).cpu, 3000)
        self.assertEqual(successor.previous_ending[CUSTOMER].cpu, 500)


class TestPool(unittest.TestCase):
    """The pool places no more than fits, and blocked steps hold up nobody else."""

    def setUp(self):
        self.model = PoolModel(
            self.fail, find_customer=lambda name: _find(name, (CUSTOMER,))
        )
        self.model.hold()
        self.state = self.model.state
        self.state.quota = make_quota(3000)

    def _submit(self, job_id, spec, customer=CUSTOMER):
        self.model.submitted[job_id] = spec
        now = self.model.now
        self.state.submit(job_id, "q", spec, now, now, now, customer)

    def _schedule(self):
        return self.state.schedule(self.model.now, self.model.now)

    def test_as_many_tasks_start_as_fit(self):
        self._submit("a", make_job(count=5))
        self.assertEqual(len(self._schedule()), 3)
        self.assertEqual(self._schedule(), [])

    def test_gang_starts_as_a_whole_or_not_at_all(self):
        self._submit("a", make_job(count=4, is_gang=True))
        self.assertEqual(self._schedule(), [])
        self._submit("b", make_job(count=3, is_gang=True))
        self.assertEqual(len(self._schedule()), 3)

    def test_fillers_count_in_full(self):
        self._submit("a", make_job(count=5, is_filler=True, is_lasting=True))
        self.assertEqual(len(self._schedule()), 3)

    def test_customer_at_its_maximum_holds_up_nobody_else(self):
        self._submit("a", make_job(count=20))
        self._submit("b", make_job(count=20, is_lasting=True))
        self._submit("c", make_job(count=6), "other")
        self._submit("d", make_job(count=6), "")
        jobs = [order.task.job.job_id for order in self._schedule()]
        self.assertEqual([jobs.count(job) for job in "cd"], [6, 6])
        self.assertEqual(jobs.count("a") + jobs.count("b"), 3)

    def test_blocked_work_draws_no_hosts(self):
        self._submit("a", make_job(count=500, estimate_s=10.0))
        self._submit("b", make_job(count=500, is_lasting=True))
        report = self.state.pool_report(self.model.now, self.model.now)
        self.assertLessEqual(report.urgent_work + report.late_work, 8 * 1.1)
        self.assertLessEqual(report.lasting_cpu, 8000)

    def test_runs_that_are_being_stopped_count(self):
        self._submit("a", make_job(count=3))
        self.model.schedule()
        self.state.cancel("a", self.model.now)
        self._submit("b", make_job(count=3))
        self.assertEqual(self._schedule(), [])

    def test_unknown_customer_starts_nothing(self):
        # It may be new in a configuration that has not arrived here.
        self.state.quota = QuotaBook(lambda name: None)
        self._submit("a", make_job(count=2))
        self._submit("b", make_job(count=2), "")
        self.assertEqual({order.task.job.job_id for order in self._schedule()}, {"b"})

    def test_runs_that_no_task_needs_count(self):
        # As after a takeover from an owner whose journal lacks them.
        self._submit("a", make_job(count=3))
        worker = next(iter(self.state.workers.values()))
        spec = make_job().steps[0]
        worker.set_unwanted_runs({("a.0.0.0", 1): spec, ("a.0.0.1", 1): spec})
        self.assertEqual(len(self._schedule()), 1)

    def test_runs_that_are_being_stopped_count_on_an_unlisted_worker(self):
        # A worker without tasks was dropped with its runs, which execute until they
        # are stopped or its lease ends.
        self._submit("a", make_job(count=3))
        worker, *others = self.state.workers.values()
        spec = make_job().steps[0]
        worker.set_unwanted_runs({("a.0.0.0", 1): spec, ("a.0.0.1", 1): spec})
        entries = {other.worker_id: other.entry for other in others}
        self.state.set_workers(entries, self.model.now)
        self.assertEqual(len(self._schedule()), 1)
        worker.set_unwanted_runs({})
        self.state.set_workers(entries, self.model.now)
        self.assertNotIn(worker.worker_id, self.state.workers)

    def test_successor_counts_redundant_runs_of_a_job_that_goes_on(self):
        # The record of a finished task has no run, while one that was started again
        # executes until its worker has stopped it.
        self._submit("a", make_job(count=1, steps=2))
        (order,) = self._schedule()
        order.task.run = 2
        workers = self.state.workers.values()
        other = next(worker for worker in workers if worker is not order.worker)
        end = EndedRun(1, order.task.name, 1, EndKind.DONE, "")
        report = WorkerReport(500.0, 1, (), (end,))
        self.state.apply_report(other, report, self.model.now, self.model.now)
        self.assertTrue(self.state.jobs["a"].is_live)
        self.assertEqual(measure_ending(self.state)[CUSTOMER].cpu, 1000)

    def test_order_is_not_sent_once_its_quota_is_gone(self):
        self._submit("a", make_job(count=3))
        order = self._schedule()[0]
        self.assertTrue(self.state.may_send(order, self.model.now))
        row = GrantRow(CUSTOMER, Amount(1000, 10**12, 10**12), Amount(8000, 1, 1))
        self.state.quota.apply(GrantResponse(1, 2, [row]), self.model.now)
        self.assertFalse(self.state.may_send(order, self.model.now))

    def test_successor_counts_runs_that_may_lack_a_record(self):
        self._submit("a", make_job(count=3))
        self.model.flush()
        self.model.take_over()
        self.state = self.model.state
        for job in self.state.jobs.values():
            job.customer = CUSTOMER
        self.state.quota = make_quota(3000)
        self._submit("b", make_job(count=3))
        self.assertEqual(self._schedule(), [])

    def test_successor_counts_runs_of_jobs_that_have_ended(self):
        # Regression: the record of a cancelled job has no tasks, while its runs execute
        # until their worker has stopped them.
        model = PoolModel(
            self.fail, make_quota=lambda: make_quota(3000), max_running_cpu=3000
        )
        model.submit("a", make_job(count=3))
        model.hold()
        model.schedule()
        model.state.cancel("a", model.now)
        model.flush()
        model.take_over()
        model.submit("b", make_job(count=3))
        # Its workers have not reported, but could execute a start.
        for worker in model.state.workers.values():
            worker.set_clock(500.0, model.now)
        model.schedule()
        self.assertNotIn("b.0.0.0", [n for w in model.workers.values() for n in w.runs])
        model.settle()
        model.check_all_finished()
