"""Program: clients that use the system in unusual ways.

Reads its task and writes its results as ``tests.deployment.clients`` does.
"""

import sys
from json import loads
from queue import SimpleQueue
from threading import Event, Thread

from tests.deployment.clients import Client, write_results

MAX_PATIENCE_S = 0.3
MOST_REPEATS = 4
SUCCESS = 200


class LeavingClient(Client):
    """Closes its connection some time before the answer."""

    def _receive(self, resp):
        self._sock.settimeout(self._rng.uniform(0.01, MAX_PATIENCE_S))
        try:
            return super()._receive(resp)
        except TimeoutError:
            return "left"


class _LastResult:
    """Passes results on and keeps the last one."""

    def __init__(self, results):
        self._results = results
        self.last = None

    def put(self, exchange):
        self.last = exchange
        self._results.put(exchange)


class RepeatingClient(Client):
    """Repeats a request without success at once, and often."""

    def __init__(self, task, machine, number, results):
        super().__init__(task, machine, number, _LastResult(results))

    def _exchange(self):
        for _ in range(1 + MOST_REPEATS):
            if self._sock is None and not self._connect():
                return
            super()._exchange()
            if self._results.last.status == SUCCESS:
                return


CLIENTS = {
    "burst": Client,
    "hot": Client,
    "withdrawn": Client,
    "leaving": LeavingClient,
    "repeating": RepeatingClient,
}


def main() -> int:
    """Run the clients of the task until standard input ends."""
    task = loads(sys.stdin.readline())
    results, stop = SimpleQueue(), Event()
    clients = [
        CLIENTS[task["kind"]](task, machine, number, results)
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
