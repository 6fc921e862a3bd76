"""HTTP client of the platform's log streams and host list."""

import enum
from urllib.parse import quote

import anyio
import httpcore
import msgspec

from basilwind.checked_json import decode_json
from basilwind.errors import PlatformUnavailable, RetentionGap

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0  # added to the wait of a long poll; also the timeout of other calls
MAX_CONNECTIONS = 8
KEEPALIVE_S = 10.0


class LogRecord(msgspec.Struct):
    """One record of a log stream.

    Attributes:
        offset: Position in the stream, starting at 0.
        data: Content of the record.
    """

    offset: int
    data: str


class LogPage(msgspec.Struct):
    """Response to a read of a log stream.

    Attributes:
        first: Oldest offset that the log still retains.
        head: Offset that the next record will get.
        records: Records that were read, in order of their offsets.
    """

    first: int
    head: int
    records: list[LogRecord]


class ListedState(enum.StrEnum):
    """State of a host on the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedHost(msgspec.Struct):
    """Entry of the platform's host list, which lags behind the actual state."""

    name: str
    state: ListedState


class _Appended(msgspec.Struct):
    offset: int


class _HostList(msgspec.Struct):
    hosts: list[ListedHost]


class PlatformClient:
    """Client of the log streams, the host list and the reboot call.

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
        """Appends a record to a stream.

        Args:
            stream: Name of the stream.
            data: Content of the record, bytes.
            timeout_s: Timeout, in seconds.

        Returns:
            The offset of the record.

        Raises:
            PlatformUnavailable: The platform did not confirm the append; the
                record may have been appended nevertheless.
        """
        path = f"/v1/log/{quote(stream, safe='')}/records"
        body = await self._fetch("POST", path, data, timeout_s)
        return _decode(body, _Appended).offset

    async def read(self, stream, from_offset, limit, wait_s):
        """Reads records by long poll.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record to read.
            limit: Maximum number of records.
            wait_s: How long the platform may wait for a record if there is none
                yet, in seconds.

        Returns:
            A ``LogPage``.

        Raises:
            PlatformUnavailable: The platform did not answer, or answered with an
                error.
            RetentionGap: The log no longer retains the record at ``from_offset``.
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
        """Returns the host list, a list of ``ListedHost`` that lags behind."""
        body = await self._fetch("GET", "/v1/hosts", b"", READ_MARGIN_S)
        return _decode(body, _HostList).hosts

    async def reboot(self, host):
        """Asks the platform to reboot a drained host.

        Raises:
            PlatformUnavailable: The platform did not answer, or answered with an
                error; it may reboot the host nevertheless.
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
            message = f"platform answered with status {response.status}"
            raise PlatformUnavailable(message)
        return response.content


def _decode(body, model):
    return decode_json(body, model, "answer of the platform", PlatformUnavailable)
