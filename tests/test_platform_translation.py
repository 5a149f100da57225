"""The adapters of the platform: configuration, heartbeats, HTTP headers, node file."""

from json import dumps, loads

import pytest

from monsoonmill.clock import ManualClock
from monsoonmill.decisions.calls.signals import Answer, CallArrived, RunCall
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendDeregistered
from monsoonmill.errors import MalformedMessageError, SettingsError
from monsoonmill.http1.client import ResponseKind
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.node.task import JOIN_MARGIN_S
from monsoonmill.platform.backend import PlatformBackendProtocol
from monsoonmill.platform.callers import CallerApp
from monsoonmill.platform.config_codec import StoredConfigCodec
from monsoonmill.platform.durations import parse_ms
from monsoonmill.platform.heartbeats import HeartbeatApp, parse_heartbeat
from monsoonmill.platform.settings import NodeFile
from monsoonmill.reasons import Importance, Outcome, Reason
from tests.platform_fleet import configuration, rule, tenant

ADDRESS = Address("10.0.0.1", 8080)
HEARTBEAT = {
    "address": "10.0.0.1:8080",
    "born": 5,
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 4},
    "status": {"state": "ready", "sequence": 2, "cold_left": "0ms"},
}


# Configuration.
def decode(*rules, tenants=()):
    return StoredConfigCodec().decode(
        configuration(7, rules, ("profiles", "pledges"), tenants)
    )


def test_route_has_idempotency_importance_and_limits():
    config = decode(
        rule("/look/", "profiles", kind="download"),
        rule("/pay/", "pledges", kind="non_idempotent", priority=0),
    )
    look = config.routes["shop.example/look/"]
    pay = config.routes["shop.example/pay/"]
    assert (look.idempotent, look.at_most_once) == (True, False)
    assert (pay.idempotent, pay.at_most_once) == (False, True)
    assert (pay.importance, look.importance) == (
        Importance.CRITICAL,
        Importance.NORMAL,
    )
    assert (look.timeout_ms, look.max_attempts) == (2000, 2)
    assert config.revision == 7


def test_route_with_a_traffic_split_has_shares():
    traffic_split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    config = decode(rule("/look/", None, traffic_split=traffic_split))
    (route,) = config.routes.values()
    assert [(share.service, share.weight) for share in route.shares] == [
        ("a", 90),
        ("b", 10),
    ]


def test_configuration_holds_only_digests_of_keys():
    config = decode(rule("/look/", "profiles"), tenants=[tenant(key="open-sesame")])
    assert "open-sesame" not in repr(config)
    assert [key.organisation for key in config.keys.values()] == ["haven"]


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"[]",
        b'{"version": "7"}',
        b'{"version": 7}',
        b'{"version": 0, "listeners": [], "clusters": []}',
        b'{"version": 7, "listeners": {}, "clusters": []}',
    ],
)
def test_malformed_configuration_is_rejected(document):
    with pytest.raises(MalformedMessageError):
        StoredConfigCodec().decode(document)


def test_rule_that_names_nothing_to_use_is_left_out():
    config = decode({"match": {}}, rule("/look/", "profiles"))
    assert list(config.routes) == ["shop.example/look/"]


@pytest.mark.parametrize(("text", "ms"), [("1500ms", 1500), ("2.5s", 2500), ("0ms", 0)])
def test_duration_is_parsed(text, ms):
    assert parse_ms(text) == ms


@pytest.mark.parametrize("text", ["", "5", "ms", "x s", None, 5])
def test_malformed_duration_is_rejected(text):
    with pytest.raises(MalformedMessageError):
        parse_ms(text)


# Heartbeats.
def test_heartbeat_is_parsed():
    heartbeat = parse_heartbeat("i-1", dumps(HEARTBEAT).encode())
    assert heartbeat == BackendHeartbeat("i-1", 5, 2, "s", ADDRESS, 4)


