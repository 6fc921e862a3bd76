"""Stand-in for the platform's store: a log with compacted topics, in memory."""

import asyncio
import base64
import struct

from review.harness2.http import Answer, json_answer

APPEND_S = 0.004  # one answer of the store in the small deployments
PAGE = 500
KEPT_ANSWERS = 5  # appends of a producer whose repeats get their first answer
READ_ONLY = ("keyed.op", "keyed.servers")
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class _Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()

    def add(self, records):
        for record in records:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()


def _split(body):
    records, position = [], 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


class Store:
    """The topics, and the handler of the store's requests.

    Attributes:
        on_read: Called with each ``Request`` that reads a topic, before it waits.
    """

    def __init__(self):
        self._topics = {}
        self.on_read = lambda request: None

    def topic(self, name):
        """Returns a topic, which is created on first use."""
        return self._topics.setdefault(name, _Topic())

    def write(self, name, key, value):
        """Writes a record as the operator or a worker does."""
        encoded = key.encode()
        self.topic(name).add([bytes((len(encoded),)) + encoded + value])

    def newest(self, name):
        """Returns the newest value of each key of a topic."""
        return {key: value for key, (_, value) in self.topic(name).newest.items()}

    async def handle(self, request):
        """Handles a request."""
        topic = self.topic(request.query.get("topic", ""))
        if request.path == "/log-append":
            await asyncio.sleep(APPEND_S)
            return self._append(topic, request)
        if request.path == "/log-read":
            self.on_read(request)
            return await self._read(topic, request)
        if request.path == "/log-newest":
            await asyncio.sleep(APPEND_S)
            return self._read_newest(topic, request)
        return Answer(404)

    def _append(self, topic, request):
        query = request.query
        if query["topic"] in READ_ONLY:
            return Answer(403)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return json_answer({"end": end}, 412)
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            producer = topic.producers.setdefault(query["producer"], [-1, 0, {}])
            if epoch < producer[0]:
                return json_answer({"reason": "fenced"}, 409)
            if epoch > producer[0]:
                producer[:] = [epoch, sequence, {}]
            if sequence in producer[2]:
                return producer[2][sequence]
            if sequence != producer[1]:
                answer = {"reason": "seq", "sequence": producer[1]}
                return json_answer(answer, 409)
        topic.add(_split(request.body))
        answer = json_answer({"offset": end, "end": len(topic.records)})
        if producer is not None:
            producer[1] += 1
            producer[2][sequence] = answer
            producer[2].pop(sequence - KEPT_ANSWERS, None)
        return answer

    async def _read(self, topic, request):
        start = int(request.query["from"])
        if start >= len(topic.records):
            wait_s = int(request.query.get("waitMs", 0)) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await topic.grown.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(APPEND_S)
        body = _OFFSETS.pack(len(topic.records), 0)
        for record in topic.records[start:]:
            body += _LENGTH.pack(len(record)) + record
        return Answer(200, body, {"Content-Type": "application/octet-stream"})

    def _read_newest(self, topic, request):
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        return json_answer(
            {"items": items, "hasMore": len(keys) > PAGE, "end": len(topic.records)}
        )
