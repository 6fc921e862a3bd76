"""Client of the placement policy service, which decides where a step may run."""

from dataclasses import dataclass

import msgspec

from basilwind.checked_json import Duration, decode_json
from basilwind.errors import PlatformUnavailable
from basilwind.platform.transport import JSON_HEADERS, require_ok

MAX_WORKERS = 100
# A decision takes up to 1 s, and the service handles one call of a daemon at a time.
CALL_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Advice:
    """The workers that may run a step.

    Attributes:
        tickets: Tickets by worker id. A worker starts a task of the step only with
            its ticket.
        validity_s: How long the tickets are valid, in seconds.
    """

    tickets: dict[str, str]
    validity_s: float


class _Answer(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]]
    validity_ms: Duration = 0


class AdviceClient:
    """Client of the placement policy service.

    Args:
        transport: ``Transport`` that sends the requests.
        address: HOST:PORT of the service.
    """

    def __init__(self, transport, address):
        self._transport = transport
        self.set_address(address)

    def set_address(self, address):
        """Sets the address, HOST:PORT, for all further requests."""
        self._url = f"http://{address}/advise"

    async def advise(self, step, workers):
        """Asks which of the given workers may run a step.

        Args:
            step: Name of the step.
            workers: Ids of at most ``MAX_WORKERS`` workers.

        Returns:
            An ``Advice`` with the workers that are allowed.

        Raises:
            PlatformUnavailable: The service did not answer or is busy.
        """
        body = msgspec.json.encode({"step": step, "workers": workers})
        answer = await require_ok(
            self._transport.call("POST", self._url, CALL_TIMEOUT_S, body, JSON_HEADERS),
            f"advice for {step}",
        )
        decoded = decode_json(
            answer, _Answer, f"advice for {step}", PlatformUnavailable
        )
        return Advice(dict(decoded.good), decoded.validity_ms / 1000)
