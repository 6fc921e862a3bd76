"""A store in memory that several daemons share, with the faults of calls to it."""

from collections import defaultdict

import anyio

from basilwind.errors import (
    ProducerFenced,
    StoreConflict,
    StoreRefused,
    StoreUnanswered,
)
from basilwind.platform.store import READ_TIMEOUT_S, KeyedRecord

CALL_S = 0.002  # in time of the event loop, as are the waits of reads


class LogTopics:
    """Topics with their records, and the highest epoch of each producer."""

    def __init__(self):
        self.records = defaultdict(list)
        self.epochs = {}
        self._appended = None

    def append(self, topic, framed):
        """Appends framed records; returns the offset that the next one will get."""
        records = self.records[topic]
        for record in framed:
            end = 5 + record[4]
            key, value = record[5:end].decode(), record[end:]
            records.append(KeyedRecord(len(records), key, value))
        if framed and self._appended is not None:
            self._appended.set()
            self._appended = None
        return len(records)

    async def wait(self):
        """Waits for the next append to any topic."""
        if self._appended is None:
            self._appended = anyio.Event()
        await self._appended.wait()

    def latest(self, topic):
        """Returns the newest record of each key, ordered by key."""
        newest = {record.key: record for record in self.records[topic]}
        return [newest[key] for key in sorted(newest) if newest[key].value]


class LogStore:
    """A daemon's client of the store.

    Args:
        topics: ``LogTopics``.
        clock: Returns boot time.
        monitor: ``StoreMonitor`` of the daemon.

    Attributes:
        refuses: Returns whether the store turns a call away, given its name and topic.
        loses_answer: Returns whether a call takes effect and gets no answer.
        meets_silence: Returns whether a read is sent on a connection that is silent.
    """

    def __init__(self, topics, clock, monitor):
        self._topics = topics
        self._clock = clock
        self._monitor = monitor
        self.refuses = lambda name, topic: False
        self.loses_answer = lambda name, topic: False
        self.meets_silence = lambda topic: False

    @property
    def is_suspected(self):
        """See ``StoreClient``."""
        return self._monitor.is_suspected

    async def append(self, topic, records, at=None, producer=None, timeout_s=1.0):
        """Appends records, as ``StoreClient`` does."""
        sent_at = await self._arrive("append", topic)
        if producer is not None:
            key = topic, producer.name
            if producer.epoch < self._topics.epochs.get(key, 0):
                raise ProducerFenced("a later epoch was used")
            self._topics.epochs[key] = producer.epoch
        end = len(self._topics.records[topic])
        if at is not None and at != end:
            raise StoreConflict(end)
        end = self._topics.append(topic, records)
        self._answer("append", topic, sent_at)
        return end

    async def read(self, topic, start, wait_s=0.0):
        """Reads records from an offset on; may wait for one."""
        if self.meets_silence(topic):
            await anyio.sleep(READ_TIMEOUT_S + wait_s)
            raise StoreUnanswered("no answer in time")
        sent_at = await self._arrive("read", topic)
        with anyio.move_on_after(wait_s):
            while len(self._topics.records[topic]) <= start:
                await self._topics.wait()
        records = self._topics.records[topic][start:]
        self._answer("read", topic, sent_at)
        return records

    async def read_latest(self, topic):
        """Reads the newest record of each key."""
        sent_at = await self._arrive("newest", topic)
        records, end = self._topics.latest(topic), len(self._topics.records[topic])
        self._answer("newest", topic, sent_at)
        return records, end

    async def _arrive(self, name, topic):
        sent_at = self._clock()
        await anyio.sleep(CALL_S)
        if self.refuses(name, topic):
            raise StoreRefused("status 503")
        return sent_at

    def _answer(self, name, topic, sent_at):
        if self.loses_answer(name, topic):
            raise StoreUnanswered("no answer")
        self._monitor.record_answer(sent_at)
