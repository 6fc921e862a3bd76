"""Calls ASGI applications without a server."""

from urllib.parse import urlsplit


async def call(app, method, path, body=b"", headers=()):
    """Sends a request to an ASGI application.

    Args:
        app: ASGI application.
        method: HTTP method.
        path: Path of the request.
        body: Request body, bytes.
        headers: Pairs of name and value, bytes.

    Returns:
        The ``http.response.start`` message and the body of the response.
    """
    scope = {
        "method": method,
        "path": path,
        "headers": list(headers),
        "query_string": b"",
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    return sent[0], sent[1]["body"]


class AppTransport:
    """Stands in for ``Transport``; all addresses lead to one application."""

    def __init__(self, app):
        self._app = app

    async def call(self, method, url, timeout_s, body=None):
        """See ``Transport.call``."""
        start, answer = await call(self._app, method, urlsplit(url).path, body or b"")
        return start["status"], answer
