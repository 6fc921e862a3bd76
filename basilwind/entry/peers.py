"""Calls between daemons: a pool's owner answers for its jobs."""

import msgspec

from basilwind.api.asgi import HttpResponse, json_response, read_request, send_response
from basilwind.errors import CallRefused, CallUnanswered, NotOwner, RequestInvalid
from basilwind.logs import log
from basilwind.scheduling.capacity import PoolReport
from basilwind.scheduling.jobs import JobState

CALL_TIMEOUT_S = 1.0  # a third of the callers' deadline of 3 s
PLANNER_TIMEOUT_S = 0.3  # an answer takes 2 ms, 24 ms between regions
HOST_PATH = "/host"
NOT_OWNER = 421


class JobAnswer(msgspec.Struct):
    """What an owner knows of a job; ``state`` is None if there is none."""

    state: str | None


class QueueAnswer(msgspec.Struct):
    """What an owner knows of a queue.

    Attributes:
        waiting: Accepted jobs that have started nothing.
        refuse_for_s: Time for which new jobs are turned away; 0 for none.
    """

    waiting: int
    refuse_for_s: float = 0.0


class HostAnswer(msgspec.Struct):
    """What a daemon says of itself.

    Attributes:
        incarnation: Name of its life.
        store_silence_s: Time since the store last answered it.
    """

    incarnation: str
    store_silence_s: float


class PeerApp:
    """ASGI application for calls of peers.

    Args:
        owners: Returns the loaded ``PoolOwner`` of a pool, or None.
        incarnation: Name of this daemon's life.
        store_watch: ``StoreWatch``.
    """

    def __init__(self, owners, incarnation, store_watch):
        self._owners = owners
        self._incarnation = incarnation
        self._store_watch = store_watch

    async def __call__(self, scope, receive, send):
        """Answers a request."""
        try:
            request = await read_request(scope, receive)
            response = await self._answer(request)
        except NotOwner:
            response = HttpResponse(NOT_OWNER)
        except RequestInvalid as error:
            response = HttpResponse(400, str(error).encode(), "text/plain")
        await send_response(send, response)

    async def _answer(self, request):
        if request.path == HOST_PATH:
            silence_s = self._store_watch.silence_s
            return json_response(HostAnswer(self._incarnation, silence_s))
        kind, pool, *rest = request.path.strip("/").split("/")
        owner = self._owners(pool)
        if owner is None:
            raise NotOwner(f"pool {pool!r} is not owned here")
        if kind == "jobs" and rest:
            return json_response(await answer_job(owner, rest[0]))
        if kind == "queues" and rest:
            return json_response(answer_queue(owner, rest[0]))
        if kind == "withhold":
            worker_ids = msgspec.json.decode(request.body, type=list[str])
            return json_response(owner.withhold(worker_ids))
        raise RequestInvalid(f"no such call: {request.path}")


async def answer_job(owner, job_id):
    """Returns the ``JobAnswer`` of an owner."""
    state = await owner.job_state(job_id)
    return JobAnswer(state.value if state else None)


def answer_queue(owner, queue):
    """Returns the ``QueueAnswer`` of an owner."""
    return QueueAnswer(owner.waiting(queue), owner.refuse_for_s(queue))


class PeerCalls:
    """Asks a pool's owner, which may be this daemon.

    Args:
        transport: ``Transport``.
        find_owner: Returns the local owner of a pool, or None.
        find_address: Returns HOST:PORT of a pool's owner, or None.
    """

    def __init__(self, transport, find_owner, find_address):
        self._transport = transport
        self._find_owner = find_owner
        self._find_address = find_address

    async def job_state(self, pool, job_id):
        """Returns a job's ``JobState``, or None if the owner knows no such job.

        Raises:
            NotOwner: No owner answered.
        """
        owner = self._find_owner(pool)
        if owner is not None:
            return await owner.job_state(job_id)
        body = await self._call(pool, f"/jobs/{pool}/{job_id}")
        state = msgspec.json.decode(body, type=JobAnswer).state
        return JobState(state) if state else None

    async def queue(self, pool, queue):
        """Returns the ``QueueAnswer`` of a queue.

        Raises:
            NotOwner: No owner answered.
        """
        owner = self._find_owner(pool)
        if owner is not None:
            return answer_queue(owner, queue)
        body = await self._call(pool, f"/queues/{pool}/{queue}")
        return msgspec.json.decode(body, type=QueueAnswer)

    async def withhold(self, pool, worker_ids):
        """Has an owner empty some workers, and no others.

        Returns:
            ``PoolReport`` of the moment after that.

        Raises:
            NotOwner: No owner answered.
        """
        owner = self._find_owner(pool)
        if owner is not None:
            return owner.withhold(worker_ids)
        body = await self._call(
            pool,
            f"/withhold/{pool}",
            "POST",
            msgspec.json.encode(worker_ids),
            PLANNER_TIMEOUT_S,
        )
        return msgspec.json.decode(body, type=PoolReport)

    async def is_alive(self, claim):
        """Tells whether a holder of a duty answers, in the life that claimed it.

        Args:
            claim: Its ``Claim``.
        """
        answer = await self._ask_host(claim)
        return answer is not None and answer.incarnation == claim.holder

    async def store_silence_s(self, claim):
        """Returns since when the store has been silent for a holder, or None.

        Args:
            claim: Its ``Claim``.
        """
        answer = await self._ask_host(claim)
        return answer.store_silence_s if answer else None

    async def _ask_host(self, claim):
        try:
            status, body = await self._transport.call(
                "GET", f"http://{claim.address}{HOST_PATH}", PLANNER_TIMEOUT_S
            )
            if status == 200:
                return msgspec.json.decode(body, type=HostAnswer)
            log("holder not understood", holder=claim.holder, status=status)
        except (CallRefused, CallUnanswered, msgspec.DecodeError) as error:
            log("holder does not answer", holder=claim.holder, error=str(error))
        return None

    async def _call(
        self, pool, path, method="GET", body=None, timeout_s=CALL_TIMEOUT_S
    ):
        address = self._find_address(pool)
        if not address:
            raise NotOwner(f"pool {pool!r} has no owner")
        try:
            status, answer = await self._transport.call(
                method, f"http://{address}{path}", timeout_s, body
            )
        except (CallRefused, CallUnanswered) as error:
            raise NotOwner(f"owner of pool {pool!r}: {error}") from error
        if status != 200:
            raise NotOwner(f"owner of pool {pool!r} answered {status}")
        return answer
