"""Client for the HTTP interface of the daemons."""

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
    """Options of a request or job.

    Attributes:
        idempotent: Whether the request may safely run more than once.
        key: Idempotency key, a UUIDv7; empty for none.
        urgent: Whether the request is placed ahead of requests that are not urgent.
        deadline_s: Time until the request has to be finished, in seconds; 0 for the
            default of the queue.
        slots: Worker slots that the request needs.
        cpus: Processors that the request needs.
        labels: Labels by which jobs can be cancelled together.
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
    """HTTP response of a daemon.

    Attributes:
        status: HTTP status code.
        headers: Header values by lower-case name.
        body: The response body.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def outcome(self):
        """The ``OutcomeKind``, or None if the response has no final outcome."""
        name = self.headers.get("basilwind-outcome", "")
        try:
            return OutcomeKind(name)
        except ValueError:
            return None

    @property
    def is_accepted(self):
        """Whether the daemon accepted a job."""
        return self.headers.get("basilwind-outcome") == "accepted"

    @property
    def reason(self):
        """Value of ``Reason`` as text, or an empty string."""
        return self.headers.get("basilwind-reason", "")

    def json(self):
        """Returns the body decoded from JSON."""
        return msgspec.json.decode(self.body)


class Client:
    """Sends requests to one daemon.

    Args:
        address: HOST:PORT of the daemon.
        token: Bearer token of the team; empty for none.
        max_connections: Largest number of open connections to the daemon.
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
        """Submits a request and waits for its outcome.

        Args:
            team: Name of the team.
            queue: Name of the team's queue.
            body: Body of the request, as bytes.
            options: ``SubmitOptions``; the defaults if None.

        Returns:
            The ``Reply``.

        Raises:
            DaemonUnreachable: The daemon did not answer in time.
        """
        options = options or SubmitOptions()
        path = f"/v1/queues/{team}/{queue}/requests"
        return await self._submit(path, body, options)

    async def submit_job(self, team, queue, body, options=None):
        """Submits a job and waits until it is accepted; see ``submit``."""
        options = options or SubmitOptions()
        path = f"/v1/queues/{team}/{queue}/jobs"
        return await self._submit(path, body, options)

    async def job(self, team, job_id, wait_s=0.0):
        """Returns a job's state.

        Args:
            team: Name of the team.
            job_id: Id of the job.
            wait_s: Longest wait for the job's end, in seconds.

        Returns:
            The ``Reply``.
        """
        path = f"/v1/teams/{team}/jobs/{job_id}?wait={wait_s:g}"
        return await self._request("GET", path, timeout_s=wait_s + TIMEOUT_MARGIN_S)

    async def cancel_job(self, team, job_id):
        """Cancels a job."""
        return await self._request("POST", f"/v1/teams/{team}/jobs/{job_id}/cancel")

    async def cancel_label(self, team, label):
        """Cancels every unfinished job of a team that has a label."""
        return await self._request("POST", f"/v1/teams/{team}/cancel?label={label}")

    async def is_ready(self):
        """Whether the daemon answers and is ready to accept work."""
        try:
            return (await self._request("GET", "/readyz", timeout_s=2.0)).status == 200
        except DaemonUnreachable:
            return False

    async def where(self, question):
        """Asks a daemon's peer port where a job would go.

        Args:
            question: JSON text of a ``WhereRequest``, bytes.

        Returns:
            The ``Reply``.

        Raises:
            DaemonUnreachable: The daemon did not answer in time.
        """
        return await self._request("POST", "/where", question)

    async def status(self):
        """Returns the daemon's ``DaemonStatus``."""
        reply = await self._request("GET", "/v1/status")
        return msgspec.json.decode(reply.body, type=DaemonStatus)

    async def _submit(self, path, body, options):
        timeout_s = (options.deadline_s or 60.0) + TIMEOUT_MARGIN_S
        headers = _submit_headers(options)
        return await self._request("POST", path, body, headers, timeout_s)

    async def _request(
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


def _submit_headers(options):
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
