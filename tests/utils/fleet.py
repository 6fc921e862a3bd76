"""A small fleet in one process: real daemons and stand-ins on real sockets."""

import io
import itertools
import os
import socket
from contextlib import asynccontextmanager

import anyio

from basilwind.api.asgi import HttpServer
from basilwind.client import Client
from basilwind.context import Context
from basilwind.control.publisher import Publisher
from basilwind.daemon.daemon import Daemon
from basilwind.platform.client import PlatformClient
from basilwind.settings import DaemonSettings, PeerSettings
from basilwind.settings.tree import SettingsTree
from basilwind.standin.platform import PlatformStandIn
from basilwind.standin.worker import WorkerStandIn
from tests.utils.relay import Relay
from tests.utils.settings import make_fleet, make_team

READY_TIMEOUT_S = 15.0
# Below the range from which the system assigns ports to outgoing connections.
_ports = itertools.cycle(range(10_000 + os.getpid() % 10_000, 32_000))


def free_ports(count):
    """Returns ports that are free on loopback and outside the ephemeral range."""
    found = []
    while len(found) < count:
        port = next(_ports)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


class Fleet:
    """Daemons, stand-in workers and a stand-in platform on loopback.

    Each daemon connects to each peer and to the platform through a relay of its own,
    so tests can cut or freeze any of these connections.

    Args:
        zones: Names of the zones.
        pools: Names of the pools; each pool is in all zones.
        entry_hosts: Number of entry hosts in each zone.
        hosts_per_shard: Number of workers in each pool and zone.
        options: Fields of ``DaemonSettings`` that all daemons share.
        team: Settings of the teams, as for ``make_team``.

    Attributes:
        tree: ``FleetSettings`` of the fleet.
        teams: ``TeamSettings`` by name; team ``team-POOL`` uses pool ``POOL``.
        zone_of: Zone of each entry host by name.
        platform: The ``PlatformStandIn``.
        workers: ``WorkerStandIn`` by name of host.
        daemons: Running ``Daemon`` objects by name of entry host.
        relays: ``Relay`` by pair of connecting daemon and target.
    """

    def __init__(self, zones, pools, entry_hosts, hosts_per_shard, options, team):
        self.tree = make_fleet(hosts_per_shard, zones, pools)
        for zone in self.tree.zones:
            zone.entry_hosts = [
                f"{zone.name}-e{index + 1}" for index in range(entry_hosts)
            ]
        self.teams = {f"team-{pool}": make_team(pool, **team) for pool in pools}
        self._options = options
        self.zone_of = {
            name: zone.name for zone in self.tree.zones for name in zone.entry_hosts
        }
        self.platform = PlatformStandIn()
        self.platform.on_reboot = self._reboot
        self.workers = {}
        self.daemons = {}
        self.relays = {}
        self._scopes = {}
        self._clients = {}
        self._ports = {}
        self._tasks = None

    async def start(self, tasks):
        self._tasks = tasks
        await self._start_platform()
        await self._start_workers()
        names = list(self.zone_of)
        ports = free_ports(2 * len(names))
        self._ports = dict(
            zip(names, zip(ports[::2], ports[1::2], strict=True), strict=True)
        )
        for name in names:
            for other in names:
                if other != name:
                    await self._add_relay((name, other), self._ports[other][1])
            await self._add_relay((name, "platform"), self._platform_port)
        for name in names:
            self.start_daemon(name)
        await self.publish()
        await self.wait_ready()

    async def publish(self):
        """Publishes the settings tree to the control stream."""
        client = PlatformClient(f"http://127.0.0.1:{self._platform_port}")
        publisher = Publisher(client, "test")
        await publisher.refresh()
        for change in publisher.changes(SettingsTree(self.tree, self.teams)):
            result = await publisher.publish_settings(change)
            assert result.entry.accepted, result.entry.reason
        await client.aclose()

    async def publish_host(self, host, action, **options):
        """Publishes an action on a host and returns its audit entry."""
        client = PlatformClient(f"http://127.0.0.1:{self._platform_port}")
        publisher = Publisher(client, "test")
        await publisher.refresh()
        result = await publisher.publish_host(host, action, **options)
        await client.aclose()
        return result.entry

    def start_daemon(self, name):
        """Starts the daemon of an entry host, for the first time or after a crash."""
        daemon = Daemon(self._settings(name), Context(stdout=io.StringIO()))
        scope = anyio.CancelScope()
        self.daemons[name], self._scopes[name] = daemon, scope

        async def run():
            with scope:
                await daemon.run(handle_signals=False)

        self._tasks.start_soon(run)
        return daemon

    async def crash(self, name):
        """Ends a daemon abruptly, with its connections."""
        for other in self.zone_of:
            if other != name:
                await self.relays[other, name].cut()
                await self.relays[name, other].cut()
        await self.relays[name, "platform"].cut()
        for server in self.daemons.pop(name).http_server.servers:
            server.close()
        self._scopes[name].cancel()
        await anyio.sleep(0.05)

    async def restart(self, name):
        """Starts a crashed daemon again, with a new HTTP port and new connections."""
        self.heal(name)
        self._ports[name] = (free_ports(1)[0], self._ports[name][1])
        self._clients.clear()
        return self.start_daemon(name)

    def heal(self, name):
        """Lets connections from and to a daemon through again."""
        for pair, relay in self.relays.items():
            if name in pair:
                relay.heal()

    async def isolate(self, name, platform=True):
        """Cuts a daemon off from its peers, and from the platform if ``platform``."""
        for pair, relay in self.relays.items():
            if name in pair and (platform or "platform" not in pair):
                await relay.cut()

    def client(self, name, pool="pool-a"):
        """Returns a client of a daemon with the token of the pool's team."""
        key = (name, pool)
        if key not in self._clients:
            address = f"127.0.0.1:{self._ports[name][0]}"
            self._clients[key] = Client(address, "secret")
        return self._clients[key]

    async def submit(self, name, body, options=None, pool="pool-a"):
        """Submits a request to the pool's queue at a daemon."""
        client = self.client(name, pool)
        return await client.submit(f"team-{pool}", "work", body, options)

    def owner(self, pool="pool-a", zone="zone-a"):
        """Returns the entry host that owns a shard, or None."""
        for name, daemon in self.daemons.items():
            owned = daemon.ownership.owned.get(pool)
            if self.zone_of[name] == zone and owned is not None:
                return name
        return None

    def others(self, name):
        """Returns the other entry hosts in the zone of an entry host."""
        zone = self.zone_of[name]
        return [n for n, z in self.zone_of.items() if z == zone and n != name]

    def runs(self, tag=None):
        """Returns all runs in the workers' ledgers, optionally of one tag only."""
        return [
            run
            for worker in self.workers.values()
            for run in worker.ledger.runs
            if tag is None or run.tag == tag
        ]

    async def wait_ready(self):
        """Waits until every daemon is ready and every shard has an owner."""
        await self.wait_for(self._is_ready)

    async def wait_for(self, condition, timeout_s=READY_TIMEOUT_S):
        """Waits until a condition holds."""
        with anyio.fail_after(timeout_s):
            while not condition():
                await anyio.sleep(0.02)

    def _is_ready(self):
        if any(daemon.not_ready_reason() for daemon in self.daemons.values()):
            return False
        for pool in self.tree.pools:
            for zone in pool.zones:
                owner = self.owner(pool.name, zone)
                if owner is None:
                    return False
                shard = self.daemons[owner].dispatcher.shard(pool.name)
                if shard is None or shard.slots.total_slots() == 0:
                    return False
        return self._all_know_owners()

    def _all_know_owners(self):
        for daemon in self.daemons.values():
            for pool in self.tree.pools:
                for zone in pool.zones:
                    now = daemon.clock()
                    if daemon.router._owner(pool.name, zone, now) is None:
                        return False
        return True

    def _reboot(self, host):
        self.workers[host].restart()

    async def _start_platform(self):
        (self._platform_port,) = free_ports(1)
        await self._serve(self.platform, self._platform_port)

    async def _start_workers(self):
        ports = free_ports(len(self.tree.hosts))
        for host, port in zip(self.tree.hosts, ports, strict=True):
            host.address = f"127.0.0.1:{port}"
            self.workers[host.name] = WorkerStandIn(host.name, host.slots)
            await self._serve(self.workers[host.name], port)

    async def _serve(self, app, port):
        server = HttpServer(app, f"127.0.0.1:{port}")
        self._tasks.start_soon(server.serve_until_stopped)
        await server.wait_started()

    async def _add_relay(self, pair, target):
        relay = Relay(free_ports(1)[0], target)
        self.relays[pair] = relay
        self._tasks.start_soon(relay.run)

    def _settings(self, name):
        http, peer = self._ports[name]
        platform = self.relays[name, "platform"].port
        return DaemonSettings(
            name=name,
            zone=self.zone_of[name],
            http=f"127.0.0.1:{http}",
            peer=f"127.0.0.1:{peer}",
            platform=f"http://127.0.0.1:{platform}",
            **self._options,
            peers=[
                PeerSettings(other, zone, f"127.0.0.1:{self.relays[name, other].port}")
                for other, zone in self.zone_of.items()
                if other != name
            ],
        )


