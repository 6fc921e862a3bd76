"""The HTTP API for callers: jobs, their states, cancellations and queues."""

import re
import traceback

import anyio
import msgspec

from basilwind.api.asgi import (
    ClientDisconnected,
    HttpResponse,
    json_response,
    read_request,
    send_response,
)
from basilwind.entry.intake import cancellation_key, encode_cancellation
from basilwind.entry.job_locator import JobLocator
from basilwind.entry.key_ring import KEY_HEADER, KeyOutcome, KeyRing
from basilwind.entry.pool_arbiter import OWNER_RETRY_S
from basilwind.errors import NotOwner, NotStarted, OutcomeUnknown, RequestInvalid
from basilwind.platform.jobs import decode_job
from basilwind.scheduling.admission import (
    RefusalReason,
    is_too_large,
    retry_after_s,
)
from basilwind.scheduling.jobs import is_foreign
from basilwind.scheduling.records import SubmissionRecord
from basilwind.scheduling.run_events import age_s

JOB_ID = re.compile(r"[0-9a-f]{16}\Z", re.IGNORECASE)
DEFAULT_DEADLINE_S = 3.0  # the callers' deadline in every deployment
MAX_DEADLINE_S = 3600.0
RESPONSE_MARGIN_S = 0.15  # a response takes some ms, and more on a slow host
RETRY_AFTER_S = 1  # owner changes and store outages last seconds
QUEUE_CACHE_S = 0.5  # callers accept counts that are up to 2 s old
ADMISSION_TIMEOUT_S = 0.1  # an owner answers in 2 ms; a missing owner is not waited for
REFUSALS = (429, 503)  # statuses which promise that the job will never run
UNCERTAIN = (503, 504)  # statuses whose causes an operator looks for
REFUSAL_TEXTS = {
    RefusalReason.BACKLOG: "your waiting jobs can't be served in time; return later",
    RefusalReason.EXCESS: "you send more jobs per second than agreed; return later",
    RefusalReason.QUOTA: "your quota is used up for some time; return later",
    RefusalReason.TOO_LARGE: "a task or gang of the job is larger than your quota",
}


