import json
import time
import unittest
from unittest import mock

from basilwind.entry import configuration as configuration_module
from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.errors import RecordInvalid
from basilwind.platform.documents import (
    CONFIGURATION_KEY,
    decode_configuration,
    decode_worker,
)
from basilwind.platform.store import KeyedRecord

SECRET = "key-7f3a"


def _entry(**capacity):
    entry = {
        "service": "pool",
        "address": "10.0.0.1:80",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0} | capacity,
    }
    return json.dumps(entry).encode()


class TestDocuments(unittest.TestCase):
    def test_worker_without_any_capacity_left_is_decoded(self):
        # Otherwise its last entry, with more capacity, would stay in force.
        self.assertEqual(decode_worker("w", _entry(cpu=0, memMb=0)).cpu, 0)

    def test_worker_with_negative_capacity_is_rejected(self):
        for capacity in ({"cpu": -1}, {"memMb": -1}, {"gpu": -1}):
            with self.subTest(capacity=capacity), self.assertRaises(RecordInvalid):
                decode_worker("w", _entry(**capacity))


def _tenant(name="a", keys=(SECRET,), **fields):
    return {"name": name, "apiKeys": list(keys), "weight": 1} | fields


def _configuration(*tenants, version=1, **fields):
    document = {"version": version, "routes": [], "services": []}
    return json.dumps(document | {"tenants": tenants} | fields).encode()


BAD_TENANTS = {
    "key in two tenants": ([_tenant("a"), _tenant("b")], "'a' and 'b' share a key"),
    "duplicate name": ([_tenant("a"), _tenant("a", ["x"])], "named 'a'"),
    "empty name": ([_tenant("")], "$.tenants[0].name"),
    "empty key": ([_tenant(keys=[SECRET, ""])], "$.tenants[0].apiKeys[1]"),
    "key that is no text": ([_tenant(keys=[5])], "$.tenants[0].apiKeys[0]"),
    "keys that are no list": ([_tenant() | {"apiKeys": SECRET}], "apiKeys"),
    "no keys": ([{"name": "a"}], "apiKeys"),
    "long key": ([_tenant(keys=[SECRET * 1000])], "apiKeys"),
    "negative weight": ([_tenant(weight=-1)], "$.tenants[0].weight"),
    "weight that is a key": ([_tenant(weight=SECRET)], "$.tenants[0].weight"),
    "name that is no name": ([_tenant(f"{SECRET} x")], "$.tenants[0].name"),
    "negative maximum": ([_tenant(maximum={"cpu": -1})], "maximum.cpu"),
}


class TestCustomers(unittest.TestCase):
    """Customers and their keys in the operator's configuration."""

    def test_bad_tenants_are_rejected_with_their_place_and_without_keys(self):
        for what, (tenants, place) in BAD_TENANTS.items():
            with self.subTest(what), self.assertRaises(RecordInvalid) as raised:
                decode_configuration(_configuration(*tenants))
            self.assertIn(place, str(raised.exception))
            self.assertNotIn(SECRET, str(raised.exception))

    def test_rejected_document_leaves_the_last_one_in_force_and_one_log_line(self):
        watcher = ConfigurationWatcher(None, lambda: 0.0, lambda: None)

        def apply(version, *tenants):
            data = _configuration(*tenants, version=version)
            watcher._apply_records([KeyedRecord(0, CONFIGURATION_KEY, data)])

        apply(1, _tenant())
        for tenants, _ in BAD_TENANTS.values():
            with mock.patch.object(configuration_module, "log") as log:
                apply(2, *tenants)
            self.assertEqual(log.call_count, 1)
            self.assertNotIn(SECRET, str(log.call_args))
        self.assertEqual(watcher.current.key_owners, {SECRET: "a"})
        self.assertNotIn(SECRET, repr(watcher.current))

    def test_unknown_fields_are_ignored(self):
        configuration = decode_configuration(
            _configuration(_tenant(plan={"x": 1}), quotas=[1])
        )
        self.assertEqual(configuration.customers["a"].weight, 1.0)

    def test_tenant_may_have_no_key_or_the_same_one_twice(self):
        configuration = decode_configuration(
            _configuration(_tenant("a", ["x", "x"]), _tenant("b", []))
        )
        self.assertEqual(configuration.key_owners, {"x": "a"})

    def test_document_without_tenants_has_no_customers(self):
        document = {"version": 1, "routes": [], "services": []}
        decoded = decode_configuration(json.dumps(document).encode())
        self.assertIsNone(decoded.customers)
        self.assertEqual(decode_configuration(_configuration()).customers, {})

    def test_many_keys_and_routes_are_decoded_quickly(self):
        # The daemon answers nothing while it decodes, and its thread is slow.
        tenants = [
            _tenant(f"t{n}", [f"k{n}-{m}" for m in range(100)]) for n in range(100)
        ]
        routes = [
            {"name": f"q{n}", "host": "h", "pathPrefix": f"/{n}/", "service": "pool"}
            for n in range(10_000)
        ]
        data = _configuration(*tenants, routes=routes)
        started_at = time.process_time()
        configuration = decode_configuration(data)
        self.assertLess(time.process_time() - started_at, 0.5)
        self.assertEqual(len(configuration.key_owners), 10_000)
        self.assertEqual(len(configuration.queues), 10_000)


if __name__ == "__main__":
    unittest.main()
