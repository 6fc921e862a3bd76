"""Starts the daemons with the command of the deploy file, and calls them."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from platform_standin import (
    Recorder,
    Store,
    Worker,
    json_answer,
    send_heartbeats,
    serve,
)

ROOT = Path(__file__).resolve().parents[2]
HOST = "fleet.example"
PORTS_PER_DAEMON = 10
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 3,
    "checkpointS": 2,
    "restoreMs": 100,
    "noticeMs": 4500,
    "moveS": 1.5,
    "maintenanceS": 2,
    "enforceFencing": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


class CannotRun(Exception):
    """The case could not be played."""


def find_ports(count):
    """Returns the first of ``count`` consecutive free ports."""
    # Each process tries other ports first, as they aren't held until they are used.
    for attempt in range(100):
        first = 20000 + (os.getpid() + attempt) % 100 * 100
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise CannotRun("no free ports")


class Deployment:
    """A small deployment: daemons as processes, the platform as a stand-in.

    Args:
        folder: Folder of the case, for record.txt.
        daemons: Zone of each daemon.
        workers: Zone of each worker.
        worker_cpu: Capacity of a worker, thousandths of a core.
        attempts: Attempts of the queue.
        early_daemons: Number of daemons that are started a little before the others.
        status_s: How long the state of an ended job must be known, seconds.
        services: Service of each worker; all are of ``svc-a`` if left out.
        racks: Rack of each worker; four a rack if left out.
    """

    def __init__(
        self,
        folder,
        daemons,
        workers,
        worker_cpu=64_000,
        attempts=3,
        early_daemons=0,
        status_s=120,
        services=None,
        racks=None,
    ):
        self.record = Recorder(Path(folder) / "record.txt")
        self.store = Store(self.record)
        self.starts, self.ends, self.jobs = [], [], {}
        self.workers = [
            Worker(
                f"i-{number:010x}",
                services[number - 1] if services else "svc-a",
                zone,
                racks[number - 1] if racks else f"r{number // 4}",
                self.record,
                self.starts,
                self.ends,
                worker_cpu,
            )
            for number, zone in enumerate(workers, 1)
        ]
        self._zones = daemons
        self._attempts = attempts
        self._early_daemons = early_daemons
        self._status_s = status_s
        self._processes = {}
        self._tasks = []
        self._temporary = tempfile.TemporaryDirectory()
        self.store_ports = []

    async def __aenter__(self):
        first = find_ports(PORTS_PER_DAEMON * len(self._zones))
        self.ports = [first + PORTS_PER_DAEMON * n for n in range(len(self._zones))]
        self.configure()
        for _ in self._zones:
            ports = []
            server = await serve(self.store.handler(lambda p=ports: p[0]))
            ports.append(server.port)
            self.store_ports.append(server.port)
        self.machines_port = (await serve(self._handle_machines)).port
        for worker in self.workers:
            await worker.start()
        self._tasks.append(
            asyncio.create_task(send_heartbeats(self.store, self.workers))
        )
        for index in range(len(self._zones)):
            if 0 < index == self._early_daemons:
                # All machines start within 0.3 s of each other.
                await asyncio.sleep(0.28)
            self.start_daemon(index)
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._temporary.cleanup()
        self.record.close()

    def configure(self, version=1, name="q-a", service="svc-a"):
        """Writes a configuration as the operator does.

        Args:
            version: Its version.
            name: Name of the only route.
            service: Service of that route.
        """
        route = {
            "name": name,
            "host": HOST,
            "pathPrefix": "/a/",
            "service": service,
            "timeoutMs": 3000,
            "targetDurationMs": 600,
            "priority": 0,
            "attempts": self._attempts,
            "stretch": 1.6,
        }
        services = [
            {"name": name, "rejectsOverload": True}
            for name in sorted({worker.service for worker in self.workers})
        ]
        document = {"version": version, "routes": [route], "services": services}
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.write("configuration", version=version, route=name, service=service)

    async def _handle_machines(self, method, path, query, headers, body):
        if path != "/machines":
            return json_answer(400, {})
        machines = [
            {
                "machine": "m-" + worker.worker_id,
                "pool": worker.service,
                "state": "up" if worker.is_up else "down",
                "zone": worker.zone,
                "labels": ["a", worker.rack],
                "capacity": {"cpu": worker.cpu, "memMb": worker.memory, "gpu": 0},
                "id": worker.worker_id if worker.is_up else "",
            }
            for worker in self.workers
        ]
        return json_answer(200, {"machines": machines, "nextToken": ""})

    def start_daemon(self, index):
        """Starts a daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        port, zone = self.ports[index], self._zones[index]
        settings = {
            "nodeName": f"edge-{zone}-{index + 1}",
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r",
            "zones": {name: "r" for name in sorted(set(self._zones))},
            "listenAddrs": {
                "front": f"127.0.0.1:{port}",
                "readyAddr": f"127.0.0.1:{port + 1}",
            },
            "internalPorts": [port + 2, port + 9],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": 1500,
            "bounds": BOUNDS | {"status_s": self._status_s},
            "orders": "invoke",
            "platform": {
                "address": f"127.0.0.1:{self.store_ports[index]}",
                "form": "log",
                "recordBytes": 262144,
                "callBytes": 2097152,
                "appendMs": 2.0,
                "keep_s": 300,
                "partMb": 200,
            },
            "cloudApi": {
                "address": f"127.0.0.1:{self.machines_port}",
                "ratePerS": 64.0,
                "duties": [],
                "dutyPerS": 64.0,
            },
        }
        file = Path(self._temporary.name) / f"{index}.json"
        file.write_text(json.dumps(settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self._temporary.name,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BASILWIND_NODE_FILE": str(file),
        }
        log_folder = os.environ.get("LOGS") or self._temporary.name
        with open(Path(log_folder) / f"daemon-{index}.log", "ab") as log:
            self._processes[index] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("daemon started", daemon=index, zone=zone)

    async def call(self, index, method, job_id, body=None, timeout_s=3.0):
        """Calls a daemon as a client does; returns status and document, or None."""
        data = json.dumps(body).encode() if body is not None else b""
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ports[index]
                )
                writer.write(
                    f"{method} /a/{job_id} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                    f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                    "Connection: close\r\n\r\n".encode()
                    + data
                )
                raw = await reader.read()
            head, _, text = raw.partition(b"\r\n\r\n")
            answer = int(head.split()[1]), json.loads(text) if text else None
        except (OSError, TimeoutError, ValueError, IndexError):
            answer = None
        finally:
            if writer is not None:
                writer.close()
        self.record.write(
            "call",
            daemon=index,
            method=method,
            job=job_id,
            answer=None if answer is None else list(answer),
        )
        return answer

    async def submit(self, job_id, work_s, first=0, mean_life_s=0.0, **step):
        """Submits a job of one step, retrying at other daemons as clients do.

        Args:
            job_id: Id of the job.
            work_s: Time that its tasks take, seconds; 0 for tasks that last.
            first: Index of the daemon that is called first.
            mean_life_s: Mean time after which a run of a task that lasts fails by
                itself, seconds; 0 for never.
            step: Fields of the step.

        Returns:
            Whether it was accepted.
        """
        step = {"count": 1, "cpu": 1000, "memMb": 64, **step}
        for worker in self.workers:
            worker.set_steps(job_id, [step])
        spec = {"work_s": work_s}
        if mean_life_s:
            spec["mean_life_s"] = mean_life_s
        body = {"spec": json.dumps(spec), "steps": [step]}
        for attempt in range(5):
            index = (first + attempt) % len(self.ports)
            answer = await self.call(index, "POST", job_id, body)
            if answer is not None and 200 <= answer[0] < 300:
                self.jobs[job_id] = self.record.now
                return True
            if answer is not None and answer[0] in (400, 404, 413):
                return False
            await asyncio.sleep(0.2)
        return False

    async def state(self, job_id, first=0):
        """Asks for a job's state at one daemon after the other."""
        for attempt in range(len(self.ports)):
            index = (first + attempt) % len(self.ports)
            answer = await self.call(index, "GET", job_id)
            if answer is not None and answer[0] == 200:
                return answer[1]["state"]
            if answer is not None and answer[0] == 410:
                return "unknown"
        return "no answer"

    async def wait_until_serving(self, timeout_s=30.0):
        """Waits until a first job has been completed through each daemon."""
        deadline = self.record.now + timeout_s
        for index in range(len(self.ports)):
            job_id = f"{0xAAAA0000 + index:016x}"
            while not await self.submit(job_id, 0.2, index):
                if self.record.now > deadline:
                    raise CannotRun("no daemon accepts jobs")
                await asyncio.sleep(0.3)
            while await self.state(job_id, index) != "completed":
                if self.record.now > deadline:
                    raise CannotRun("no job is completed")
                await asyncio.sleep(0.1)

    def pause_daemon(self, index):
        """Stops a daemon's process, as a freeze of its machine does."""
        self._processes[index].send_signal(signal.SIGSTOP)
        self.record.write("daemon frozen", daemon=index)

    def continue_daemon(self, index):
        """Lets a stopped daemon run on."""
        self._processes[index].send_signal(signal.SIGCONT)
        self.record.write("daemon woken", daemon=index)

    def kill_daemon(self, index):
        """Kills a daemon's process."""
        self._processes[index].kill()
        self._processes[index].wait()
        self.record.write("daemon killed", daemon=index)

    def holder(self, duty):
        """Returns the index of the daemon that last claimed a duty, from the store."""
        claim = self.store.topic("keyed.duties").newest.get("claim/" + duty)
        if claim is None:
            return None
        text = claim[1].decode()
        for index, zone in enumerate(self._zones):
            if f"edge-{zone}-{index + 1}#" in text:
                return index
        return None


def run_case(main):
    """Runs a case's coroutine function and exits with its status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        # The daemons are killed also if the script itself is to end.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        async with asyncio.timeout(115):
            return await main(has_trouble)

    try:
        is_broken, text = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        # Status 1 is only for a broken rule.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print(("BROKEN: " if is_broken else "held: ") + text)
    sys.exit(1 if is_broken else 0)
