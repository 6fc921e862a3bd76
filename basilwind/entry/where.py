"""Answers the question of an operator where a job would go."""

from basilwind.checked_json import decode_json
from basilwind.entry.peer_messages import WHERE_PATH, WhereRequest, WhereResponse
from basilwind.errors import NotOwner, RequestInvalid
from basilwind.platform.jobs import decode_job
from basilwind.scheduling.where import Reason


class WhereAnswers:
    """Finds the queue of a job and asks the owner of its pool.

    Args:
        services: ``Services``.
        peers: ``PeerClient``.
    """

    def __init__(self, services, peers):
        self._services = services
        self._peers = peers

    async def answer(self, body):
        """Returns the ``WhereResponse`` to an encoded ``WhereRequest``.

        Raises:
            RequestInvalid: The question or the job is malformed, or no queue has the
                host and path.
        """
        question = decode_json(body, WhereRequest, WHERE_PATH, RequestInvalid)
        decode_job(question.job)
        queue = self._find_queue(question)
        address = self._peers.owner_address(queue.pool)
        owner = Reason("owner", address or "none is known")
        try:
            reasons = await self._peers.where(queue, question.job, question.customer)
        except NotOwner as error:
            text = f"a job would be accepted and wait for an owner: {error}"
            reasons = [
                Reason("queue", queue.name),
                Reason("pool", queue.pool),
                Reason("no owner", text),
            ]
        return WhereResponse([owner, *reasons])

    def _find_queue(self, question):
        configuration = self._services.configuration.current
        if configuration is None:
            raise RequestInvalid("this daemon has no configuration yet")
        for path in (question.path, question.path + "/"):
            queue = configuration.find_queue(question.host, path)
            if queue is not None:
                return queue
        raise RequestInvalid(
            f"no queue has the host {question.host!r} and path {question.path!r}"
        )
