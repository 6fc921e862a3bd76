"""Records of the platform's store: configuration, worker registry and waves.

In these records a queue is called a route, a pool a service, and a host a machine.
"""

import msgspec

from basilwind.errors import RecordInvalid
from basilwind.scheduling.fleet import (
    Configuration,
    Pool,
    Queue,
    RequestLimits,
    Wave,
    WorkerEntry,
)

OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
CONFIGURATION_KEY = "config"
WAVE_KEY_PREFIX = "wave/"


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float = 3000
    target_duration_ms: float = 0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    advice: dict | None = None


class _Service(msgspec.Struct, rename="camel"):
    name: str
    rejects_overload: bool = True
    spare: bool = False
    health_path: str = "/health"
    max_conns: int = 64


class _RequestLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _RequestLimits = msgspec.field(default_factory=_RequestLimits)


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Worker(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    born: int = 0
    remaining_ms: float = 0
    cold_left_ms: float = 0
    machine: str = ""


class _Wave(msgspec.Struct, rename="camel"):
    wave: int
    machines: list[str]
    deadline_s: float = msgspec.field(name="deadlineS")
    maximum: int = 1


def _decode(data, kind, what):
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordInvalid(f"{what}: {error}") from error


def decode_configuration(data):
    """Decodes the configuration that the operator writes to the store.

    Args:
        data: Value of the record, bytes.

    Returns:
        A ``Configuration``.

    Raises:
        RecordInvalid: The record is not a valid configuration.
    """
    document = _decode(data, _Configuration, "configuration")
    queues = {
        route.name: Queue(
            name=route.name,
            host_header=route.host,
            path_prefix=route.path_prefix,
            pool=route.service,
            timeout_s=route.timeout_ms / 1000,
            target_s=route.target_duration_ms / 1000,
            stretch=route.stretch,
            priority=route.priority,
            attempts=route.attempts,
            has_placement_policy=route.advice is not None,
        )
        for route in document.routes
    }
    pools = {
        service.name: Pool(
            name=service.name,
            rejects_overload=service.rejects_overload,
            is_spare=service.spare,
            health_path=service.health_path,
        )
        for service in document.services
    }
    limits = RequestLimits(
        header_bytes=document.limits.max_header_bytes,
        body_bytes=document.limits.max_body_bytes,
        header_timeout_s=document.limits.header_timeout_ms / 1000,
        idle_timeout_s=document.limits.idle_timeout_ms / 1000,
    )
    return Configuration(document.version, queues, pools, limits)


def decode_worker(worker_id, data):
    """Decodes the registry entry that a worker writes to the store.

    Args:
        worker_id: Id of the worker, the key of the record.
        data: Value of the record, bytes.

    Returns:
        A ``WorkerEntry``.

    Raises:
        RecordInvalid: The entry does not parse, has an unknown state or a negative
            capacity, or lacks an address.
    """
    entry = _decode(data, _Worker, f"entry of worker {worker_id!r}")
    if entry.state not in ("ready", "draining"):
        raise RecordInvalid(f"entry of worker {worker_id!r}: state {entry.state!r}")
    capacity = entry.capacity
    if min(capacity.cpu, capacity.mem_mb, capacity.gpu) < 0:
        raise RecordInvalid(f"entry of worker {worker_id!r}: capacity {capacity}")
    if ":" not in entry.address:
        raise RecordInvalid(f"entry of worker {worker_id!r}: address {entry.address!r}")
    return WorkerEntry(
        worker_id=worker_id,
        pool=entry.service,
        address=entry.address,
        zone=entry.zone,
        is_draining=entry.state == "draining",
        remaining_s=entry.remaining_ms / 1000,
        cpu=entry.capacity.cpu,
        memory=entry.capacity.mem_mb,
        gpu=entry.capacity.gpu,
        labels=frozenset(entry.labels),
        # The first label is the worker's kind, the second its rack.
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
        incarnation_started_ms=entry.born,
        host=entry.machine,
    )


def decode_wave(data):
    """Decodes a maintenance wave.

    Args:
        data: Value of the record, bytes.

    Returns:
        A ``Wave``.

    Raises:
        RecordInvalid: The record is not a valid wave.
    """
    wave = _decode(data, _Wave, "wave")
    return Wave(wave.wave, tuple(wave.machines), wave.deadline_s, max(1, wave.maximum))


def encode_wave_status(number, is_completed):
    """Returns key and value of the record that reports the state of a wave."""
    state = "completed" if is_completed else "running"
    return f"{WAVE_KEY_PREFIX}{number}", msgspec.json.encode({"state": state})
