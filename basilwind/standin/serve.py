"""Server that runs stand-ins as a process."""

import anyio

from basilwind.api.asgi import HttpServer
from basilwind.application import Application


async def serve_apps(apps):
    """Serves ASGI applications until a signal arrives.

    Args:
        apps: ASGI applications by the HOST:PORT to listen on.
    """
    application = Application()
    servers = [HttpServer(app, address) for address, app in apps.items()]
    for server in servers:
        application.add_service(server.serve_until_stopped)

    async def stop():
        for server in servers:
            server.force_exit = True
            server.stop()
        await anyio.sleep(0.1)

    application.on_stop(stop)
    await application.run()
