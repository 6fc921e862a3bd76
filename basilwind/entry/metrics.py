"""Metrics of an entry host's daemon in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from basilwind.api.asgi import HttpResponse, read_request, send_response

QUOTA_KINDS = ("granted", "used", "needed")
MAX_QUOTA_CUSTOMERS = 100  # limits the number of time series
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class EntryMetrics:
    """The Prometheus metrics of a daemon, and the ASGI application that serves them.

    Args:
        get_owners: Returns the ``PoolOwner`` objects of this daemon.
        count_dropped_lines: Returns how many log lines were dropped to limit the rate.
    """

    def __init__(self, get_owners, count_dropped_lines=lambda: 0):
        self._get_owners = get_owners
        self._registry = CollectorRegistry()
        self._events = Counter(
            "basilwind_events", "Logged events.", ["event"], registry=self._registry
        )
        self._answers = Counter(
            "basilwind_answers",
            "Answers to callers.",
            ["queue", "method", "status"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "basilwind_answer_seconds",
            "Time until a caller was answered.",
            ["method"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._store = Counter(
            "basilwind_store_calls",
            "Calls to the platform's store.",
            ["call", "outcome"],
            registry=self._registry,
        )
        self._pools = Gauge(
            "basilwind_pool",
            "Live jobs, active tasks and workers of pools owned here.",
            ["pool", "kind"],
            registry=self._registry,
        )
        self._quota = Gauge(
            "basilwind_quota_millicores",
            "CPU granted, used and needed of customers with a maximum.",
            ["pool", "customer", "kind"],
            registry=self._registry,
        )
        lines = Gauge(
            "basilwind_log_lines_left_out", "Log lines.", registry=self._registry
        )
        lines.set_function(count_dropped_lines)

    def count_event(self, event):
        """Counts a logged event."""
        self._events.labels(event).inc()

    def count_response(self, queue, method, status, seconds):
        """Counts a response to a caller."""
        self._answers.labels(queue, method, status).inc()
        self._latency.labels(method).observe(seconds)

    def count_store_call(self, call, is_answered):
        """Counts a call to the platform's store."""
        self._store.labels(call, "answered" if is_answered else "failed").inc()

    def _update_quota(self):
        self._quota.clear()
        summaries = {owner.pool: owner.quota_summary() for owner in self._get_owners()}
        names = sorted({row[0] for rows in summaries.values() for row in rows})
        listed = set(names[:MAX_QUOTA_CUSTOMERS])
        for pool, rows in summaries.items():
            for name, *amounts in rows:
                customer = name if name in listed else "other"
                for kind, amount in zip(QUOTA_KINDS, amounts, strict=True):
                    self._quota.labels(pool, customer, kind).inc(amount)

    async def __call__(self, scope, receive, send):
        """Serves the metrics in the Prometheus text format."""
        await read_request(scope, receive)
        self._pools.clear()
        for owner in self._get_owners():
            live, active, workers = owner.summary()
            self._pools.labels(owner.pool, "jobs").set(live)
            self._pools.labels(owner.pool, "tasks").set(active)
            self._pools.labels(owner.pool, "workers").set(workers)
        self._update_quota()
        body = generate_latest(self._registry)
        await send_response(send, HttpResponse(200, body, CONTENT_TYPE_LATEST))
