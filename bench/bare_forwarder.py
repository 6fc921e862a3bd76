"""A baseline forwarder: the daemon's HTTP libraries and nothing else."""

import sys

import anyio
import httpcore

from basilwind.api.asgi import HttpResponse, HttpServer, read_request, send_response


class BareForwarder:
    """Forwards requests to workers in round-robin order."""

    def __init__(self, workers):
        self._workers = workers
        self._request_count = 0
        self._pool = httpcore.AsyncConnectionPool(max_connections=256)

    async def __call__(self, scope, receive, send):
        """Forwards one request and sends its answer (ASGI)."""
        if scope["type"] != "http":
            return
        request = await read_request(scope, receive)
        self._request_count += 1
        worker = self._workers[self._request_count % len(self._workers)]
        url = f"http://{worker}/v1/tasks/bare-{self._request_count}"
        response = await self._pool.request("POST", url, content=request.body)
        await send_response(send, HttpResponse(response.status, response.content))


async def serve(address, workers):
    await HttpServer(BareForwarder(workers), address).serve_until_stopped()


if __name__ == "__main__":
    anyio.run(serve, sys.argv[1], sys.argv[2:], backend_options={"use_uvloop": True})
