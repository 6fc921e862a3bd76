"""HTTP client for calls to the platform, to workers and between daemons."""

import aiohttp
import anyio

from basilwind.errors import (
    CallRefused,
    CallTimedOut,
    CallUnanswered,
    ConnectionGone,
    PlatformUnavailable,
)

# Long polls of all topics use these connections, along with appends and peer calls.
MAX_CONNECTIONS = 64
MAX_WORKER_CONNECTIONS = 10  # of the 64 that a worker accepts from all daemons
KEEPALIVE_S = 12.0  # below the 15 s after which servers close idle connections


JSON_HEADERS = {"Content-Type": "application/json"}


async def require_ok(call, what):
    """Returns the body of an answer that must have the status 200.

    Args:
        call: Awaitable of status and body, such as ``Transport.call`` returns.
        what: What was requested, for error messages.

    Raises:
        PlatformUnavailable: No answer came, or its status is not 200.
    """
    try:
        status, body = await call
    except (CallRefused, CallUnanswered) as error:
        raise PlatformUnavailable(str(error)) from error
    if status != 200:
        raise PlatformUnavailable(f"{what}: status {status}")
    return body


class Transport:
    """HTTP client with a connection pool for each address.

    A connection is closed when a request on it times out, since a connection that
    lost one answer delivers no further ones.

    Args:
        connections: Maximum number of connections to one address.
    """

    def __init__(self, connections=MAX_CONNECTIONS):
        self._connections = connections
        self._session = None

    async def start(self):
        """Opens the connection pool; must run inside the event loop."""
        self._session = _open_session(self._connections)

    async def stop(self):
        """Closes all connections of the pool."""
        await self._session.close()

    def create_connection(self):
        """Returns a ``SingleConnection``, which is not part of the pool."""
        return SingleConnection()

    async def call(self, method, url, timeout_s, body=None, headers=None):
        """Sends a request and reads the whole answer.

        Args:
            method: HTTP method.
            url: Absolute URL.
            timeout_s: Timeout for the whole exchange, in seconds.
            body: Request body, bytes.
            headers: Additional headers.

        Returns:
            Status and body.

        Raises:
            CallRefused: No connection was established, so nothing was sent.
            CallTimedOut: No complete answer came in time; the call may have taken
                effect.
            CallUnanswered: The connection broke; the call may have taken effect.
        """
        return await _call(self._session, method, url, timeout_s, body, headers)


class SingleConnection:
    """HTTP client that sends one request at a time, on a single connection.

    A connection leads to one process for as long as it exists, whichever process
    listens at the address by then.
    """

    def __init__(self):
        self._session = None
        self._may_connect = True

    async def call(
        self, method, url, timeout_s, body=None, headers=None, may_connect=True
    ):
        """Sends a request and reads the whole answer; see ``Transport.call``.

        Args:
            method: HTTP method.
            url: Absolute URL.
            timeout_s: Timeout for the whole exchange, in seconds.
            body: Request body, bytes.
            headers: Additional headers.
            may_connect: Whether the request may be sent on a new connection.

        Returns:
            Status and body.

        Raises:
            ConnectionGone: The connection has been closed since the last request, so
                nothing was sent.
            CallRefused: As for ``Transport.call``, as are the further errors.
        """
        if self._session is None:
            trace = aiohttp.TraceConfig()
            trace.on_connection_create_start.append(self._check_may_connect)
            self._session = _open_session(1, [trace])
        self._may_connect = may_connect
        return await _call(self._session, method, url, timeout_s, body, headers)

    async def _check_may_connect(self, session, context, parameters):
        if not self._may_connect:
            raise ConnectionGone("the connection was closed")

    async def close(self):
        """Closes the connection."""
        if self._session is not None:
            await self._session.close()


def _open_session(connections, trace_configs=()):
    """Returns an HTTP client with a limited number of connections to an address."""
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=connections,
        keepalive_timeout=KEEPALIVE_S,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        timeout=aiohttp.ClientTimeout(total=None),
        trace_configs=list(trace_configs),
    )


async def _call(session, method, url, timeout_s, body, headers):
    """Sends a request; see ``Transport.call``."""
    try:
        with anyio.fail_after(timeout_s):
            async with session.request(
                method, url, data=body, headers=headers
            ) as response:
                return response.status, await response.read()
    except aiohttp.ClientConnectorError as error:
        raise CallRefused(f"{url}: {error}") from error
    except TimeoutError as error:
        # Also an ``OSError``, so it comes first.
        raise CallTimedOut(f"{url}: no answer in {timeout_s:g} s") from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise CallUnanswered(f"{url}: {error}") from error
