"""Publishes changed settings and waits until they are in force."""

import anyio

from basilwind.client import Client
from basilwind.control.publisher import Publisher
from basilwind.errors import DaemonUnreachable
from basilwind.platform.client import PlatformClient
from basilwind.settings.checks import check_tree
from basilwind.settings.tree import load_tree, team_subtree
from basilwind.status import ExitStatus

POLL_S = 0.05


def run(context, directory, platform, author, team, entries, timeout_s):
    """Publishes the subtrees that differ and prints the result of each.

    Then waits until the given entry hosts have the changes in force.

    Returns:
        ``ExitStatus``.
    """
    tree = load_tree(directory)
    check_tree(tree)
    return anyio.run(_apply, context, tree, platform, author, team, entries, timeout_s)


async def _apply(context, tree, platform, author, team, entries, timeout_s):
    client = PlatformClient(platform)
    try:
        publisher = Publisher(client, author, context.wall_clock)
        await publisher.refresh()
        changes = [
            change
            for change in publisher.changes(tree)
            if not team or change.subtree == team_subtree(team)
        ]
        published = [
            (change, await publisher.publish_settings(change)) for change in changes
        ]
    finally:
        await client.aclose()
    status = _print_results(context, published)
    accepted = [result.offset for _, result in published if result.entry.accepted]
    if not entries or not accepted:
        return status
    lagging = await _wait_until_in_force(context, entries, max(accepted), timeout_s)
    return ExitStatus.NOT_IN_FORCE if lagging else status


def _print_results(context, published):
    if not published:
        context.write("nothing to publish: all subtrees are in force")
    status = ExitStatus.SUCCESS
    for change, result in published:
        if result.entry.accepted:
            context.write(f"{change.subtree}: accepted as version {result.offset}")
        else:
            context.write_error(f"{change.subtree}: refused: {result.entry.reason}")
            status = ExitStatus.REFUSED
    return status


async def _wait_until_in_force(context, entries, offset, timeout_s):
    """Waits until entry hosts have applied a control offset; returns those that lag."""
    started = context.monotonic()
    lagging = set(entries)
    while lagging and context.monotonic() - started < timeout_s:
        async with anyio.create_task_group() as tasks:
            for entry in list(lagging):
                tasks.start_soon(_check_entry, entry, offset, lagging)
        await anyio.sleep(POLL_S)
    elapsed_s = context.monotonic() - started
    if lagging:
        names = ", ".join(sorted(lagging))
        context.write_error(f"not in force after {elapsed_s:.1f} s on: {names}")
    else:
        context.write(f"in force on {len(entries)} entry hosts after {elapsed_s:.2f} s")
    return lagging


async def _check_entry(entry, offset, lagging):
    """Removes an entry host from ``lagging`` if it has applied a control offset."""
    client = Client(entry)
    try:
        status = await client.status()
        if status.control_offset > offset:
            lagging.discard(entry)
    except DaemonUnreachable:
        pass
    finally:
        await client.aclose()
