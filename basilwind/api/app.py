"""The ASGI application that serves the HTTP API of a daemon."""

import anyio
import msgspec
from eliot import write_traceback

from basilwind.api.asgi import (
    ClientDisconnected,
    HttpResponse,
    json_response,
    read_request,
    send_response,
)
from basilwind.api.auth import bearer_token, check_token
from basilwind.api.disconnects import DisconnectWatcher
from basilwind.api.outcomes import OutcomeBody, outcome_response
from basilwind.api.requests import parse_deadline_s, parse_request_spec
from basilwind.errors import AuthenticationError, RequestInvalid
from basilwind.models import OutcomeKind, Reason, refused, unknown
from basilwind.peers.messages import JobQuery

MAX_JOB_WAIT_S = 60.0
MIN_JOB_POLL_S = 0.05
MAX_JOB_POLL_S = 0.5


class JobBody(msgspec.Struct, omit_defaults=True):
    """Response body with the state of a job."""

    job_id: str
    state: str
    outcome: str = ""
    reason: str = ""
    worker: str = ""
    status: int = 0
    body: str = ""


class CancelBody(msgspec.Struct):
    """Response body for the cancellation of jobs by label.

    Attributes:
        cancelled: Number of cancelled jobs.
        is_complete: Whether every live entry host answered.
    """

    cancelled: int
    is_complete: bool


