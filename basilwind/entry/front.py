"""Answers callers: jobs, their states, cancels and queues."""

import re

import anyio
import msgspec

from basilwind.api.asgi import (
    ClientDisconnected,
    HttpResponse,
    json_response,
    read_request,
    send_response,
)
from basilwind.errors import (
    NotOwner,
    NotStarted,
    RequestInvalid,
)
from basilwind.platform.jobs import decode_job
from basilwind.scheduling.admission import retry_after_s
from basilwind.scheduling.records import SubmissionRecord

JOB_ID = re.compile(r"[0-9a-f]{16}\Z", re.IGNORECASE)
DEFAULT_DEADLINE_S = 3.0  # the callers' deadline on every sheet
ANSWER_MARGIN_S = 0.15  # an answer takes some ms, and more on a slow machine
ASK_RETRY_S = 0.1  # a duty changes hands within seconds
RETRY_AFTER_S = 1  # an owner or the store returns within seconds
QUEUE_AGE_S = 0.5  # a queue's count may be 2 s old
ADMISSION_S = 0.1  # an owner answers in 2 ms; none is waited for
REFUSALS = (429, 503)  # both say that the job was not accepted and never runs


class Front:
    """ASGI application for callers.

    Args:
        services: ``Services``.
        peers: ``PeerCalls``.
        intake_of: Returns the ``Intake`` of a pool.
        is_stopping: Returns whether connections are to be closed.
        count_answer: Counts an answer by queue, method, status and seconds.
    """

    def __init__(self, services, peers, intake_of, is_stopping, count_answer):
        self._services = services
        self._peers = peers
        self._intake_of = intake_of
        self._is_stopping = is_stopping
        self._count_answer = count_answer
        self._queues = {}

    async def __call__(self, scope, receive, send):
        """Answers a request."""
        started_at = self._services.clock()
        configuration = self._services.configuration.current
        max_body = configuration.limits.body_bytes if configuration else 262144
        try:
            request = await read_request(scope, receive, max_body)
        except ClientDisconnected:
            return
        except RequestInvalid as error:
            await send_response(send, _error(413, str(error)))
            return
        response = await self._answer(request, started_at)
        if self._is_stopping():
            response.headers["Connection"] = "close"
        await send_response(send, response)

    async def _answer(self, request, started_at):
        configuration = self._services.configuration.current
        if configuration is None:
            return _unavailable("no configuration yet")
        queue = configuration.find_queue(request.headers.get("host", ""), request.path)
        if queue is None:
            return _error(404, "no queue has this host and path")
        response = await self._answer_for(queue, request, started_at)
        seconds = self._services.clock() - started_at
        self._count_answer(queue.name, request.method, response.status, seconds)
        return response

    async def _answer_for(self, queue, request, started_at):
        deadline = started_at + _patience_s(request, queue) - ANSWER_MARGIN_S
        name = request.path[len(queue.path_prefix) :]
        if not name:
            if request.method != "GET":
                return _error(405, "a queue is only read; name a job to submit it")
            return await self._count_waiting(queue, deadline)
        if not JOB_ID.match(name):
            return _error(404, "a job's id has 16 hexadecimal digits")
        if request.method == "POST":
            return await self._submit(queue, name, request, deadline)
        if request.method == "GET":
            return await self._state(queue, name, deadline)
        if request.method == "DELETE":
            return await self._cancel(queue, name, deadline)
        return _error(405, "use POST, GET or DELETE")

    async def _submit(self, queue, job_id, request, deadline):
        try:
            spec = decode_job(request.body)
        except RequestInvalid as error:
            return _error(400, str(error))
        record = msgspec.json.encode(
            SubmissionRecord(queue.name, self._services.wall(), spec)
        )
        if len(record) + 64 > self._services.settings.store_record_bytes:
            return _error(413, "the job is larger than the store's records")
        response = await self._refusal(queue, job_id)
        if response is None:
            intake = self._intake_of(queue.pool)
            response = await self._settle(intake.submit(job_id, record), deadline)
        if response.status in REFUSALS and await self._is_accepted(queue, job_id):
            # A repeat of a job that runs or has run; a refusal would say otherwise.
            response = json_response({})
        self._services.report(
            "job submitted", job=job_id, queue=queue.name, status=response.status
        )
        return response

    async def _is_accepted(self, queue, job_id):
        """Tells whether the owner has the job from an earlier attempt."""
        with anyio.move_on_after(ADMISSION_S):
            try:
                return await self._find_state(queue, job_id) is not None
            except NotOwner:
                # Nobody can tell; the caller's repeat is judged again.
                return False
        return False

    async def _cancel(self, queue, job_id, deadline):
        intake = self._intake_of(queue.pool)
        response = await self._settle(intake.cancel(job_id), deadline)
        self._services.report(
            "job cancel", job=job_id, queue=queue.name, status=response.status
        )
        return response

    async def _settle(self, storing, deadline):
        """Waits for an append; tells the truth about what may have happened."""
        with anyio.move_on_after(max(0.0, deadline - self._services.clock())):
            try:
                await storing
            except NotStarted as error:
                return _unavailable(str(error))
            return json_response({})
        return _error(504, "the platform's store did not answer in time")

    async def _state(self, queue, job_id, deadline):
        async def ask():
            state = await self._find_state(queue, job_id)
            if state is None:
                return _error(410, "no such job")
            return json_response({"state": state.value})

        return await self._ask_until(deadline, ask)

    async def _ask_until(self, deadline, ask):
        """Repeats a question while the pool has no owner that answers."""
        while True:
            try:
                return await ask()
            except NotOwner as error:
                if self._services.clock() + ASK_RETRY_S > deadline:
                    return _unavailable(str(error))
                await anyio.sleep(ASK_RETRY_S)

    async def _find_state(self, queue, job_id):
        state = await self._peers.job_state(queue.pool, job_id)
        if state is not None:
            return state
        # The queue may have been sent to another pool since the job came.
        for pool in self._services.configuration.current.pools.values():
            if pool.name == queue.pool or pool.is_spare:
                continue
            state = await self._peers.job_state(pool.name, job_id)
            if state is not None:
                return state
        return None

    async def _count_waiting(self, queue, deadline):
        async def ask():
            answer = await self._ask_queue(queue)
            return json_response({"waiting": answer.waiting})

        return await self._ask_until(deadline, ask)

    async def _ask_queue(self, queue):
        """Returns what the owner last said of a queue; asks again after a moment."""
        known = self._queues.get(queue.name)
        if known is not None and self._services.clock() - known[0] < QUEUE_AGE_S:
            return known[1]
        answer = await self._peers.queue(queue.pool, queue.name)
        self._queues[queue.name] = (self._services.clock(), answer)
        return answer

    async def _refusal(self, queue, job_id):
        """Returns the refusal of a job that is known to be of no use, or None."""
        answer = None
        with anyio.move_on_after(ADMISSION_S):
            try:
                answer = await self._ask_queue(queue)
            except NotOwner:
                # Jobs are accepted without an owner; a successor finds them.
                return None
        if answer is None or not answer.refuse_for_s:
            return None
        response = _error(429, "the queue can't be served in time; return later")
        wait_s = retry_after_s(job_id, answer.refuse_for_s)
        response.headers["Retry-After"] = str(wait_s)
        self._services.report(
            "job refused", job=job_id, queue=queue.name, retry_after_s=wait_s
        )
        return response


def _patience_s(request, queue):
    """Returns how long the caller waits for an answer, seconds."""
    try:
        asked_s = float(request.headers.get("x-deadline-ms", "")) / 1000
    except ValueError:
        asked_s = DEFAULT_DEADLINE_S
    return min(asked_s, queue.timeout_s) if queue.timeout_s > 0 else asked_s


def _error(status, message):
    return HttpResponse(status, msgspec.json.encode({"error": message}))


def _unavailable(message):
    response = _error(503, message)
    response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response