@pytest.mark.parametrize(
    ("value", "ms"), [("1500ms", 1500), ("", 0), (5, 0), ("soon", 0), (None, 0)]
)
def test_cold_time_of_a_heartbeat_is_read_and_odd_ones_do_not_refuse_it(value, ms):
    doc = {**HEARTBEAT, "status": {**HEARTBEAT["status"], "cold_left": value}}
    assert parse_heartbeat("i-1", dumps(doc).encode()).cold_left_ms == ms


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("status", "state", "odd"),
        ("status", "sequence", "2"),
        ("info", "slots", 0),
        ("info", "slots", None),
        ("info", "service", 5),
        (None, "address", "nowhere"),
        (None, "born", 5.5),
        (None, "info", []),
    ],
)
def test_malformed_heartbeat_is_rejected_without_a_signal(section, key, value):
    doc = loads(dumps(HEARTBEAT))
    (doc if section is None else doc[section])[key] = value
    app = HeartbeatApp(ADDRESS, ManualClock())
    req = HttpRequest(
        "POST", "/monsoonmill/instances/i-1/heartbeat", (), dumps(doc).encode()
    )
    assert list(app.request_signals(req, 0.0)) == []
    assert app.handle("1", req).status == 400


def leaving_heartbeat():
    status = {**HEARTBEAT["status"], "state": "draining"}
    body = dumps({**HEARTBEAT, "status": status}).encode()
    return HttpRequest("POST", "/monsoonmill/instances/i-1/heartbeat", (), body)


@pytest.mark.parametrize(
    ("req", "signal"),
    [
        (
            HttpRequest("POST", "/monsoonmill/instances/i-1/deregister"),
            BackendDeregistered("i-1", 2500, "1"),
        ),
        (
            leaving_heartbeat(),
            BackendHeartbeat(
                "i-1", 5, 2, "s", ADDRESS, 4, True, 0.0, 2500, request="1"
            ),
        ),
    ],
    ids=["deregistration", "draining"],
)
def test_departure_is_acknowledged_only_by_the_answer(req, signal):
    app = HeartbeatApp(ADDRESS, ManualClock(2.5))
    assert list(app.request_signals(req, 0.0)) == []
    assert app.handle("1", req) == signal
    assert app.render(Answer("1", Outcome.DONE)).status == 200
    assert app.render(Answer("1", Outcome.UNKNOWN)).status == 503


# Callers.
def render_refusal(outcome, reason, retry_after_s=0.0):
    answer = Answer("1", outcome, reason=reason, retry_after_s=retry_after_s)
    return CallerApp("s").render(answer)


@pytest.mark.parametrize("reason", list(Reason))
def test_status_of_an_unknown_outcome_never_claims_that_the_call_did_not_run(reason):
    assert render_refusal(Outcome.UNKNOWN, reason).status in (502, 504)


@pytest.mark.parametrize("reason", [Reason.SHED, Reason.DEADLINE, Reason.POISON])
def test_retryable_refusal_has_retry_after(reason):
    resp = render_refusal(Outcome.NOT_RUN, reason, retry_after_s=0.7)
    assert resp.status == 503
    assert ("Retry-After", "0.70") in resp.headers


def test_request_without_an_id_is_rejected():
    req = HttpRequest("GET", "/look/1", (("Host", "shop.example"),))
    assert CallerApp("s").handle("1", req).status == 400


def test_api_key_is_not_forwarded():
    headers = (
        ("Host", "Shop.Example:80"),
        ("X-Monsoonmill-Attempt-Id", "a"),
        ("Authorization", "Bearer secret"),
    )
    call = CallerApp("s").handle("1", HttpRequest("GET", "/look/1", headers))
    assert isinstance(call, CallArrived)
    assert (call.bearer, call.virtual_host) == ("secret", "shop.example")
    assert "secret" not in repr(call.request)


