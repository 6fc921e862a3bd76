"""The control state that every daemon builds from the control stream."""

import enum
from collections import deque
from dataclasses import dataclass, field

from basilwind.settings.generated.fleet import HostSettings
from basilwind.settings.tree import SettingsTree

MAX_AUDIT_ENTRIES = 2000
MAX_RECENT_RECORD_IDS = 4096


class HostPhase(enum.StrEnum):
    """Phase of a host between service and maintenance."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class HostState:
    """State of a host at some offset of the control stream.

    Attributes:
        settings: The host's declaration.
        pool: Pool that the host belongs to; differs from the declared one after a
            move.
        phase: Current phase.
        version: Offset of the record that last changed the host.
        acknowledged: Entry hosts that have no work left on the draining host.
        reason: Why the host left service.
        wave: Maintenance wave that drained the host; empty if none did.
    """

    settings: HostSettings
    pool: str
    phase: HostPhase = HostPhase.ACTIVE
    version: int = 0
    acknowledged: frozenset[str] = frozenset()
    reason: str = ""
    wave: str = ""

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.settings.name

    @property
    def is_out(self) -> bool:
        """Whether the host is out of service and counts against budgets."""
        return self.phase is not HostPhase.ACTIVE


class WaveStatus(enum.StrEnum):
    """Status of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    CANCELLED = "cancelled"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class WaveState:
    """State of a maintenance wave at some offset of the control stream.

    Attributes:
        name: Name of the wave.
        hosts: Names of the hosts to maintain.
        at_once: Largest number of these hosts that are out at once.
        stop_share: Share of failed hosts among the hosts maintained so far, from 0 to
            1, above which the wave stops (if at least two have failed).
        finish_by: When the wave should be finished, in seconds since the Unix epoch.
        declared_at: When the wave was declared, in seconds since the Unix epoch.
        status: Current status.
        version: Offset of the record that last changed the wave.
        done: Hosts that have returned to service.
        failed: Hosts that were marked as failed instead.
    """

    name: str
    hosts: tuple[str, ...]
    at_once: int
    stop_share: float
    finish_by: float
    declared_at: float
    status: WaveStatus = WaveStatus.RUNNING
    version: int = 0
    done: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()

    @property
    def is_finished(self) -> bool:
        """Whether the wave is done or cancelled."""
        return self.status in (WaveStatus.DONE, WaveStatus.CANCELLED)

    @property
    def remaining(self) -> tuple[str, ...]:
        """Hosts that have neither returned to service nor failed."""
        return tuple(
            host
            for host in self.hosts
            if host not in self.done and host not in self.failed
        )


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Audit trail entry for one record of the control stream.

    Attributes:
        offset: Offset of the record.
        at: When it was published, in seconds since the Unix epoch.
        author: Operator or daemon that published it.
        action: What the record requests.
        target: Subtree, host or wave that it changes.
        from_version: Version of the target that the change is based on.
        accepted: Whether the record took effect.
        reason: Why it was rejected or, if accepted, the reason that its author gave.
        record_id: Id of the record.
    """

    offset: int
    at: float
    author: str
    action: str
    target: str
    from_version: int
    accepted: bool
    reason: str
    record_id: str = ""


@dataclass
class ControlState:
    """Everything that is in force at one offset of the control stream.

    Attributes:
        next_offset: Offset of the next record to apply.
        digest: Digest over all applied records and whether each was accepted.
        tree: Settings in force.
        versions: Version of each subtree, that is, the offset of the record that
            last changed it.
        hosts: ``HostState`` by name.
        queue_pools: Pool of every queue ever declared, by ``team/queue``.
        pool_zones: Zones of every pool ever declared, by name.
        waves: ``WaveState`` by name.
        recent_ids: Ids of the latest records, oldest first, to detect duplicates.
        audit: Latest ``AuditEntry`` objects, oldest first.
    """

    next_offset: int = 0
    digest: str = ""
    tree: SettingsTree = field(default_factory=SettingsTree)
    versions: dict[str, int] = field(default_factory=dict)
    hosts: dict[str, HostState] = field(default_factory=dict)
    queue_pools: dict[str, str] = field(default_factory=dict)
    pool_zones: dict[str, tuple[str, ...]] = field(default_factory=dict)
    waves: dict[str, WaveState] = field(default_factory=dict)
    recent_ids: dict[str, None] = field(default_factory=dict)
    audit: deque = field(default_factory=lambda: deque(maxlen=MAX_AUDIT_ENTRIES))
    _hosts_by_pool: dict[str, list[HostState]] | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether fleet settings are in force."""
        return self.tree.fleet is not None

    def put_host(self, host):
        """Replaces the state of one host."""
        self.hosts[host.name] = host
        self._hosts_by_pool = None

    def put_hosts(self, hosts):
        """Replaces all hosts.

        Args:
            hosts: ``HostState`` by name.
        """
        self.hosts = hosts
        self._hosts_by_pool = None

    def hosts_of(self, pool, zone=None):
        """Returns the hosts of a pool, optionally of one zone."""
        if self._hosts_by_pool is None:
            self._hosts_by_pool = {}
            for host in self.hosts.values():
                self._hosts_by_pool.setdefault(host.pool, []).append(host)
        members = self._hosts_by_pool.get(pool, ())
        return [host for host in members if zone in (None, host.settings.zone)]

    def entry_hosts_of(self, zone):
        """Returns the names of a zone's entry hosts."""
        for declared in self.tree.fleet.zones:
            if declared.name == zone:
                return frozenset(declared.entry_hosts)
        return frozenset()

    def find_queue(self, team, queue):
        """Returns the settings of a team's queue, or None."""
        settings = self.tree.teams.get(team)
        if settings is None:
            return None
        for declared in settings.queues:
            if declared.name == queue:
                return declared
        return None
