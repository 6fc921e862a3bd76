"""Lists the audit trail of control records."""

import datetime

import anyio
import msgspec

from basilwind.control.publisher import Publisher
from basilwind.output.tables import render_table
from basilwind.platform.client import PlatformClient
from basilwind.settings.tree import team_subtree


def run(context, platform, team, host, only_refused, last, as_json):
    """Prints the latest entries that match the filters."""
    entries = anyio.run(_entries, platform)
    wanted = [
        entry
        for entry in entries
        if (not team or entry.target == team_subtree(team))
        and (not host or entry.target == host)
        and (not only_refused or not entry.accepted)
    ][-last:]
    if as_json:
        for entry in wanted:
            context.write(msgspec.json.encode(entry).decode())
        return
    headers = ["offset", "time", "author", "action", "target", "from", "verdict", "why"]
    context.write(render_table(headers, [_row(entry) for entry in wanted]))


def _row(entry):
    at = datetime.datetime.fromtimestamp(entry.at, datetime.UTC)
    return [
        entry.offset,
        at.strftime("%Y-%m-%d %H:%M:%S"),
        entry.author,
        entry.action,
        entry.target,
        entry.from_version,
        "accepted" if entry.accepted else "refused",
        entry.reason,
    ]


async def _entries(platform):
    client = PlatformClient(platform)
    try:
        return list((await Publisher(client, "audit").refresh()).audit)
    finally:
        await client.aclose()
