"""The pools to which the path of a queue has led.

Load pattern: the operator removes a route and adds one with the same host and path that
leads to another service, while callers repeat submissions and cancel jobs that the
first pool has accepted. The configuration in force says nothing of that pool. A daemon
knows it from the versions of the configuration that it has applied itself, and from the
list of routes, which daemons extend before they accept jobs. The list is out of date
while a connection is silent, so it is read afresh as long as versions may be missing.
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
# Other daemons may accept jobs by an older version for as long as it takes them to
# notice a dead connection, 3.25 s.
OLDER_VERSIONS_S = 5.0
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
        self._clock = clock
        # ``PastRoute`` objects by path: those of the list, and those that versions
        # which this daemon has applied have replaced.
        self._recorded = {}
        self._replaced = {}
        # Boot time until which routes may be recorded that this daemon can't know of by
        # the versions that it has applied; None before the first version.
        self._open_until = None
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

    def note_configuration(self, replaced, configuration, is_gap, now):
        """Notes the routes that a version of the configuration has changed.

        Args:
            replaced: ``Configuration`` that was in force here, or None.
            configuration: ``Configuration`` that replaces it.
            is_gap: Whether versions between them may have been missed.
            now: Boot time in seconds.
        """
        if is_gap or replaced is None:
            self._open_until = now + OLDER_VERSIONS_S
        if replaced is None:
            return
        current = dict(map(_route_of, configuration.queues.values()))
        for queue in replaced.queues.values():
            path, route = _route_of(queue)
            if current.get(path) != route:
                self._replaced.setdefault(path, set()).add(route)

    async def refresh(self, now):
        """Reads what was added to the list, unless all past routes are known.

        Args:
            now: Boot time in seconds.

        Raises:
            NotStarted: The list could not be read.
        """
        if self._is_complete():
            return
        if not await self._follower.confirm(now):
            raise NotStarted("the list of routes could not be read")

    def _is_complete(self):
        """Returns whether the list was read after routes may have been missing."""
        read_at = self._follower.confirmed_at or 0.0
        return self._open_until is not None and read_at >= self._open_until

    def pools(self, queue):
        """Returns the names of pools that may have accepted jobs of a queue's path."""
        return self.pools_of_path(queue.path)

    def pools_of_path(self, path):
        """Returns the names of pools that may have accepted jobs of a path."""
        return {route.pool for route in self._find(path)}

    def other_routes(self, queue):
        """Returns the ``PastRoute`` objects of a queue's path except its own."""
        return self._find(queue.path) - {PastRoute(queue.pool, queue.name)}

    def has_pool(self, pool):
        """Returns whether any path has led to a pool."""
        return any(
            route.pool == pool
            for routes in (*self._recorded.values(), *self._replaced.values())
            for route in routes
        )

    async def record(self, queue):
        """Records a queue's route before the first job is accepted by it.

        Raises:
            NotStarted: The list was not read yet, or the route could not be recorded.
        """
        if not self.is_loaded:
            raise NotStarted("the list of routes has not been read yet")
        path, past_route = _route_of(queue)
        if past_route in self._recorded.get(path, ()):
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

    def _find(self, path):
        return self._recorded.get(path, set()) | self._replaced.get(path, set())

    def _add(self, route):
        path = route.host_header, route.path_prefix
        self._recorded.setdefault(path, set()).add(PastRoute(route.pool, route.queue))

    def _apply(self, records):
        for record in records:
            try:
                route = decode_json(record.value, _RouteRecord, "route", RecordInvalid)
            except RecordInvalid as error:
                log("invalid record ignored", topic=TOPIC, error=str(error))
                continue
            self._add(route)


def _route_of(queue):
    """Returns the path of a queue, and its ``PastRoute``."""
    return queue.path, PastRoute(queue.pool, queue.name)
