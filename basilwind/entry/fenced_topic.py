"""Appends that fail once a later holder of the duty has appended."""

import anyio

from basilwind.errors import StoreRefused, StoreUnanswered
from basilwind.platform.store import Producer


class FencedTopic:
    """A topic to which only the current holder of a duty can append.

    The store rejects appends with a lower fencing token than it has seen from the
    same producer.

    Args:
        store: ``StoreClient``.
        topic: Topic.
        producer: Producer name that all holders share; the store keeps the highest
            token per producer.
        token: Fencing token.
        retry_s: Delay before an append is retried, in seconds.
    """

    def __init__(self, store, topic, producer, token, retry_s):
        self._store = store
        self._topic = topic
        self._producer = producer
        self._token = token
        self._retry_s = retry_s
        self._sequence = 0

    async def append(self, records):
        """Appends records, retrying until the store accepts them.

        An empty list only raises the producer's epoch, which makes the store reject
        appends of previous holders.

        Raises:
            ProducerFenced: A later holder has appended.
        """
        self._sequence += 1
        producer = Producer(self._producer, self._token, self._sequence)
        while True:
            try:
                await self._store.append(self._topic, records, producer=producer)
                return
            except (StoreRefused, StoreUnanswered):
                # The sequence number makes the retry idempotent if the answer was lost.
                await anyio.sleep(self._retry_s)
