"""HTTP client for calls to the platform, to workers and between daemons."""

import aiohttp
import anyio

from basilwind.errors import (
    CallRefused,
    CallTimedOut,
    CallUnanswered,
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
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._connections,
            keepalive_timeout=KEEPALIVE_S,
            use_dns_cache=False,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def stop(self):
        """Closes all connections."""
        await self._session.close()

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
        try:
            with anyio.fail_after(timeout_s):
                async with self._session.request(
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
