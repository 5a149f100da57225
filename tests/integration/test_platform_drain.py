"""A planned stop of a node under load, with the stand-ins of the users' platform."""

from concurrent.futures import ThreadPoolExecutor
from socket import SO_RCVBUF, SOL_SOCKET, socket
from threading import Event
from time import monotonic

import pytest
from urllib3.exceptions import HTTPError

from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration

CALL_INTERVAL_S = 0.05
WORK_S = 0.4
EXIT_TIMEOUT_S = 7.0


def post_form(host, number):
    """Send a request on a public route; return its id and status, None without one."""
    request_id = f"form-{number}"
    try:
        resp = host.call(
            f"/form/{number}", "POST", key="", request_id=request_id, deadline="5000"
        )
    except HTTPError:
        return request_id, None
    return request_id, resp.status


# A stopping node passed on requests on public routes until the process ended, and
# closed their connections without an answer.
def test_stopping_node_answers_each_public_request_that_runs(tmp_path):
    with PlatformFleet(tmp_path, ("profiles", "pledges", "pledges")) as fleet:
        rules = (rule("/form/", "pledges", kind="non_idempotent", public=True),)
        fleet.put_config(configuration(3, rules, ("profiles", "pledges"), [tenant()]))
        fleet.start()
        host = fleet.hosts[0]
        wait_until(lambda: post_form(host, "first")[1] == 200)
        for other in fleet.hosts:
            other.backend_app.behaviour.work_s = WORK_S
        fleet.stop(host)
        pace = Event()
        with ThreadPoolExecutor(64) as threads:
            results = []
            for number in range(round(EXIT_TIMEOUT_S / CALL_INTERVAL_S)):
                if host.process.poll() is not None:
                    break
                results.append(threads.submit(post_form, host, number))
                pace.wait(CALL_INTERVAL_S)
            answers = dict(result.result() for result in results)
        assert host.process.poll() == 0
        ran = {run.request_id for run in fleet.runs("pledges")} - {"form-first"}
        assert len(ran) > 20
        assert {answers[request_id] for request_id in ran} == {200}
        assert {answers[request_id] for request_id in answers.keys() - ran} <= {
            503,
            None,
        }


BODY_BYTES = 32 << 20
"""More than the buffers of the sockets hold when the node could end."""
READING_S = 3.5
RECEIVE_BUFFER_BYTES = 1 << 16


def read_evenly(sock, size, duration_s):
    """Read until the end of the stream, evenly; return the number of bytes."""
    started_at = monotonic()
    pace = Event()
    received = 0
    while data := sock.recv(RECEIVE_BUFFER_BYTES):
        received += len(data)
        pace.wait(max(started_at + duration_s * received / size - monotonic(), 0.0))
    return received


# A stopping node dropped the part of an answer that its client had not read yet.
def test_stopping_node_writes_out_an_answer_that_its_client_reads_slowly(tmp_path):
    with PlatformFleet(tmp_path, ("profiles", "carepacks")) as fleet:
        rules = (rule("/packs/", "carepacks", kind="download", timeout="5000ms"),)
        fleet.put_config(configuration(3, rules, ("profiles", "carepacks"), [tenant()]))
        fleet.start()
        host, server = fleet.hosts
        wait_until(lambda: host.call("/packs/1").status == 200)
        server.backend_app.behaviour.body_bytes = BODY_BYTES
        with socket() as sock:
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.settimeout(5.0)
            sock.connect((host.ip, host.ports["callers"]))
            sock.sendall(
                b"GET /packs/2 HTTP/1.1\r\nHost: shop.example\r\n"
                b"Authorization: Bearer secret\r\nX-Monsoonmill-Attempt-Id: slow\r\n"
                b"X-Monsoonmill-Request-Deadline: 5000\r\n\r\n"
            )
            wait_until(lambda: len(server.backend_app.runs) == 2)
            fleet.stop(host)
            received = read_evenly(sock, BODY_BYTES, READING_S)
        assert received > BODY_BYTES
        wait_until(lambda: host.process.poll() == 0)
