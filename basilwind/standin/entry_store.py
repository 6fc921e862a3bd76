"""Stand-in for the store of entry hosts: a log with compacted topics, in memory."""

import base64
import struct
from dataclasses import dataclass, field

import anyio

from basilwind.api.asgi import HttpResponse, json_response

_LENGTH = struct.Struct(">I")  # precedes each record
_OFFSETS = struct.Struct(">QQ")  # end and first offset; precede the records of a read
PAGE_LIMIT = 500
READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    latest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    first: int = 0
    # By producer: the epoch, the next sequence number, and the answers of this epoch
    # by sequence number.
    producers: dict[str, list] = field(default_factory=dict)
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self):
        return self.first + len(self.records)


class StoreStandIn:
    """Topics of the store, and the handler of its HTTP requests.

    Attributes:
        is_down: Whether all requests are answered with status 503.
        lose_answers: Number of following appends that take effect but get no answer.
    """

    def __init__(self):
        self._topics = {}
        self.is_down = False
        self.lose_answers = 0

    def write(self, topic, key, value):
        """Writes a record, as the operator or a worker of the platform does."""
        self._add(self._topic(topic), [_encode(key, value)])

    def drop_history(self, topic):
        """Drops all records of a topic but the latest value of each key."""
        stored = self._topic(topic)
        stored.first, stored.records = stored.end, []

    def latest_values(self, topic):
        """Returns the latest values of a topic by key."""
        return {key: value for key, (_, value) in self._topic(topic).latest.items()}

    async def handle(self, request):
        """Handles a request; returns the response, or None to lose the answer."""
        if self.is_down:
            return HttpResponse(503)
        topic = request.query.get("topic", "")
        if request.path == "/log-append":
            if topic in READ_ONLY_TOPICS:
                return HttpResponse(403)
            return self._append(self._topic(topic), request)
        if request.path == "/log-read":
            return await self._read(self._topic(topic), request)
        if request.path == "/log-newest":
            return self._read_latest(self._topic(topic), request)
        return HttpResponse(404)

    def _topic(self, name):
        return self._topics.setdefault(name, _Topic())

    def _append(self, topic, request):
        query = request.query
        records = _split(request.body)
        answer = None
        if "producer" in query:
            answer = self._check_producer(topic, query, records)
        elif "at" in query and int(query["at"]) != topic.end:
            answer = json_response({"end": topic.end}, 412)
        if answer is None:
            offset = topic.end
            self._add(topic, records)
            answer = json_response({"offset": offset, "end": topic.end})
            if "producer" in query:
                state = topic.producers[query["producer"]]
                state[2][int(query["sequence"])] = answer
        if self.lose_answers:
            self.lose_answers -= 1
            return None
        return answer

    def _check_producer(self, topic, query, records):
        """Returns the answer to an append that must not be executed, or None.

        An append is rejected if its producer is fenced or its sequence number is not
        the next one. A repeated append gets its first answer again.
        """
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        state = topic.producers.setdefault(query["producer"], [-1, None, {}])
        if epoch < state[0]:
            return json_response({"reason": "fenced"}, 409)
        if epoch > state[0]:
            state[:] = [epoch, sequence, {}]
        if sequence in state[2]:
            return state[2][sequence]
        if sequence != state[1]:
            return json_response({"reason": "seq", "expected": state[1]}, 409)
        state[1] += 1
        return None

    def _add(self, topic, records):
        for record in records:
            name_end = 1 + record[0]
            key, value = record[1:name_end].decode(), record[name_end:]
            if value:
                topic.latest[key] = (topic.end, value)
            else:
                topic.latest.pop(key, None)
            topic.records.append(record)
        if records:
            appended, topic.appended = topic.appended, anyio.Event()
            appended.set()

    async def _read(self, topic, request):
        start = int(request.query["from"])
        if start < topic.first:
            return json_response({"first": topic.first}, 410)
        if start >= topic.end:
            with anyio.move_on_after(int(request.query.get("waitMs", 0)) / 1000):
                await topic.appended.wait()
        if start < topic.first:
            return json_response({"first": topic.first}, 410)
        body = _OFFSETS.pack(topic.end, topic.first)
        for record in topic.records[start - topic.first :]:
            body += _LENGTH.pack(len(record)) + record
        return HttpResponse(200, body, "application/octet-stream")

    def _read_latest(self, topic, request):
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.latest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.latest[key][1]).decode(),
                "offset": topic.latest[key][0],
            }
            for key in keys[:PAGE_LIMIT]
        ]
        return json_response(
            {"items": items, "hasMore": len(keys) > PAGE_LIMIT, "end": topic.end}
        )


def _encode(key, value):
    return bytes((len(key.encode()),)) + key.encode() + value


def _split(body):
    records, position = [], 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
