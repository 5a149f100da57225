"""Program: clients of some machines, which use their connections until they end.

Reads its task as one JSON line from standard input, runs until standard input ends, and
writes one JSON line for each request to standard output.
"""

import sys
from json import dumps, loads
from queue import SimpleQueue
from random import Random
from socket import create_connection
from threading import Event, Thread
from time import monotonic

from attrs import asdict, define, frozen

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05
READ_BYTES = 1 << 16
ANSWER_MARGIN_S = 2.0
"""Time after a request's deadline for which a client still waits."""


@frozen
class Exchange:
    """A request and what its client saw of it.

    Attributes
    ----------
    machine : int
        Number of the machine to whose node it was sent.
    end : str
        How the wait ended: ``answer``, ``closed`` (end of stream), ``reset``,
        ``timeout`` or ``cut`` (the connection ended inside an answer).
    status : int
        Status of the answer; 0 without one.
    answer_id : str
        Id of the request that the answer names.
    sent_at, ended_at : float
        Monotonic time in seconds after the last byte was handed to the socket, and at
        the end of the wait.
    earlier : int
        Number of requests that the connection had carried before.
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
        body = self.data.partition(b"\r\n\r\n")[2]
        return len(body) >= int(headers.get("content-length", "0"))

    def status(self) -> int:
        """Return the status; 0 if it isn't known."""
        first_line = self.data.partition(b"\r\n")[0].split()
        is_known = len(first_line) > 1 and first_line[1].isdigit()
        return int(first_line[1]) if is_known else 0


class Client:
    """One client with one connection at a time.

    Parameters
    ----------
    task : dict
        The task of the program.
    machine : dict
        ``number``, ``ip`` and ``port`` of the machine's node.
    """

    def __init__(self, task: dict, machine: dict, number: int, results: SimpleQueue):
        self._task = task
        self._machine = machine
        self._name = f"{task['name']}-{machine['number']}-{number}"
        self._rng = Random(f"{task['seed']}/{self._name}")
        self._results = results
        self._sock = None
        self._earlier = 0
        self._sent = 0

    def run(self, stop: Event) -> None:
        """Send requests until the event is set."""
        mean_gap_s = self._task["mean_gap_s"]
        while not stop.wait(self._rng.expovariate(1 / mean_gap_s)):
            if self._sock is None and not self._connect():
                stop.wait(RECONNECT_DELAY_S)
                continue
            self._exchange()
        self._disconnect()

    def _connect(self):
        address = (self._machine["ip"], self._machine["port"])
        try:
            self._sock = create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            return False
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
        resp = ResponseBytes()
        sent_at = monotonic()
        self._sock.settimeout(deadline_s + ANSWER_MARGIN_S)
        try:
            self._sock.sendall(self._encode(route, request_id))
            sent_at = monotonic()
            end = self._receive(resp)
        except TimeoutError:
            end = "timeout"
        except OSError:
            end = "cut" if resp.data else "reset"
        headers = resp.head() or {}
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
                monotonic(),
                self._earlier,
                deadline_s,
            )
        )
        self._earlier += 1
        if end != "answer" or headers.get("connection", "").lower() == "close":
            self._disconnect()

    def _encode(self, route, request_id):
        body = b"b" * route["body_bytes"]
        lines = (
            f"{'POST' if body else 'GET'} {route['prefix']}{self._sent} HTTP/1.1",
            "Host: shop.example",
            f"Authorization: Bearer {self._task['key']}",
            f"X-Monsoonmill-Attempt-Id: {request_id}",
            f"X-Monsoonmill-Request-Deadline: {route['deadline_ms']}",
            f"Content-Length: {len(body)}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _receive(self, resp):
        while not resp.is_whole():
            data = self._sock.recv(READ_BYTES)
            if not data:
                return "cut" if resp.data else "closed"
            resp.data += data
        return "answer"


def write_results(results: SimpleQueue) -> None:
    """Write the results until None arrives."""
    for exchange in iter(results.get, None):
        sys.stdout.write(dumps(asdict(exchange)) + "\n")
    sys.stdout.flush()


def main() -> int:
    """Run the clients of the task until standard input ends."""
    task = loads(sys.stdin.readline())
    results, stop = SimpleQueue(), Event()
    clients = [
        Client(task, machine, number, results)
        for machine in task["machines"]
        for number in range(task["clients"])
    ]
    threads = [Thread(target=client.run, args=(stop,)) for client in clients]
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
