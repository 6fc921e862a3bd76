import unittest

import anyio
import httpcore

from basilwind.api.asgi import HttpResponse, HttpServer, read_request, send_response
from basilwind.models import RequestSpec
from basilwind.workers.client import WorkerClient
from basilwind.workers.connections import WorkerConnections
from basilwind.workers.results import TaskAnswer, TaskNotRun
from tests.utils.fleet import free_ports, run_async

LIMIT = 3


class CountingApp:
    """Counts the connections that are open at once."""

    def __init__(self):
        self.clients = set()
        self.now = self.most = 0

    async def __call__(self, scope, receive, send):
        await read_request(scope, receive)
        self.clients.add(scope["client"])
        self.now += 1
        self.most = max(self.most, self.now)
        await anyio.sleep(0.02)
        self.now -= 1
        task_id = scope["path"].rsplit("/", 1)[1]
        await send_response(send, HttpResponse(headers={"task-id": task_id}))


class TestWorkerConnections(unittest.TestCase):
    @run_async
    async def test_limit_holds_and_connections_are_kept(self):
        app, address = CountingApp(), f"127.0.0.1:{free_ports(1)[0]}"
        async with anyio.create_task_group() as tasks:
            server = HttpServer(app, address)
            tasks.start_soon(server.serve_until_stopped)
            await server.wait_started()
            client = WorkerClient(address, LIMIT + 4)
            spec = RequestSpec("r", "t", "q", "p")
            answers = []

            async def run(index):
                result = await client.run_task(f"t{index}", spec, lambda: None, 5.0)
                answers.append(result)

            async with anyio.create_task_group() as runs:
                for index in range(30):
                    runs.start_soon(run, index)
            self.assertTrue(all(isinstance(a, TaskAnswer) for a in answers))
            self.assertEqual(app.most, LIMIT)
            self.assertEqual(len(app.clients), LIMIT)
            await client.aclose()
            tasks.cancel_scope.cancel()

    @run_async
    async def test_nothing_listens_is_proof_of_not_run(self):
        client = WorkerClient(f"127.0.0.1:{free_ports(1)[0]}", 8)
        result = await client.run_task(
            "t", RequestSpec("r", "t", "q", "p"), lambda: None, 2.0
        )
        self.assertIsInstance(result, TaskNotRun)
        self.assertFalse(result.is_reachable)

    @run_async
    async def test_connection_that_did_not_end_cleanly_is_not_kept(self):
        origin = httpcore.Origin(b"http", b"127.0.0.1", free_ports(1)[0])
        connections = WorkerConnections(origin, 1, 5.0, [])
        connection = await connections.take()
        await connections.give_back(connection)
        again = await connections.take()
        self.assertIsNot(again, connection)
        await connections.give_back(again)
