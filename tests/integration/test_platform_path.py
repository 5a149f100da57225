"""Nodes on the stand-ins of the users' platform, as real processes."""

from json import loads

import pytest
from urllib3 import PoolManager

from monsoonmill.admin_client import AdminClient
from monsoonmill.model import Address
from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with PlatformFleet(
        tmp_path_factory.mktemp("fleet"), ("profiles", "pledges") * 2
    ) as fleet:
        rules = (
            rule("/look/", "profiles"),
            rule("/pledge/", "pledges", kind="non_idempotent", priority=0),
            rule("/inner/", "pledges", public=True),
        )
        doc = configuration(
            3, rules, ("profiles", "pledges"), [tenant(), tenant("shop", "other")]
        )
        fleet.put_config(doc)
        fleet.start()
        wait_until(lambda: all(knows_all_servers(one, 4) for one in fleet.hosts))
        yield fleet


def knows_all_servers(host, count):
    """Return whether a node knows the backend servers of all nodes."""
    client = AdminClient.from_address(Address(host.ip, 9464), timeout_s=5.0)
    members = client.members().values()
    return sum(one["accepts_calls"] for one in members) == count


def test_request_runs_once_with_the_platforms_headers(fleet):
    resp = fleet.hosts[0].call("/pledge/7?x=1", "POST", body=b"12", request_id="one")
    assert resp.status == 200
    assert resp.headers["X-Monsoonmill-Attempt-Id"] == "one"
    assert resp.headers["X-Monsoonmill-Response-Signature"]
    (run,) = [one for one in fleet.runs("pledges") if one.request_id == "one"]
    assert run.body == b"12"
    assert run.headers["x-monsoonmill-tenant-id"] == "haven"
    assert run.headers["x-monsoonmill-caller-service"] == "profiles"
    assert run.headers["x-monsoonmill-expected-instance"].startswith("i-")
    assert 0 < int(run.headers["x-monsoonmill-request-deadline"]) <= 2000
    assert run.headers["host"] == "shop.example"
    assert "authorization" not in run.headers


def test_headers_that_the_system_sets_are_not_taken_from_callers(fleet):
    fleet.hosts[1].call(
        "/inner/1",
        key="",
        request_id="forged",
        X_Monsoonmill_Tenant_Id="shop",
        X_Monsoonmill_Caller_Service="profiles",
    )
    (run,) = [one for one in fleet.runs() if one.request_id == "forged"]
    assert "x-monsoonmill-tenant-id" not in run.headers
    assert run.headers["x-monsoonmill-caller-service"] == "pledges"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/look/1", "", 401), ("/look/1", "wrong", 401), ("/none/1", "secret", 404)],
)
def test_what_the_configuration_does_not_allow_is_refused(fleet, path, key, status):
    assert fleet.hosts[0].call(path, key=key).status == status


def test_not_executed_answer_is_placed_elsewhere(fleet):
    servers = [one for one in fleet.hosts if one.backend_app.service == "profiles"]
    servers[0].backend_app.behaviour.requests_to_shed = 1
    servers[1].backend_app.behaviour.requests_to_shed = 0
    statuses = [fleet.hosts[0].call().status for _ in range(4)]
    servers[0].backend_app.behaviour.requests_to_shed = 0
    assert statuses == [200] * 4


def test_unsigned_success_is_no_answer(fleet):
    for host in fleet.hosts:
        host.backend_app.behaviour.signed = False
    try:
        resp = fleet.hosts[0].call("/pledge/8", "POST", body=b"1", request_id="bad")
    finally:
        for host in fleet.hosts:
            host.backend_app.behaviour.signed = True
    assert resp.status == 502
    assert len([one for one in fleet.runs() if one.request_id == "bad"]) == 1


def test_route_timeout_ends_a_request(fleet):
    for host in fleet.hosts:
        host.backend_app.behaviour.work_s = 4.0
    try:
        resp = fleet.hosts[0].call(request_id="slow", deadline="4500")
    finally:
        for host in fleet.hosts:
            host.backend_app.behaviour.work_s = 0.0
    assert resp.status == 504


def test_operators_read_members_configuration_and_metrics(fleet):
    host = fleet.hosts[0]
    client = AdminClient.from_address(Address(host.ip, 9464), timeout_s=5.0)
    assert len(client.members()) == len(fleet.hosts)
    assert client.config().revision == 3
    with PoolManager(retries=False) as http:
        text = http.request("GET", f"http://{host.ip}:9464/metrics").data.decode()
    assert 'monsoon_events_total{name="answered"}' in text
    assert 'monsoon_call_seconds{quantile="0.99"}' in text


def test_refused_request_is_found_in_the_log_by_its_id(fleet):
    fleet.hosts[0].call("/look/1", key="wrong", request_id="lost-key")
    wait_until(lambda: '"lost-key"' in fleet.log(fleet.hosts[0]))
    (line,) = [
        loads(one)
        for one in fleet.log(fleet.hosts[0]).splitlines()
        if '"lost-key"' in one
    ]
    assert (line["reason"], line["outcome"]) == ("unknown-key", "not-run")
    assert line["config"] == 3
