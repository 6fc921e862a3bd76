"""Calls other daemons, mostly the owner of a pool."""

import anyio
import msgspec

from basilwind.checked_json import decode_json
from basilwind.entry.peer_app import admission_response, queue_response
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
    PathPoolsResponse,
    QueueResponse,
    RelayedRecord,
    TakeoverRequest,
    TakeoverResponse,
    WhereOwnerRequest,
    WhereResponse,
    WithholdRequest,
)
from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    NotOwner,
    NotStarted,
    OutcomeUnknown,
    PeerError,
)
from basilwind.logs import log
from basilwind.platform.jobs import decode_job
from basilwind.scheduling.demand import PoolReport
from basilwind.scheduling.jobs import JobStatus
from basilwind.scheduling.quota import GrantResponse

CALL_TIMEOUT_S = 1.0  # a third of the callers' deadline of 3 s
GRANTS_TIMEOUT_S = 0.3  # an answer takes 10 ms, as raises are journalled first
PLANNER_TIMEOUT_S = 0.3  # an answer takes 2 ms, or 24 ms between regions
RELAY_TIMEOUT_S = 1.5  # a peer stores a record or gives up within 1 s


class PeerClient:
    """Calls a pool's owner, which may be in this daemon, and other duty holders.

    Args:
        transport: ``Transport``.
        find_owner: Returns the ``PoolOwner`` of a pool in this daemon, or None.
        find_address: Returns HOST:PORT of the daemon that owns a pool, or None.
        find_granter: Returns the ``QuotaGranter`` in this daemon, or None.
        find_granter_address: Returns HOST:PORT of the daemon that grants quota, or
            None.
    """

    def __init__(
        self,
        transport,
        find_owner,
        find_address,
        find_granter=lambda: None,
        find_granter_address=lambda: None,
    ):
        self._find_granter = find_granter
        self._find_granter_address = find_granter_address
        self._transport = transport
        self._find_owner = find_owner
        self._find_address = find_address

    async def job_state(self, pool, job_id, must_confirm=False):
        """Returns a job's ``JobStatus``, or None if the owner knows no such job.

        Args:
            pool: Name of the pool.
            job_id: Id of the job.
            must_confirm: Whether a caller will be told that an unknown job does not
                exist, so that the owner has to know of all jobs.

        Raises:
            NotOwner: No owner answered, or it may not know of all jobs.
        """
        owner = self._find_owner(pool)
        if owner is not None:
            return await owner.job_state(job_id, must_confirm)
        path = f"/jobs/{pool}/{job_id}"
        body = await self._call(pool, f"{path}/{CONFIRM}" if must_confirm else path)
        answer = decode_json(body, JobResponse, f"state of job {job_id}", NotOwner)
        if answer.state is None:
            return None
        return JobStatus(answer.state, answer.customer, answer.path)

    async def decline(self, pool, job_id, version, target):
        """Has an owner leave a job to another pool unless its own pool has it.

        Args:
            pool: Name of the pool.
            job_id: Id of the job.
            version: Version of the configuration by which its path leads to the other.
            target: Name of the other pool.

        Returns:
            The job's ``JobState`` if the pool has it, or None.

        Raises:
            NotOwner: No owner answered.
        """
        owner = self._find_owner(pool)
        if owner is not None:
            return await owner.decline(job_id, version, target)
        body = await self._call(
            pool,
            f"/decline/{pool}",
            "POST",
            msgspec.json.encode(DeclineRequest(job_id, version, target)),
        )
        answer = decode_json(body, JobResponse, f"decline of job {job_id}", NotOwner)
        return answer.state

    async def queue(self, pool, queue):
        """Returns the ``QueueResponse`` of a queue.

        Raises:
            NotOwner: No owner answered.
        """
        owner = self._find_owner(pool)
        if owner is not None:
            return queue_response(owner, queue)
        body = await self._call(pool, f"/queues/{pool}/{queue}")
        return decode_json(body, QueueResponse, f"queue {queue}", NotOwner)

    async def admission(self, pool, queue, job_id, customer):
        """Has a pool's owner decide on a customer's submission.

        Args:
            pool: Name of the pool.
            queue: Name of the queue.
            job_id: Id of the job.
            customer: Name of the customer.

        Returns:
            ``AdmissionResponse``.

        Raises:
            NotOwner: No owner answered.
        """
        request = AdmissionRequest(queue, job_id, customer)
        owner = self._find_owner(pool)
        if owner is not None:
            return admission_response(owner, request)
        body = await self._call(
            pool, f"/admission/{pool}", "POST", msgspec.json.encode(request)
        )
        what = f"admission of job {job_id}"
        return decode_json(body, AdmissionResponse, what, NotOwner)

    async def withhold(self, pool, worker_ids, token, at_risk=()):
        """Has an owner keep new tasks off the given workers, and only off those.

        Args:
            pool: Name of the pool.
            worker_ids: Ids of the workers.
            token: Fencing token of the planner.
            at_risk: Ids of workers whose runs an order may still end.

        Returns:
            ``PoolReport`` after the change.

        Raises:
            NotOwner: No owner answered, or it follows a later planner.
        """
        owner = self._find_owner(pool)
        if owner is not None:
            return owner.withhold(worker_ids, token, at_risk)
        body = await self._call(
            pool,
            f"/withhold/{pool}",
            "POST",
            msgspec.json.encode(WithholdRequest(worker_ids, token, list(at_risk))),
            PLANNER_TIMEOUT_S,
        )
        return decode_json(body, PoolReport, f"report of pool {pool}", NotOwner)

    async def where(self, queue, job, customer):
        """Has an owner tell where a job would go.

        Args:
            queue: ``Queue``.
            job: The job, as a caller submits it, bytes.
            customer: Name of the customer; empty for none.

        Returns:
            List of ``Reason``.

        Raises:
            NotOwner: No owner answered.
            RequestInvalid: The job is malformed.
        """
        spec = decode_job(job)
        owner = self._find_owner(queue.pool)
        if owner is not None:
            return owner.explain_placement(queue, spec, customer)
        body = await self._call(
            queue.pool,
            f"{WHERE_PATH}/{queue.pool}",
            "POST",
            msgspec.json.encode(WhereOwnerRequest(queue.name, job, customer)),
        )
        answer = decode_json(body, WhereResponse, "reasons of an owner", NotOwner)
        return answer.reasons

    def owner_address(self, pool):
        """Returns HOST:PORT of the daemon that owns a pool, or None."""
        return self._find_address(pool)

    async def request_grants(self, request):
        """Sends a ``GrantRequest`` to the granter and returns its ``GrantResponse``.

        Raises:
            NotOwner: No granter answered in time.
        """
        granter = self._find_granter()
        if granter is not None:
            with anyio.move_on_after(GRANTS_TIMEOUT_S):
                return await granter.answer(request)
            raise NotOwner("quota: no answer in time")
        address = self._find_granter_address()
        if not address:
            raise NotOwner("quota has no granter")
        body = await self._call_address(
            address,
            "granter",
            GRANTS_PATH,
            "POST",
            msgspec.json.encode(request),
            GRANTS_TIMEOUT_S,
        )
        return decode_json(body, GrantResponse, "grants", NotOwner)

    async def relay(self, claim, pool, queue, key, value):
        """Has a peer store a record in a pool's intake topic.

        Args:
            claim: ``Claim`` of the peer.
            pool: Name of the pool.
            queue: ``Queue`` that the record belongs to.
            key: Key of the record.
            value: Value of the record.

        Raises:
            NotStarted: The peer did not store it and never will.
            OutcomeUnknown: The peer may store it.
        """
        url = f"http://{claim.address}/intake/{pool}"
        body = msgspec.json.encode(RelayedRecord(queue.name, key, value))
        try:
            status, _ = await self._transport.call("POST", url, RELAY_TIMEOUT_S, body)
        except CallRefused as error:
            raise NotStarted(str(error)) from error
        except CallUnanswered as error:
            raise OutcomeUnknown(str(error)) from error
        log("record relayed", key=key, peer=claim.holder, status=status)
        if status in (400, 503):
            raise NotStarted(f"{claim.holder} did not store the record")
        if status != 200:
            raise OutcomeUnknown(f"{claim.holder} answered {status}")

    async def path_pools(self, claim, path):
        """Has a peer that the store serves tell which pools may have jobs of a path.

        Args:
            claim: ``Claim`` of the peer.
            path: ``Queue.path``.

        Returns:
            Its ``PathPoolsResponse``, or None.
        """
        body = msgspec.json.encode(PathPoolsRequest(*path))
        return await self._call_daemon(
            claim, "POST", PATH_POOLS_PATH, PathPoolsResponse, body
        )

    async def hand_over_planning(self, claim, token, lease_s):
        """Has the previous planner stop.

        Args:
            claim: Its ``Claim``.
            token: Fencing token of the new planner.
            lease_s: Time between orders of two planners for one host, seconds.

        Returns:
            Seconds since its latest order for each host, or None if it did not respond
            or has restarted.
        """
        body = msgspec.json.encode(HandoverRequest(token, lease_s))
        answer = await self._call_daemon(
            claim, "POST", HANDOVER_PATH, HandoverResponse, body
        )
        if answer is None or answer.incarnation != claim.holder:
            return None
        return answer.ages_s

    async def announce_takeover(self, claim):
        """Tells a duty holder that this daemon has taken over a duty.

        Args:
            claim: The holder's ``Claim``.

        Returns:
            Its ``DaemonResponse``, or None.
        """
        return await self._call_daemon(claim, "POST", TAKEOVER_PATH, DaemonResponse)

    async def has_previous_owner_recorded_all(self, claim, pool):
        """Returns whether a previous owner answers that no run of it is unrecorded.

        It starts none without a record from then on.

        Args:
            claim: Its ``Claim``.
            pool: Name of the pool.
        """
        answer = await self._call_daemon(
            claim,
            "POST",
            f"{TAKEOVER_PATH}/{pool}",
            TakeoverResponse,
            msgspec.json.encode(TakeoverRequest(claim.token)),
        )
        return (
            answer is not None
            and answer.incarnation == claim.holder
            and answer.has_recorded_all
        )

    async def query_daemon(self, claim):
        """Returns the ``DaemonResponse`` of the daemon at a claim's address, or None.

        Args:
            claim: ``Claim`` of a duty.
        """
        return await self._call_daemon(claim, "GET", HOST_PATH, DaemonResponse)

    async def _call_daemon(self, claim, method, path, kind, body=None):
        """Returns the decoded response of a duty holder, or None."""
        try:
            status, answer = await self._transport.call(
                method, f"http://{claim.address}{path}", PLANNER_TIMEOUT_S, body
            )
            if status == 200:
                return decode_json(answer, kind, path, PeerError)
            log(
                "unexpected response from duty holder",
                holder=claim.holder,
                status=status,
            )
        except (CallRefused, CallUnanswered, PeerError) as error:
            log("duty holder did not respond", holder=claim.holder, error=str(error))
        return None

    async def _call(
        self, pool, path, method="GET", body=None, timeout_s=CALL_TIMEOUT_S
    ):
        address = self._find_address(pool)
        if not address:
            raise NotOwner(f"pool {pool!r} has no owner")
        return await self._call_address(
            address, f"owner of pool {pool!r}", path, method, body, timeout_s
        )

    async def _call_address(self, address, holder, path, method, body, timeout_s):
        try:
            status, answer = await self._transport.call(
                method, f"http://{address}{path}", timeout_s, body
            )
        except (CallRefused, CallUnanswered) as error:
            raise NotOwner(f"{holder}: {error}") from error
        if status != 200:
            raise NotOwner(f"{holder} answered {status}")
        return answer
