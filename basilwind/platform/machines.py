"""Calls that list machines, move them between pools and take them down."""

import enum
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from basilwind.errors import CallRefused
from basilwind.platform.transport import JSON_HEADERS, require_answer

CALL_TIMEOUT_S = 2.0  # an answer takes a few ms, 50 times that on a slow day


class MachineState(enum.Enum):
    """What a machine is doing."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class OrderOutcome(enum.Enum):
    """How the platform answered an order for a machine."""

    DONE = "done"
    FENCED = "fence"
    BUSY = "busy"
    NOT_IN_WAVE = "wave"
    INVALID = "invalid"
    REJECTED = "turned away"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine on the platform's list.

    Attributes:
        name: Name of the machine.
        pool: Pool that it belongs to.
        state: What it is doing.
        zone: Its availability zone.
        labels: Its kind and its rack.
        cpu: Thousandths of a core.
        memory: Megabytes.
        worker_id: Its present worker; empty if there is none.
    """

    name: str
    pool: str
    state: MachineState
    zone: str
    labels: frozenset[str]
    cpu: int
    memory: int
    worker_id: str


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    id: str | None = ""


class _Page(msgspec.Struct, rename="camel"):
    machines: list[_Machine]
    next_token: str | None = None


class _Refusal(msgspec.Struct):
    reason: str = ""


class MachineClient:
    """Calls to the platform's machine service.

    Args:
        transport: ``Transport`` to call through.
        address: HOST:PORT of the service.
    """

    def __init__(self, transport, address):
        self._transport = transport
        self.set_address(address)

    def set_address(self, address):
        """Uses another address from now on."""
        self._base = f"http://{address}"

    async def list(self):
        """Returns all machines, a list of ``Machine``.

        Raises:
            PlatformUnavailable: The list could not be read.
        """
        machines, token = [], None
        while True:
            path = "/machines" + (f"?pageToken={quote(token)}" if token else "")
            body = await require_answer(
                self._transport.call("GET", self._base + path, CALL_TIMEOUT_S),
                "list of machines",
            )
            page = msgspec.json.decode(body, type=_Page)
            machines += [
                Machine(
                    name=entry.machine,
                    pool=entry.pool,
                    state=MachineState(entry.state),
                    zone=entry.zone,
                    labels=frozenset(entry.labels),
                    cpu=entry.capacity.cpu,
                    memory=entry.capacity.mem_mb,
                    worker_id=entry.id or "",
                )
                for entry in page.machines
            ]
            token = page.next_token
            if not token:
                return machines

    async def move(self, machine, pool, holder, token):
        """Moves a machine to another pool; ends all that runs on it.

        Returns:
            ``OrderOutcome``.

        Raises:
            CallUnanswered: The order may be carried out, even later.
        """
        body = {"machine": machine, "pool": pool}
        return await self._order("/machine-move", body, holder, token)

    async def start_maintenance(self, machine, wave, holder, token):
        """Takes a machine down for the upkeep of a wave.

        Returns:
            ``OrderOutcome``.

        Raises:
            CallUnanswered: The order may be carried out, even later.
        """
        body = {"machine": machine, "wave": wave}
        return await self._order("/machine-upkeep", body, holder, token)

    async def _order(self, path, body, holder, token):
        headers = JSON_HEADERS | {
            "X-Duty-Holder": holder,
            "X-Fencing-Token": str(token),
        }
        try:
            status, answer = await self._transport.call(
                "POST",
                self._base + path,
                CALL_TIMEOUT_S,
                msgspec.json.encode(body),
                headers,
            )
        except CallRefused:
            return OrderOutcome.REJECTED
        if status == 200:
            return OrderOutcome.DONE
        if status == 409:
            return OrderOutcome(msgspec.json.decode(answer, type=_Refusal).reason)
        return OrderOutcome.INVALID if status == 400 else OrderOutcome.REJECTED
