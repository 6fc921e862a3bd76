"""Records orders for maintenance, so that a later planner counts them."""

import msgspec

from basilwind.checked_json import Number, decode_json
from basilwind.entry.takeover import read_latest_records
from basilwind.errors import PlatformError, RecordInvalid
from basilwind.logs import log
from basilwind.platform.store import encode_keyed_record

TOPIC = "keyed.maintenance"
RECORD_TIMEOUT_S = 0.4  # a slow store takes 0.24 s, and moves wait meanwhile


class MaintenanceLog:
    """The hosts that planners were about to order into maintenance.

    Args:
        store: ``StoreClient``.
        wall_clock: Returns Unix time.
    """

    def __init__(self, store, wall_clock):
        self._store = store
        self._wall_clock = wall_clock

    async def record(self, hosts):
        """Records that hosts are about to be ordered.

        Args:
            hosts: Names of the hosts.

        Returns:
            Whether it is recorded; if not, the orders must not be given.
        """
        value = msgspec.json.encode(self._wall_clock())
        records = [encode_keyed_record(host, value) for host in hosts]
        try:
            await self._store.append(TOPIC, records, timeout_s=RECORD_TIMEOUT_S)
        except PlatformError as error:
            log("maintenance postponed", error=str(error))
            return False
        return True

    async def read_ages_s(self):
        """Returns the seconds since each host was last to be ordered, by name."""
        ages_s = {}
        records, _ = await read_latest_records(self._store, TOPIC)
        for record in records:
            try:
                ordered_at = decode_json(
                    record.value, Number, "time of an order", RecordInvalid
                )
            except RecordInvalid as error:
                log("invalid record ignored", topic=TOPIC, error=str(error))
                continue
            # Clocks of daemons differ, and may jump.
            ages_s[record.key] = max(0.0, self._wall_clock() - ordered_at)
        return ages_s
