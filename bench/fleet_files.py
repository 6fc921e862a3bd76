"""Generates the settings and daemon files of a fleet of any size."""

import json
from dataclasses import dataclass
from pathlib import Path

from basilwind.api.auth import hash_token

FIRST_PORT = 11_000


@dataclass(frozen=True)
class FleetSize:
    """Size of a fleet.

    Attributes:
        zones: Number of availability zones.
        entry_hosts: Number of entry hosts in each zone.
        workers: Total number of workers.
        pools: Number of pools, each of which spans every zone.
        teams: Number of teams.
    """

    zones: int
    entry_hosts: int
    workers: int
    pools: int
    teams: int

    @property
    def daemons(self):
        """Total number of entry hosts."""
        return self.zones * self.entry_hosts


TARGET = FleetSize(zones=7, entry_hosts=3, workers=690, pools=24, teams=66)


def fleet_document(size, first_port=FIRST_PORT):
    """Returns the fleet settings for a ``FleetSize`` as plain values."""
    zones = [f"z{index}" for index in range(size.zones)]
    pools = [f"pool-{index}" for index in range(size.pools)]
    return {
        "zones": [
            {
                "name": zone,
                "region": f"region-{index * 3 // size.zones}",
                "entry_hosts": [f"{zone}-e{e}" for e in range(size.entry_hosts)],
            }
            for index, zone in enumerate(zones)
        ],
        "pools": [{"name": pool, "zones": zones} for pool in pools],
        "hosts": [
            {
                "name": f"w{index}",
                "zone": zones[index % size.zones],
                "rack": f"r{index // 4}",
                "pool": pools[index // size.zones % size.pools],
                "address": f"127.0.0.1:{first_port + index}",
            }
            for index in range(size.workers)
        ],
    }


def team_document(size, index):
    """Returns the settings of one team as plain values."""
    pool = f"pool-{index % size.pools}"
    return {
        "tokens": [hash_token(f"team-{index}-token")],
        "quota_slots": 48,
        "queues": [{"name": "work", "pool": pool}],
        "budgets": [{"pool": pool, "max_out": 3}],
    }


def write_example(directory, size):
    """Writes the settings and daemon files of a fleet into a directory."""
    directory = Path(directory)
    (directory / "settings" / "teams").mkdir(parents=True)
    (directory / "daemons").mkdir()
    base = FIRST_PORT + size.workers
    fleet = fleet_document(size)
    write_json(directory / "settings" / "fleet.jsonc", fleet)
    for index in range(size.teams):
        file = directory / "settings" / "teams" / f"team-{index}.jsonc"
        write_json(file, team_document(size, index))
    entries = [
        (name, zone["name"]) for zone in fleet["zones"] for name in zone["entry_hosts"]
    ]
    ports = {name: base + 1 + 2 * i for i, (name, _) in enumerate(entries)}
    for name, zone in entries:
        peers = [
            {"name": n, "zone": z, "address": f"127.0.0.1:{ports[n] + 1}"}
            for n, z in entries
            if n != name
        ]
        document = {
            "name": name,
            "zone": zone,
            "http": f"127.0.0.1:{ports[name]}",
            "peer": f"127.0.0.1:{ports[name] + 1}",
            "platform": f"http://127.0.0.1:{base}",
            "peers": peers,
        }
        write_json(directory / "daemons" / f"{name}.jsonc", document)


def write_json(file, document):
    file.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