class ApiApp:
    """Serves callers, operators and the load balancer of the platform.

    Args:
        daemon: ``Daemon`` that the routes use.

    Attributes:
        disconnect_watcher: Cancels requests whose callers disconnect.
        open_requests: Number of requests that are being served.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self.disconnect_watcher = DisconnectWatcher(daemon.clock)
        self.open_requests = 0

    async def __call__(self, scope, receive, send):
        """Serves one request."""
        if scope["type"] != "http":
            return
        self.open_requests += 1
        try:
            response = await self._respond(scope, receive)
            if response is not None:
                await send_response(send, response)
        finally:
            self.open_requests -= 1

    async def _respond(self, scope, receive):
        try:
            request = await read_request(scope, receive)
            return await self._route(request, receive)
        except ClientDisconnected:
            return None
        except RequestInvalid as error:
            return _error_response(400, str(error))
        except AuthenticationError as error:
            return _error_response(401, str(error))
        except Exception:
            # The request may have run before the internal error, so the outcome is
            # unknown; a refusal would promise that it did not.
            write_traceback()
            return outcome_response(unknown(Reason.OUTCOME_LOST), "")

    async def _route(self, request, receive):
        parts = request.path.strip("/").split("/")
        match (request.method, *parts):
            case ("GET", "healthz"):
                return HttpResponse(200, b"ok\n", "text/plain")
            case ("GET", "readyz"):
                return self._readiness_response()
            case ("GET", "v1", "status"):
                return json_response(self._daemon.status())
            case ("POST", "v1", "queues", team, queue, "requests"):
                return await self._run_request(request, team, queue, receive)
            case ("POST", "v1", "queues", team, queue, "jobs"):
                return await self._submit_job(request, team, queue)
            case ("GET", "v1", "teams", team, "jobs", job_id):
                return await self._get_job(request, team, job_id)
            case ("POST", "v1", "teams", team, "jobs", job_id, "cancel"):
                return await self._cancel_job(request, team, job_id)
            case ("POST", "v1", "teams", team, "cancel"):
                return await self._cancel_by_label(request, team)
        return _error_response(
            404, "no such page; see the API page in the documentation"
        )

    def _readiness_response(self):
        problem = self._daemon.not_ready_reason()
        if problem:
            return HttpResponse(503, problem.encode() + b"\n", "text/plain")
        return HttpResponse(200, b"ready\n", "text/plain")

    async def _run_request(self, request, team, queue_name, receive):
        queue = self._authorized_queue(request, team, queue_name)
        if isinstance(queue, HttpResponse):
            return queue
        spec = parse_request_spec(request, team, queue, self._daemon.wall_clock())
        deadline = self._daemon.clock() + parse_deadline_s(request, queue)
        outcome = await self.disconnect_watcher.call(
            receive, self._daemon.router.submit, spec, deadline
        )
        if outcome is None:
            return None
        self._daemon.count_outcome(spec, outcome)
        return outcome_response(outcome, spec.request_id)

    async def _submit_job(self, request, team, queue_name):
        queue = self._authorized_queue(request, team, queue_name)
        if isinstance(queue, HttpResponse):
            return queue
        spec = parse_request_spec(request, team, queue, self._daemon.wall_clock())
        deadline = self._daemon.clock() + parse_deadline_s(request, queue)
        outcome = await self._daemon.router.submit(spec, deadline, is_job=True)
        self._daemon.count_outcome(spec, outcome)
        response = outcome_response(outcome, spec.request_id)
        if outcome.kind is OutcomeKind.DONE:
            response.headers["basilwind-outcome"] = "accepted"
        return response

    async def _get_job(self, request, team, job_id):
        self._authorize(request, team)
        wait_s = _parse_wait_s(request)
        deadline = self._daemon.clock() + wait_s
        pause_s = MIN_JOB_POLL_S
        while True:
            reply = await self._daemon.router.query_job(JobQuery(job_id, team))
            is_final = reply is not None and reply.state == "finished"
            is_missing = reply is not None and not reply.found
            if is_final or is_missing or self._daemon.clock() >= deadline:
                return _job_response(job_id, reply)
            await anyio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, MAX_JOB_POLL_S)

    async def _cancel_job(self, request, team, job_id):
        self._authorize(request, team)
        query = JobQuery(job_id, team, cancel=True)
        return _job_response(job_id, await self._daemon.router.query_job(query))

    async def _cancel_by_label(self, request, team):
        self._authorize(request, team)
        label = request.query.get("label", "")
        if not label:
            raise RequestInvalid("name the label: POST .../cancel?label=LABEL")
        reply = await self._daemon.router.cancel_label(team, label)
        return json_response(CancelBody(reply.cancelled, reply.found))

    def _authorized_queue(self, request, team, queue_name):
        """Returns the ``QueueSettings``, or the ``HttpResponse`` of a refusal."""
        problem = self._daemon.not_ready_reason()
        if problem:
            reason = Reason.LEAVING if self._daemon.is_leaving else Reason.NO_STATE
            if request.headers.get("idempotency-key"):
                # Another entry host may have run the request with this key before.
                return outcome_response(unknown(reason, 1.0), "")
            return outcome_response(refused(reason, 1.0), "")
        self._authorize(request, team)
        queue = self._daemon.control.state.find_queue(team, queue_name)
        if queue is None:
            return outcome_response(refused(Reason.UNKNOWN_QUEUE), "")
        return queue

    def _authorize(self, request, team):
        token = bearer_token(request.headers)
        settings = self._daemon.control.state.tree.teams.get(team)
        hashes = settings.tokens if settings is not None else []
        check_token(token, hashes, f"team {team!r}")


def _parse_wait_s(request):
    try:
        wait_s = float(request.query.get("wait", "0"))
    except ValueError as error:
        raise RequestInvalid("wait must be a number of seconds") from error
    if not 0 <= wait_s <= MAX_JOB_WAIT_S:
        raise RequestInvalid(f"wait must be from 0 to {MAX_JOB_WAIT_S:g} seconds")
    return wait_s


def _job_response(job_id, reply):
    if reply is None:
        response = _error_response(503, "the job's owner cannot be reached; ask again")
        response.headers["retry-after"] = "1"
        return response
    if not reply.found:
        return _error_response(404, "no such job of this team")
    body = JobBody(job_id, reply.state)
    if reply.outcome is not None:
        body.outcome = reply.outcome.kind.value
        body.reason = reply.outcome.reason.value
        body.worker = reply.outcome.worker
        body.status = reply.outcome.status
        body.body = reply.outcome.body.decode("utf-8", "replace")
    return json_response(body)


def _error_response(status, message):
    body = OutcomeBody("refused", "invalid_request", "", message)
    response = HttpResponse(status, msgspec.json.encode(body))
    response.headers["basilwind-outcome"] = "refused"
    return response
