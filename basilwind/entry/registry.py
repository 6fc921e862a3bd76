"""A copy of the worker registry in the platform's store."""

from basilwind.entry.follower import KeyedFollower
from basilwind.errors import RecordInvalid
from basilwind.logs import log
from basilwind.platform.documents import WORKERS_TOPIC, decode_worker

POLL_INTERVAL_S = 0.12  # owners wait for the worker of a newly arrived host
MAX_IGNORED = 1000  # ids of workers with invalid entries to remember
REAPPEAR_S = 2.5  # entries that expired in an outage are back 2 s after it ends


class WorkerRegistry:
    """Follows the registry topic and keeps the entries of all workers.

    Args:
        store: ``StoreClient``.
        clock: Returns boot time.
        on_change: Called after each change of an entry.
        is_wanted: Returns whether this daemon owns a pool.
    """

    def __init__(self, store, clock, on_change, is_wanted):
        self._entries = {}
        self._missing = {}
        # Ids of workers whose invalid entries have been logged.
        self._ignored = set()
        self._clock = clock
        self._on_change = on_change
        self._follower = KeyedFollower(
            store,
            WORKERS_TOPIC,
            self._apply,
            self._reset,
            clock,
            POLL_INTERVAL_S,
            is_wanted,
        )

    @property
    def is_loaded(self):
        """Whether the registry has been read completely."""
        return self._follower.position is not None

    def entries_of_pool(self, pool):
        """Returns the entries of a pool's workers by worker id."""
        return {
            worker_id: entry
            for worker_id, entry in self._entries.items()
            if entry.pool == pool
        }

    async def run(self):
        """Follows the registry."""
        await self._follower.run()

    def expire_missing(self, now):
        """Removes entries that did not reappear after an outage of the store."""
        for worker_id, since in list(self._missing.items()):
            if now - since >= REAPPEAR_S:
                del self._missing[worker_id]
                self._entries.pop(worker_id, None)
                self._on_change()

    def _reset(self, records):
        present = {record.key for record in records if record.value}
        for worker_id in list(self._entries):
            if worker_id not in present:
                self._remove(worker_id)
        self._apply(records)
        # Always notifies, since an owner may be new since the last read.
        self._on_change()

    def _apply(self, records):
        has_changed = False
        for record in records:
            if not record.value:
                has_changed |= record.key in self._entries
                self._remove(record.key)
                self._ignored.discard(record.key)
                continue
            try:
                entry = decode_worker(record.key, record.value)
            except RecordInvalid as error:
                self._ignore(record.key, error)
                continue
            self._ignored.discard(record.key)
            self._missing.pop(record.key, None)
            if self._entries.get(record.key) != entry:
                self._entries[record.key] = entry
                has_changed = True
        if has_changed:
            self._on_change()

    def _ignore(self, worker_id, error):
        """Logs the first of a worker's invalid entries in a row.

        Its last valid entry stays in force until the registry drops the worker: an
        entry of another writer says nothing of the worker.
        """
        if worker_id not in self._ignored and len(self._ignored) < MAX_IGNORED:
            self._ignored.add(worker_id)
            log("invalid record ignored", topic=WORKERS_TOPIC, error=str(error))

    def _remove(self, worker_id):
        """Removes an entry; after a recent read failure it first counts as missing."""
        failed_at, now = self._follower.failed_at, self._clock()
        if failed_at is not None and now - failed_at < REAPPEAR_S:
            self._missing.setdefault(worker_id, now)
        else:
            self._entries.pop(worker_id, None)
