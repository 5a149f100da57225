"""Clients that send one request after the other on kept connections."""

from threading import Thread
from time import monotonic, sleep

from fleet import answer_of, request

STAGGER_S = 0.06


class KeptClients:
    """Clients on one machine, each with a kept connection.

    Attributes
    ----------
    cut : list of dict
        Requests on a connection that had served one before, and that was closed without
        an answer.
    answers : list of tuple
        Time of the request, its id, the status and the body of each answer.
    """

    def __init__(self, record, machine, path, count, prefix, method="GET", size=0):
        self.record, self.machine, self.path = record, machine, path
        self.prefix, self.method, self.size = prefix, method, size
        self.cut, self.answers = [], []
        self.is_running = True
        self._threads = [
            Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """End the clients after their last answers."""
        self.is_running = False
        for thread in self._threads:
            thread.join(15)

    def _run(self, number):
        requests = 0
        # They don't send all at the same moment.
        sleep(number * STAGGER_S)
        while self.is_running:
            try:
                sock = self.machine.connect(timeout_s=8.0)
            except OSError:
                sleep(0.1)
                continue
            served = 0
            with sock:
                while self.is_running:
                    requests += 1
                    name = f"{self.prefix}-{number}-{requests}"
                    at = monotonic()
                    # The first request on a connection is small.
                    size = self.size if served else 0
                    try:
                        sock.sendall(request(name, self.path, self.method, size))
                    except OSError:
                        # Nothing says that the node has got it.
                        self.record.add("not sent", at=at, id=name)
                        break
                    status, body, stays_open = answer_of(sock)
                    text = body.decode("latin-1")
                    self.record.add("answer", at=at, id=name, status=status, body=text)
                    if status:
                        self.answers.append((at, name, status, body))
                        served += 1
                        if stays_open:
                            continue
                        break
                    if served:
                        self.cut.append({"at": at, "id": name, "reason": text})
                    break
