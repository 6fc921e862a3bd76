"""Runs entry host daemons as processes against a stand-in for the platform."""

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
PUBLIC_QUEUE = StandInQueue("q-p", "/p/", "pool-a", is_public=True)
WAIT_TIMEOUT_S = 40.0  # ends a hanging test; not a limit that the system must meet
PORTS_PER_DAEMON = 10
FIRST_PORT, LAST_PORT = 20000, 30000  # below the ports of outgoing connections
PORT_BLOCK = 100  # a fleet of nine daemons


def reserve_ports(count):
    """Reserves consecutive free ports.

    Every fleet takes whole blocks of ``PORT_BLOCK`` ports, so that no two overlap
    without sharing the port that the returned socket keeps.

    Args:
        count: Number of ports, less than ``PORT_BLOCK``.

    Returns:
        The first port, and a socket that keeps other fleets off the ports until it is
        closed.
    """
    blocks = (LAST_PORT - FIRST_PORT) // PORT_BLOCK
    for attempt in range(blocks):
        start = FIRST_PORT + (os.getpid() + attempt) % blocks * PORT_BLOCK
        sockets = []
        try:
            for port in range(start, start + count + 1):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind(("127.0.0.1", port))
            return start + 1, sockets.pop(0)
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise OSError("no free ports")


class EntryFleet:
    """Daemon processes with a platform stand-in, and a client to call them.

    Args:
        daemons: Number of daemons.
        log_folder: Directory in which their logs are kept; not kept if None.
        tenants: Rows of the configuration that describe customers. With them, queue
            ``p`` is public and the others need a key.
        bounds: Settings of daemons under ``bounds``.

    Attributes:
        platform: ``EntryPlatformStandIn``.
        ports: First port of each daemon, at which callers reach it.
        processes: Process of each daemon, by index.
        restarting: Indexes of the daemons that a fault is restarting.
        outages: Start and end of each outage of the store, on the monotonic clock.
    """

    def __init__(self, daemons=2, log_folder=None, tenants=None, bounds=None):
        port, self._reservation = reserve_ports(10 + PORTS_PER_DAEMON * daemons)
        queues = QUEUES if tenants is None else (*QUEUES, PUBLIC_QUEUE)
        self.platform = EntryPlatformStandIn(
            port, queues, tenants=tenants, bounds=bounds or {}
        )
        first = self.platform.next_free_port
        self.ports = [first + PORTS_PER_DAEMON * n for n in range(daemons)]
        self.processes = {}
        self.restarting = set()
        self.outages = []
        self._folder = tempfile.TemporaryDirectory()
        self._log_folder = Path(log_folder or self._folder.name)

    async def start(self, index):
        """Starts a daemon as a process."""
        file = Path(self._folder.name) / f"{index}.json"
        settings = self.platform.daemon_settings(index, self.ports[index])
        file.write_text(json.dumps(settings))
        with open(self._log_folder / f"{index}.log", "ab") as log:
            self.processes[index] = await anyio.open_process(
                [sys.executable, "-m", "basilwind", "entry", "--settings", str(file)],
                stdin=None,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    async def stop(self):
        """Kills the daemons that are still running."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.aclose()
        self._reservation.close()
        self._folder.cleanup()

    async def call(self, method, index, path, body=None, key=""):
        """Returns the status and decoded body of a response, or None without one."""
        return await self._fetch(method, self.ports[index], path, body, key=key)

    async def call_raw(self, index, path, body):
        """Sends a POST request with a body that need not be JSON; see ``call``."""
        return await self._fetch("POST", self.ports[index], path, data=body)

    async def wait_until_answering(self, index):
        """Waits until a daemon answers its readiness check with any status."""

        async def check():
            return await self._fetch("GET", self.ports[index] + 1, "/ready")

        await self.wait_until(check)

    def log_tails(self, count=15):
        """Returns the last lines of each daemon's log."""
        parts = []
        for index, process in self.processes.items():
            lines = (self._log_folder / f"{index}.log").read_text().splitlines()
            parts.append(f"daemon {index}, exit code {process.returncode}:")
            parts += lines[-count:]
        return "\n".join(parts)

    async def is_ready(self, index):
        """Returns whether a daemon reports itself as ready."""
        answer = await self._fetch("GET", self.ports[index] + 1, "/ready")
        return answer is not None and answer[0] == 200

    async def _fetch(self, method, port, path, body=None, data=None, key=""):
        url = f"http://127.0.0.1:{port}{path}"
        timeout = aiohttp.ClientTimeout(total=4.0)
        headers = {"Host": "fleet.example"} | ({"X-Key": key} if key else {})
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, json=body, data=data, headers=headers
                ) as response,
            ):
                text = await response.text()
                try:
                    return response.status, json.loads(text) if text else None
                except ValueError as error:
                    raise AssertionError(
                        f"{method} {url}: status {response.status}, not JSON: {text!r}"
                    ) from error
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def wait_until(self, check):
        """Repeats an async check until it returns true."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not await check():
                await anyio.sleep(0.1)

    async def wait_until_serving(self, index, queue="a"):
        """Waits until a daemon answers requests about a queue."""

        async def check():
            answer = await self.call("GET", index, f"/{queue}/")
            return answer is not None and answer[0] == 200

        await self.wait_until(check)

    async def submit(self, job_id, index, queue="a", **step):
        """Submits a job to one daemon after another until it is accepted.

        Args:
            job_id: Id of the job.
            index: Index of the daemon to try first.
            queue: Name of the queue.
            **step: Fields of each of the job's two steps; a long-running job has only
                one step. ``work_s`` is the run time in seconds, ``crashes`` the
                indexes of tasks that crash their workers; both go into the spec.
        """
        spec = json.dumps(
            {"work_s": step.pop("work_s", 0.1), "crashes": step.pop("crashes", [])}
        )
        values = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 100} | step
        body = {"spec": spec, "steps": [values, values | {"after": [0]}]}
        if values.get("longRunning"):
            body["steps"].pop()

        async def check():
            nonlocal index
            answer = await self.call("POST", index, f"/{queue}/{job_id}", body)
            index = (index + 1) % len(self.ports)
            return answer is not None and answer[0] == 200

        await self.wait_until(check)

    async def wait_until_completed(self, job_id, queue="a"):
        """Waits until a daemon reports a job as completed.

        Raises:
            AssertionError: A daemon answers that it does not know the job.
        """
        await self.wait_until_state(job_id, "completed", queue)

    async def wait_until_state(self, job_id, state, queue="a", key=""):
        """Waits until a daemon reports a state of a job.

        Raises:
            AssertionError: A daemon answers that it does not know the job.
        """

        async def check():
            for index in range(len(self.ports)):
                answer = await self.call("GET", index, f"/{queue}/{job_id}", key=key)
                if answer and answer[0] == 410:
                    raise AssertionError(
                        f"a daemon does not know job {job_id} any more"
                    )
                if answer and answer[1] == {"state": state}:
                    return True
            return False

        await self.wait_until(check)
