import asyncio
import unittest

from basilwind.errors import CallRefused, CallTimedOut, CallUnanswered
from basilwind.platform.transport import Transport

TIMEOUT_S = 0.2


class TestTransport(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.transport = Transport()
        await self.transport.start()
        self.addAsyncCleanup(self.transport.stop)

    async def _serve(self, handle):
        """Returns the address of a server; ``handle`` gets reader and writer."""

        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                await handle(reader, writer)
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"http://{host}:{port}/"

    async def _call(self, url):
        return await self.transport.call("POST", url, TIMEOUT_S, b"{}")

    async def test_silent_server_counted_as_a_broken_connection(self):
        # Regression (issue 34): each worker that was lost had the cause "broken".
        async def stay_silent(reader, writer):
            await asyncio.sleep(2 * TIMEOUT_S)

        url = await self._serve(stay_silent)
        with self.assertRaises(CallTimedOut):
            await self._call(url)

    async def test_broken_connection_is_no_timeout(self):
        async def break_off(reader, writer):
            writer.transport.abort()

        url = await self._serve(break_off)
        with self.assertRaises(CallUnanswered) as raised:
            await self._call(url)
        self.assertNotIsInstance(raised.exception, CallTimedOut)

    async def test_port_without_a_listener_refuses(self):
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        with self.assertRaises(CallRefused):
            await self._call(f"http://{host}:{port}/")


if __name__ == "__main__":
    unittest.main()
