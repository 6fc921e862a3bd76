"""The messages between owners and the granter of quota."""

import types
import unittest
from dataclasses import replace

import anyio
import msgspec

from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.entry.journal import QUOTA_KEY, journal_topic
from basilwind.entry.metrics import EntryMetrics
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peer_app import PeerApp
from basilwind.entry.peer_client import PeerClient
from basilwind.entry.quota_client import FULL_REPORT_CALLS, QuotaClient
from basilwind.entry.quota_granter import TOPIC, QuotaGranter
from basilwind.errors import NotOwner, ProducerFenced
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.fleet import Customer, Resources
from basilwind.scheduling.outages import SUSPECT_AFTER_S
from basilwind.scheduling.quota import (
    Amount,
    GrantRequest,
    GrantResponse,
    QuotaBook,
    QuotaRecord,
    UseRow,
)
from basilwind.scheduling.quota_ledger import QuotaLedger
from tests.scheduling.model import PoolModel, make_job
from tests.scheduling.test_quota import make_quota
from tests.utils.asgi import AppTransport, call
from tests.utils.entry_fakes import CONFIGURATION, Clock, FakeStore, make_services

SETTLE_S = 0.3  # some scheduling rounds and calls
NONE = Amount()


def make_request(number, need=3000, held=0, token=7):
    """Returns a report of an owner without a grant."""
    row = UseRow("c", Amount(held), NONE, NONE, NONE, Amount(need), Amount(1000))
    return GrantRequest("pool", token, number, [row])


class RecordingStore(FakeStore):
    """A store that keeps appended records by topic and can hold up appends."""

    def __init__(self, clock, monitor):
        super().__init__(clock, monitor)
        self.appended = []
        self.is_stuck = self.is_fenced = False

    async def append(self, topic, records, at=None, producer=None, timeout_s=1.0):
        if topic == TOPIC and self.is_fenced:
            raise ProducerFenced(topic)
        if topic == TOPIC and self.is_stuck:
            await anyio.sleep_forever()
        self.appended += [(topic, record) for record in records]
        return await super().append(topic, records)


class QuotaCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.events = []
        self.services = make_services(
            self.clock, lambda event, **fields: self.events.append((event, fields))
        )
        monitor = self.services.store_monitor
        self.store = self.services.store = RecordingStore(self.clock, monitor)
        self.maximum = 8000
        self.configuration = self.services.configuration
        self.configuration.find_customer = lambda name: Customer(
            name, 1.0, Resources(cpu=self.maximum if name == "c" else 0)
        )
        self.configuration.customer_names = lambda: ["c"]

    def run_granter(self, scenario):
        async def main():
            granter = QuotaGranter(3, self.services)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(granter.run)
                while not granter.is_loaded:
                    await anyio.sleep(0.001)
                await scenario(granter)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def ledger_appends(self):
        return [record for topic, record in self.store.appended if topic == TOPIC]


