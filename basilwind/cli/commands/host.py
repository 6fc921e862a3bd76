"""Changes the phase or pool of a host."""

import anyio

from basilwind.control.publisher import Publisher
from basilwind.control.records import HostAction
from basilwind.platform.client import PlatformClient
from basilwind.status import ExitStatus


def run(context, action, name, platform, author, to_pool, reason):
    """Publishes the change and prints whether it was accepted."""
    result = anyio.run(
        _publish, context, HostAction(action), name, platform, author, to_pool, reason
    )
    if result.entry.accepted:
        context.write(f"{name}: {action} accepted at offset {result.offset}")
        return ExitStatus.SUCCESS
    context.write_error(f"{name}: {action} refused: {result.entry.reason}")
    return ExitStatus.REFUSED


async def _publish(context, action, name, platform, author, to_pool, reason):
    client = PlatformClient(platform)
    try:
        publisher = Publisher(client, author, context.wall_clock)
        await publisher.refresh()
        return await publisher.publish_host(name, action, to_pool, reason)
    finally:
        await client.aclose()
