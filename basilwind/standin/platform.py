"""A stand-in for the platform: log streams and a lagging host list.

It keeps everything in memory and fails on request, as the real one does.
"""

import time
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import unquote

import anyio
import msgspec

from basilwind.api.asgi import (
    ClientDisconnected,
    HttpResponse,
    json_response,
    read_request,
    send_response,
)
from basilwind.errors import RequestInvalid
from basilwind.platform.client import (
    ListedHost,
    ListedState,
    LogPage,
    LogRecord,
)

LONGEST_WAIT_S = 5.0


class PlatformFaults(msgspec.Struct):
    """How the stand-in misbehaves.

    Attributes:
        is_down: Whether every call is answered with an error.
        lose_answers: How many of the next appends take effect unanswered.
        delay_s: Delay of every append, in seconds.
        appends_per_s: Most appends a second; 0 for no limit.
        retention_s: How long records are kept, in seconds; 0 keeps all.
        list_lag_s: Lag of the host list, in seconds.
    """

    is_down: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0
    appends_per_s: float = 0.0
    retention_s: float = 0.0
    list_lag_s: float = 1.0


@dataclass
class _Stream:
    """One stream of the log."""

    first: int = 0
    records: deque = field(default_factory=deque)
    times: deque = field(default_factory=deque)
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def head(self):
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, data, now):
        """Appends a record and returns its offset."""
        self.records.append(data)
        self.times.append(now)
        self.appended.set()
        self.appended = anyio.Event()
        return self.head - 1

    def drop_to(self, kept):
        """Drops the oldest records but the latest ``kept``."""
        while len(self.records) > kept:
            self.records.popleft()
            self.times.popleft()
            self.first += 1

    def drop_before(self, time):
        """Drops the records that were appended before a time."""
        kept = sum(appended >= time for appended in self.times)
        self.drop_to(kept)

    def read(self, offset, limit):
        """Returns records from an offset on."""
        start = max(offset - self.first, 0)
        stop = min(start + limit, len(self.records))
        return [
            LogRecord(self.first + index, self.records[index])
            for index in range(start, stop)
        ]


@dataclass
class _Listing:
    """A host's state and since when."""

    state: ListedState
    since: float


class PlatformStandIn:
    """ASGI application that stands in for the platform.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._streams = {}
        self._listings = {}
        self._next_append_at = 0.0
        self.faults = PlatformFaults()
        self.appends = 0
        self.reboots = []
        self.on_reboot = lambda host: None

    async def __call__(self, scope, receive, send):
        """Serves one request."""
        if scope["type"] != "http":
            return
        try:
            request = await read_request(scope, receive)
            response = await self._route(request)
        except ClientDisconnected:
            return
        except (RequestInvalid, msgspec.DecodeError, ValueError) as error:
            response = HttpResponse(400, str(error).encode(), "text/plain")
        if response is None:
            # The answer is lost: the connection is cut instead.
            cut_connection(send)
            return
        await send_response(send, response)

    def stream(self, name):
        """Returns a stream, created when first used."""
        return self._streams.setdefault(name, _Stream())

    async def _route(self, request):
        parts = request.path.strip("/").split("/")
        match (request.method, *parts):
            case ("PUT", "standin", "faults"):
                self.faults = msgspec.json.decode(request.body, type=PlatformFaults)
                return json_response(self.faults)
            case ("PUT", "standin", "hosts"):
                return self._list(request)
            case ("POST", "standin", "truncate"):
                return self._truncate(request)
        if self.faults.is_down:
            return HttpResponse(503, b"the platform is down\n", "text/plain")
        match (request.method, *parts):
            case ("POST", "v1", "log", stream, "records"):
                return await self._append(unquote(stream), request)
            case ("GET", "v1", "log", stream, "records"):
                return await self._read(unquote(stream), request)
            case ("GET", "v1", "hosts"):
                return self._hosts()
            case ("POST", "v1", "hosts", host, "reboot"):
                return self._reboot(unquote(host))
            case ("GET", "v1", "reboots"):
                return json_response(self.reboots)
        return HttpResponse(404, b"no such page\n", "text/plain")

    async def _append(self, name, request):
        await self._throttle()
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        stream = self.stream(name)
        now = self._clock()
        offset = stream.append(request.body.decode("utf-8", "replace"), now)
        if self.faults.retention_s:
            stream.drop_before(now - self.faults.retention_s)
        self.appends += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return None
        return json_response({"offset": offset}, 201)

    async def _throttle(self):
        if not self.faults.appends_per_s:
            return
        now = self._clock()
        at = max(now, self._next_append_at)
        self._next_append_at = at + 1.0 / self.faults.appends_per_s
        await anyio.sleep(at - now)

    async def _read(self, name, request):
        offset = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "100"))
        wait_s = min(float(request.query.get("wait", "0")), LONGEST_WAIT_S)
        stream = self.stream(name)
        if stream.head <= offset and wait_s > 0:
            with anyio.move_on_after(wait_s):
                await stream.appended.wait()
        if self.faults.is_down:
            return HttpResponse(503, b"the platform is down\n", "text/plain")
        records = stream.read(offset, limit)
        return json_response(LogPage(stream.first, stream.head, records))

    def _list(self, request):
        hosts = msgspec.json.decode(request.body, type=list[ListedHost])
        for host in hosts:
            self._listings[host.name] = _Listing(host.state, self._clock())
        return json_response({"hosts": len(self._listings)})

    def _hosts(self):
        now = self._clock()
        hosts = [
            ListedHost(name, listing.state)
            for name, listing in self._listings.items()
            if now - listing.since >= self.faults.list_lag_s
        ]
        return json_response({"hosts": hosts})

    def _reboot(self, host):
        self.reboots.append(host)
        self.on_reboot(host)
        return json_response({"host": host})

    def _truncate(self, request):
        stream = self.stream(request.query["stream"])
        stream.drop_to(int(request.query.get("keep", "0")))
        return json_response({"first": stream.first})


def cut_connection(send):
    """Cuts the connection of a request that is being served by uvicorn."""
    transport = getattr(getattr(send, "__self__", None), "transport", None)
    if transport is not None:
        transport.abort()