class TestGranter(QuotaCase):
    def test_raise_is_journalled_before_it_is_answered(self):
        async def scenario(granter):
            response = await granter.answer(make_request(1))
            (row,) = response.rows
            self.assertGreaterEqual(row.grant.cpu, 3000)
            self.assertEqual(row.basis.cpu, 8000)
            (record,) = self.ledger_appends()
            self.assertIn(str(row.grant.cpu).encode(), record)

        self.run_granter(scenario)

    def test_no_raise_is_answered_while_it_can_not_be_journalled(self):
        async def scenario(granter):
            self.store.is_stuck = True
            response = await granter.answer(make_request(1))
            self.assertEqual(response.rows, [])
            # The store is back: the next report gets the raise.
            self.store.is_stuck = False

        self.run_granter(scenario)

    def test_superseded_granter_answers_no_raise(self):
        async def scenario(granter):
            self.store.is_fenced = True
            response = await granter.answer(make_request(1))
            self.assertEqual(response.rows, [])

        with self.assertRaises(ExceptionGroup) as caught:
            self.run_granter(scenario)
        self.assertIsNotNone(caught.exception.subgroup(ProducerFenced))

    def test_no_raise_while_the_store_is_suspected(self):
        async def scenario(granter):
            self.clock.now += SUSPECT_AFTER_S * 2
            response = await granter.answer(make_request(1))
            self.assertEqual(response.rows, [])

        self.run_granter(scenario)

    def test_no_raise_by_a_configuration_that_is_not_confirmed(self):
        async def scenario(granter):
            self.configuration.confirmed_at -= 3.0
            response = await granter.answer(make_request(1))
            self.assertEqual(response.rows, [])

        self.run_granter(scenario)

    def test_late_reports_and_those_of_earlier_owners_are_refused(self):
        async def scenario(granter):
            await granter.answer(make_request(2))
            for request in (make_request(1), make_request(5, token=6)):
                with self.assertRaises(NotOwner):
                    await granter.answer(request)

        self.run_granter(scenario)

    def test_grants_of_the_previous_granter_are_kept(self):
        value = b'{"token": 7, "number": 4, "entries": {"c": [6000, 0, 0]}}'
        self.store.latest[TOPIC] = [KeyedRecord(0, "other", value)]

        async def scenario(granter):
            response = await granter.answer(make_request(1, need=8000))
            self.assertEqual(response.rows[0].grant.cpu, 2000)

        self.run_granter(scenario)

    def test_damaged_record_grants_nothing_to_others(self):
        async def scenario(granter):
            await granter.answer(make_request(1))
            self.assertIn("quota record damaged", [event for event, _ in self.events])

        self.store.latest[TOPIC] = [KeyedRecord(0, "other", b"{")]
        self.run_granter(scenario)


class TestOwner(QuotaCase):
    def _run(self, scenario, has_granter=True):
        async def with_granter(granter):
            find_granter = (lambda: granter) if has_granter else lambda: None
            peers = PeerClient(None, None, None, find_granter)
            self.services.request_grants = peers.request_grants
            owner = PoolOwner("pool", 7, self.services)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                while not owner.is_loaded:
                    await anyio.sleep(0.01)
                await anyio.sleep(SETTLE_S)
                await scenario(owner)
                tasks.cancel_scope.cancel()

        self.run_granter(with_granter)

    async def _submit(self, owner, count=4, customer="c"):
        now = self.clock()
        job_id = f"{len(owner.state.jobs):016x}"
        spec = make_job(count=count)
        owner.state.submit(job_id, "q", spec, now, now, now, customer)
        owner.request_scheduling()
        await anyio.sleep(SETTLE_S)

    def _starts(self):
        return len(self.services.worker_control.starts)

    def test_tasks_start_within_the_grant(self):
        self.maximum = 3000
        self._run(self._submit)
        self.assertEqual(self._starts(), 3)
        self.assertIn("quota granted", [event for event, _ in self.events])
        self.assertIn("quota blocked", [event for event, _ in self.events])

    def test_nothing_starts_without_a_granter_but_for_others(self):
        async def scenario(owner):
            await self._submit(owner)
            self.assertEqual(self._starts(), 0)
            await self._submit(owner, customer="other")
            self.assertEqual(self._starts(), 4)

        self._run(scenario, has_granter=False)

    def test_nothing_starts_by_a_configuration_that_is_not_confirmed(self):
        async def scenario(owner):
            self.configuration.confirmed_at -= 3.0
            await self._submit(owner)
            self.assertEqual(self._starts(), 0)
            # The outage is confirmed for all daemons.
            self.services.outage.is_confirmed = True
            owner.request_scheduling()
            await anyio.sleep(SETTLE_S)
            self.assertEqual(self._starts(), 4)

        self._run(scenario)

    def test_raise_and_cut_between_two_rounds_need_a_new_grant(self):
        # Meanwhile, other pools may have got what the raise allowed.
        async def scenario(owner):
            quota = owner.state.quota
            self.assertTrue(quota.may_start("c", self.clock()))
            for self.maximum in (14000, 8000):
                owner.apply_configuration()
            self.assertFalse(quota.may_start("c", self.clock()))
            await self._submit(owner)
            self.assertEqual(self._starts(), 4)

        self._run(scenario)

    def test_operators_are_told_the_quota(self):
        async def scenario(owner):
            await self._submit(owner)
            for customer, rows in (("c", 2), ("other", 0)):
                reasons = owner.explain_placement(
                    CONFIGURATION.queues["q"], make_job(cpu=5000), customer
                )
                texts = [each.text for each in reasons if each.topic == "quota"]
                self.assertEqual(len(texts), rows)
                if texts:
                    self.assertIn("larger than the maximum", texts[0])
                    self.assertIn("3000 used of 3000", texts[1])

        self.maximum = 3000
        self._run(scenario)

    def test_order_that_waited_for_its_record_is_given_up(self):
        async def scenario(owner):
            # The process is paused while the order waits for its record.
            def pause(topic):
                if topic == journal_topic("pool"):
                    self.configuration.confirmed_at -= 3.0

            self.store.on_append = pause
            await self._submit(owner)
            self.assertEqual(self._starts(), 0)

        self._run(scenario)

    def test_lowered_grant_is_journalled_and_a_successor_continues_with_it(self):
        async def scenario(owner):
            self.maximum = 2000
            owner.request_scheduling()
            await anyio.sleep(SETTLE_S)
            key = QUOTA_KEY.encode()
            records = [record for _, record in self.store.appended if key in record]
            value = records[-1].partition(key)[2]
            record = msgspec.json.decode(value, type=QuotaRecord)
            self.assertLessEqual(record.rows[0].grant.cpu, 2000)
            topic = journal_topic("pool")
            self.store.latest[topic] = [KeyedRecord(0, QUOTA_KEY, value)]
            successor = PoolOwner("pool", 8, self.services)
            with anyio.move_on_after(SETTLE_S):
                await successor.run()
            self.assertEqual(
                successor.state.quota.grant("c"), record.rows[0].grant.resources
            )

        self._run(scenario)


