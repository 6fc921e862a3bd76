"""Appends of a duty's holder, which end once a later holder has appended."""

import anyio

from basilwind.errors import StoreRefused, StoreUnanswered
from basilwind.platform.store import Producer


class FencedTopic:
    """A topic that only one holder at a time appends to.

    Args:
        store: ``StoreClient``.
        topic: Topic.
        producer: Name that all holders share, since fences are kept by it.
        token: Fencing token.
        retry_s: Pause before an append is repeated.
    """

    def __init__(self, store, topic, producer, token, retry_s):
        self._store = store
        self._topic = topic
        self._producer = producer
        self._token = token
        self._retry_s = retry_s
        self._sequence = 0

    async def append(self, records):
        """Appends records, however long the store is away.

        With no records it only raises the epoch, which ends a former holder's appends.

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
                # Repeating under the same sequence settles a lost answer.
                await anyio.sleep(self._retry_s)
