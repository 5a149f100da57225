"""Starting and ending real processes on the loopback interface.

For the demonstration, the benchmark and the tests; no part of a node uses it.
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
END_TIMEOUT_S = 70.0
POLL_S = 0.05
FIRST_PORT = 20_000
PORTS = 12_000
"""Ports below the range that the kernel takes for outgoing connections."""
PORT_STRIDE = 61
PROGRAMS = {
    "platform": "monsoonmill.standin.store_program",
    "node": "monsoonmill.node.program",
    "backend": "monsoonmill.standin.backend_program",
    "faults": "monsoonmill.standin.faults_program",
}

_ports = count(getpid() * PORT_STRIDE)


class NotReadyError(MonsoonError, AssertionError):
    """A process or condition did not come about in time."""


def free_port() -> int:
    """Return a port that nobody listens on."""
    for offset in _ports:
        port = FIRST_PORT + offset % PORTS
        try:
            create_server((HOST, port)).close()
        except OSError:
            continue
        return port


def wait_for(condition, timeout_s=10.0, what="condition"):
    """Wait until a condition holds; return its value.

    Raises
    ------
    NotReadyError
        The condition did not hold in time.
    """
    pause = Event()
    for _ in range(int(timeout_s / POLL_S)):
        value = condition()
        if value:
            return value
        pause.wait(POLL_S)
    raise NotReadyError(f"{what}: not within {timeout_s} s")


def render_toml(value: object) -> str:
    """Return a value in TOML's notation."""
    if isinstance(value, dict):
        pairs = (f"{dumps(key)} = {render_toml(one)}" for key, one in value.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(render_toml, value)) + "]"
    return dumps(value)


@define(eq=False)
class Process:
    """One process that this one has started.

    Attributes
    ----------
    output : Path
        File of the lines that the process writes, behind those of former ones.
    begins_at : int
        Where its own lines begin there.
    port : int
        Port that the process has reported; 0 before it is ready.
    """

    name: str
    popen: subprocess.Popen
    output: Path
    begins_at: int
    port: int = 0

    @classmethod
    def start(cls, directory, kind: str, name: str, tables: dict) -> "Process":
        """Start a program with settings; it may not be ready yet."""
        path = Path(directory) / f"{name}.toml"
        lines = (f"{section} = {render_toml(one)}" for section, one in tables.items())
        path.write_text("\n".join(lines), encoding="utf-8")
        command = [sys.executable, "-m", PROGRAMS[kind], "--config", str(path)]
        # What it writes stays for whoever asks afterwards what happened.
        lines = (Path(directory) / f"{name}.out").open("ab")
        with lines, (Path(directory) / f"{name}.log").open("a") as errors:
            begins_at = lines.tell()
            popen = subprocess.Popen(command, stdout=lines, stderr=errors)
        return cls(name, popen, Path(lines.name), begins_at)

    def await_ready(self) -> "Process":
        """Wait for the line with the port, behind lines of log, and return.

        Raises
        ------
        NotReadyError
            The process ended or said something else.
        """
        words = wait_for(self._first_words, READY_TIMEOUT_S, f"{self.name} ready")
        if len(words) != 2 or words[0] != b"ready":
            raise NotReadyError(f"{self.name}: {words}")
        self.port = int(words[1])
        return self

    def _first_words(self):
        """Return the words of the first whole line that is none of the log's."""
        is_running = self.is_running
        with self.output.open("rb") as lines:
            lines.seek(self.begins_at)
            for line in lines:
                if line.endswith(b"\n") and not line.startswith(b"{"):
                    return line.split()
        return None if is_running else [b"ended"]

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def kill(self) -> None:
        """End the process without notice."""
        self.popen.kill()
        self.popen.wait()

    def suspend(self) -> None:
        """Stop the process's execution."""
        self.popen.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Let the process go on."""
        self.popen.send_signal(SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end."""
        self.popen.send_signal(SIGTERM)

    def close(self) -> None:
        """Make sure that the process has ended."""
        if self.is_running:
            self.kill()