class CallerApp:
    """ASGI application for callers.

    Args:
        services: ``Services``.
        peers: ``PeerClient``.
        intake_router: ``IntakeRouter``.
        is_stopping: Returns whether connections should be closed.
        count_response: Counts a response by queue, method, status and seconds.
    """

    def __init__(self, services, peers, intake_router, is_stopping, count_response):
        self._services = services
        self._peers = peers
        self._intake_router = intake_router
        self._is_stopping = is_stopping
        self._count_response = count_response
        self._locator = JobLocator(services, peers)
        self._queue_cache = {}
        # A ``CancelScope`` for each request that has no response yet.
        self._open_requests = set()
        self._is_closed = False

    async def __call__(self, scope, receive, send):
        """Serves one request."""
        if self._is_closed:
            response = _interrupted_response(scope["method"])
        else:
            response = await self._serve(scope, receive)
        if response is None:
            return
        if self._is_stopping():
            response.headers["Connection"] = "close"
        await send_response(send, response)

    async def _serve(self, scope, receive):
        """Returns the response to a request, or None if its client disconnected."""
        with anyio.CancelScope() as open_request:
            self._open_requests.add(open_request)
            try:
                response = await self._respond(scope, receive)
            except ClientDisconnected:
                return None
            except Exception as error:
                self._services.report(
                    "request failed",
                    path=scope["path"],
                    error="".join(traceback.format_exception(error)),
                )
                response = _interrupted_response(scope["method"])
            finally:
                self._open_requests.discard(open_request)
        if open_request.cancelled_caught:
            response = _interrupted_response(scope["method"])
        return response

    def answer_open_requests(self):
        """Answers all open requests and those that still arrive on open connections.

        This daemon can't finish them any more.
        """
        self._is_closed = True
        for open_request in list(self._open_requests):
            open_request.cancel()

    async def _respond(self, scope, receive):
        started_at = self._services.clock()
        configuration = self._services.configuration.current
        max_body = configuration.limits.body_bytes if configuration else 262144
        try:
            request = await read_request(scope, receive, max_body)
        except RequestInvalid as error:
            return _error_response(413, str(error))
        return await self._route(request, started_at)

    async def _route(self, request, started_at):
        if self._services.configuration.current is None:
            return _unavailable_response("no configuration yet")
        queue = await self._find_queue(request)
        if queue is None:
            return self._unknown_queue_response()
        version = self._services.configuration.current.version
        decision = self._authenticate(queue, request)
        if decision.outcome is KeyOutcome.UNKNOWN:
            response = _error_response(401, "the key in X-Key belongs to no customer")
        elif decision.outcome is KeyOutcome.STALE:
            response = _unavailable_response("the key can't be checked now; try again")
        else:
            response = await self._route_queue(
                queue, version, decision.customer, request, started_at
            )
            if response.status < 300:
                response = self._confirm(response, decision, queue, request)
        seconds = self._services.clock() - started_at
        self._count_response(queue.name, request.method, response.status, seconds)
        return response

    async def _find_queue(self, request):
        """Returns the ``Queue`` of a call, or None if none is known.

        An outdated configuration may lack a queue, so a newer one is looked for.
        """
        configuration = self._services.configuration
        host, now = request.headers.get("host", ""), self._services.clock()
        queue = configuration.current.find_queue(host, request.path)
        if queue is None and not self._key_ring.is_in_force(now):
            await configuration.confirm(now)
            queue = configuration.current.find_queue(host, request.path)
        return queue

    def _unknown_queue_response(self):
        """Returns the response to a call for which no queue is configured.

        An outdated configuration refuses nothing for good.
        """
        if self._key_ring.is_in_force(self._services.clock()):
            return _error_response(404, "no queue has this host and path")
        return _unavailable_response("the configuration may be out of date; try again")

    @property
    def _key_ring(self):
        # The settings may be replaced while the daemon runs.
        return KeyRing(self._services.configuration, self._services.settings)

    def _authenticate(self, queue, request):
        """Returns the ``KeyDecision`` about a call at this moment."""
        now = self._services.clock()
        key = request.headers.get(KEY_HEADER, "")
        decision = self._key_ring.authenticate(queue, key, now)
        if decision.outcome is not KeyOutcome.ALLOWED:
            self._services.report(
                "key refused",
                queue=queue.name,
                method=request.method,
                reason=decision.outcome.value,
                version=self._services.configuration.current.version,
                confirmed_age_s=age_s(self._services.configuration.confirmed_at, now),
            )
        return decision

    def _confirm(self, response, decision, queue, request):
        """Returns a success, unless its key is not valid any more.

        Args:
            response: ``HttpResponse`` to the call.
            decision: ``KeyDecision`` when the call arrived.
            queue: ``Queue`` that is called.
            request: ``HttpRequest``.
        """
        if self._authenticate(queue, request) == decision:
            return response
        self._services.report(
            "key withdrawn during call",
            queue=queue.name,
            method=request.method,
            customer=decision.customer,
        )
        return _withdrawn_response(request.method)

    async def _route_queue(self, queue, version, customer, request, started_at):
        deadline = started_at + _caller_timeout_s(request, queue) - RESPONSE_MARGIN_S
        name = request.path[len(queue.path_prefix) :]
        if not name:
            if request.method != "GET":
                return _error_response(
                    405, "a queue is only read; name a job to submit it"
                )
            return await self._count_waiting(queue, deadline)
        if not JOB_ID.match(name):
            return _error_response(404, "a job's id has 16 hexadecimal digits")
        if request.method == "POST":
            return await self._submit(queue, version, customer, name, request, deadline)
        if request.method == "GET":
            return await self._get_state(queue, name, customer, deadline)
        if request.method == "DELETE":
            return await self._cancel(queue, name, customer, started_at, deadline)
        return _error_response(405, "use POST, GET or DELETE")

    async def _submit(self, queue, version, customer, job_id, request, deadline):
        try:
            spec = decode_job(request.body)
        except RequestInvalid as error:
            return _error_response(400, str(error))
        record = msgspec.json.encode(
            SubmissionRecord(
                queue.name, self._services.wall_clock(), spec, queue, version, customer
            )
        )
        if len(record) + 64 > self._services.settings.store_record_bytes:
            return _error_response(413, "the job is larger than the store's records")
        response = None
        if not customer or len(self._services.routes.pools(queue)) > 1:
            response = await self._foreign_job_response(queue, job_id, customer)
        if response is None:
            response = await self._admission_refusal(queue, job_id, customer, spec)
        if response is None:
            response = await self._accept(queue, version, job_id, record, deadline)
        if response.status in REFUSALS and await self._is_accepted(
            queue, job_id, customer
        ):
            # The job was accepted on an earlier attempt, so a refusal would be wrong.
            response = json_response({})
        details = {"customer": customer} if customer else {}
        if response.status in UNCERTAIN:
            details["reason"] = msgspec.json.decode(response.body)["error"]
        self._services.report(
            "job submitted",
            job=job_id,
            queue=queue.name,
            status=response.status,
            **details,
        )
        return response

    async def _accept(self, queue, version, job_id, record, deadline):
        """Stores a submission unless another pool of its path has the job."""
        try:
            await self._services.routes.record(queue)
        except NotStarted as error:
            return _unavailable_response(str(error))
        try:
            if await self._services.arbiter.is_in_other_pool(
                queue, queue.pool, job_id, version, deadline
            ):
                return json_response({})
        except NotOwner as error:
            return _error_response(504, f"the job may have been accepted: {error}")
        except NotStarted as error:
            return _unavailable_response(str(error))
        return await self._store(queue.pool, queue, job_id, record, deadline)

    async def _is_accepted(self, queue, job_id, customer):
        """Returns whether the owner has the job from an earlier attempt."""
        with anyio.move_on_after(ADMISSION_TIMEOUT_S):
            try:
                job = await self._locator.find(queue, job_id, must_confirm=False)
            except (NotOwner, NotStarted):
                # Unknown without an owner; checked again when the caller retries.
                return False
            return job is not None and not is_foreign(job.customer, customer)
        return False

    async def _foreign_job_response(self, queue, job_id, customer):
        """Returns a 403 response if another customer has a job of this id, or None.

        Without an answer of the owner the call goes on. The owner ignores what another
        customer stores for its job.
        """
        if self._services.configuration.current.customers is None:
            return None
        with anyio.move_on_after(ADMISSION_TIMEOUT_S):
            for pool in {queue.pool} | self._services.routes.pools(queue):
                try:
                    job = await self._peers.job_state(pool, job_id)
                except NotOwner:
                    continue
                if job is not None and is_foreign(job.customer, customer):
                    return _foreign_response()
        return None

    async def _cancel(self, queue, job_id, customer, started_at, deadline):
        is_store_away = self._services.store_monitor.is_unavailable
        if is_store_away and not self._services.outage.relays():
            reason = "the platform's store is away"
            self._report_cancel(queue, job_id, 503, reason=reason)
            return _unavailable_response(reason)
        try:
            targets = await self._locator.cancel_targets(queue, job_id, started_at)
        except NotStarted as error:
            self._report_cancel(queue, job_id, 503, reason=str(error))
            return _unavailable_response(str(error))
        if self._is_foreign(targets.job, customer):
            return _foreign_response()
        key, value = cancellation_key(job_id), encode_cancellation(customer)
        responses = []

        async def store(pool):
            response = await self._store(pool, queue, key, value, deadline)
            responses.append(response)

        async with anyio.create_task_group() as tasks:
            for pool in targets.pools:
                tasks.start_soon(store, pool)
        response = max(responses, key=lambda response: response.status)
        self._report_cancel(
            queue,
            job_id,
            response.status,
            pools=sorted(targets.pools),
            grounds=targets.grounds.value,
        )
        return response

    def _is_foreign(self, job, customer):
        """Returns whether a ``JobStatus`` tells that another customer has a job."""
        if job is None or self._services.configuration.current.customers is None:
            return False
        return is_foreign(job.customer, customer)

    def _report_cancel(self, queue, job_id, status, **details):
        self._services.report(
            "job cancel",
            job=job_id,
            queue=queue.name,
            status=status,
            **details,
            **self._configuration_state(),
        )

    def _configuration_state(self):
        """Returns version and age of the configuration, for log lines."""
        configuration = self._services.configuration
        now = self._services.clock()
        return {
            "version": configuration.current.version,
            "configuration_age_s": age_s(configuration.confirmed_at, now),
        }

    async def _store(self, pool, queue, key, value, deadline):
        """Stores a record of a pool and returns a response about its outcome.

        The response is 503 if the record certainly is not stored, and 504 if it may
        still be stored.
        """
        patience_s = max(0.0, deadline - self._services.clock())
        with anyio.move_on_after(patience_s):
            try:
                await self._intake_router.store(pool, queue, key, value, patience_s)
            except NotStarted as error:
                return _unavailable_response(str(error))
            except OutcomeUnknown as error:
                return _error_response(504, str(error))
            return json_response({})
        return _error_response(504, "the platform's store did not answer in time")

    async def _get_state(self, queue, job_id, customer, deadline):
        async def query():
            job = await self._locator.find(queue, job_id)
            if job is None:
                self._services.report(
                    "job denied",
                    job=job_id,
                    queue=queue.name,
                    **self._configuration_state(),
                )
                return _error_response(410, "no such job")
            if is_foreign(job.customer, customer):
                return _foreign_response()
            return json_response({"state": job.state.value})

        try:
            return await self._retry_until(deadline, query)
        except NotStarted as error:
            return _unavailable_response(str(error))

    async def _retry_until(self, deadline, query):
        """Retries a query until the pool's owner answers or the deadline passes.

        Args:
            deadline: Boot time in seconds.
            query: Coroutine function that returns a response or raises ``NotOwner``.
        """
        while True:
            try:
                return await query()
            except NotOwner as error:
                if self._services.clock() + OWNER_RETRY_S > deadline:
                    return _unavailable_response(str(error))
                await anyio.sleep(OWNER_RETRY_S)

    async def _refresh_routes(self):
        """Makes sure that all pools of a path are known.

        Raises:
            NotOwner: Pools may be missing.
        """
        try:
            await self._services.routes.refresh(self._services.clock())
        except NotStarted as error:
            raise NotOwner(str(error)) from error

    async def _count_waiting(self, queue, deadline):
        async def query():
            await self._refresh_routes()
            answer = await self._query_queue(queue)
            return json_response({"waiting": answer.waiting})

        return await self._retry_until(deadline, query)

    async def _query_queue(self, queue):
        """Returns the owner's ``QueueResponse``, cached for ``QUEUE_CACHE_S``."""
        cached = self._queue_cache.get(queue.name)
        if cached is not None and self._services.clock() - cached[0] < QUEUE_CACHE_S:
            return cached[1]
        answer = await self._peers.queue(queue.pool, queue.name)
        for route in self._services.routes.other_routes(queue):
            if self._services.arbiter.has_owner(route.pool):
                other = await self._peers.queue(route.pool, route.queue)
                answer.waiting += other.waiting
        self._queue_cache[queue.name] = (self._services.clock(), answer)
        return answer

    async def _admission_refusal(self, queue, job_id, customer, spec):
        """Returns a 429 response if the queue can't take the job in time, or None."""
        if customer:
            return await self._customer_refusal(queue, job_id, customer, spec)
        answer = None
        with anyio.move_on_after(ADMISSION_TIMEOUT_S):
            try:
                answer = await self._query_queue(queue)
            except NotOwner:
                # Jobs are accepted without an owner; the next owner picks them up.
                return None
        if answer is None or not answer.refuse_for_s:
            return None
        response = _error_response(
            429, "the queue can't be served in time; return later"
        )
        wait_s = retry_after_s(job_id, answer.refuse_for_s)
        response.headers["Retry-After"] = str(wait_s)
        self._services.report(
            "job refused", job=job_id, queue=queue.name, retry_after_s=wait_s
        )
        return response

    async def _customer_refusal(self, queue, job_id, customer, spec):
        """Returns a response that refuses a customer's job, or None."""
        limits = self._services.configuration.find_customer(customer)
        if limits is not None and is_too_large(spec, limits.maximum):
            reason = RefusalReason.TOO_LARGE
            return self._refuse(queue, job_id, customer, reason, None)
        answer = None
        with anyio.move_on_after(ADMISSION_TIMEOUT_S):
            try:
                answer = await self._peers.admission(
                    queue.pool, queue.name, job_id, customer
                )
            except NotOwner:
                # Jobs are accepted without an owner; the next owner picks them up.
                return None
        if answer is None:
            return None
        if answer.is_known:
            foreign = is_foreign(answer.customer, customer)
            return _foreign_response() if foreign else None
        if answer.reason is None or not answer.refuse_for_s:
            return None
        wait_s = retry_after_s(job_id, answer.refuse_for_s)
        return self._refuse(queue, job_id, customer, answer.reason, wait_s)

    def _refuse(self, queue, job_id, customer, reason, wait_s):
        """Logs a refusal and returns its response; retries help unless it's too large.

        Args:
            queue: ``Queue``.
            job_id: Id of the job.
            customer: Name of the customer.
            reason: ``RefusalReason``.
            wait_s: Seconds after which to retry, or None.
        """
        body = {"error": REFUSAL_TEXTS[reason], "reason": reason.value}
        response = HttpResponse(429, msgspec.json.encode(body))
        if wait_s is not None:
            response.headers["Retry-After"] = str(wait_s)
        self._services.report(
            "job refused",
            job=job_id,
            queue=queue.name,
            customer=customer,
            reason=reason.value,
            retry_after_s=wait_s,
        )
        return response


