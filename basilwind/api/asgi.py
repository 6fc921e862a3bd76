"""Small helpers over the ASGI interface."""

import logging
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import anyio
import msgspec
import uvicorn

from basilwind.errors import RequestInvalid

MAX_BODY_BYTES = 1024 * 1024
BACKLOG = 1024
KEEPALIVE_S = 30


@dataclass
class HttpRequest:
    """A received request.

    Attributes:
        method: The method.
        path: The path.
        headers: Headers by lower-case name.
        query: Query parameters.
        body: The whole body.
    """

    method: str
    path: str
    headers: dict[str, str]
    query: dict[str, str]
    body: bytes = b""


@dataclass
class HttpResponse:
    """An answer to send.

    Attributes:
        status: Status code.
        body: The body.
        content_type: Content type of the body.
        headers: Further headers.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)


class ClientDisconnected(Exception):
    """The client closed the connection before its request was whole."""


def json_response(value, status=200):
    """Returns a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(value))


async def read_request(scope, receive, max_body=MAX_BODY_BYTES):
    """Reads a whole request.

    Raises:
        RequestInvalid: The body is too large.
        ClientDisconnected: The client closed the connection before the end.
    """
    request = HttpRequest(
        method=scope["method"],
        path=scope["path"],
        headers={
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        },
        query=dict(parse_qsl(scope["query_string"].decode("latin-1"))),
    )
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        body += message.get("body", b"")
        if len(body) > max_body:
            raise RequestInvalid(f"the body exceeds {max_body} bytes; send less")
        if not message.get("more_body", False):
            break
    request.body = bytes(body)
    return request


async def send_response(send, response):
    """Sends a whole response."""
    headers = [
        (b"content-type", response.content_type.encode("latin-1")),
        (b"content-length", str(len(response.body)).encode()),
    ]
    for name, value in response.headers.items():
        headers.append((name.encode("latin-1"), value.encode("latin-1")))
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": response.body})


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to its application.

    Args:
        app: ASGI application.
        address: HOST:PORT to listen on.
    """

    def __init__(self, app, address):
        host, _, port = address.rpartition(":")
        config = uvicorn.Config(
            app,
            host=host,
            port=int(port),
            interface="asgi3",
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEPALIVE_S,
        )
        super().__init__(config)
        self._stopping = anyio.Event()
        # Applications report their own errors.
        logging.getLogger("uvicorn").setLevel(logging.CRITICAL)

    def install_signal_handlers(self):
        """Does nothing; the application handles signals."""

    async def main_loop(self):
        """Waits for ``stop`` in place of polling for it."""
        await self._stopping.wait()

    def stop(self):
        """Begins to stop: finishes what is open and takes nothing new."""
        self.should_exit = True
        self._stopping.set()

    async def serve_until_stopped(self):
        """Serves until ``stop`` is called, then finishes what is open."""
        await self._serve()

    async def wait_started(self):
        """Waits until the server listens."""
        while not self.started:
            await anyio.sleep(0.01)
