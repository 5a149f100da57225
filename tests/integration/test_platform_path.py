"""Calls through node processes that use the stand-ins of the users' platform."""

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
        wait_until(lambda: all(has_accepting_servers(host, 4) for host in fleet.hosts))
        yield fleet


def has_accepting_servers(host, count):
    """Return whether a node's membership has a number of accepting servers."""
    client = AdminClient.from_address(Address(host.ip, 9464), timeout_s=5.0)
    members = client.members().values()
    return sum(member["accepts_calls"] for member in members) == count


def test_request_runs_once_with_the_platforms_headers(fleet):
    resp = fleet.hosts[0].call("/pledge/7?x=1", "POST", body=b"12", request_id="one")
    assert resp.status == 200
    assert resp.headers["X-Monsoonmill-Attempt-Id"] == "one"
    assert resp.headers["X-Monsoonmill-Response-Signature"]
    (run,) = [run for run in fleet.runs("pledges") if run.request_id == "one"]
    assert run.body == b"12"
    assert run.headers["x-monsoonmill-tenant-id"] == "haven"
    assert run.headers["x-monsoonmill-caller-service"] == "profiles"
    assert run.headers["x-monsoonmill-expected-instance"].startswith("i-")
    assert 0 < int(run.headers["x-monsoonmill-request-deadline"]) <= 2000
    assert run.headers["host"] == "shop.example"
    assert "authorization" not in run.headers


def test_callers_cannot_set_system_headers(fleet):
    fleet.hosts[1].call(
        "/inner/1",
        key="",
        request_id="forged",
        X_Monsoonmill_Tenant_Id="shop",
        X_Monsoonmill_Caller_Service="profiles",
    )
    (run,) = [run for run in fleet.runs() if run.request_id == "forged"]
    assert "x-monsoonmill-tenant-id" not in run.headers
    assert run.headers["x-monsoonmill-caller-service"] == "pledges"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/look/1", "", 401), ("/look/1", "wrong", 401), ("/none/1", "secret", 404)],
)
def test_request_without_valid_key_or_route_is_refused(fleet, path, key, status):
    assert fleet.hosts[0].call(path, key=key).status == status


def test_shed_request_is_retried_at_another_server(fleet):
    servers = [host for host in fleet.hosts if host.backend_app.service == "profiles"]
    servers[0].backend_app.behaviour.requests_to_shed = 1
    servers[1].backend_app.behaviour.requests_to_shed = 0
    statuses = [fleet.hosts[0].call().status for _ in range(4)]
    servers[0].backend_app.behaviour.requests_to_shed = 0
    assert statuses == [200] * 4


def test_unsigned_success_is_a_bad_gateway_error(fleet):
    for host in fleet.hosts:
        host.backend_app.behaviour.signed = False
    try:
        resp = fleet.hosts[0].call("/pledge/8", "POST", body=b"1", request_id="bad")
    finally:
        for host in fleet.hosts:
            host.backend_app.behaviour.signed = True
    assert resp.status == 502
    assert len([run for run in fleet.runs() if run.request_id == "bad"]) == 1


def test_request_ends_at_the_route_timeout(fleet):
    for host in fleet.hosts:
        host.backend_app.behaviour.work_s = 4.0
    try:
        resp = fleet.hosts[0].call(request_id="slow", deadline="4500")
    finally:
        for host in fleet.hosts:
            host.backend_app.behaviour.work_s = 0.0
    assert resp.status == 504


def test_admin_api_serves_members_configuration_and_metrics(fleet):
    host = fleet.hosts[0]
    client = AdminClient.from_address(Address(host.ip, 9464), timeout_s=5.0)
    assert len(client.members()) == len(fleet.hosts)
    assert client.config().revision == 3
    with PoolManager(retries=False) as http:
        text = http.request("GET", f"http://{host.ip}:9464/metrics").data.decode()
    assert 'monsoon_events_total{name="answered"}' in text
    assert 'monsoon_call_seconds{quantile="0.99"}' in text


def test_refusal_is_logged_with_its_request_id(fleet):
    fleet.hosts[0].call("/look/1", key="wrong", request_id="lost-key")
    wait_until(lambda: '"lost-key"' in fleet.log(fleet.hosts[0]))
    (line,) = [
        loads(line)
        for line in fleet.log(fleet.hosts[0]).splitlines()
        if '"lost-key"' in line
    ]
    assert (line["reason"], line["outcome"]) == ("unknown-key", "not-run")
    assert line["config"] == 3
