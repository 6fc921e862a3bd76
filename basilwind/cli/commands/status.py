"""Shows the status of entry hosts."""

import anyio
import msgspec

from basilwind.client import Client
from basilwind.errors import DaemonUnreachable
from basilwind.output.tables import render_table
from basilwind.status import ExitStatus


def run(context, entries, as_json):
    """Prints a line for each entry host."""
    results = anyio.run(_collect, entries)
    if as_json:
        for found in results.values():
            if found is not None:
                context.write(msgspec.json.encode(found).decode())
    else:
        headers = ["entry host", "zone", "ready", "offset", "digest", "log", "owns"]
        rows = [_row(entry, found) for entry, found in results.items()]
        context.write(render_table(headers, rows))
    is_whole = all(found is not None for found in results.values())
    return ExitStatus.SUCCESS if is_whole else ExitStatus.UNREACHABLE


async def _collect(entries):
    results = dict.fromkeys(entries)
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(_fetch, entry, results)
    return results


async def _fetch(entry, results):
    client = Client(entry)
    try:
        results[entry] = await client.status()
    except DaemonUnreachable:
        pass
    finally:
        await client.aclose()


def _row(entry, found):
    if found is None:
        return [entry, "", "unreachable", "", "", "", ""]
    return [
        found.name,
        found.zone,
        found.ready or "yes",
        found.control_offset,
        found.control_digest[:8],
        "up" if found.log_available else "out",
        ", ".join(shard.pool for shard in found.shards if shard.acts),
    ]
