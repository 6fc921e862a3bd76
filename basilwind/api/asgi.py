"""ASGI requests and responses, and the HTTP server."""

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
        method: HTTP method.
        path: URL path.
        headers: Header values by lower-case name.
        query: Query parameters by name.
        body: Complete body.
    """

    method: str
    path: str
    # Left out of the representation, as headers contain the callers' keys.
    headers: dict[str, str] = field(repr=False)
    query: dict[str, str]
    body: bytes = b""


@dataclass
class HttpResponse:
    """A response to send.

    Attributes:
        status: HTTP status code.
        body: Complete body.
        content_type: Content type of the body.
        headers: Additional headers.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)


class ClientDisconnected(Exception):
    """The client disconnected before its request was complete."""


def json_response(value, status=200):
    """Returns a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(value))


async def read_request(scope, receive, max_body=MAX_BODY_BYTES):
    """Reads a request with its complete body.

    Raises:
        RequestInvalid: The body is too large.
        ClientDisconnected: The client disconnected before the request was complete.
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
    """Sends a response in one piece."""
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
    """A uvicorn server that installs no signal handlers.

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
        # The applications log their own errors.
        logging.getLogger("uvicorn").setLevel(logging.CRITICAL)

    def install_signal_handlers(self):
        """Does nothing; the process that runs the server handles signals."""

    async def main_loop(self):
        """Waits for ``stop``; replaces uvicorn's polling loop."""
        await self._stopping.wait()

    def stop(self):
        """Starts a graceful stop: open requests finish, new ones are not accepted."""
        self.should_exit = True
        self._stopping.set()

    async def serve_until_stopped(self):
        """Serves until ``stop`` is called and open requests have finished."""
        await self._serve()

    async def wait_started(self):
        """Waits until the server accepts connections."""
        while not self.started:
            await anyio.sleep(0.01)
