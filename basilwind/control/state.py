"""The control state that every daemon folds from the control stream."""

import enum
from collections import deque
from dataclasses import dataclass, field

from basilwind.settings.generated.fleet import HostSettings
from basilwind.settings.tree import SettingsTree

AUDIT_ENTRIES = 2000
RECENT_RECORD_IDS = 4096


class HostPhase(enum.StrEnum):
    """Where a host stands between service and maintenance."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class HostState:
    """A host's place in the fleet at some offset.

    Attributes:
        settings: The host's declaration.
        pool: Pool that the host belongs to.
        phase: Where it stands.
        version: Offset of the record that last changed it.
        acknowledged: Entry hosts with nothing in flight on it while it drains.
        reason: Why it left service.
        wave: Maintenance wave that took it out, if one did.
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
        """Whether it counts against availability budgets."""
        return self.phase is not HostPhase.ACTIVE


class WaveStatus(enum.StrEnum):
    """Where a maintenance wave stands."""

    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    CANCELLED = "cancelled"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class WaveState:
    """A maintenance wave at some offset.

    Attributes:
        name: Name of the wave.
        hosts: Hosts to maintain.
        at_once: Most of them that are out at once.
        stop_share: Share of failed hosts at which it stops by itself.
        finish_by: When it is to be finished, in seconds since the epoch.
        declared_at: When it was declared, in seconds since the epoch.
        status: Where it stands.
        version: Offset of the record that last changed it.
        done: Hosts that have returned.
        failed: Hosts that have not.
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
        """Whether nothing more comes of it."""
        return self.status in (WaveStatus.DONE, WaveStatus.CANCELLED)

    @property
    def remaining(self) -> tuple[str, ...]:
        """Hosts that have neither returned nor failed."""
        return tuple(
            host
            for host in self.hosts
            if host not in self.done and host not in self.failed
        )


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One line of the audit trail.

    Attributes:
        offset: Offset of the record.
        at: When it was published, in seconds since the epoch.
        author: Who published it.
        action: What it asked for.
        target: Subtree or host.
        from_version: Version that it was made from.
        accepted: Whether it took effect.
        reason: Why it did not, or why it was asked for.
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
        digest: Digest over every applied record and its verdict.
        tree: Settings in force.
        versions: Version of each subtree: the offset that set it.
        hosts: Hosts by name.
        queue_pools: Pool of every queue ever declared, by ``team/queue``.
        pool_zones: Zones of every pool ever declared.
        waves: Maintenance waves by name.
        recent_ids: Ids of the latest records, oldest first.
        audit: Latest audit entries, oldest first.
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
    audit: deque = field(default_factory=lambda: deque(maxlen=AUDIT_ENTRIES))
    _pool_index: dict[str, list[HostState]] | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether there is a fleet to work for."""
        return self.tree.fleet is not None

    def put_host(self, host):
        """Replaces the state of one host."""
        self.hosts[host.name] = host
        self._pool_index = None

    def put_hosts(self, hosts):
        """Replaces all hosts.

        Args:
            hosts: ``HostState`` by name.
        """
        self.hosts = hosts
        self._pool_index = None

    def hosts_of(self, pool, zone=None):
        """Returns the hosts of a pool, optionally of one zone."""
        if self._pool_index is None:
            self._pool_index = {}
            for host in self.hosts.values():
                self._pool_index.setdefault(host.pool, []).append(host)
        members = self._pool_index.get(pool, ())
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
