"""Program: clients of some machines, which use their connections until they end.

Reads its task as one JSON line from standard input, runs until standard input ends, and
writes one JSON line for each request to standard output.
"""

import sys
from abc import ABC, abstractmethod
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from json import JSONDecodeError, dumps, loads
from queue import SimpleQueue
from random import Random
from socket import SO_RCVBUF, SOL_SOCKET, create_connection, socket
from threading import Event, Thread

from attrs import asdict, define, frozen

from monsoonmill.clock import SystemClock

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05
READ_BYTES = 1 << 16
ANSWER_MARGIN_S = 2.0
"""Time after a request's deadline for which a client still waits."""
READY_INTERVAL_S = 1.0
MISSES_TO_LEAVE = 2
SUCCESS = 200
CLOCK = SystemClock()


@frozen
class Exchange:
    """A request and what its client saw of it.

    Attributes
    ----------
    machine : int
        Number of the machine to whose node it was sent.
    end : str
        How the wait ended: ``answer``, ``closed`` (end of stream), ``reset``,
        ``timeout``, ``cut`` (the connection ended inside an answer) or ``left`` (the
        client closed the connection).
    status : int
        Status of the answer; 0 without one.
    answer_id : str
        Id of the request that the answer names.
    sent_at, ended_at : float
        Monotonic time in seconds after the last byte was handed to the socket, and at
        the end of the wait.
    earlier : int
        Number of requests that the connection had carried before.
    is_whole : bool
        Whether the body of a success is the backend server's for this request.
    surplus_bytes : int
        Number of bytes after the answer.
    """

    request_id: str
    machine: int
    prefix: str
    end: str
    status: int
    answer_id: str
    is_signed: bool
    sent_at: float
    ended_at: float
    earlier: int
    deadline_s: float
    is_whole: bool = True
    surplus_bytes: int = 0


@define
class ResponseBytes:
    """The bytes of one response, with the parts that a client looks at."""

    data: bytes = b""

    def head(self) -> dict[str, str] | None:
        """Return the header fields by lower-case name; None until they are whole."""
        head, separator, _ = self.data.partition(b"\r\n\r\n")
        if not separator:
            return None
        _, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        return {name.strip().lower(): value.strip() for name, _, value in pairs}

    def is_whole(self) -> bool:
        """Return whether the response is complete by its length."""
        headers = self.head()
        if headers is None:
            return False
        return len(self.body()) >= int(headers.get("content-length", "0"))

    def body(self) -> bytes:
        """Return the bytes after the headers."""
        return self.data.partition(b"\r\n\r\n")[2]

    def surplus_bytes(self) -> int:
        """Return the number of bytes after the response; 0 if it isn't whole."""
        if not self.is_whole():
            return 0
        return len(self.body()) - int(self.head().get("content-length", "0"))

    def is_for(self, request_id: str) -> bool:
        """Return whether the body is the backend server's whole body for a request."""
        try:
            return loads(self.body()).get("id") == request_id
        except (JSONDecodeError, UnicodeDecodeError):
            return False

    def status(self) -> int:
        """Return the status; 0 if it isn't known."""
        first_line = self.data.partition(b"\r\n")[0].split()
        is_known = len(first_line) > 1 and first_line[1].isdigit()
        return int(first_line[1]) if is_known else 0


class Habit(ABC):
    """How a client uses its connection.

    Attributes
    ----------
    leaves_unready : bool
        Whether it sends to another machine while its own isn't ready.
    receive_bytes : int or None
        Size of the socket's receive buffer; None for the usual one.
    """

    leaves_unready = False
    receive_bytes: int | None = None

    @abstractmethod
    def gap_s(self, rng: Random, mean_s: float) -> float:
        """Return the time until the next request."""

    @abstractmethod
    def patience_s(self, rng: Random, deadline_s: float) -> float:
        """Return the time for which it waits for an answer."""

    @abstractmethod
    def read(self, sock: socket) -> bytes:
        """Return the next bytes of an answer."""


