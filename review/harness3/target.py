"""Stand-in for an application target, written from PROTOCOL.md."""

from json import dumps
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)
from threading import Lock, Semaphore, Thread
from time import monotonic, sleep, time


class Target:
    """A sound target: it runs ``slots`` requests at a time and signs its answers.

    Attributes
    ----------
    runs : list of dict
        What it began to run, with the time, the size of the body and the caller.
    work_s : float
        Time that it works on each request.
    answer_bytes : int
        Size of its answers; 0 for the name of its service.
    """

    def __init__(self, ip, port, instance, service, slots, zone="z1"):
        self.ip, self.port, self.instance = ip, port, instance
        self.service, self.slots, self.zone = service, slots, zone
        self.born = int(time() * 1000)
        self.sequence = 0
        self.work_s = 0.0
        self.answer_bytes = 0
        self.runs = []
        self._lock = Lock()
        self._slots = Semaphore(slots)
        self._listener = socket(AF_INET, SOCK_STREAM)
        self._listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._listener.bind((ip, port))
        self._listener.listen(512)
        Thread(target=self._accept, daemon=True).start()

    def heartbeat(self, state="ready"):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": state, "sequence": self.sequence, "cold_left": "0ms"}
        doc = {
            "address": f"{self.ip}:{self.port}",
            "born": self.born,
            "info": info,
            "status": status,
        }
        return dumps(doc).encode()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            with sock, sock.makefile("rb") as stream:
                while self._serve_request(sock, stream):
                    pass
        except (OSError, ValueError):
            pass

    def _serve_request(self, sock, stream):
        line = stream.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := stream.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        left = size
        while left:
            data = stream.read(min(left, 1 << 16))
            if not data:
                return False
            left -= len(data)
        request = headers.get("x-monsoonmill-attempt-id", "")
        expected = headers.get("x-monsoonmill-expected-instance", self.instance)
        if expected != self.instance:
            head = f"X-Monsoonmill-Instance-Id: {self.instance}"
            self._send(sock, "421 Misdirected Request", request, head, b"")
            return True
        with self._slots:
            run = {
                "at": monotonic(),
                "id": request,
                "method": method,
                "path": path,
                "bytes": size,
                "caller": headers.get("x-monsoonmill-caller-service", ""),
                "service": self.service,
                "instance": self.instance,
            }
            with self._lock:
                self.runs.append(run)
            if self.work_s:
                sleep(self.work_s)
            signature = f"X-Monsoonmill-Response-Signature: {self.instance}.{request}"
            body = bytes(self.answer_bytes) or self.service.encode()
            self._send(sock, "200 OK", request, signature, body)
            run["answered_at"] = monotonic()
        return True

    def _send(self, sock, status, request, header, body):
        head = (
            f"HTTP/1.1 {status}\r\nX-Monsoonmill-Attempt-Id: {request}\r\n"
            f"{header}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
