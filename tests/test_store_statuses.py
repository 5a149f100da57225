"""Responses of the platform's store with statuses that are not final or not valid."""

from socket import create_server
from threading import Thread

import pytest
from attrs import evolve

from monsoonmill.errors import PlatformRateLimitError, PlatformUnavailableError
from monsoonmill.model import Address
from monsoonmill.platform.store_client import KvClient
from monsoonmill.settings import Settings
from monsoonmill.store.http_client import HttpPlatformClient

LIMITED = b"HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n"


def serve(listener, first):
    """Answer the first request with given bytes and each other one with 429."""
    resps = [first]
    while True:
        sock, _ = listener.accept()
        while sock.recv(65536):
            sock.sendall(resps.pop() if resps else LIMITED)


# The connection was used again behind an interim response, whose final one was then
# taken for the answer to the next request.
@pytest.mark.parametrize("client_class", [KvClient, HttpPlatformClient])
@pytest.mark.parametrize("status", [b"000", b"099", b"103", b"600", b"999"])
def test_odd_status_is_no_answer_to_this_or_the_next_request(client_class, status):
    head = b"HTTP/1.1 %s Odd\r\n\r\n" % status
    final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    listener = create_server(("127.0.0.1", 0))
    Thread(target=serve, args=(listener, head + final), daemon=True).start()
    address = Address("127.0.0.1", listener.getsockname()[1])
    cfg = Settings.from_dict({}).platform
    cfg = evolve(cfg, endpoints=(address,), timeout_ms=500)
    client = client_class.from_settings(cfg)
    with pytest.raises(PlatformUnavailableError):
        client.read("x")
    with pytest.raises(PlatformRateLimitError):
        client.read("x")
    client.close()
