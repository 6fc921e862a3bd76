"""Client of the machine service: listing, moves between pools, maintenance."""

import enum
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from basilwind.checked_json import Name, OptionalName, Size, decode_json
from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    PlatformUnavailable,
    RecordInvalid,
)
from basilwind.logs import log
from basilwind.platform.transport import JSON_HEADERS, require_ok

CALL_TIMEOUT_S = 2.0  # an answer takes a few ms, 50 times that on a slow platform


class MachineState(enum.Enum):
    """State of a machine, as the machine service reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class OrderOutcome(enum.Enum):
    """How the platform answered an order for a machine.

    The values of FENCED to INVALID are the reasons that the service gives. REJECTED
    stands for any other error, also if the service could not be reached.
    """

    DONE = "done"
    FENCED = "fence"
    BUSY = "busy"
    NOT_IN_WAVE = "wave"
    INVALID = "invalid"
    REJECTED = "turned away"


@dataclass(frozen=True, slots=True)
class Machine:
    """Entry of the platform's list of machines.

    Attributes:
        name: Name of the machine.
        pool: Pool that it belongs to.
        state: State of the machine.
        zone: Availability zone.
        labels: Kind and rack of the machine.
        cpu: Processor capacity, in thousandths of a core.
        memory: Memory, in megabytes.
        worker_id: Id of the worker that runs on it; empty if there is none.
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
    cpu: Size = 0
    mem_mb: Size = 0


class _MachineName(msgspec.Struct):
    machine: Name


class _Machine(_MachineName):
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    id: OptionalName | None = ""


class _Page(msgspec.Struct, rename="camel"):
    # Decoded one by one, so that a malformed entry costs only its machine.
    machines: list[msgspec.Raw]
    next_token: str | None = None


class _Refusal(msgspec.Struct):
    reason: str = ""


class MachineClient:
    """Client of the platform's machine service.

    Args:
        transport: ``Transport`` that sends the requests.
        address: HOST:PORT of the service.
    """

    def __init__(self, transport, address):
        self._transport = transport
        self.set_address(address)

    def set_address(self, address):
        """Sets the address, HOST:PORT, for all further requests."""
        self._base = f"http://{address}"

    async def list(self):
        """Reads all pages of the list of machines.

        Returns:
            A list of ``Machine``.

        Raises:
            PlatformUnavailable: A page could not be read.
        """
        machines, token = [], None
        while True:
            path = "/machines" + (f"?pageToken={quote(token)}" if token else "")
            body = await require_ok(
                self._transport.call("GET", self._base + path, CALL_TIMEOUT_S),
                "machine list",
            )
            page = decode_json(body, _Page, "machine list", PlatformUnavailable)
            decoded = map(_decode_machine, page.machines)
            machines += [machine for machine in decoded if machine is not None]
            if not page.next_token:
                return machines
            if page.next_token == token:
                raise PlatformUnavailable("machine list: a page refers to itself")
            token = page.next_token

    async def move(self, machine, pool, holder, token):
        """Orders the move of a machine to another pool, which ends its tasks.

        Args:
            machine: Name of the machine.
            pool: Pool to move it to.
            holder: Name of the daemon that gives the order.
            token: Fencing token of the daemon's duty.

        Returns:
            The ``OrderOutcome``.

        Raises:
            CallUnanswered: No answer came; the order may still be carried out.
        """
        body = {"machine": machine, "pool": pool}
        return await self._order("/machine-move", body, holder, token)

    async def start_maintenance(self, machine, wave, holder, token):
        """Orders the maintenance of a machine, which takes it down.

        Args:
            machine: Name of the machine.
            wave: Number of the wave that the machine belongs to.
            holder: Name of the daemon that gives the order.
            token: Fencing token of the daemon's duty.

        Returns:
            The ``OrderOutcome``.

        Raises:
            CallUnanswered: No answer came; the order may still be carried out.
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
            return _decode_refusal(answer, f"{path} {body['machine']}")
        return OrderOutcome.INVALID if status == 400 else OrderOutcome.REJECTED


def _decode_machine(data):
    """Returns the ``Machine`` of an entry of the list.

    One with a malformed entry counts as down, so that it gets no orders. None stands
    for an entry without a name.
    """
    try:
        entry = decode_json(data, _Machine, "machine", RecordInvalid)
    except RecordInvalid as error:
        log("invalid machine ignored", error=str(error))
        return _decode_damaged_machine(data)
    try:
        state = MachineState(entry.state)
    except ValueError:
        # A state of a later version of the service; such a machine gets no orders.
        state = MachineState.DOWN
    return Machine(
        name=entry.machine,
        pool=entry.pool,
        state=state,
        zone=entry.zone,
        labels=frozenset(entry.labels),
        cpu=entry.capacity.cpu,
        memory=entry.capacity.mem_mb,
        worker_id=entry.id or "",
    )


def _decode_damaged_machine(data):
    try:
        entry = decode_json(data, _MachineName, "machine", RecordInvalid)
    except RecordInvalid:
        # The entry has been logged.
        return None
    return Machine(entry.machine, "", MachineState.DOWN, "", frozenset(), 0, 0, "")


def _decode_refusal(answer, what):
    reason = decode_json(answer, _Refusal, what, CallUnanswered).reason
    try:
        return OrderOutcome(reason)
    except ValueError:
        # A reason that is not known here still says that nothing was done.
        return OrderOutcome.REJECTED
