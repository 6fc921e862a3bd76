"""Declares, changes and shows maintenance waves."""

import anyio

from basilwind.control.publisher import Publisher
from basilwind.control.records import WaveAction
from basilwind.errors import RequestInvalid
from basilwind.output.tables import render_table
from basilwind.platform.client import PlatformClient
from basilwind.status import ExitStatus


def run(context, action, wave, platform, author, **options):
    """Publishes a change of the wave, or prints the wave's progress."""
    return anyio.run(_run, context, action, wave, platform, author, options)


async def _run(context, action, wave, platform, author, options):
    client = PlatformClient(platform)
    try:
        publisher = Publisher(client, author, context.wall_clock)
        state = await publisher.refresh()
        if action == "status":
            return _print_progress(context, state, wave)
        fields = {}
        if action == WaveAction.DECLARE:
            fields = _declaration(state, options, context.wall_clock())
        result = await publisher.publish_wave(wave, WaveAction(action), **fields)
    finally:
        await client.aclose()
    if result.entry.accepted:
        context.write(f"{wave}: {action} accepted at offset {result.offset}")
        return ExitStatus.SUCCESS
    context.write_error(f"{wave}: {action} refused: {result.entry.reason}")
    return ExitStatus.REFUSED


def _declaration(state, options, now):
    """Returns the fields of the record that declares a wave."""
    hosts = [
        host.name
        for host in state.hosts.values()
        if options["is_all"]
        or host.name in options["hosts"]
        or host.pool in options["pools"]
    ]
    unknown = set(options["hosts"]) - set(hosts)
    if unknown or not hosts:
        names = ", ".join(sorted(unknown)) or "none chosen"
        raise RequestInvalid(f"no such hosts ({names}); use --host, --pool or --all")
    return {
        "hosts": hosts,
        "at_once": options["at_once"],
        "stop_share": options["stop_share"],
        "finish_by": now + options["by"] if options["by"] else 0.0,
    }


def _print_progress(context, state, name):
    wave = state.waves.get(name)
    if wave is None:
        raise RequestInvalid(f"no wave {name!r}")
    now = context.wall_clock()
    rows = [
        ["status", wave.status.value],
        ["hosts", len(wave.hosts)],
        ["done", len(wave.done)],
        ["failed", ", ".join(sorted(wave.failed)) or "none"],
        ["out now", ", ".join(_hosts_out(state, wave)) or "none"],
        ["expected end in (s)", _remaining_s(wave, now)],
    ]
    context.write(render_table(["wave", name], rows))
    return ExitStatus.SUCCESS


def _hosts_out(state, wave):
    """Returns the hosts that are out of service for a wave, with their phases."""
    return [
        f"{name} ({state.hosts[name].phase})"
        for name in wave.remaining
        if name in state.hosts and state.hosts[name].wave == wave.name
    ]


def _remaining_s(wave, now):
    """Estimates the time to the wave's end, in seconds, from its mean time per host."""
    if not wave.done:
        return "unknown"
    mean_host_s = (now - wave.declared_at) / len(wave.done)
    return round(mean_host_s * len(wave.remaining), 1)
