"""Starts and stops the processes of an example on loopback."""

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from basilwind.settings import DaemonSettings
from basilwind.settings.loader import load_file
from basilwind.settings.tree import load_tree

ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
PORT_OFFSETS = range(0, 20_000, 1000)
STOP_TIMEOUT_S = 30.0


class Launcher:
    """Runs the platform stand-in, the worker stand-ins and the daemons of an example.

    The settings are copied to a temporary directory, with all ports shifted to a free
    range.

    Args:
        example: Directory of the example.
        daemon_options: Settings to add to each daemon's file, as JSON members.
    """

    def __init__(self, example, daemon_options=""):
        self._temporary = tempfile.TemporaryDirectory(prefix="basilwind-")
        self.directory = Path(self._temporary.name)
        self._processes = {}
        self._copy_settings(
            Path(example), _find_free_offset(Path(example)), daemon_options
        )
        self.tree = load_tree(self.settings_directory)
        self.daemons = {
            file.stem: load_file(file, DaemonSettings)
            for file in sorted((self.directory / "daemons").glob("*.jsonc"))
        }
        self.platform_url = next(iter(self.daemons.values())).platform
        self.worker_addresses = {
            host.name: host.address for host in self.tree.fleet.hosts
        }

    @property
    def settings_directory(self):
        """Directory of the settings tree with the ports of this run."""
        return self.directory / "settings"

    @property
    def entry_addresses(self):
        """HOST:PORT of each daemon's HTTP API, by name."""
        return {name: daemon.http for name, daemon in self.daemons.items()}

    def start_stand_ins(self):
        """Starts the platform stand-in and one process of worker stand-ins per zone."""
        address = self.platform_url.removeprefix("http://")
        self._start("platform", "stand-in", "platform", "--listen", address)
        for zone in self.tree.fleet.zones:
            self._start(
                f"workers-{zone.name}",
                *("stand-in", "worker", "--zone", zone.name),
                *("--settings", str(self.settings_directory)),
                *("--platform", self.platform_url),
            )
        wait_until_listening([address, *self.worker_addresses.values()])

    def start_daemons(self):
        """Starts all daemons and waits until they listen."""
        for name in self.daemons:
            self.start_daemon(name, wait=False)
        wait_until_listening(self.entry_addresses.values())

    def start_daemon(self, name, wait=True):
        """Starts one daemon.

        Args:
            name: Name of its entry host.
            wait: Whether to wait until it listens.
        """
        file = self.directory / "daemons" / f"{name}.jsonc"
        self._start(name, "serve", "--settings", str(file))
        if wait:
            wait_until_listening([self.entry_addresses[name]])

    def signal(self, name, number):
        """Sends a signal to a process of this launcher."""
        self._processes[name].send_signal(number)

    def kill(self, name):
        """Kills a process and waits until it has exited."""
        self.signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def stop(self, name):
        """Stops a process gracefully.

        Returns:
            Its exit status.
        """
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def process_id(self, name):
        """Returns the process id of a process by name."""
        return self._processes[name].pid

    def run_command(self, *arguments, environment=None):
        """Runs a basilwind command and returns its ``CompletedProcess``."""
        command = [sys.executable, "-m", "basilwind", *arguments]
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=120,
            env=os.environ | (environment or {}),
        )

    def read_log(self, name):
        """Returns the output of a process so far."""
        return (self.directory / f"{name}.log").read_text(encoding="utf-8")

    def close(self):
        """Kills all processes and removes the temporary directory."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        self._temporary.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.close()

    def _start(self, name, *arguments):
        command = [sys.executable, "-m", "basilwind", *arguments]
        with open(self.directory / f"{name}.log", "ab") as output:
            self._processes[name] = subprocess.Popen(
                command, stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )

    def _copy_settings(self, example, offset, daemon_options):
        for source in sorted(example.rglob("*.jsonc")):
            text = ADDRESS.sub(
                lambda match: f"127.0.0.1:{int(match.group(1)) + offset}",
                source.read_text(encoding="utf-8"),
            )
            if daemon_options and source.parent.name == "daemons":
                text = text.replace("{", "{\n  " + daemon_options + ",", 1)
            target = self.directory / source.relative_to(example)
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_text(text, encoding="utf-8")


def wait_until_listening(addresses, timeout_s=30.0):
    """Waits until something listens on each HOST:PORT.

    Raises:
        TimeoutError: Nothing listened within ``timeout_s`` seconds.
    """
    end = time.monotonic() + timeout_s
    for address in addresses:
        host, _, port = address.rpartition(":")
        while not _is_listening(host, int(port)):
            if time.monotonic() > end:
                raise TimeoutError(f"nothing listens on {address}")
            time.sleep(0.05)


def _is_listening(host, port):
    try:
        socket.create_connection((host, port), 1.0).close()
    except OSError:
        return False
    return True


def _find_free_offset(example):
    ports = {
        int(port)
        for file in example.rglob("*.jsonc")
        for port in ADDRESS.findall(file.read_text(encoding="utf-8"))
    }
    for offset in PORT_OFFSETS:
        if all(_is_free(port + offset) for port in ports):
            return offset
    raise RuntimeError("no free range of ports on loopback")


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
