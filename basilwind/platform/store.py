"""Client of the platform's store, a log with compacted topics.

Each record of a topic has a key. A topic keeps the latest record of each key and,
for a limited time, all records in the order in which they were appended.
"""

import base64
import binascii
import struct
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from basilwind.checked_json import Count, decode_json
from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    ProducerFenced,
    RecordInvalid,
    RetentionGap,
    StoreConflict,
    StoreRefused,
    StoreUnanswered,
)
from basilwind.logs import log

APPEND_TIMEOUT_S = 0.8  # the slow store of the deployment files answers in 0.24 s
PING_TIMEOUT_S = 0.5  # the slow store of the deployment files answers in 0.24 s
PING_TOPIC = "keyed.ping"  # always empty
READ_TIMEOUT_S = 1.5  # as for an append, and the transfer of a page of 1 MB
_LENGTH = struct.Struct(">I")  # precedes each record
_OFFSETS = struct.Struct(">QQ")  # end and first offset; precede the records of a read


class _AppendAnswer(msgspec.Struct):
    offset: Count = 0
    end: Count = 0
    reason: str = ""


class _LatestItem(msgspec.Struct):
    key: str
    value: str
    offset: Count


class _LatestPage(msgspec.Struct, rename="camel"):
    # Decoded one by one, so that a malformed record costs only itself.
    items: list[msgspec.Raw]
    end: Count
    has_more: bool = False


class _ItemKey(msgspec.Struct):
    key: str


