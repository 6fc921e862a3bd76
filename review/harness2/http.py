"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


@dataclass
class Request:
    """A received request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query parameters by name.
        headers: Header values by lower-case name.
        body: Complete body.
        sent_on: The ``Connection`` on which it arrived.
    """

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    sent_on: object = None

    def json(self):
        """Returns the decoded body."""
        return json.loads(self.body)


@dataclass
class Answer:
    """An answer to a request."""

    status: int = 200
    body: bytes = b""
    headers: dict = field(default_factory=dict)


def json_answer(value, status=200):
    """Returns an answer with a JSON body."""
    body = json.dumps(value).encode()
    return Answer(status, body, {"Content-Type": "application/json"})


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Connection:
    """A connection that a server accepted.

    Attributes:
        is_silent: Whether nothing that arrives on it is handled or answered any more.
        resets_on_data: Whether the next data on it is answered with a reset.
    """

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.is_silent = False
        self.resets_on_data = False

    def reset(self):
        """Resets the connection."""
        with suppress(OSError, AttributeError):
            self.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.writer.transport.abort()


class Server:
    """An HTTP server on one port of 127.0.0.1.

    Args:
        port: Port to listen on.
        handle: Coroutine function that takes a ``Request`` and returns an ``Answer``,
            or None to leave the request without an answer.

    Attributes:
        connections: Open ``Connection`` objects.
        gate: Event that is cleared while the server is cut off: requests on new
            connections wait for it.
    """

    def __init__(self, port, handle):
        self.port = port
        self._handle = handle
        self._server = None
        self.connections = set()
        self.gate = asyncio.Event()
        self.gate.set()

    async def start(self):
        """Listens."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**22
        )

    async def stop_listening(self):
        """Refuses new connections; the open ones stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def silence(self, connections=None):
        """Loses all that is on its way on open connections, for good.

        Args:
            connections: The ``Connection`` objects; all if None.
        """
        for connection in self.connections if connections is None else connections:
            connection.is_silent = True

    def reset_silent(self):
        """Resets the silent connections once data arrives on them.

        The process at their other end has restarted and does not know them.
        """
        for connection in self.connections:
            if connection.is_silent:
                connection.resets_on_data = True

    def reset_all(self):
        """Resets all open connections."""
        for connection in list(self.connections):
            connection.reset()

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                await self._serve_one(connection)
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            OSError,
            ValueError,
        ):
            # The peer has left, or the case ends.
            pass
        finally:
            self.connections.discard(connection)
            writer.transport.abort()

    async def _serve_one(self, connection):
        first, headers = await _read_head(connection.reader)
        body = await _read_body(connection.reader, headers)
        if connection.is_silent:
            if connection.resets_on_data:
                connection.reset()
            return
        await self.gate.wait()
        method, target, _ = first.split(" ")
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        request = Request(method, url.path, query, headers, body, connection)
        answer = await self._handle(request)
        if answer is None:
            connection.is_silent = True
        if connection.is_silent:
            return
        head = [f"HTTP/1.1 {answer.status} X"]
        fields = answer.headers | {"Content-Length": str(len(answer.body))}
        head += [f"{name}: {value}" for name, value in fields.items()]
        data = "\r\n".join(head).encode() + b"\r\n\r\n" + answer.body
        connection.writer.write(data)
        await connection.writer.drain()


async def call(method, port, path, body=None, headers=None, timeout_s=4.0):
    """Sends one request on a new connection to a port of 127.0.0.1.

    Returns:
        Status and body, or None if there was no answer.
    """
    fields = {"Host": "fleet.example", "Connection": "close"} | (headers or {})
    data = b"" if body is None else json.dumps(body).encode()
    fields["Content-Length"] = str(len(data))
    head = [f"{method} {path} HTTP/1.1"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            first, answered = await _read_head(reader)
            answer = await _read_body(reader, answered)
            return int(first.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
