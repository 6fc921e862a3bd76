"""Keeps a daemon's services running when one of them meets an unexpected error."""

import traceback

import anyio

from basilwind.logs import log

RESTART_DELAY_S = 0.5  # limits how often a persistent error repeats


async def supervise(name, service):
    """Runs a service and starts it again after an unexpected error.

    Args:
        name: Name of the service, for logs.
        service: Coroutine function without arguments.
    """
    while True:
        try:
            return await service()
        except Exception as error:
            log(
                "service failed",
                service=name,
                error="".join(traceback.format_exception(error)),
            )
            await anyio.sleep(RESTART_DELAY_S)
