"""Calls to the service that tells which workers may run a step."""

from dataclasses import dataclass

import msgspec

from basilwind.platform.transport import JSON_HEADERS, require_answer

MAX_WORKERS = 100
CALL_TIMEOUT_S = 3.0  # calls of one daemon take turns; decisions take up to 1 s


@dataclass(frozen=True, slots=True)
class Advice:
    """Workers that may run a step.

    Attributes:
        tickets: Ticket by worker id.
        validity_s: How long the tickets are valid.
    """

    tickets: dict[str, str]
    validity_s: float


class _Answer(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]]
    validity_ms: float = 0


class AdviceClient:
    """Calls to the placement policy's service.

    Args:
        transport: ``Transport`` to call through.
        address: HOST:PORT of the service.
    """

    def __init__(self, transport, address):
        self._transport = transport
        self.set_address(address)

    def set_address(self, address):
        """Uses another address from now on."""
        self._url = f"http://{address}/advise"

    async def advise(self, step, workers):
        """Asks which of some workers may run a step.

        Args:
            step: Name of the step.
            workers: Worker ids, at most ``MAX_WORKERS``.

        Returns:
            ``Advice``.

        Raises:
            PlatformUnavailable: The service did not answer or is busy.
        """
        body = msgspec.json.encode({"step": step, "workers": workers})
        answer = await require_answer(
            self._transport.call("POST", self._url, CALL_TIMEOUT_S, body, JSON_HEADERS),
            f"advice for {step}",
        )
        decoded = msgspec.json.decode(answer, type=_Answer)
        return Advice(dict(decoded.good), decoded.validity_ms / 1000)
