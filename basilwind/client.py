"""Client of the daemons' HTTP interface."""

from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from basilwind.daemon.status import DaemonStatus
from basilwind.errors import DaemonUnreachable
from basilwind.models import OutcomeKind

TIMEOUT_MARGIN_S = 5.0
DEFAULT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """How a request is to be run.

    Attributes:
        idempotent: Whether running it twice is harmless.
        key: Idempotency key, a UUIDv7, or an empty string.
        urgent: Whether the urgent class applies.
        deadline_s: Time it may take, in seconds; 0 for the queue's own.
        slots: Worker slots.
        cpus: Processors.
        labels: Labels for bulk cancellation.
        content_type: Content type of the body.
    """

    idempotent: bool = True
    key: str = ""
    urgent: bool = False
    deadline_s: float = 0.0
    slots: int = 1
    cpus: float = 0.0
    labels: tuple[str, ...] = ()
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class Reply:
    """A daemon's answer.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def outcome(self):
        """The ``OutcomeKind``, or None if the answer names none."""
        name = self.headers.get("basilwind-outcome", "")
        try:
            return OutcomeKind(name)
        except ValueError:
            return None

    @property
    def is_accepted(self):
        """Whether a job has been accepted."""
        return self.headers.get("basilwind-outcome") == "accepted"

    @property
    def reason(self):
        """The reason, or an empty string."""
        return self.headers.get("basilwind-reason", "")

    def json(self):
        """Returns the body as plain values."""
        return msgspec.json.decode(self.body)


class Client:
    """Speaks to one daemon.

    Args:
        address: HOST:PORT of the daemon.
        token: The team's bearer token.
        max_connections: Most connections to the daemon.
    """

    def __init__(self, address, token="", max_connections=64):
        self._base_url = f"http://{address}"
        self._token = token
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=10.0
        )

    async def aclose(self):
        """Closes all connections."""
        await self._pool.aclose()

    async def submit(self, team, queue, body, options=None):
        """Sends a request and waits for its outcome.

        Returns:
            The ``Reply``.

        Raises:
            DaemonUnreachable: The daemon did not answer.
        """
        options = options or SubmitOptions()
        path = f"/v1/queues/{team}/{queue}/requests"
        return await self._send_work(path, body, options)

    async def submit_job(self, team, queue, body, options=None):
        """Sends a job and waits until it is accepted; see ``submit``."""
        options = options or SubmitOptions()
        path = f"/v1/queues/{team}/{queue}/jobs"
        return await self._send_work(path, body, options)

    async def job(self, team, job_id, wait_s=0.0):
        """Asks for a job, waiting up to ``wait_s`` for its end."""
        path = f"/v1/teams/{team}/jobs/{job_id}?wait={wait_s:g}"
        return await self._fetch("GET", path, timeout_s=wait_s + TIMEOUT_MARGIN_S)

    async def cancel_job(self, team, job_id):
        """Cancels a job."""
        return await self._fetch("POST", f"/v1/teams/{team}/jobs/{job_id}/cancel")

    async def cancel_label(self, team, label):
        """Cancels every unfinished job that bears a label."""
        return await self._fetch("POST", f"/v1/teams/{team}/cancel?label={label}")

    async def is_ready(self):
        """Whether the daemon takes work."""
        try:
            return (await self._fetch("GET", "/readyz", timeout_s=2.0)).status == 200
        except DaemonUnreachable:
            return False

    async def status(self):
        """Returns the daemon's ``DaemonStatus``."""
        reply = await self._fetch("GET", "/v1/status")
        return msgspec.json.decode(reply.body, type=DaemonStatus)

    async def _send_work(self, path, body, options):
        timeout_s = (options.deadline_s or 60.0) + TIMEOUT_MARGIN_S
        headers = _work_headers(options)
        return await self._fetch("POST", path, body, headers, timeout_s)

    async def _fetch(
        self, method, path, body=b"", headers=(), timeout_s=DEFAULT_TIMEOUT_S
    ):
        headers = list(headers)
        if self._token:
            headers.append((b"authorization", f"Bearer {self._token}".encode()))
        try:
            with anyio.fail_after(timeout_s):
                response = await self._pool.request(
                    method, self._base_url + path, headers=headers, content=body
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ) as error:
            message = f"no answer from {self._base_url}: {error or 'timeout'}"
            raise DaemonUnreachable(f"{message}; try another entry host") from error
        return Reply(
            response.status,
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            },
            response.content,
        )


def _work_headers(options):
    headers = [
        (b"content-type", options.content_type.encode()),
        (b"basilwind-idempotent", b"true" if options.idempotent else b"false"),
        (b"basilwind-slots", str(options.slots).encode()),
    ]
    if options.cpus:
        headers.append((b"basilwind-cpus", f"{options.cpus:g}".encode()))
    if options.key:
        headers.append((b"idempotency-key", options.key.encode()))
    if options.urgent:
        headers.append((b"basilwind-urgent", b"true"))
    if options.deadline_s:
        headers.append((b"basilwind-deadline", f"{options.deadline_s:g}".encode()))
    if options.labels:
        headers.append((b"basilwind-labels", ",".join(options.labels).encode()))
    return headers
