"""Fakes of ``Transport`` that give the same answer to every call."""


class FakeTransport:
    """Gives an answer to every call, also on connections of its own.

    Args:
        status: Status of the answer.
        body: Body of the answer, bytes.
    """

    def __init__(self, status, body=b"{}"):
        self._answer = status, body

    async def call(self, method, url, *rest, **options):
        return self._answer

    def create_connection(self):
        return self

    async def close(self):
        pass


class FakeConnections(FakeTransport):
    """As ``FakeTransport``, but workers report themselves before they get a start."""

    async def call(self, method, url, *rest, **options):
        if url.endswith("/hold"):
            return 200, b'{"clockMs":1}'
        return await super().call(method, url, *rest, **options)
