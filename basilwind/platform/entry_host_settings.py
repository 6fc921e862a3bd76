"""The settings file that the platform writes for each process."""

from dataclasses import dataclass

import msgspec

from basilwind.errors import SettingsError


class _Addresses(msgspec.Struct):
    front: str
    ready: str = msgspec.field(name="readyAddr")


class _Limits(msgspec.Struct, rename="camel"):
    cpu_share: float = 1.0
    cores: float = 1.0


class _Store(msgspec.Struct, rename="camel"):
    address: str
    record_bytes: int = 262144


class _Machines(msgspec.Struct, rename="camel"):
    address: str = ""


class _Bounds(msgspec.Struct, rename="camel"):
    max_hold_ms: float = 10000
    grace_s: float = 6
    status_s: float = msgspec.field(name="status_s", default=120)
    move_s: float = 1.5
    maintenance_s: float = 2
    # Holds for orders to machines; leases of tasks are in max_hold_ms.
    lease_ms: float = 3000


class _Document(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Addresses
    internal_ports: tuple[int, int]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    cloud_api: _Machines = msgspec.field(default_factory=_Machines)
    advice: str | None = None
    orders: str = "invoke"


@dataclass(frozen=True)
class EntryHostSettings:
    """What a process learns about its entry host and the platform.

    Attributes:
        name: This entry host.
        ip: Its address.
        zone: Its availability zone.
        front_address: HOST:PORT for callers.
        ready_address: HOST:PORT for the balancer's readiness checks.
        peer_port: First port for calls between daemons.
        metrics_port: Last port for calls between daemons.
        store_address: HOST:PORT of the platform's store.
        store_record_bytes: Largest record that the store takes.
        machines_address: HOST:PORT of the machine calls; empty if there are none.
        advice_address: HOST:PORT of the placement policy's service; may be empty.
        orders_are_pushed: Whether workers take orders by calls.
        cpu_cores: Speed of this host, in cores.
        max_lease_s: Longest lease that a worker grants.
        termination_grace_s: Time between SIGTERM and SIGKILL.
        finished_job_retention_s: How long an ended job's state is kept.
        move_s: Duration of a machine's move.
        maintenance_s: Duration of a machine's upkeep.
        machine_lease_s: Shortest time between orders of two holders for a machine.
    """

    name: str
    ip: str
    zone: str
    front_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    store_record_bytes: int
    machines_address: str
    advice_address: str
    orders_are_pushed: bool
    cpu_cores: float
    max_lease_s: float
    termination_grace_s: float
    finished_job_retention_s: float
    move_s: float
    maintenance_s: float
    machine_lease_s: float


def decode_entry_host_settings(data, file=""):
    """Decodes the platform's settings file.

    Args:
        data: Content of the file, bytes.
        file: Its name, for error messages.

    Returns:
        The ``EntryHostSettings``.

    Raises:
        SettingsError: The content doesn't parse or lacks a field.
    """
    try:
        document = msgspec.json.decode(data, type=_Document)
    except msgspec.DecodeError as error:
        raise SettingsError(
            f"{error}; the platform writes this file, report it to its operators",
            file=file,
        ) from error
    bounds, limits = document.bounds, document.limits
    return EntryHostSettings(
        name=document.node_name,
        ip=document.ip,
        zone=document.zone,
        front_address=document.listen_addrs.front,
        ready_address=document.listen_addrs.ready,
        peer_port=document.internal_ports[0],
        metrics_port=document.internal_ports[1],
        store_address=document.platform.address,
        store_record_bytes=document.platform.record_bytes,
        machines_address=document.cloud_api.address,
        advice_address=document.advice or "",
        orders_are_pushed=document.orders == "invoke",
        cpu_cores=limits.cpu_share * limits.cores,
        max_lease_s=bounds.max_hold_ms / 1000,
        termination_grace_s=bounds.grace_s,
        finished_job_retention_s=bounds.status_s,
        move_s=bounds.move_s,
        maintenance_s=bounds.maintenance_s,
        machine_lease_s=bounds.lease_ms / 1000,
    )
