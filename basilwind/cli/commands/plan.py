"""Shows how settings files differ from the settings in force."""

import difflib

import anyio
import msgspec

from basilwind.control.publisher import Publisher
from basilwind.platform.client import PlatformClient
from basilwind.settings.checks import check_tree
from basilwind.settings.tree import load_tree


def run(context, directory, platform):
    """Prints a diff of each changed subtree."""
    tree = load_tree(directory)
    check_tree(tree)
    changes = anyio.run(_changes, tree, platform)
    if not changes:
        context.write("no changes")
    for change in changes:
        context.write(f"{change.subtree}: from version {change.base_version}")
        for line in difference(change.in_force, change.settings):
            context.write("  " + line)


async def _changes(tree, platform):
    client = PlatformClient(platform)
    publisher = Publisher(client, "plan")
    try:
        await publisher.refresh()
    finally:
        await client.aclose()
    return publisher.changes(tree)


def difference(before, after):
    """Returns the diff of two settings models, a list of lines."""
    old, new = _lines(before), _lines(after)
    lines = difflib.unified_diff(old, new, n=1, lineterm="")
    return [line for line in lines if not line.startswith(("---", "+++", "@@"))]


def _lines(settings):
    if settings is None:
        return []
    text = msgspec.json.format(msgspec.json.encode(settings), indent=2)
    return text.decode().splitlines()
