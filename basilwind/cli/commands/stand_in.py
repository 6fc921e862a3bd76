"""Runs stand-ins as separate processes."""

import anyio

from basilwind.settings.tree import load_tree
from basilwind.standin.platform import PlatformStandIn
from basilwind.standin.serve import serve_apps
from basilwind.standin.worker import WorkerStandIn


def run(context, kind, listen="", directory="", zone="", port_offset=0):
    """Serves the stand-ins until a signal comes."""
    if kind == "platform":
        apps = {listen: PlatformStandIn()}
    else:
        apps = _workers(directory, zone, port_offset)
    anyio.run(serve_apps, apps)


def _workers(directory, zone, port_offset):
    hosts = load_tree(directory).fleet.hosts
    return {
        _shifted(host.address, port_offset): WorkerStandIn(host.name, host.slots)
        for host in hosts
        if zone in ("", host.zone)
    }


def _shifted(address, port_offset):
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + port_offset}"