class TestCalls(QuotaCase):
    """Requests and answers must survive the way between two daemons."""

    def test_grants_arrive_over_the_wire(self):
        async def scenario(granter):
            app = PeerApp(None, None, self.services, None, lambda: granter)
            peers = PeerClient(
                AppTransport(app), None, None, find_granter_address=lambda: "peer:1"
            )
            response = await peers.request_grants(make_request(1))
            self.assertGreaterEqual(response.rows[0].grant.cpu, 3000)
            self.assertEqual(response.token, 3)
            with self.assertRaises(NotOwner):
                await peers.request_grants(make_request(1))

        self.run_granter(scenario)

    def test_daemon_without_the_duty_does_not_answer(self):
        async def main():
            app = PeerApp(None, None, self.services, None)
            for address in ("peer:1", None):
                peers = PeerClient(
                    *(AppTransport(app), None, None, lambda: None),
                    lambda address=address: address,
                )
                with self.assertRaises(NotOwner):
                    await peers.request_grants(make_request(1))

        anyio.run(main)


class TestConfiguration(unittest.TestCase):
    def setUp(self):
        self.watcher = ConfigurationWatcher(None, lambda: 0.0, lambda: None)
        self.customer = Customer("c", 1.0, Resources(cpu=5))

    def _apply(self, version, customers):
        configuration = replace(CONFIGURATION, version=version, customers=customers)
        self.watcher._apply_configuration(configuration, False)

    def test_removed_customer_keeps_its_last_maximum(self):
        self.assertIsNone(self.watcher.find_customer("c"))
        self._apply(1, {"c": self.customer})
        self._apply(2, {})
        self.assertEqual(self.watcher.find_customer("c"), self.customer)
        self.assertEqual(self.watcher.customer_names(), ["c"])
        self.assertIsNone(self.watcher.find_customer("unknown"))

    def test_each_version_of_a_page_is_passed_on(self):
        # Owners missed a raise that was followed by a cut in the same page.
        seen = []
        self.watcher = ConfigurationWatcher(
            None,
            lambda: 0.0,
            lambda: seen.append(self.watcher.find_customer("c").maximum.cpu),
        )
        records = [
            KeyedRecord(
                version,
                "config",
                msgspec.json.encode(
                    {
                        "version": version,
                        "routes": [],
                        "services": [],
                        "tenants": [
                            {"name": "c", "apiKeys": [], "maximum": {"cpu": cpu}}
                        ],
                    }
                ),
            )
            for version, cpu in enumerate((5, 9, 5), 1)
        ]
        self.watcher._apply_records(records)
        self.assertEqual(seen[:3], [5, 9, 5])

    def test_nothing_is_limited_without_customers(self):
        self._apply(1, {"c": self.customer})
        self._apply(2, None)
        self.assertEqual(self.watcher.find_customer("c").maximum, Resources())
        self.assertEqual(self.watcher.customer_names(), [])