@asynccontextmanager
async def running_fleet(
    zones=("zone-a",),
    pools=("pool-a",),
    entry_hosts=2,
    hosts_per_shard=2,
    lease_s=1.0,
    log_retention_s=3600.0,
    reboot_patience_s=900.0,
    **team,
):
    """Runs a fleet for the duration of a ``with`` block.

    Args:
        zones: Names of the zones.
        pools: Names of the pools; each pool is in all zones.
        entry_hosts: Number of entry hosts in each zone.
        hosts_per_shard: Number of workers in each pool and zone.
        lease_s: Setting of the daemons, in seconds.
        log_retention_s: Setting of the daemons, in seconds.
        reboot_patience_s: Setting of the daemons, in seconds.
        **team: Settings of the teams, as for ``make_team``.
    """
    options = {
        "lease_s": lease_s,
        "log_retention_s": log_retention_s,
        "reboot_patience_s": reboot_patience_s,
    }
    fleet = Fleet(zones, pools, entry_hosts, hosts_per_shard, options, team)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        yield fleet
        tasks.cancel_scope.cancel()


def run_async(function):
    """Turns a coroutine function into a test method with a timeout of 60 s."""

    def test(self):
        async def bounded():
            with anyio.fail_after(60.0):
                await function(self)

        anyio.run(bounded)

    test.__name__ = function.__name__
    return test
