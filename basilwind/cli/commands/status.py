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
        for status in results.values():
            if status is not None:
                context.write(msgspec.json.encode(status).decode())
    else:
        headers = ["entry host", "zone", "ready", "offset", "digest", "log", "owns"]
        rows = [_row(entry, status) for entry, status in results.items()]
        context.write(render_table(headers, rows))
    all_answered = all(status is not None for status in results.values())
    return ExitStatus.SUCCESS if all_answered else ExitStatus.UNREACHABLE


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


def _row(entry, status):
    if status is None:
        return [entry, "", "unreachable", "", "", "", ""]
    return [
        status.name,
        status.zone,
        status.ready or "yes",
        status.control_offset,
        status.control_digest[:8],
        "up" if status.log_available else "out",
        ", ".join(shard.pool for shard in status.shards if shard.acts),
    ]
