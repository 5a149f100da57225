"""Uploads through node processes: many at once, cut, refused and with Expect."""

from socket import create_connection
from threading import Thread

import pytest

from tests.platform_fleet import (
    PlatformFleet,
    configuration,
    peak_memory_mb,
    rule,
    tenant,
    wait_until,
)

pytestmark = pytest.mark.integration

BODY_BYTES = 360_000
"""Largest body of the users' uploads."""
UPLOADS = 100
MAX_MEMORY_MB = 120


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    services = ("uploads", "uploads")
    with PlatformFleet(tmp_path_factory.mktemp("fleet"), services) as fleet:
        rules = (rule("/up/", "uploads", kind="upload", timeout="8000ms"),)
        fleet.put_config(configuration(3, rules, ("uploads",), [tenant()]))
        fleet.start()
        wait_until(lambda: upload(fleet.hosts[0], "first", b"x").status == 200)
        yield fleet


def upload(host, request_id, body, **options):
    return host.call(
        "/up/1", "POST", body=body, request_id=request_id, deadline="8000", **options
    )


def raw_upload(request_id, headers=b""):
    return (
        b"POST /up/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer secret\r\n"
        b"X-Monsoonmill-Attempt-Id: %s\r\nX-Monsoonmill-Request-Deadline: 4000\r\n"
        b"Content-Length: 5000\r\n%s\r\n" % (request_id, headers)
    )


def test_upload_that_its_client_cuts_never_runs(fleet):
    host = fleet.hosts[0]
    with create_connection((host.ip, host.ports["callers"])) as sock:
        sock.sendall(raw_upload(b"cut") + b"u" * 4999)
    assert upload(host, "after", b"x").status == 200
    assert "cut" not in {run.request_id for run in fleet.runs()}


def test_upload_that_expects_continue_is_answered(fleet):
    host = fleet.hosts[0]
    with create_connection((host.ip, host.ports["callers"]), timeout=5.0) as sock:
        sock.sendall(raw_upload(b"expects", b"Expect: 100-continue\r\n"))
        assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
        sock.sendall(b"u" * 5000)
        assert sock.recv(100).startswith(b"HTTP/1.1 200 ")


def test_upload_whose_answer_is_lost_is_not_repeated(fleet):
    for host in fleet.hosts:
        host.backend_app.behaviour.signed = False
    try:
        status = upload(fleet.hosts[0], "once", b"x" * 1000).status
    finally:
        for host in fleet.hosts:
            host.backend_app.behaviour.signed = True
    assert status == 502
    assert len([run for run in fleet.runs() if run.request_id == "once"]) == 1


def test_many_large_uploads_run_once_within_the_memory(fleet):
    # The last test of the module, since calls are shed for a moment after it.
    host = fleet.hosts[0]
    for other in fleet.hosts:
        other.backend_app.behaviour.work_s = 0.3
    bodies = {f"up-{number}": bytes([number]) * BODY_BYTES for number in range(UPLOADS)}
    statuses = {}

    def send(name, body):
        statuses[name] = upload(host, name, body).status

    threads = [Thread(target=send, args=entry) for entry in bodies.items()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    for other in fleet.hosts:
        other.backend_app.behaviour.work_s = 0.0
    runs = [run for run in fleet.runs() if run.request_id in bodies]
    assert all(run.body == bodies[run.request_id] for run in runs)
    names = [run.request_id for run in runs]
    assert len(names) == len(set(names))
    answered = {name for name, status in statuses.items() if status == 200}
    refused = {name for name, status in statuses.items() if status in (429, 503)}
    assert answered <= set(names)
    assert not refused & set(names)
    assert len(answered) >= UPLOADS // 4
    assert max(peak_memory_mb(other) for other in fleet.hosts) < MAX_MEMORY_MB
