"""The pools to which the path of a queue has led.

Load pattern: the operator removes a route and adds one with the same host and path that
leads to another service, while callers repeat submissions and cancel jobs that the
first pool has accepted. The configuration in force says nothing of that pool.
"""

import hashlib
from dataclasses import dataclass

import msgspec

from basilwind.checked_json import Name, decode_json
from basilwind.entry.follower import KeyedFollower
from basilwind.errors import NotStarted, PlatformError, RecordInvalid
from basilwind.logs import log
from basilwind.platform.store import encode_keyed_record

TOPIC = "keyed.routes"
WAIT_S = 10.0  # routes change rarely
POLL_INTERVAL_S = 0.2  # all daemons record the first submissions at the same time


class _RouteRecord(msgspec.Struct, array_like=True, frozen=True):
    host_header: str
    path_prefix: str
    pool: Name
    queue: Name


@dataclass(frozen=True, slots=True)
class PastRoute:
    """A queue by which jobs of a path may have been accepted.

    Attributes:
        pool: Name of its pool.
        queue: Name of the queue.
    """

    pool: str
    queue: str


class RouteHistory:
    """Follows and extends the list of routes by which jobs may have been accepted.

    Args:
        store: ``StoreClient``.
        clock: Returns boot time.
    """

    def __init__(self, store, clock):
        self._store = store
        self._routes = {}
        self._follower = KeyedFollower(
            store,
            TOPIC,
            self._apply,
            self._apply,
            clock,
            POLL_INTERVAL_S,
            wait_s=WAIT_S,
        )

    @property
    def is_loaded(self):
        """Whether the list has been read."""
        return self._follower.position is not None

    async def run(self):
        """Follows the list."""
        await self._follower.run()

    def pools(self, queue):
        """Returns the names of pools that may have accepted jobs of a queue's path."""
        return {route.pool for route in self._find(queue)}

    def other_routes(self, queue):
        """Returns the ``PastRoute`` objects of a queue's path except its own."""
        return self._find(queue) - {PastRoute(queue.pool, queue.name)}

    def has_pool(self, pool):
        """Returns whether any path has led to a pool."""
        return any(
            route.pool == pool for routes in self._routes.values() for route in routes
        )

    async def record(self, queue):
        """Records a queue's route before the first job is accepted by it.

        Raises:
            NotStarted: The list was not read yet, or the route could not be recorded.
        """
        if not self.is_loaded:
            raise NotStarted("the list of routes has not been read yet")
        if PastRoute(queue.pool, queue.name) in self._find(queue):
            return
        route = _RouteRecord(
            queue.host_header, queue.path_prefix, queue.pool, queue.name
        )
        value = msgspec.json.encode(route)
        key = hashlib.sha256(value).hexdigest()
        try:
            await self._store.append(TOPIC, [encode_keyed_record(key, value)])
        except PlatformError as error:
            raise NotStarted(
                f"route of {queue.name!r} not recorded: {error}"
            ) from error
        self._add(route)

    def _find(self, queue):
        return self._routes.get((queue.host_header, queue.path_prefix), set())

    def _add(self, route):
        path = route.host_header, route.path_prefix
        self._routes.setdefault(path, set()).add(PastRoute(route.pool, route.queue))

    def _apply(self, records):
        for record in records:
            try:
                route = decode_json(record.value, _RouteRecord, "route", RecordInvalid)
            except RecordInvalid as error:
                log("invalid record ignored", topic=TOPIC, error=str(error))
                continue
            self._add(route)
