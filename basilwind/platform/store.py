"""Client of the platform's store: a log with keyed topics."""

import base64
import struct
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    ProducerFenced,
    RetentionGap,
    StoreConflict,
    StoreRefused,
    StoreUnanswered,
)

APPEND_TIMEOUT_S = 0.8  # the slow store of the site files answers in 0.24 s
PING_TIMEOUT_S = 0.5  # the slow store of the site files answers in 0.24 s
PING_TOPIC = "keyed.ping"  # always empty
READ_TIMEOUT_S = 1.5  # same, with room for a page of 1 MB
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class _Appended(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ""


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct, rename="camel"):
    items: list[_Item]
    end: int
    has_more: bool = False


class _Expired(msgspec.Struct):
    first: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
        offset: Its place in the partition.
        key: Its key.
        value: Its value; empty if the key was dropped.
    """

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Producer:
    """Identity of a fenced appender.

    Attributes:
        name: All holders of one duty share it.
        epoch: Fencing token.
        sequence: Number of this append, without gaps.
    """

    name: str
    epoch: int
    sequence: int


def encode_keyed_record(key, value):
    """Returns the framed record of a keyed topic."""
    name = key.encode()
    return _LENGTH.pack(1 + len(name) + len(value)) + bytes((len(name),)) + name + value


def _decode_records(data, start):
    records, position, offset = [], _OFFSETS.size, start
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        position += length
        name_end = 1 + content[0] if content else 0
        key = content[1:name_end].decode("utf-8", "replace")
        records.append(KeyedRecord(offset, key, bytes(content[name_end:])))
        offset += 1
    return records


class StoreClient:
    """Calls to the platform's store.

    Args:
        transport: ``Transport`` to call through.
        address: HOST:PORT of the store.
        on_call: Called with the outcome of each call: name, and whether it was
            answered.
    """

    def __init__(self, transport, address, on_call):
        self._transport = transport
        self.set_address(address)
        self._on_call = on_call

    def set_address(self, address):
        """Uses another address from now on."""
        self._base = f"http://{address}"

    async def append(
        self, topic, records, at=None, producer=None, timeout_s=APPEND_TIMEOUT_S
    ):
        """Appends framed records, all or none.

        Args:
            topic: Topic; its partition 0 is used.
            records: Framed records.
            at: Offset at which the partition must end, or None.
            producer: ``Producer``, or None for an append without a fence.
            timeout_s: Longest wait for the answer.

        Returns:
            Offset that the next record will get.

        Raises:
            StoreRefused: Nothing was done.
            StoreUnanswered: The append may take effect, even later.
            StoreConflict: The partition does not end at ``at``.
            ProducerFenced: The producer's epoch or sequence was overtaken.
        """
        query = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["sequence"] = producer.sequence
        status, body = await self._call(
            "append",
            "POST",
            f"/log-append?{urlencode(query)}",
            timeout_s,
            b"".join(records),
        )
        if status in (409, 412):
            answer = msgspec.json.decode(body, type=_Appended)
            if status == 412:
                raise StoreConflict(answer.end)
            raise ProducerFenced(f"{topic}: {answer.reason or 'fenced'}")
        if status != 200:
            raise StoreRefused(f"append to {topic}: status {status}")
        return msgspec.json.decode(body, type=_Appended).end

    async def read(self, topic, start, wait_s=0.0):
        """Reads records from an offset on, waiting until there is one.

        Returns:
            List of ``KeyedRecord``, which may be empty.

        Raises:
            RetentionGap: Records at ``start`` have been dropped.
            StoreRefused: The store turned the call away.
            StoreUnanswered: No answer came.
        """
        query = {"topic": topic, "part": 0, "from": start}
        if wait_s:
            query["waitMs"] = int(wait_s * 1000)
        status, body = await self._call(
            "read", "GET", f"/log-read?{urlencode(query)}", READ_TIMEOUT_S + wait_s
        )
        if status == 410:
            raise RetentionGap(msgspec.json.decode(body, type=_Expired).first)
        if status == 404:
            return []
        if status != 200 or len(body) < _OFFSETS.size:
            raise StoreRefused(f"read of {topic}: status {status}")
        return _decode_records(body, start)

    async def ping(self):
        """Asks for an answer, whatever it is.

        Raises:
            StoreRefused: The store could not be reached.
            StoreUnanswered: No answer came.
        """
        path = f"/log-read?{urlencode({'topic': PING_TOPIC, 'part': 0, 'from': 0})}"
        await self._call("ping", "GET", path, PING_TIMEOUT_S)

    async def read_latest(self, topic):
        """Reads the newest record of each key.

        Returns:
            Records, and the offset from which to follow the topic. Changes made
            while it was read are found from that offset on.

        Raises:
            StoreRefused: The store turned the call away.
            StoreUnanswered: No answer came.
        """
        records, follow_from, after = [], None, None
        while True:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            status, body = await self._call(
                "newest", "GET", f"/log-newest?{urlencode(query)}", READ_TIMEOUT_S
            )
            if status == 404:
                return [], 0
            if status != 200:
                raise StoreRefused(f"newest of {topic}: status {status}")
            page = msgspec.json.decode(body, type=_Newest)
            if follow_from is None:
                follow_from = page.end
            records += [
                KeyedRecord(item.offset, item.key, base64.b64decode(item.value))
                for item in page.items
            ]
            if not page.has_more or not page.items:
                return records, follow_from
            after = page.items[-1].key

    async def _call(self, name, method, path, timeout_s, body=None):
        try:
            status, answer = await self._transport.call(
                method, self._base + path, timeout_s, body
            )
        except CallRefused as error:
            self._on_call(name, False)
            raise StoreRefused(str(error)) from error
        except CallUnanswered as error:
            self._on_call(name, False)
            raise StoreUnanswered(str(error)) from error
        self._on_call(name, status < 500 and status != 429)
        return status, answer
