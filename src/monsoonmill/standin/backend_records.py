"""Record of every execution, which tests compare with what clients saw."""

import os
from json import dumps
from time import time

from attrs import asdict, define, field

from monsoonmill.errors import SettingsError
from monsoonmill.standin.backend_messages import RequestArrived

API_KEY_HEADER = "authorization"
"""Header that holds an API key; only its presence is recorded, not its value."""


@define
class Execution:
    """One request that was given a slot.

    Attributes
    ----------
    started_s, ended_s : float
        Seconds since the Unix epoch; ``ended_s`` is None while the request runs.
    """

    number: int
    id: str
    method: str
    path: str
    headers: dict[str, str]
    has_authorization: bool
    started_s: float = field(factory=time)
    ended_s: float | None = None
    finished: bool = False
    cancelled: bool = False


class ExecutionLog:
    """Append-only list of executions, optionally kept in a file.

    A line is written before the execution starts, so that the record also holds
    a request that crashes the process.
    """

    def __init__(self, record_file: str = ""):
        self.executions: list[Execution] = []
        self._fd = _open_record_file(record_file) if record_file else None

    def start(self, arrived: RequestArrived) -> Execution:
        """Record the start of a request's execution."""
        headers = {
            name: value
            for name, value in arrived.headers.items()
            if name != API_KEY_HEADER
        }
        execution = Execution(
            number=len(self.executions),
            id=arrived.id,
            method=arrived.method,
            path=arrived.path,
            headers=headers,
            has_authorization=API_KEY_HEADER in arrived.headers,
        )
        self.executions.append(execution)
        self._write("start", execution)
        return execution

    def end(self, number: int, cancelled: bool) -> None:
        """Record the end of a request's execution."""
        execution = self.executions[number]
        execution.ended_s = time()
        execution.cancelled = cancelled
        execution.finished = not cancelled
        self._write("end", execution)

    def as_list(self) -> list[dict]:
        """Return all executions as plain data."""
        return [asdict(execution) for execution in self.executions]

    def _write(self, event, execution):
        if self._fd is not None:
            line = dumps({"event": event, **asdict(execution)}) + "\n"
            os.write(self._fd, line.encode())


def _open_record_file(path):
    try:
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    except OSError as exc:
        raise SettingsError(path, "faults.record_file", exc.strerror) from exc
