"""Serves calls of other daemons, mostly to the owner of a pool."""

import traceback

from basilwind.api.asgi import (
    ClientDisconnected,
    HttpResponse,
    json_response,
    read_request,
    send_response,
)
from basilwind.checked_json import decode_json
from basilwind.entry.intake import CANCEL_PREFIX
from basilwind.entry.job_locator import path_pools_response
from basilwind.entry.peer_messages import (
    CONFIRM,
    GRANTS_PATH,
    HANDOVER_PATH,
    HOST_PATH,
    PATH_POOLS_PATH,
    TAKEOVER_PATH,
    WHERE_PATH,
    AdmissionRequest,
    AdmissionResponse,
    DaemonResponse,
    DeclineRequest,
    HandoverRequest,
    HandoverResponse,
    JobResponse,
    PathPoolsRequest,
    QueueResponse,
    RelayedRecord,
    TakeoverRequest,
    TakeoverResponse,
    WhereOwnerRequest,
    WhereResponse,
    WithholdRequest,
)
from basilwind.errors import NotOwner, NotStarted, RecordInvalid, RequestInvalid
from basilwind.platform.jobs import decode_job
from basilwind.scheduling.quota import GrantRequest
from basilwind.scheduling.records import decode_submission

NOT_OWNER = 421


class PeerApp:
    """ASGI application that serves calls of peers.

    Args:
        find_owner: Returns the loaded ``PoolOwner`` of a pool, or None.
        get_intake: Returns the ``Intake`` of a pool.
        services: ``Services``.
        answer_where: Coroutine function that takes the body of an operator's
            ``WhereRequest`` and returns a ``WhereResponse``.
        find_granter: Returns the ``QuotaGranter`` in this daemon, or None.
    """

    def __init__(
        self,
        find_owner,
        get_intake,
        services,
        answer_where,
        find_granter=lambda: None,
    ):
        self._answer_where = answer_where
        self._find_granter = find_granter
        self._find_owner = find_owner
        self._get_intake = get_intake
        self._services = services

    async def __call__(self, scope, receive, send):
        """Serves one request."""
        try:
            request = await read_request(scope, receive)
            response = await self._route(request)
        except NotOwner:
            response = HttpResponse(NOT_OWNER)
        except NotStarted as error:
            response = HttpResponse(503, str(error).encode(), "text/plain")
        except RequestInvalid as error:
            response = HttpResponse(400, str(error).encode(), "text/plain")
        except ClientDisconnected:
            return
        except Exception as error:
            self._services.report(
                "peer request failed",
                path=scope["path"],
                error="".join(traceback.format_exception(error)),
            )
            response = HttpResponse(500)
        await send_response(send, response)

    async def _route(self, request):
        if request.path == HOST_PATH:
            return self._describe_daemon()
        if request.path == TAKEOVER_PATH:
            self._services.store_monitor.record_takeover()
            return self._describe_daemon()
        if request.path == HANDOVER_PATH:
            return self._hand_over_planning(request.body)
        if request.path == WHERE_PATH:
            return json_response(await self._answer_where(request.body))
        if request.path == PATH_POOLS_PATH:
            question = decode_json(
                request.body, PathPoolsRequest, PATH_POOLS_PATH, RequestInvalid
            )
            return json_response(await path_pools_response(self._services, question))
        if request.path == GRANTS_PATH:
            return await self._answer_quota(request.body)
        kind, _, path = request.path.strip("/").partition("/")
        pool, *rest = path.split("/")
        if kind == TAKEOVER_PATH.strip("/"):
            return self._answer_successor(pool, request)
        if kind == "intake":
            return await self._store_record(pool, request.body)
        owner = self._find_owner(pool)
        if owner is None:
            raise NotOwner(f"pool {pool!r} is not owned here")
        if kind == "jobs" and rest:
            must_confirm = rest[1:] == [CONFIRM]
            return json_response(await job_response(owner, rest[0], must_confirm))
        if kind == "queues" and rest:
            return json_response(queue_response(owner, rest[0]))
        if kind == "admission":
            submission = decode_json(
                request.body, AdmissionRequest, request.path, RequestInvalid
            )
            return json_response(admission_response(owner, submission))
        if kind == "decline":
            decline = decode_json(
                request.body, DeclineRequest, request.path, RequestInvalid
            )
            state = await owner.decline(decline.job_id, decline.version, decline.target)
            return json_response(JobResponse(state))
        if kind == "withhold":
            wanted = decode_json(
                request.body, WithholdRequest, request.path, RequestInvalid
            )
            report = owner.withhold(wanted.worker_ids, wanted.token, wanted.at_risk)
            return json_response(report)
        if kind == "where":
            return self._explain_placement(owner, request)
        raise RequestInvalid(f"no such call: {request.path}")

    def _explain_placement(self, owner, request):
        asked = decode_json(
            request.body, WhereOwnerRequest, request.path, RequestInvalid
        )
        queue = self._services.configuration.find_queue(asked.queue)
        if queue is None:
            # The peer has another configuration.
            raise RequestInvalid(f"no queue {asked.queue!r}")
        spec = decode_job(asked.job)
        return json_response(
            WhereResponse(owner.explain_placement(queue, spec, asked.customer))
        )

    def _describe_daemon(self):
        monitor = self._services.store_monitor
        return json_response(
            DaemonResponse(
                self._services.incarnation,
                monitor.silence_s,
                monitor.was_silent_recently,
                monitor.takeover_age_s,
            )
        )

    async def _answer_quota(self, body):
        request = decode_json(body, GrantRequest, GRANTS_PATH, RequestInvalid)
        granter = self._find_granter()
        if granter is None:
            raise NotOwner("quota is not granted here")
        return json_response(await granter.answer(request))

    def _answer_successor(self, pool, request):
        successor = decode_json(
            request.body, TakeoverRequest, request.path, RequestInvalid
        )
        return json_response(
            TakeoverResponse(
                self._services.incarnation,
                has_recorded_all(
                    self._find_owner(pool),
                    pool,
                    successor.previous_token,
                    self._services,
                ),
            )
        )

    def _hand_over_planning(self, body):
        request = decode_json(body, HandoverRequest, HANDOVER_PATH, RequestInvalid)
        ages_s = self._services.machine_orders.hand_over(
            request.token, request.lease_s, self._services.clock()
        )
        return json_response(HandoverResponse(self._services.incarnation, ages_s))

    async def _store_record(self, pool, body):
        record = decode_json(body, RelayedRecord, "relayed record", RequestInvalid)
        if not self._may_store(pool, record):
            # The peer has another configuration.
            raise NotStarted(f"no queue {record.queue!r} of pool {pool!r}")
        await self._get_intake(pool).store(record.key, record.value)
        return HttpResponse(200)

    def _may_store(self, pool, record):
        """Returns whether a peer's record may be stored in a pool's intake.

        The newer one of both configurations decides where a submission goes. A
        cancellation is of use wherever the job may be.
        """
        configuration = self._services.configuration.current
        if configuration is None:
            return False
        queue = configuration.queues.get(record.queue)
        if queue is not None and queue.pool == pool:
            return True
        has_led_there = self._services.routes.has_pool(pool)
        if record.key.startswith(CANCEL_PREFIX):
            return has_led_there or pool in configuration.pools
        return has_led_there and not _is_outdated(record, configuration)


