"""Environment, streams and clocks of one program run."""

import os
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass
class Context:
    """Everything that a command reads from and writes to; tests replace its parts.

    Attributes:
        stdin: Input stream.
        stdout: Output stream for results.
        stderr: Output stream for messages and errors.
        environ: Environment variables.
        monotonic: Monotonic clock for durations, in seconds.
        wall_clock: Wall clock for timestamps, in seconds since the Unix epoch.
    """

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    monotonic: Callable[[], float] = time.monotonic
    wall_clock: Callable[[], float] = time.time

    def write(self, text: str) -> None:
        """Writes a line to ``stdout``."""
        self.stdout.write(text + "\n")

    def write_error(self, text: str) -> None:
        """Writes a line to ``stderr``."""
        self.stderr.write(text + "\n")
