"""Grants pools' owners parts of the customers' maximums."""

import anyio

from basilwind.entry.auto_reset_event import AutoResetEvent
from basilwind.entry.fenced_topic import FencedTopic
from basilwind.entry.journal import split_by_size
from basilwind.entry.takeover import read_latest_records
from basilwind.errors import NotOwner, RecordInvalid
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.quota import GrantResponse
from basilwind.scheduling.quota_ledger import QuotaLedger

TOPIC = "keyed.quota"
PRODUCER = "quota"  # shared by all granters, as fencing is per producer
RETRY_S = 0.15  # a busy store rejects calls for some tenths of a second
BATCH_DELAY_S = 0.02  # each call costs money
WRITE_WAIT_S = 0.25  # owners wait 0.3 s for an answer


class QuotaGranter:
    """Holds the duty of granting quota until its fencing token is replaced.

    Args:
        token: Fencing token.
        services: ``Services`` that all duties of the daemon share.
    """

    def __init__(self, token, services):
        self._token = token
        self._services = services
        self._ledger = QuotaLedger(services.configuration.find_customer)
        self._topic = FencedTopic(services.store, TOPIC, PRODUCER, token, RETRY_S)
        self._is_loaded = False
        self._sequence = 0
        self._write_event = AutoResetEvent()
        self._last_batch = 0
        self._last_written_batch = 0
        self._written_event = anyio.Event()

    @property
    def token(self):
        """Fencing token."""
        return self._token

    @property
    def is_loaded(self):
        """Whether the grants of previous granters are known."""
        return self._is_loaded

    async def run(self):
        """Grants quota until cancelled or fenced.

        Raises:
            ProducerFenced: A later granter has taken over.
        """
        await self._topic.append([])
        await self._load()
        while True:
            await self._write_event.wait()
            await self._write()
            await anyio.sleep(BATCH_DELAY_S)

    def apply_configuration(self):
        """Applies the current configuration."""
        if self._is_loaded and self._ledger.forget_unlimited():
            self._write_event.set()

    async def answer(self, request):
        """Answers the report of a pool's owner.

        Args:
            request: ``GrantRequest``.

        Returns:
            ``GrantResponse``.

        Raises:
            NotOwner: Nothing can be granted here, or the report is out of date.
        """
        if not self._is_loaded or not self._ledger.apply_report(request):
            raise NotOwner(f"quota of pool {request.pool!r}: not answered")
        rows, has_raise = self._ledger.answer(
            request.pool,
            self._services.configuration.pool_names(),
            self._may_raise(),
            self._services.clock(),
        )
        if has_raise and not await self._is_journalled():
            rows = []
            self._ledger.forget_answers(request.pool)
        self._sequence += 1
        return GrantResponse(self._token, self._sequence, rows)

    def _may_raise(self):
        return (
            not self._services.store_monitor.is_suspected
            and self._services.configuration.current is not None
            and self._services.is_configuration_fresh(self._services.clock())
        )

    async def _load(self):
        records, _ = await read_latest_records(self._services.store, TOPIC)
        for record in records:
            if not record.value:
                continue
            try:
                self._ledger.restore(record.key, record.value)
            except RecordInvalid as error:
                # Without its record the pool's entries are unknown, so no other pool
                # gets more until its owner reports.
                self._services.report(
                    "quota record damaged", pool=record.key, error=str(error)
                )
        self._is_loaded = True
        self.apply_configuration()
        self._services.report("quota taken over", token=self._token, pools=len(records))

    async def _is_journalled(self):
        """Returns whether the ledger was journalled in time, by a later append."""
        batch = self._last_batch + 1
        self._write_event.set()
        with anyio.move_on_after(WRITE_WAIT_S):
            while self._last_written_batch < batch:
                await self._written_event.wait()
        return self._last_written_batch >= batch

    async def _write(self):
        self._last_batch += 1
        pools, self._ledger.dirty = self._ledger.dirty, set()
        groups = [
            [encode_keyed_record(pool, self._ledger.encode(pool))] for pool in pools
        ]
        # Without records, the append still shows whether there is a later granter.
        for chunk in list(split_by_size(groups)) or [[]]:
            await self._topic.append(chunk)
        self._last_written_batch = self._last_batch
        event, self._written_event = self._written_event, anyio.Event()
        event.set()
