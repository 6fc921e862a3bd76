"""Daemons as processes against the stand-in of the users' platform."""

import json
import os
import socket
import sys
import tempfile
from pathlib import Path

import aiohttp
import anyio

from basilwind.standin.entry_platform import EntryPlatformStandIn, StandInQueue

ROOT = Path(__file__).resolve().parent.parent
QUEUES = (StandInQueue("q-a", "/a/", "pool-a"), StandInQueue("q-b", "/b/", "pool-b"))
PATIENCE_S = 40.0  # a guard against a hang, not a bound on the system
DAEMON_PORTS = 10


def free_ports(count):
    """Returns the first of some consecutive ports that are free now."""
    for start in range(20000 + os.getpid() % 10000, 60000, count):
        sockets = []
        try:
            for port in range(start, start + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind(("127.0.0.1", port))
            return start
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise OSError("no free ports")


class Fleet:
    """A platform stand-in with daemons, and a client's calls.

    Args:
        daemons: Number of daemons.
        log_folder: Where their logs are kept; nowhere if None.
    """

    def __init__(self, daemons=2, log_folder=None):
        port = free_ports(10 + DAEMON_PORTS * daemons)
        self.platform = EntryPlatformStandIn(port, QUEUES)
        first = self.platform.next_free_port
        self.ports = [first + DAEMON_PORTS * n for n in range(daemons)]
        self.processes = {}
        self.restarting = set()
        self._folder = tempfile.TemporaryDirectory()
        self._log_folder = Path(log_folder or self._folder.name)

    async def start(self, number):
        """Starts a daemon as a process."""
        file = Path(self._folder.name) / f"{number}.json"
        settings = self.platform.daemon_settings(number, self.ports[number])
        file.write_text(json.dumps(settings))
        with open(self._log_folder / f"{number}.log", "ab") as log:
            self.processes[number] = await anyio.open_process(
                [sys.executable, "-m", "basilwind", "entry", "--settings", str(file)],
                stdin=None,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    async def stop(self):
        """Ends the processes that were started here."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.aclose()
        self._folder.cleanup()

    async def call(self, method, number, path, body=None):
        """Returns the status and the decoded body, or None without an answer."""
        return await self._fetch(method, self.ports[number], path, body)

    async def answers(self, number):
        """Waits until a daemon answers anything."""

        async def check():
            return await self._fetch("GET", self.ports[number] + 1, "/ready")

        await self.until(check)

    def last_lines(self, count=15):
        """Returns the ends of the daemons' logs."""
        parts = []
        for number, process in self.processes.items():
            lines = (self._log_folder / f"{number}.log").read_text().splitlines()
            parts.append(f"daemon {number}, exit code {process.returncode}:")
            parts += lines[-count:]
        return "\n".join(parts)

    async def is_ready(self, number):
        """Tells whether a daemon reports itself ready."""
        answer = await self._fetch("GET", self.ports[number] + 1, "/ready")
        return answer is not None and answer[0] == 200

    async def _fetch(self, method, port, path, body=None):
        url = f"http://127.0.0.1:{port}{path}"
        timeout = aiohttp.ClientTimeout(total=4.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, json=body, headers={"Host": "fleet.example"}
                ) as response,
            ):
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def until(self, check):
        """Repeats a check until it holds."""
        with anyio.fail_after(PATIENCE_S):
            while not await check():
                await anyio.sleep(0.1)

    async def ready(self, number):
        """Waits until a daemon answers for a queue."""

        async def check():
            answer = await self.call("GET", number, "/a/")
            return answer is not None and answer[0] == 200

        await self.until(check)

    async def submit(self, job_id, number, queue="a", **step):
        """Submits a job until it is accepted, at changing daemons."""
        spec = json.dumps({"work_s": step.pop("work_s", 0.1)})
        values = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 100} | step
        body = {"spec": spec, "steps": [values, values | {"after": [0]}]}
        if values.get("longRunning"):
            body["steps"].pop()

        async def check():
            nonlocal number
            answer = await self.call("POST", number, f"/{queue}/{job_id}", body)
            number = (number + 1) % len(self.ports)
            return answer is not None and answer[0] == 200

        await self.until(check)

    async def completed(self, job_id, queue="a"):
        """Waits until a daemon shows a job as completed."""

        async def check():
            for number in range(len(self.ports)):
                answer = await self.call("GET", number, f"/{queue}/{job_id}")
                if answer and answer[0] == 410:
                    raise AssertionError(f"{job_id} was forgotten")
                if answer and answer[1] == {"state": "completed"}:
                    return True
            return False

        await self.until(check)