# Backend servers.
CALL = RunCall(
    "1",
    ADDRESS,
    HttpRequest("GET", "/", (("X-Monsoonmill-Attempt-Id", "a"),)),
    1.0,
    "",
    "haven",
    "i-1",
)


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, {"Attempt-Id": "a", "Response-Signature": "s"}, ResponseKind.ANSWER),
        (200, {"Attempt-Id": "a"}, ResponseKind.INVALID),
        (200, {"Attempt-Id": "b", "Response-Signature": "s"}, ResponseKind.UNMATCHED),
        (200, {"Response-Signature": "s"}, ResponseKind.UNMATCHED),
        (500, {"Attempt-Id": "a", "Response-Signature": "s"}, ResponseKind.ANSWER),
        (503, {"Not-Executed": "1"}, ResponseKind.NOT_RUN_WITHOUT_ID),
        (503, {"Attempt-Id": "a", "Not-Executed": "1"}, ResponseKind.NOT_RUN),
        (503, {"Attempt-Id": "a"}, ResponseKind.ANSWER),
        (421, {"Instance-Id": "i-2"}, ResponseKind.NOT_RUN_WITHOUT_ID),
        (421, {"Attempt-Id": "b"}, ResponseKind.UNMATCHED),
    ],
)
def test_response_is_classified_by_its_id_and_headers(status, headers, kind):
    lines = tuple((f"X-Monsoonmill-{name}", value) for name, value in headers.items())
    assert PlatformBackendProtocol().classify(CALL, HttpResponse(status, lines)) is kind


def test_successful_response_with_content_encoding_is_invalid():
    lines = (
        ("X-Monsoonmill-Attempt-Id", "a"),
        ("X-Monsoonmill-Response-Signature", "s"),
        ("Content-Encoding", "gzip"),
    )
    assert (
        PlatformBackendProtocol().classify(CALL, HttpResponse(200, lines))
        is ResponseKind.INVALID
    )


# Settings.
@pytest.mark.parametrize("text", ["", "ip = 5", "not toml", 'service = "s"'])
def test_error_of_an_unreadable_node_file_names_it(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match="local.toml"):
        NodeFile.from_file(str(path))


NODE_FILE = """
ip = "10.0.0.1"
zone = "z"
region = "r"
internal_ports = [7000, 7001]
app_addr = "10.0.0.1:80"
service = "s"
unknown_field = 1
[listen_addrs]
outbound = "10.0.0.1:1"
ready = "10.0.0.1:2"
control_plane = "10.0.0.1:3"
[platform]
address = "10.0.9.1:4"
"""


def read_settings(tmp_path, contract_params=""):
    path = tmp_path / "local.toml"
    path.write_text(f"{contract_params}\n{NODE_FILE}\n")
    return NodeFile.from_file(str(path)).settings


@pytest.mark.parametrize("grace_period_s", [3.0, 4.0, 6.0, 20.0])
def test_drain_fits_into_the_grace_period(tmp_path, grace_period_s):
    contract_params = (
        f'contract_params = {{grace_period = "{int(grace_period_s * 1000)}ms"}}'
    )
    drain = read_settings(tmp_path, contract_params).drain
    assert 1 <= drain.limit_s
    close_s = drain.close_ms / 1000 + JOIN_MARGIN_S
    assert drain.settle_ms / 1000 + drain.limit_s + close_s < grace_period_s


def test_retry_ratio_follows_the_retry_budget(tmp_path):
    cfg = read_settings(tmp_path, "contract_params = {retry_budget_ratio = 0.4}")
    assert cfg.call.retry_ratio == pytest.approx(0.2)


def test_evacuation_is_in_force_only_if_the_contract_has_a_bound_for_it(tmp_path):
    cfg = read_settings(tmp_path, 'contract_params = {evacuation = "5000ms"}')
    assert cfg.platform.evacuation_ms == 5000
    assert read_settings(tmp_path).platform.evacuation_ms == 0


def test_bound_for_cold_servers_is_read(tmp_path):
    params = "contract_params = {cold_excess = 1.5, cold_slack = 8}"
    admission = read_settings(tmp_path, params).admission
    assert (admission.cold_excess, admission.cold_slack) == (1.5, 8.0)


def test_settings_without_contract_params_keep_the_shipped_values(tmp_path):
    cfg = read_settings(tmp_path)
    assert cfg.call.retry_ratio == pytest.approx(0.1)
    assert cfg.drain.settle_ms > 0


@pytest.mark.parametrize(
    "contract_params",
    [
        'contract_params = {grace_period = "soon"}',
        "contract_params = {grace_period = 6}",
        "contract_params = {retry_budget_ratio = []}",
        "contract_params = 5",
    ],
)
def test_error_of_an_invalid_contract_param_names_the_file(tmp_path, contract_params):
    with pytest.raises(SettingsError, match="local.toml"):
        read_settings(tmp_path, contract_params)
