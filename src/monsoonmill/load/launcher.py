"""Starts and stops the programs as processes on the loopback interface.

Used by the demonstration, the benchmark and the tests, not by a node.
"""

import subprocess
import sys
from itertools import count
from json import dumps
from os import getpid
from pathlib import Path
from signal import SIGCONT, SIGSTOP, SIGTERM
from socket import create_server
from threading import Event

from attrs import define

from monsoonmill.errors import MonsoonError

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
TERMINATE_TIMEOUT_S = 70.0
POLL_INTERVAL_S = 0.05
FIRST_PORT = 20_000
PORT_COUNT = 12_000
"""The ports end below the kernel's range of ephemeral ports."""
PORT_STRIDE = 61
"""Distance between the first ports that two successive process ids try."""
PROGRAMS = {
    "platform": "monsoonmill.standin.store_program",
    "node": "monsoonmill.node.program",
    "backend": "monsoonmill.standin.backend_program",
    "faults": "monsoonmill.standin.faults_program",
}

_port_offsets = count(getpid() * PORT_STRIDE)


class NotReadyError(MonsoonError, AssertionError):
    """A process did not become ready, or a condition did not hold in time."""


def free_port() -> int:
    """Return a port that is not in use."""
    for offset in _port_offsets:
        port = FIRST_PORT + offset % PORT_COUNT
        try:
            create_server((HOST, port)).close()
        except OSError:
            continue
        return port


def wait_for(condition, timeout_s=10.0, description="condition"):
    """Poll a condition until its value is true, and return the value.

    Raises
    ------
    NotReadyError
        The condition was still false after the timeout.
    """
    timer = Event()
    for _ in range(int(timeout_s / POLL_INTERVAL_S)):
        value = condition()
        if value:
            return value
        timer.wait(POLL_INTERVAL_S)
    raise NotReadyError(f"{description}: not within {timeout_s} s")


def render_toml(value: object) -> str:
    """Return a value as inline TOML."""
    if isinstance(value, dict):
        pairs = (f"{dumps(key)} = {render_toml(item)}" for key, item in value.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(render_toml, value)) + "]"
    return dumps(value)


@define(eq=False)
class Process:
    """A child process that runs one of the programs.

    Attributes
    ----------
    output : Path
        Standard output, appended to that of earlier processes of the same name.
    output_offset : int
        Offset in the file at which this process's output begins.
    port : int
        Port that the process reported; 0 before it is ready.
    """

    name: str
    popen: subprocess.Popen
    output: Path
    output_offset: int
    port: int = 0

    @classmethod
    def start(cls, directory, kind: str, name: str, tables: dict) -> "Process":
        """Start a program with these settings, without waiting until it is ready."""
        config_path = Path(directory) / f"{name}.toml"
        lines = (
            f"{section} = {render_toml(table)}" for section, table in tables.items()
        )
        config_path.write_text("\n".join(lines), encoding="utf-8")
        command = [sys.executable, "-m", PROGRAMS[kind], "--config", str(config_path)]
        # The output files are kept so that a failure can be diagnosed later.
        stdout = (Path(directory) / f"{name}.out").open("ab")
        with stdout, (Path(directory) / f"{name}.log").open("a") as stderr:
            output_offset = stdout.tell()
            popen = subprocess.Popen(command, stdout=stdout, stderr=stderr)
        return cls(name, popen, Path(stdout.name), output_offset)

    def await_ready(self) -> "Process":
        """Wait for the ready line and read the port; log lines may precede it.

        Raises
        ------
        NotReadyError
            The process ended, wrote another line or was not ready in time.
        """
        words = wait_for(self._read_ready_line, READY_TIMEOUT_S, f"{self.name} ready")
        if len(words) != 2 or words[0] != b"ready":
            raise NotReadyError(f"{self.name}: {words}")
        self.port = int(words[1])
        return self

    def _read_ready_line(self):
        """Return the words of the first complete line that is not a log line."""
        is_running = self.is_running
        with self.output.open("rb") as output:
            output.seek(self.output_offset)
            for line in output:
                if line.endswith(b"\n") and not line.startswith(b"{"):
                    return line.split()
        return None if is_running else [b"ended"]

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process with SIGCONT."""
        self.popen.send_signal(SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down with SIGTERM."""
        self.popen.send_signal(SIGTERM)

    def close(self) -> None:
        """Kill the process if it is still running."""
        if self.is_running:
            self.kill()
