"""What customers with keys and quotas cost a daemon: time, memory and bytes."""

import json
import time
import tracemalloc

import msgspec

from basilwind.platform.documents import decode_configuration
from basilwind.scheduling.fleet import Resources
from basilwind.scheduling.quota import GrantRequest, QuotaBook, Use
from basilwind.scheduling.quota_ledger import QuotaLedger
from bench.report import report

CUSTOMERS = (20, 66, 1000)
POOLS = 24  # at the target size
ROUNDS = 5
MAXIMUM = {"cpu": 900_000, "memMb": 1_900_000}


def main():
    rows = []
    for count in CUSTOMERS:
        configuration, decode_ms, decode_kb = _measure_decoding(count)
        rows.append([count, decode_ms, decode_kb, *_measure_exchange(configuration)])
    report(
        "customers",
        [
            "customers",
            "decode (ms)",
            "configuration (KB)",
            "quota exchange, all rows (ms)",
            "quota exchange, 5 rows (ms)",
            "full report (KB)",
            f"ledger of {POOLS} pools (KB)",
        ],
        rows,
    )


def _measure_decoding(count):
    """Returns a configuration, and the time (ms) and memory (KB) that it takes."""
    tenants = [
        {
            "name": f"customer-{n}",
            "apiKeys": [f"{n:020x}", f"{n:019x}-"],
            "weight": 2,
            "maximum": MAXIMUM,
        }
        for n in range(count)
    ]
    document = {"version": 1, "routes": [], "services": [], "tenants": tenants}
    data = json.dumps(document).encode()
    tracemalloc.start()
    configuration = decode_configuration(data)
    size_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    return configuration, 1000 * _seconds(lambda: decode_configuration(data)), size_kb


def _measure_exchange(configuration):
    """Returns times (ms) of exchanges with all rows and with five, and sizes (KB)."""
    customers = configuration.customers
    book = QuotaBook(customers.get, lambda: customers)
    pools = [f"pool-{n}" for n in range(POOLS)]
    need = Use(Resources(10_000, 20_000), Resources(50_000, 60_000))
    uses = dict.fromkeys(customers, need)
    tracemalloc.start()
    ledger = QuotaLedger(customers.get)
    number = 0

    def exchange(most=None):
        nonlocal number
        number += 1
        rows = book.rows(uses, 0.0)[:most]
        request = GrantRequest("pool-0", 1, number, rows)
        ledger.apply_report(request)
        ledger.answer("pool-0", pools, True, 0.0)
        return request

    for pool in pools:
        ledger.apply_report(GrantRequest(pool, 1, 1, book.rows(uses, 0.0)))
    ledger_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    number = 1
    request_kb = len(msgspec.json.encode(exchange())) / 1024
    all_ms = 1000 * _seconds(exchange)
    return all_ms, 1000 * _seconds(lambda: exchange(5)), request_kb, ledger_kb


def _seconds(function):
    started_at = time.process_time()
    for _ in range(ROUNDS):
        function()
    return (time.process_time() - started_at) / ROUNDS


if __name__ == "__main__":
    main()