class TestReports(unittest.TestCase):
    """Reports are small, but the granter gets every row again now and then."""

    def test_rows_that_the_granter_has_are_left_out(self):
        model = PoolModel(
            self.fail, make_quota=lambda: make_quota(3000), max_running_cpu=3000
        )
        model.state.quota.begin_record({})
        model.state.quota.finish_record()
        sent = []

        async def request_grants(request):
            sent.append(len(request.rows))
            if len(sent) == 4:
                raise NotOwner("lost")
            return GrantResponse(2 if len(sent) < 6 else 3, len(sent), [])

        client = QuotaClient(model.state, None, request_grants, Clock(), None)

        async def main():
            for _ in range(FULL_REPORT_CALLS + 1):
                await client.call()

        anyio.run(main)
        # All rows go with the first call, after a lost one, to a new granter, and after
        # a number of calls.
        self.assertEqual(sent[:8], [1, 0, 0, 0, 1, 0, 1, 0])
        self.assertEqual(sent[8:], [0] * (FULL_REPORT_CALLS - 8) + [1])

    def test_cut_that_the_owner_learns_of_late_blocks_it_for_one_call(self):
        # The owner raises the new basis to the maximum that it still knows, so that its
        # row was the one that the granter had, and was answered only once.
        limits = {"owner": 8000, "granter": 8000}

        def find(daemon):
            return lambda name: Customer(name, 1.0, Resources(cpu=limits[daemon]))

        quota = QuotaBook(find("owner"), lambda: ["c"])
        model = PoolModel(self.fail, make_quota=lambda: quota, max_running_cpu=8000)
        ledger = QuotaLedger(find("granter"))

        async def request_grants(request):
            ledger.apply_report(request)
            rows, _ = ledger.answer(request.pool, [request.pool], True, 0.0)
            return GrantResponse(2, request.number, rows)

        async def flush():
            quota.begin_record({})
            quota.finish_record()

        journal = types.SimpleNamespace(flush=flush)
        client = QuotaClient(
            model.state, journal, request_grants, Clock(), lambda: None
        )
        for limits["granter"] in (8000, 3000):
            for _ in range(5):
                anyio.run(client.call)
        quota.begin_round(0.0)
        limits["owner"] = 3000
        self.assertFalse(quota.may_start("c", 0.0))
        anyio.run(client.call)
        self.assertTrue(quota.may_start("c", 0.0))


class TestMetrics(unittest.TestCase):
    def test_further_customers_are_reported_as_other(self):
        rows = [(f"c{n:03}", 1, 1, 1) for n in range(150)]
        owner = types.SimpleNamespace(
            pool="pool", summary=lambda: (0, 0, 0), quota_summary=lambda: rows
        )
        metrics = EntryMetrics(lambda: [owner])
        _, body = anyio.run(call, metrics, "GET", "/metrics")
        text = body.decode()
        self.assertIn('customer="other",kind="used",pool="pool"} 50.0', text)
        self.assertEqual(text.count('kind="granted"'), 101)