def _caller_timeout_s(request, queue):
    """Returns how long the caller waits for a response, in seconds."""
    try:
        requested_s = float(request.headers.get("x-deadline-ms", "")) / 1000
    except ValueError:
        requested_s = DEFAULT_DEADLINE_S
    if not 0.0 <= requested_s <= MAX_DEADLINE_S:
        requested_s = DEFAULT_DEADLINE_S
    return min(requested_s, queue.timeout_s) if queue.timeout_s > 0 else requested_s


def _error_response(status, message):
    return HttpResponse(status, msgspec.json.encode({"error": message}))


def _foreign_response():
    return _error_response(403, "the job belongs to another customer")


def _withdrawn_response(method):
    """Returns the response to a call whose key was valid only when it arrived."""
    if method == "GET":
        return _unavailable_response("the key can't be checked any more; try again")
    return _error_response(
        504, "the key can't be checked any more; the outcome is unknown"
    )


def _interrupted_response(method):
    """Returns the response to a request whose processing was broken off.

    A submission or a cancellation may be stored already, so it can't be refused.
    """
    if method == "GET":
        return _unavailable_response("the daemon was interrupted; try again")
    return _error_response(504, "the daemon was interrupted; the outcome is unknown")


def _unavailable_response(message):
    response = _error_response(503, message)
    response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response
