"""What a fleet planner has learned of the pools' bursts, for its successor.

Load pattern: the planner is lost while a burst begins or shortly before one. Without
its predecessor's forecast, the successor finds the pool with the few hosts of a quiet
time, and has to wait for a backlog to show.
"""

import msgspec

from basilwind.checked_json import Duration, Name, Number, decode_json
from basilwind.entry.takeover import read_latest_records
from basilwind.errors import PlatformError, RecordInvalid
from basilwind.logs import log
from basilwind.platform.store import encode_keyed_record

TOPIC = "keyed.bursts"
KEY = "bursts"
WRITE_TIMEOUT_S = 0.4  # a slow store takes 0.24 s, and moves wait meanwhile


class BurstRecord(msgspec.Struct, array_like=True):
    """Bursts of a pool.

    Attributes:
        peak_arrival_rate: Highest rate during a burst, cores.
        starts: Unix times at which its last bursts began.
    """

    peak_arrival_rate: Duration
    starts: list[Number]


class BurstHistory:
    """Keeps the bursts of all pools in the platform's store.

    A forecast is never relied on, so the records are not fenced, and a write that fails
    is left out.

    Args:
        store: ``StoreClient``.
        wall_clock: Returns Unix time.
    """

    def __init__(self, store, wall_clock):
        self._store = store
        self._wall_clock = wall_clock
        self._written = {}

    async def read(self, now):
        """Returns peak rate, in cores, and boot times of the last bursts, by pool.

        Args:
            now: Boot time in seconds.
        """
        records, _ = await read_latest_records(self._store, TOPIC)
        offset_s = now - self._wall_clock()
        bursts = {}
        for record in records:
            try:
                pools = decode_json(
                    record.value, dict[Name, BurstRecord], TOPIC, RecordInvalid
                )
            except RecordInvalid as error:
                log("invalid record ignored", topic=TOPIC, error=str(error))
                continue
            for pool, burst in pools.items():
                starts = [start + offset_s for start in burst.starts]
                bursts[pool] = burst.peak_arrival_rate, starts
        self._written = dict(bursts)
        return bursts

    async def write(self, bursts, now):
        """Writes the bursts if a pool has had another one since the last write.

        Args:
            bursts: As ``read`` returns them.
            now: Boot time in seconds.
        """
        if _last_starts(bursts) == _last_starts(self._written):
            return
        offset_s = self._wall_clock() - now
        records = {
            pool: BurstRecord(rate, [start + offset_s for start in starts])
            for pool, (rate, starts) in bursts.items()
        }
        value = msgspec.json.encode(records)
        try:
            await self._store.append(
                TOPIC, [encode_keyed_record(KEY, value)], timeout_s=WRITE_TIMEOUT_S
            )
        except PlatformError as error:
            log("burst history not written", error=str(error))
            return
        self._written = dict(bursts)


def _last_starts(bursts):
    return {pool: starts[-1] for pool, (_, starts) in bursts.items() if starts}
