"""Environment and streams of one program run."""

import os
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass
class Context:
    """What a command reads from and writes to; tests replace its parts.

    Attributes:
        stdin: Input stream.
        stdout: Stream of results.
        stderr: Stream of messages and errors.
        environ: Environment variables.
        monotonic: Clock for durations, in seconds.
        wall: Clock for time stamps, in seconds since the epoch.
    """

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time

    def write(self, text: str) -> None:
        """Writes a line to the result stream."""
        self.stdout.write(text + "\n")

    def write_error(self, text: str) -> None:
        """Writes a line to the message stream."""
        self.stderr.write(text + "\n")
