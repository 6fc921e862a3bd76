"""Records of the platform's store: configuration, worker registry and waves.

In these records a queue is called a route, a pool a service, a host a machine, and a
customer a tenant.
"""

from typing import Annotated

import msgspec

from basilwind.checked_json import (
    Count,
    Duration,
    Integer,
    Name,
    Number,
    OptionalName,
    Size,
    check_address,
    check_name,
    decode_json,
)
from basilwind.errors import RecordInvalid
from basilwind.scheduling.fleet import (
    Configuration,
    Customer,
    Pool,
    Queue,
    RequestLimits,
    Resources,
    Wave,
    WorkerEntry,
)

OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
CONFIGURATION_KEY = "config"
WAVE_KEY_PREFIX = "wave/"
MAX_STATE_LENGTH = 40  # of an unknown state in a log line

ApiKey = Annotated[str, msgspec.Meta(min_length=1, max_length=1000)]


class _Route(msgspec.Struct, rename="camel"):
    name: Name
    host: str
    path_prefix: str
    service: Name
    timeout_ms: Duration = 3000
    target_duration_ms: Duration = 0
    priority: Integer = 0
    attempts: Count = 1
    stretch: Duration = 1.0
    advice: dict | None = None
    public: bool = False


class _Service(msgspec.Struct, rename="camel"):
    name: Name
    rejects_overload: bool = True
    spare: bool = False
    health_path: str = "/health"
    max_conns: Count = 64


class _RequestLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: Count = 16384
    max_body_bytes: Count = 262144
    header_timeout_ms: Duration = 3000
    idle_timeout_ms: Duration = 15000


class _Maximum(msgspec.Struct, rename="camel"):
    cpu: Size = 0
    mem_mb: Size = 0
    gpu: Size = 0


class _Tenant(msgspec.Struct, rename="camel"):
    name: Name
    api_keys: list[ApiKey]
    weight: Duration = 1.0
    maximum: _Maximum = msgspec.field(default_factory=_Maximum)


class _Configuration(msgspec.Struct):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _RequestLimits = msgspec.field(default_factory=_RequestLimits)
    tenants: list[_Tenant] | None = None


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: Size
    mem_mb: Size
    gpu: Size = 0


class _Worker(msgspec.Struct, rename="camel"):
    service: Name
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    born: Count = 0
    remaining_ms: Number = 0
    cold_left_ms: Number = 0
    machine: OptionalName = ""


class _Wave(msgspec.Struct, rename="camel"):
    wave: Count
    machines: list[Name]
    deadline_s: Number = msgspec.field(name="deadlineS")
    maximum: Integer = 1


def decode_configuration(data):
    """Decodes the configuration that the operator writes to the store.

    Args:
        data: Value of the record, bytes.

    Returns:
        A ``Configuration``.

    Raises:
        RecordInvalid: The record is not a valid configuration.
    """
    document = decode_json(data, _Configuration, "configuration", RecordInvalid)
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
            is_public=route.public,
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
    if document.tenants is None:
        return Configuration(document.version, queues, pools, limits)
    customers = _decode_customers(document.tenants)
    return Configuration(
        document.version,
        queues,
        pools,
        limits,
        customers,
        _decode_key_owners(document.tenants),
    )


def _decode_customers(tenants):
    """Returns the ``Customer`` of each tenant by name."""
    customers = {}
    for tenant in tenants:
        if tenant.name in customers:
            raise RecordInvalid(f"configuration: two tenants are named {tenant.name!r}")
        maximum = tenant.maximum
        customers[tenant.name] = Customer(
            tenant.name,
            tenant.weight,
            Resources(maximum.cpu, maximum.mem_mb, maximum.gpu),
        )
    return customers


def _decode_key_owners(tenants):
    """Returns the names of customers by key."""
    owners = {}
    for tenant in tenants:
        for key in tenant.api_keys:
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                # A message must not contain the key.
                raise RecordInvalid(
                    f"configuration: tenants {owner!r} and {tenant.name!r} share a key"
                )
    return owners


def decode_worker(worker_id, data):
    """Decodes the registry entry that a worker writes to the store.

    Args:
        worker_id: Id of the worker, the key of the record.
        data: Value of the record, bytes.

    Returns:
        A ``WorkerEntry``.

    Raises:
        RecordInvalid: The entry does not parse, has an unknown state, a field out of
            range or no valid address, or its key is no name.
    """
    check_name(worker_id, "id of a worker", RecordInvalid)
    what = f"entry of worker {worker_id!r}"
    entry = decode_json(data, _Worker, what, RecordInvalid)
    if entry.state not in ("ready", "draining"):
        raise RecordInvalid(f"{what}: state {entry.state[:MAX_STATE_LENGTH]!r}")
    check_address(entry.address, what, RecordInvalid)
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
    wave = decode_json(data, _Wave, "wave", RecordInvalid)
    return Wave(wave.wave, tuple(wave.machines), wave.deadline_s, max(1, wave.maximum))


def encode_wave_status(number, is_completed):
    """Returns key and value of the record that reports the state of a wave."""
    state = "completed" if is_completed else "running"
    return f"{WAVE_KEY_PREFIX}{number}", msgspec.json.encode({"state": state})