class Stay(Habit):
    """Uses its connection until it ends."""

    def gap_s(self, rng, mean_s):
        """Return a random time with the mean."""
        return rng.expovariate(1 / mean_s)

    def patience_s(self, rng, deadline_s):
        """Return a time longer than the deadline."""
        return deadline_s + ANSWER_MARGIN_S

    def read(self, sock):
        """Return what has arrived."""
        return sock.recv(READ_BYTES)


class LeaveUnready(Stay):
    """Goes elsewhere while its machine isn't ready."""

    leaves_unready = True


class Idle(Stay):
    """Keeps its connection without a request for long."""

    def gap_s(self, rng, mean_s):
        """Return a long time."""
        return rng.uniform(2.0, 8.0)


class Impatient(Stay):
    """Leaves some requests before their deadline."""

    def patience_s(self, rng, deadline_s):
        """Return the usual time or a short one."""
        if rng.random() < 0.4:
            return rng.uniform(0.01, 0.5)
        return super().patience_s(rng, deadline_s)


class SlowReader(Stay):
    """Reads answers slowly."""

    receive_bytes = 4096

    def read(self, sock):
        """Return a few bytes after a while."""
        Event().wait(0.02)
        return sock.recv(self.receive_bytes)


HABITS: dict[str, Callable[[], Habit]] = {
    "stay": Stay,
    "leave_unready": LeaveUnready,
    "idle": Idle,
    "impatient": Impatient,
    "slow_reader": SlowReader,
}


class ReadyWatch:
    """Asks a machine's node whether it is ready, as the platform does."""

    def __init__(self, machine: dict):
        self._machine = machine
        self._misses = 0

    @property
    def is_in(self) -> bool:
        """Whether clients are sent to the machine."""
        return self._misses < MISSES_TO_LEAVE

    def run(self, stop: Event) -> None:
        """Ask once a second until the event is set."""
        while not stop.wait(READY_INTERVAL_S):
            self._misses = 0 if self._ask() else self._misses + 1

    def _ask(self):
        address = (self._machine["ip"], self._machine["ready_port"])
        conn = HTTPConnection(*address, timeout=READY_INTERVAL_S)
        try:
            conn.request("GET", "/monsoonmill/ready")
            return conn.getresponse().status == SUCCESS
        except (OSError, HTTPException):
            return False
        finally:
            conn.close()


