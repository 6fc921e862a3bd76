"""Writes the settings in force to files."""

from pathlib import Path

import anyio
import msgspec

from basilwind.control.publisher import Publisher
from basilwind.platform.client import PlatformClient
from basilwind.settings.tree import FILE_SUFFIX


def run(context, directory, platform):
    """Writes each subtree in force to its file in the directory."""
    state = anyio.run(_state, platform)
    for subtree, settings in state.tree.subtrees().items():
        file = Path(directory) / f"{subtree}{FILE_SUFFIX}"
        file.parent.mkdir(parents=True, exist_ok=True)
        version = state.versions[subtree]
        text = msgspec.json.format(msgspec.json.encode(settings), indent=2).decode()
        file.write_text(f"// {subtree}, version {version}\n{text}\n", encoding="utf-8")
        context.write(f"{file}: version {version}")


async def _state(platform):
    client = PlatformClient(platform)
    try:
        return await Publisher(client, "export").refresh()
    finally:
        await client.aclose()
