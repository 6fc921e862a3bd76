"""The HTTP client that all calls to the platform, workers and peers share."""

import aiohttp
import anyio

from basilwind.errors import CallRefused, CallUnanswered, PlatformUnavailable

MAX_CONNECTIONS = 64  # long polls of all topics, with appends and calls of peers
MAX_WORKER_CONNECTIONS = 10  # of the 64 that a worker takes from all daemons
KEEPALIVE_S = 12.0  # below the 15 s after which idle connections are closed


JSON_HEADERS = {"Content-Type": "application/json"}


async def require_answer(calling, what):
    """Returns the body of a call's answer.

    Args:
        calling: Awaitable of status and body, such as ``Transport.call`` returns.
        what: What was asked for, for error messages.

    Raises:
        PlatformUnavailable: No answer came, or one with another status than 200.
    """
    try:
        status, body = await calling
    except (CallRefused, CallUnanswered) as error:
        raise PlatformUnavailable(str(error)) from error
    if status != 200:
        raise PlatformUnavailable(f"{what}: status {status}")
    return body


class Transport:
    """Pooled connections to any number of addresses.

    A connection is closed when an answer on it is late, since a connection that
    lost one answer returns nothing further.

    Args:
        connections: Most connections to one address.
    """

    def __init__(self, connections=MAX_CONNECTIONS):
        self._connections = connections
        self._session = None

    async def start(self):
        """Opens the client; must run inside the event loop."""
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
            timeout_s: Longest time until the whole answer is read.
            body: Request body, bytes.
            headers: Further headers.

        Returns:
            Status and body.

        Raises:
            CallRefused: No connection was made, so nothing was done.
            CallUnanswered: The call may have taken effect.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self._session.request(
                    method, url, data=body, headers=headers
                ) as response:
                    return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise CallRefused(f"{url}: {error}") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise CallUnanswered(f"{url}: {error}") from error
        except TimeoutError as error:
            raise CallUnanswered(f"{url}: no answer in {timeout_s:g} s") from error