class Client:
    """One client with one connection at a time.

    Parameters
    ----------
    task : dict
        The task of the program.
    machine : dict
        ``number``, ``ip`` and ``port`` of the machine's node.
    watches : dict of ReadyWatch
        Watches of the machines by their numbers; empty without ``ready_port``.
    """

    def __init__(
        self, task: dict, machine: dict, number: int, results: SimpleQueue, watches=None
    ):
        self._task = task
        self._home = machine
        self._machine = machine
        self._watches = watches or {}
        self._name = f"{task['name']}-{machine['number']}-{number}"
        self._rng = Random(f"{task['seed']}/{self._name}")
        habits = task.get("habits", ["stay"])
        self._habit = HABITS[habits[number % len(habits)]]()
        self._results = results
        self._sock = None
        self._earlier = 0
        self._sent = 0

    def run(self, stop: Event) -> None:
        """Send requests until the event is set."""
        mean_gap_s = self._task["mean_gap_s"]
        while not stop.wait(self._habit.gap_s(self._rng, mean_gap_s)):
            self._choose_machine()
            if self._sock is None and not self._connect():
                stop.wait(RECONNECT_DELAY_S)
                continue
            self._exchange()
        self._disconnect()

    def _choose_machine(self):
        if not self._habit.leaves_unready or not self._watches:
            return
        machine = self._home
        if not self._watches[machine["number"]].is_in:
            others = [m for m in self._task["machines"] if self._is_in(m)]
            machine = self._rng.choice(others) if others else machine
        if machine != self._machine:
            self._disconnect()
            self._machine = machine

    def _is_in(self, machine):
        return self._watches[machine["number"]].is_in

    def _connect(self):
        address = (self._machine["ip"], self._machine["port"])
        try:
            self._sock = create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            return False
        if self._habit.receive_bytes:
            self._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, self._habit.receive_bytes)
        self._earlier = 0
        return True

    def _disconnect(self):
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _exchange(self):
        weights = [route["weight"] for route in self._task["routes"]]
        route = self._rng.choices(self._task["routes"], weights)[0]
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        deadline_s = route["deadline_ms"] / 1000
        patience_s = self._habit.patience_s(self._rng, deadline_s)
        resp = ResponseBytes()
        sent_at = CLOCK.now()
        self._sock.settimeout(deadline_s + ANSWER_MARGIN_S)
        try:
            self._sock.sendall(self._encode(route, request_id))
            sent_at = CLOCK.now()
            end = self._receive(resp, sent_at + patience_s)
        except TimeoutError:
            end = "timeout" if patience_s > deadline_s else "left"
        except OSError:
            end = "cut" if resp.data else "reset"
        headers = resp.head() or {}
        is_success = end == "answer" and resp.status() == SUCCESS
        self._results.put(
            Exchange(
                request_id,
                self._machine["number"],
                route["prefix"],
                end,
                resp.status(),
                headers.get("x-monsoonmill-attempt-id", ""),
                "x-monsoonmill-response-signature" in headers,
                sent_at,
                CLOCK.now(),
                self._earlier,
                deadline_s,
                not is_success or resp.is_for(request_id),
                resp.surplus_bytes(),
            )
        )
        self._earlier += 1
        if end != "answer" or headers.get("connection", "").lower() == "close":
            self._disconnect()

    def _encode(self, route, request_id):
        body = request_body(request_id, route["body_bytes"])
        lines = (
            f"{'POST' if body else 'GET'} {route['prefix']}{self._sent} HTTP/1.1",
            "Host: shop.example",
            f"Authorization: Bearer {self._task['key']}",
            f"X-Monsoonmill-Attempt-Id: {request_id}",
            f"X-Monsoonmill-Request-Deadline: {route['deadline_ms']}",
            f"Content-Length: {len(body)}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _receive(self, resp, until):
        while not resp.is_whole():
            if (left_s := until - CLOCK.now()) <= 0:
                raise TimeoutError
            self._sock.settimeout(left_s)
            data = self._habit.read(self._sock)
            if not data:
                return "cut" if resp.data else "closed"
            resp.data += data
        return "answer"


def request_body(request_id: str, size: int) -> bytes:
    """Return the body of a request, which differs from those of all others."""
    return request_id.encode().ljust(size, b"b")[:size]


def write_results(results: SimpleQueue) -> None:
    """Write the results until None arrives."""
    for exchange in iter(results.get, None):
        sys.stdout.write(dumps(asdict(exchange)) + "\n")
    sys.stdout.flush()


def main() -> int:
    """Run the clients of the task until standard input ends."""
    task = loads(sys.stdin.readline())
    results, stop = SimpleQueue(), Event()
    watches = {
        machine["number"]: ReadyWatch(machine)
        for machine in task["machines"]
        if "ready_port" in machine
    }
    clients = [
        Client(task, machine, number, results, watches)
        for machine in task["machines"]
        for number in range(task["clients"])
    ]
    runners = (*clients, *watches.values())
    threads = [Thread(target=runner.run, args=(stop,)) for runner in runners]
    writer = Thread(target=write_results, args=(results,))
    for thread in (writer, *threads):
        thread.start()
    sys.stdin.read()
    stop.set()
    for thread in threads:
        thread.join()
    results.put(None)
    writer.join()
    return 0


if __name__ == "__main__":
    sys.exit(main())
