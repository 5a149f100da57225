"""A backend server that sends bytes without end, beside a real node."""

from concurrent.futures import ThreadPoolExecutor
from socket import create_server
from threading import Event, Thread

import pytest

from tests.platform_fleet import (
    MEMORY_MB,
    PlatformFleet,
    configuration,
    peak_memory_mb,
    rule,
    tenant,
    wait_until,
)

pytestmark = pytest.mark.integration

CALLS = 120
CALL_INTERVAL_S = 0.1
ENDLESS_EVERY = 4
CHUNK = b"z" * 65536
STARTS = {
    "body": b"HTTP/1.1 200 OK\r\nX-Monsoonmill-Attempt-Id: %s\r\n"
    b"X-Monsoonmill-Response-Signature: s\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nX-Monsoonmill-Attempt-Id: %s\r\n"
    b"X-Monsoonmill-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "head": b"HTTP/1.1 200 OK\r\nX-Long: ",
    "junk": b"HTTP/1.1 200 OK\r\n\r\n",
}
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Monsoonmill-Attempt-Id: %s\r\n"
    b"X-Monsoonmill-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
)


class EndlessBackend:
    """Answers requests whose path names a start with bytes until the node closes."""

    def __init__(self, address):
        self.endless = 0
        self._listener = create_server(address)
        Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            while request := sock.recv(65536):
                self._answer(sock, request)
        except OSError:
            # The node has closed the connection.
            sock.close()

    def _answer(self, sock, request):
        kind = request.split(b"/")[2].split()[0].decode()
        fields = dict(
            line.split(b": ", 1) for line in request.split(b"\r\n") if b": " in line
        )
        request_id = fields[b"X-Monsoonmill-Attempt-Id"]
        start = STARTS.get(kind)
        if start is None:
            sock.sendall(ANSWER % request_id)
            return
        self.endless += 1
        sock.sendall(start % request_id if b"%s" in start else start)
        chunk = b"10000\r\n%s\r\n" % CHUNK if kind == "chunks" else CHUNK
        while True:
            sock.sendall(chunk)


# The bodies stayed in memory after their connections were closed, until the node was
# over its limit and ended with the requests of all its clients.
def test_node_keeps_within_its_memory_beside_endless_answers(tmp_path):
    with PlatformFleet(tmp_path, ("profiles", "pledges")) as fleet:
        rules = (rule("/view/", "pledges"),)
        fleet.put_config(configuration(3, rules, ("profiles", "pledges"), [tenant()]))
        caller, host = fleet.hosts
        for server, app in fleet._servers:
            if app is host.backend_app:
                server.close()
        backend = EndlessBackend((host.ip, host.ports["target"]))
        fleet.start()
        wait_until(lambda: caller.call("/view/plain").status == 200)
        kinds = list(STARTS)

        def send(number):
            is_endless = number % ENDLESS_EVERY == 0
            kind = kinds[number // ENDLESS_EVERY % len(kinds)]
            path = f"/view/{kind if is_endless else 'plain'}"
            status = caller.call(path, request_id=f"r{number}", deadline="2000").status
            return is_endless, status

        pace = Event()
        with ThreadPoolExecutor(CALLS) as threads:
            results = []
            for number in range(CALLS):
                results.append(threads.submit(send, number))
                pace.wait(CALL_INTERVAL_S)
            statuses = [result.result() for result in results]
        assert backend.endless >= CALLS // ENDLESS_EVERY
        assert host.process.poll() is None
        assert peak_memory_mb(host) < MEMORY_MB
        assert peak_memory_mb(caller) < MEMORY_MB
        assert {status for is_endless, status in statuses if not is_endless} == {200}
        assert 200 not in {status for is_endless, status in statuses if is_endless}
