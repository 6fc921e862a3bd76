"""Fakes of ``Transport`` and of the connections that it creates."""

import anyio
import msgspec

from basilwind.errors import CallRefused, CallTimedOut, ConnectionGone


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


class FakeWorkerNetwork:
    """Connections to a worker that may start again.

    Attributes:
        incarnation: Start of the incarnation that new connections lead to.
        call_s: Time that a call takes, seconds.
        start_s: Time that an order to start takes, seconds.
        outage: What a new connection meets: "", "refused" or "silent".
        calls: Path and incarnation of each call that arrived.
        open: The connections that are open.
        most_open: Highest number of connections that were open at the same time.
    """

    def __init__(self, call_s=0.02):
        self.incarnation = 1
        self.call_s = self.start_s = call_s
        self.outage = ""
        self.calls = []
        self.open = set()
        self.most_open = 0

    def create_connection(self):
        """Returns a connection that is opened with its first call."""
        return _WorkerNetworkConnection(self)

    def paths(self):
        """Returns the paths of the calls so far, and forgets the calls."""
        paths = [path for path, _ in self.calls]
        self.calls.clear()
        return paths


class _WorkerNetworkConnection:
    def __init__(self, network):
        self._network = network
        self._incarnation = None

    async def call(
        self, method, url, timeout_s, body=None, headers=None, may_connect=True
    ):
        if self not in self._network.open:
            await self._connect(timeout_s, may_connect)
        path = url[url.rindex("/") :]
        self._network.calls.append((path, self._incarnation))
        is_start = path == "/run-start"
        await anyio.sleep(self._network.start_s if is_start else self._network.call_s)
        return 200, msgspec.json.encode({"clockMs": 1, "born": self._incarnation})

    async def _connect(self, timeout_s, may_connect):
        if not may_connect:
            raise ConnectionGone("closed")
        self._network.open.add(self)
        self._network.most_open = max(self._network.most_open, len(self._network.open))
        self._incarnation = self._network.incarnation
        if self._network.outage == "silent":
            await anyio.sleep(timeout_s)
            raise CallTimedOut("silent")
        if self._network.outage == "refused":
            self._network.open.discard(self)
            raise CallRefused("refused")

    async def close(self):
        self._network.open.discard(self)
