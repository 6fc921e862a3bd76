"""The settings file that the platform writes for the daemon of an entry host."""

from dataclasses import dataclass

import msgspec

from basilwind.checked_json import (
    Count,
    Duration,
    Name,
    Port,
    check_address,
    decode_json,
)
from basilwind.errors import RecordInvalid, SettingsError


class _Addresses(msgspec.Struct):
    front: str
    ready: str = msgspec.field(name="readyAddr")


class _Limits(msgspec.Struct, rename="camel"):
    cpu_share: Duration = 1.0
    cores: Duration = 1.0


class _Store(msgspec.Struct, rename="camel"):
    address: str
    record_bytes: Count = 262144


class _Machines(msgspec.Struct, rename="camel"):
    address: str = ""


class _Bounds(msgspec.Struct, rename="camel"):
    max_hold_ms: Duration = 10000
    stop_timeout_ms: Duration = 900
    grace_s: Duration = 6
    status_s: Duration = msgspec.field(name="status_s", default=120)
    move_s: Duration = 1.5
    maintenance_s: Duration = 2
    # Applies to orders for machines. Leases of workers are bounded by max_hold_ms.
    lease_ms: Duration = 3000
    strict_revoke: bool = False
    revoke_ms: Duration = 5000
    config_apply_ms: Duration = 2000
    quota_overage: Duration = 0.0
    remote_factor: Duration = 1.0


class _Document(msgspec.Struct, rename="camel"):
    node_name: Name
    ip: str
    zone: str
    listen_addrs: _Addresses
    internal_ports: tuple[Port, Port]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    cloud_api: _Machines = msgspec.field(default_factory=_Machines)
    advice: str | None = None
    orders: str = "invoke"


@dataclass(frozen=True)
class EntryHostSettings:
    """Settings of an entry host, and addresses and limits of the platform.

    Attributes:
        name: Name of this entry host.
        ip: IP address of this entry host.
        zone: Availability zone of this entry host.
        front_address: HOST:PORT on which callers are served.
        ready_address: HOST:PORT for the load balancer's readiness checks.
        peer_port: First internal port; serves calls between daemons.
        metrics_port: Last internal port; serves the metrics.
        store_address: HOST:PORT of the platform's store.
        store_record_bytes: Size limit of a record in the store, in bytes.
        machines_address: HOST:PORT of the machine service; empty if there is none.
        advice_address: HOST:PORT of the placement policy service; empty if there
            is none.
        orders_are_pushed: Whether workers take orders as calls from the daemon,
            instead of as replies to their heartbeats.
        cpu_cores: Processor time that this host may use, in cores.
        max_lease_s: Longest lease that a worker grants, in seconds.
        max_stop_s: Longest time that a worker takes to end a run, in seconds.
        termination_grace_s: Time between SIGTERM and SIGKILL, in seconds.
        finished_job_retention_s: How long the state of a finished job is kept, in
            seconds.
        move_s: Duration of a machine's move to another pool, in seconds.
        maintenance_s: Duration of a machine's maintenance, in seconds.
        machine_lease_s: Minimum time between orders of two different holders for
            the same machine, in seconds.
        has_strict_revocation: Whether no call with a withdrawn key may succeed later
            than ``revoke_s`` after the withdrawal, even if this host is cut off.
        revoke_s: Time after which a withdrawn key must not be accepted, in seconds.
        config_apply_s: Time after which a configuration must be in force, in seconds.
        quota_overage: Share by which a customer's running tasks may exceed its maximum.
        remote_factor: Factor by which tasks take longer away from their rack.
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
    max_stop_s: float
    termination_grace_s: float
    finished_job_retention_s: float
    move_s: float
    maintenance_s: float
    machine_lease_s: float
    has_strict_revocation: bool = False
    revoke_s: float = 5.0
    config_apply_s: float = 2.0
    quota_overage: float = 0.0
    remote_factor: float = 1.0


def decode_entry_host_settings(data, file=""):
    """Decodes the settings file of an entry host.

    Args:
        data: Content of the file, bytes.
        file: Name of the file, for error messages.

    Returns:
        The ``EntryHostSettings``.

    Raises:
        SettingsError: The content does not parse, or a field is missing or out of
            range.
    """
    try:
        document = decode_json(data, _Document, "settings", RecordInvalid)
        _check_addresses(document)
    except RecordInvalid as error:
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
        max_stop_s=bounds.stop_timeout_ms / 1000,
        termination_grace_s=bounds.grace_s,
        finished_job_retention_s=bounds.status_s,
        move_s=bounds.move_s,
        maintenance_s=bounds.maintenance_s,
        machine_lease_s=bounds.lease_ms / 1000,
        has_strict_revocation=bounds.strict_revoke,
        revoke_s=bounds.revoke_ms / 1000,
        config_apply_s=bounds.config_apply_ms / 1000,
        quota_overage=bounds.quota_overage,
        remote_factor=bounds.remote_factor,
    )


def _check_addresses(document):
    """Raises ``RecordInvalid`` if an address is not IP:PORT."""
    optional = (document.cloud_api.address, document.advice)
    for address in (
        document.listen_addrs.front,
        document.listen_addrs.ready,
        document.platform.address,
        *(address for address in optional if address),
    ):
        check_address(address, "settings", RecordInvalid)