def _is_outdated(record, configuration):
    """Returns whether a submission was accepted by an older configuration."""
    try:
        return decode_submission(record.value).version < configuration.version
    except RecordInvalid:
        return True


def has_recorded_all(owner, pool, previous_token, services):
    """Returns whether no run of a pool's previous owner can be unknown to the new one.

    Args:
        owner: The ``PoolOwner`` in this daemon, or None.
        pool: Name of the pool.
        previous_token: Fencing token of the previous owner. An earlier or a later owner
            in this daemon can't tell for that one.
        services: ``Services``.
    """
    if owner is not None and owner.token == previous_token:
        return owner.yield_to_successor()
    return services.fully_recorded_pools.get(pool) == previous_token


async def job_response(owner, job_id, must_confirm=False):
    """Returns an owner's ``JobResponse`` for a job; see ``PeerClient.job_state``."""
    status = await owner.job_state(job_id, must_confirm)
    if status is None:
        return JobResponse(None)
    return JobResponse(status.state, status.customer, status.path)


def queue_response(owner, queue):
    """Returns an owner's ``QueueResponse`` for a queue."""
    return QueueResponse(owner.count_waiting(queue), owner.refuse_for_s(queue))


def admission_response(owner, request):
    """Returns an owner's ``AdmissionResponse`` to an ``AdmissionRequest``."""
    customer = owner.find_customer_of(request.job_id)
    if customer is not None:
        return AdmissionResponse(customer=customer, is_known=True)
    admission = owner.admit(request.queue, request.customer)
    return AdmissionResponse(admission.refuse_for_s, admission.reason)