class _Expired(msgspec.Struct):
    first: Count = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a topic.

    Attributes:
        offset: Position in the partition.
        key: Key of the record.
        value: Value of the record; empty if the record deletes the key.
    """

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Producer:
    """Identity of the producer of a fenced append.

    The store rejects appends of an older epoch, and recognizes a repeated append
    by its sequence number.

    Attributes:
        name: Name of the producer, shared by all successive holders of a duty.
        epoch: Fencing token.
        sequence: Sequence number of the append, without gaps within an epoch.
    """

    name: str
    epoch: int
    sequence: int


class PartialPage(list):
    """Records of a read that ends before the end of the partition."""


def encode_keyed_record(key, value):
    """Encodes a record for ``StoreClient.append``.

    The layout is the length of the rest (4 bytes), the length of the key (1 byte), the
    key and the value.
    """
    encoded_key = key.encode()
    return (
        _LENGTH.pack(1 + len(encoded_key) + len(value))
        + bytes((len(encoded_key),))
        + encoded_key
        + value
    )


def _decode_latest(data, topic):
    """Returns the ``KeyedRecord`` of an item, or None if it is malformed."""
    try:
        item = decode_json(data, _LatestItem, f"record of {topic}", RecordInvalid)
        value = base64.b64decode(item.value, validate=True)
    except (RecordInvalid, binascii.Error, ValueError) as error:
        log("invalid record ignored", topic=topic, error=str(error))
        return None
    return KeyedRecord(item.offset, item.key, value)


def _decode_records(data, start):
    records, position, offset = [], _OFFSETS.size, start
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            # The next read begins with this record.
            break
        content = data[position : position + length]
        position += length
        name_end = 1 + content[0] if content else 0
        key = content[1:name_end].decode("utf-8", "replace")
        records.append(KeyedRecord(offset, key, bytes(content[name_end:])))
        offset += 1
    return records


class StoreClient:
    """Client of the platform's store.

    Args:
        transport: ``Transport`` that sends the requests.
        address: HOST:PORT of the store.
        on_call: Called after each request with its name, whether the store answered
            it, and the time at which it was sent; an answer with status 429 or 5xx
            doesn't count.
        clock: Returns boot time.
        is_suspected: Returns whether the store has answered no call lately.
    """

    def __init__(self, transport, address, on_call, clock, is_suspected=lambda: False):
        self._is_suspected = is_suspected
        self._transport = transport
        self.set_address(address)
        self._on_call = on_call
        self._clock = clock

    @property
    def is_suspected(self):
        """Whether the store is suspected unavailable, as it answers no call."""
        return self._is_suspected()

    def set_address(self, address):
        """Sets the address, HOST:PORT, for all further requests."""
        self._base = f"http://{address}"

    async def append(
        self, topic, records, at=None, producer=None, timeout_s=APPEND_TIMEOUT_S
    ):
        """Appends records atomically to partition 0 of a topic.

        Args:
            topic: Name of the topic.
            records: Records as returned by ``encode_keyed_record``.
            at: Offset at which the partition must end, or None for any.
            producer: ``Producer``, or None for an append without fencing.
            timeout_s: Timeout, in seconds.

        Returns:
            The offset that the next record will get.

        Raises:
            StoreRefused: The store rejected the append; nothing was appended.
            StoreUnanswered: No answer came; the append may take effect, even later.
            StoreConflict: The partition does not end at ``at``.
            ProducerFenced: The epoch is out of date, or the sequence number is not
                the next one.
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
        if status not in (200, 409, 412):
            raise StoreRefused(f"cannot append to topic {topic}: status {status}")
        answer = decode_json(
            body, _AppendAnswer, f"append to topic {topic}", StoreUnanswered
        )
        if status == 412:
            raise StoreConflict(answer.end)
        if status == 409:
            raise ProducerFenced(f"{topic}: {answer.reason or 'fenced'}")
        return answer.end

    async def read(self, topic, start, wait_s=0.0):
        """Reads records by long poll, from an offset on.

        Args:
            topic: Name of the topic.
            start: Offset of the first record to read.
            wait_s: How long the store may wait for a record if there is none yet,
                in seconds.

        Returns:
            A list of ``KeyedRecord``, which may be empty. It is a ``PartialPage`` if
            the partition had further records when the store answered.

        Raises:
            RetentionGap: The store no longer retains the record at ``start``.
            StoreRefused: The store rejected the request.
            StoreUnanswered: No answer came.
        """
        query = {"topic": topic, "part": 0, "from": start}
        if wait_s:
            query["waitMs"] = int(wait_s * 1000)
        status, body = await self._call(
            "read", "GET", f"/log-read?{urlencode(query)}", READ_TIMEOUT_S + wait_s
        )
        if status == 410:
            expired = decode_json(body, _Expired, f"read of {topic}", StoreRefused)
            raise RetentionGap(expired.first)
        if status == 404:
            return []
        if status != 200 or len(body) < _OFFSETS.size:
            raise StoreRefused(f"cannot read topic {topic}: status {status}")
        records = _decode_records(body, start)
        end, _ = _OFFSETS.unpack_from(body)
        return PartialPage(records) if start + len(records) < end else records

    async def ping(self):
        """Checks that the store answers at all, with whatever status.

        Raises:
            StoreRefused: The store could not be reached.
            StoreUnanswered: No answer came.
        """
        path = f"/log-read?{urlencode({'topic': PING_TOPIC, 'part': 0, 'from': 0})}"
        await self._call("ping", "GET", path, PING_TIMEOUT_S)

    async def read_latest(self, topic):
        """Reads the latest record of each key, page by page.

        Args:
            topic: Name of the topic.

        Returns:
            A list of ``KeyedRecord``, and the offset from which to follow the topic.
            Records appended during the read are at that offset or later, so a
            reader that follows from there misses none.

        Raises:
            StoreRefused: The store rejected the request.
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
                raise StoreRefused(
                    f"cannot read the latest records of topic {topic}: status {status}"
                )
            page = decode_json(
                body, _LatestPage, f"latest records of topic {topic}", StoreRefused
            )
            if follow_from is None:
                follow_from = page.end
            decoded = (_decode_latest(item, topic) for item in page.items)
            records += [record for record in decoded if record is not None]
            if not page.has_more:
                return records, follow_from
            if not page.items:
                raise StoreRefused(f"latest records of topic {topic}: an empty page")
            last = decode_json(
                page.items[-1], _ItemKey, f"last record of {topic}", StoreRefused
            )
            if last.key == after:
                raise StoreRefused(f"topic {topic}: a page refers to itself")
            after = last.key

    async def _call(self, name, method, path, timeout_s, body=None):
        sent_at = self._clock()
        try:
            status, answer = await self._transport.call(
                method, self._base + path, timeout_s, body
            )
        except CallRefused as error:
            self._on_call(name, False, sent_at)
            raise StoreRefused(str(error)) from error
        except CallUnanswered as error:
            self._on_call(name, False, sent_at)
            raise StoreUnanswered(str(error)) from error
        self._on_call(name, status < 500 and status != 429, sent_at)
        return status, answer
