"""Client of the platform's log and host list, over HTTP."""

import enum
from urllib.parse import quote

import anyio
import httpcore
import msgspec

from basilwind.errors import PlatformUnavailable, RetentionGap

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0
MAX_CONNECTIONS = 8
KEEPALIVE_S = 10.0


class LogRecord(msgspec.Struct):
    """A record of a log stream.

    Attributes:
        offset: Its place in the stream, from 0.
        data: Its text.
    """

    offset: int
    data: str


class LogPage(msgspec.Struct):
    """An answer to a read of a log stream.

    Attributes:
        first: Oldest offset that is still held.
        head: Offset that the next record will get.
        records: Records read, in order.
    """

    first: int
    head: int
    records: list[LogRecord]


class ListedState(enum.StrEnum):
    """A host's state on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedHost(msgspec.Struct):
    """A line of the platform's lagging list of hosts."""

    name: str
    state: ListedState


class _Appended(msgspec.Struct):
    offset: int


class _HostList(msgspec.Struct):
    hosts: list[ListedHost]


class PlatformClient:
    """Reads and appends to log streams, and reads the host list.

    Args:
        base_url: Base URL of the platform.
    """

    def __init__(self, base_url):
        self._base_url = base_url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_S
        )

    async def aclose(self):
        """Closes all connections."""
        await self._pool.aclose()

    async def append(self, stream, data, timeout_s=APPEND_TIMEOUT_S):
        """Appends a record.

        Args:
            stream: Name of the stream.
            data: The record's bytes.
            timeout_s: Longest wait, in seconds.

        Returns:
            The record's offset.

        Raises:
            PlatformUnavailable: No good answer; the record may have been
                appended all the same.
        """
        path = f"/v1/log/{quote(stream, safe='')}/records"
        body = await self._fetch("POST", path, data, timeout_s)
        return _decode(body, _Appended).offset

    async def read(self, stream, from_offset, limit, wait_s):
        """Reads records, waiting for the first if there is none.

        Args:
            stream: Name of the stream.
            from_offset: First offset wanted.
            limit: Most records to return.
            wait_s: How long the platform may wait for a record, in seconds.

        Returns:
            A ``LogPage``.

        Raises:
            PlatformUnavailable: No good answer.
            RetentionGap: ``from_offset`` has been dropped already.
        """
        path = (
            f"/v1/log/{quote(stream, safe='')}/records"
            f"?from={from_offset}&limit={limit}&wait={wait_s}"
        )
        body = await self._fetch("GET", path, b"", wait_s + READ_MARGIN_S)
        page = _decode(body, LogPage)
        if page.first > from_offset:
            raise RetentionGap(page.first)
        return page

    async def hosts(self):
        """Returns the platform's list of hosts, which lags."""
        body = await self._fetch("GET", "/v1/hosts", b"", READ_MARGIN_S)
        return _decode(body, _HostList).hosts

    async def reboot(self, host):
        """Asks the platform to reboot a drained host.

        Raises:
            PlatformUnavailable: No good answer.
        """
        path = f"/v1/hosts/{quote(host, safe='')}/reboot"
        await self._fetch("POST", path, b"", READ_MARGIN_S)

    async def _fetch(self, method, path, content, timeout_s):
        try:
            with anyio.fail_after(timeout_s):
                response = await self._pool.request(
                    method, self._base_url + path, content=content or None
                )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise PlatformUnavailable(f"platform did not answer: {error}") from error
        except (TimeoutError, httpcore.TimeoutException, OSError) as error:
            raise PlatformUnavailable("platform did not answer in time") from error
        if response.status not in (200, 201):
            message = f"platform answered {response.status}"
            raise PlatformUnavailable(message)
        return response.content


def _decode(body, model):
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.DecodeError as error:
        raise PlatformUnavailable(f"platform answer not understood: {error}") from error
