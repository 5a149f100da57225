"""Odd documents from the store, the operators and backend servers.

Another writer leaves entries that are deeply nested, hold numbers out of range or are
not text. Nothing but ``MalformedMessageError`` leaves a decoder, the remaining entries
are used, and the node goes on following the store.
"""

from json import dumps, loads

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonmill.clock import ManualClock, SystemClock
from monsoonmill.decisions.configuration.pending_note import CONFIG_KEY
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformList,
    PlatformRead,
    PlatformWatch,
    StoredValue,
)
from monsoonmill.errors import MalformedMessageError, PlatformUnavailableError
from monsoonmill.model import Address, HttpRequest
from monsoonmill.platform.config_codec import StoredConfigCodec
from monsoonmill.platform.heartbeats import HeartbeatApp, parse_heartbeat
from monsoonmill.platform.store_client import KvClient
from monsoonmill.reasons import Importance
from monsoonmill.settings_fields import parse_address
from monsoonmill.store.client import PlatformTask
from tests.platform_fleet import configuration, rule, tenant

NESTED = "[" * 100_000 + "]" * 100_000
HUGE_INTEGER = "9" * 400
ODD_VALUES = (NESTED, HUGE_INTEGER, "1e999", "-1", "null", "[]", "{}", '"odd"', "true")
SERVICES = ("profiles", "pledges")
HEARTBEAT = {
    "address": "10.0.0.1:8080",
    "born": 5,
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 4},
    "status": {"state": "ready", "sequence": 2, "cold_left": "0ms"},
}
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["1500ms", "2s", "/a/", "10.0.0.1:8080"]),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=5), values, max_size=3)
    ),
    max_leaves=6,
)


def decode(*rules, tenants=()):
    return StoredConfigCodec().decode(configuration(7, rules, SERVICES, tenants))


def set_raw(document, marker, raw):
    """Replace a marker string in a JSON document with raw JSON."""
    return document.replace(dumps(marker).encode(), raw.encode())


# The configuration.
def test_route_of_an_unknown_type_runs_at_most_once():
    config = decode(rule("/up/", "profiles", kind="sometimes"))
    route = config.routes["shop.example/up/"]
    assert (route.idempotent, route.at_most_once) == (False, True)


def test_upload_runs_at_most_once():
    config = decode(rule("/up/", "profiles", kind="upload"))
    route = config.routes["shop.example/up/"]
    assert (route.idempotent, route.at_most_once) == (False, True)


@pytest.mark.parametrize("raw", ODD_VALUES[1:])
@pytest.mark.parametrize(
    "odd_rule",
    [
        {**rule("/odd/", "profiles"), "match": "MARK"},
        {**rule("/odd/", "profiles"), "action": "MARK"},
        {**rule("/odd/", "profiles"), "route_type": "MARK"},
        {**rule("/odd/", "profiles"), "public": "MARK"},
        {**rule("/odd/", "profiles"), "priority": "MARK"},
        rule("MARK", "profiles"),
        rule("/odd/", "MARK"),
        rule("/odd/", "profiles", timeout="MARK"),
        rule("/odd/", "profiles", max_attempts="MARK"),
        rule("/odd/", None, traffic_split="MARK"),
        rule("/odd/", None, traffic_split=[{"service": "profiles", "weight": "MARK"}]),
    ],
)
def test_odd_field_of_a_rule_leaves_the_other_rules_in_force(odd_rule, raw):
    document = configuration(
        7, [odd_rule, rule("/look/", "pledges")], SERVICES, [tenant()]
    )
    config = StoredConfigCodec().decode(set_raw(document, "MARK", raw))
    assert config.revision == 7
    assert config.routes["shop.example/look/"].service == "pledges"
    assert config.organisations["haven"]


def test_odd_fields_of_a_rule_are_replaced_by_the_strictest_values():
    odd = {**rule("/odd/", "profiles"), "public": "false", "priority": "first"}
    odd["route_type"] = 5
    odd["action"] = {"service": "profiles", "timeout": "soon", "max_attempts": "many"}
    route = decode(odd).routes["shop.example/odd/"]
    assert not route.open
    assert route.importance is Importance.NORMAL
    assert (route.idempotent, route.at_most_once) == (False, True)
    assert (route.timeout_ms, route.max_attempts) == (0, 1)


@pytest.mark.parametrize("raw", ODD_VALUES[1:])
@pytest.mark.parametrize("field", ["name", "api_keys", "rate_per_s", "burst"])
def test_odd_field_of_a_tenant_leaves_the_other_tenants_in_force(field, raw):
    odd = {**tenant(name="odd", key="odd-key"), field: "MARK"}
    document = configuration(7, [rule("/look/", "pledges")], SERVICES, [odd, tenant()])
    config = StoredConfigCodec().decode(set_raw(document, "MARK", raw))
    assert [key.organisation for key in config.keys.values()].count("haven") == 1
    assert config.organisations["haven"]


@pytest.mark.parametrize("raw", ["1e999", "-1", '"85"', "null", HUGE_INTEGER])
def test_tenant_without_a_usable_rate_is_left_out(raw):
    odd = {**tenant(name="odd", key="odd-key"), "rate_per_s": "MARK"}
    document = configuration(7, [], SERVICES, [odd])
    config = StoredConfigCodec().decode(set_raw(document, "MARK", raw))
    assert not config.organisations
    assert not config.keys


def test_key_of_two_tenants_belongs_to_neither():
    config = decode(tenants=[tenant(name="a", key="k"), tenant(name="b", key="k")])
    assert set(config.organisations) == {"a", "b"}
    assert not config.keys


@pytest.mark.parametrize(
    "document",
    [
        NESTED.encode(),
        b'{"version": %s}' % HUGE_INTEGER.encode(),
        b'{"version": 1e999}',
        b"\xff\xfe",
        b'{"version": 7, "listeners": [], "clusters": [], "tenants": null}',
        b'{"version": 7, "listeners": [], "clusters": [], "tenants": {}}',
        configuration(7, [rule("/x/", "a")], ("a",))[:-2],
        set_raw(configuration(7, [rule("MARK", "a")], ("a",)), "MARK", NESTED),
    ],
)
def test_unreadable_document_raises_only_the_declared_error(document):
    with pytest.raises(MalformedMessageError):
        StoredConfigCodec().decode(document)


@settings(max_examples=300, deadline=None)
@given(JSON_VALUES, st.sampled_from(["version", "listeners", "clusters", "tenants"]))
def test_fuzzed_configuration_raises_only_the_declared_error(value, name):
    doc = loads(configuration(7, [rule("/x/", "a")], ("a",), [tenant()]))
    doc[name] = [value] if name != "version" else value
    try:
        StoredConfigCodec().decode(dumps(doc).encode())
    except MalformedMessageError:
        pass


# Heartbeats.
@pytest.mark.parametrize("raw", [NESTED, HUGE_INTEGER, "1e999", "-1", "null", '"x"'])
@pytest.mark.parametrize(
    ("section", "key"),
    [
        ("status", "sequence"),
        ("info", "slots"),
        ("info", "service"),
        (None, "address"),
        (None, "info"),
        (None, "born"),
    ],
)
def test_odd_heartbeat_raises_only_the_declared_error(section, key, raw):
    if (key, raw) == ("service", '"x"'):
        return
    doc = loads(dumps(HEARTBEAT))
    (doc if section is None else doc[section])[key] = "MARK"
    body = set_raw(dumps(doc).encode(), "MARK", raw)
    with pytest.raises(MalformedMessageError):
        parse_heartbeat("i-1", body)


@pytest.mark.parametrize("port", ["0", "65536", "-1", "8080.0", "9" * 400, "²", ""])
def test_heartbeat_with_a_port_out_of_range_is_refused(port):
    body = dumps({**HEARTBEAT, "address": f"10.0.0.1:{port}"}).encode()
    with pytest.raises(MalformedMessageError):
        parse_heartbeat("i-1", body)


def test_unreadable_heartbeat_is_answered():
    app = HeartbeatApp(Address("10.0.0.1", 8080), ManualClock())
    path = "/monsoonmill/instances/i-1/heartbeat"
    for body in (b"\xff", NESTED.encode(), b""):
        req = HttpRequest("POST", path, (), body)
        assert list(app.request_signals(req, 0.0)) == []
        assert app.handle("1", req).status == 400


@settings(max_examples=300, deadline=None)
@given(
    st.dictionaries(st.sampled_from(["address", "born", "info", "status"]), JSON_VALUES)
)
def test_fuzzed_heartbeat_raises_only_the_declared_error(fields):
    try:
        parse_heartbeat("i-1", dumps({**HEARTBEAT, **fields}).encode())
    except MalformedMessageError:
        pass


# Addresses of other nodes in the store.
@pytest.mark.parametrize(
    "text",
    ["10.0.0.300:80", "nowhere:80", "10.0.0.1:65536", "a\x00b:80", "x" * 300 + ":80"],
)
def test_address_that_no_socket_takes_is_refused(text):
    with pytest.raises(ValueError, match="address"):
        parse_address(text)


# The store.
class ScriptedClient(KvClient):
    """A client whose store answers with given documents."""

    def __init__(self, *answers):
        super().__init__(Address("127.0.0.1", 1), 1.0, "monsoonmill/")
        self._answers = list(answers)

    def _request(self, call):
        status, data = self._answers.pop(0)
        return ScriptedResponse(status, data)


class ScriptedResponse:
    """A response with a status and a body."""

    def __init__(self, status, data):
        self.status = status
        self.data = data
        self.headers = {}


def run_requests(client, *requests):
    """Return what a store task replies to requests, handled one after the other."""
    replies = []
    task = PlatformTask("store", client, SystemClock(), replies.append)
    for request in requests:
        task.handle(request)
    return replies


def item(key, revision=5, value="djE="):
    return {"key": key, "value": value, "revision": revision}


@pytest.mark.parametrize(
    "body",
    [
        NESTED.encode(),
        b'{"at_rev": 1e999, "revision": 1e999, "value": "djE="}',
        b'{"at_rev": null, "revision": [], "value": "djE="}',
        b'{"at_rev": 5, "revision": 5, "value": "\xc3\xa4"}',
        b'{"at_rev": 5, "revision": %s, "value": "djE="}' % HUGE_INTEGER.encode(),
        b"[1]",
        b"\xff",
        b"5",
    ],
)
def test_odd_answer_of_the_store_fails_one_request_and_not_the_task(body):
    good = dumps({**item("op/config"), "at_rev": 9}).encode()
    client = ScriptedClient((200, body), (200, good))
    request = PlatformRead("r", CONFIG_KEY)
    failed, done = run_requests(client, request, request)
    assert isinstance(failed, PlatformFailed)
    assert isinstance(failed.error, PlatformUnavailableError)
    assert done.values == (StoredValue(CONFIG_KEY, 5, b"v1"),)


@pytest.mark.parametrize(
    "odd_events", [b"[5]", b'"x"', b"[[]]", b'[{"key": 5}]', b'[{"key": "op/config"}]']
)
def test_odd_event_does_not_end_the_watch(odd_events):
    started = dumps({**item("op/config"), "at_rev": 9}).encode()
    odd = b'{"at_rev": 10, "events": %s}' % odd_events
    new = item("op/config", 11)
    # An answer to a watch and to a read: an unreadable answer is followed by a read.
    changed = dumps({"at_rev": 11, "events": [new], **new}).encode()
    client = ScriptedClient((200, started), (200, odd), (200, changed))
    watch = PlatformWatch("w", CONFIG_KEY, 5)
    replies = run_requests(client, watch, watch, watch)
    assert isinstance(replies[-1], PlatformDone)
    assert replies[-1].values == (StoredValue(CONFIG_KEY, 11, b"v1"),)


@pytest.mark.parametrize(
    "odd_item",
    [
        "5",
        "[]",
        NESTED,
        '{"key": 5}',
        '{"key": "monsoonmill/seeds/x", "value": "djE=", "revision": 1e999}',
        '{"key": "monsoonmill/seeds/x", "value": "%%", "revision": 5}',
    ],
)
def test_odd_item_leaves_the_rest_of_a_listing(odd_item):
    seeds = [item("monsoonmill/seeds/10.0.0.1:7000"), "MARK"]
    seeds.append(item("monsoonmill/seeds/10.0.0.2:7000"))
    body = set_raw(
        dumps({"items": seeds, "has_more": False}).encode(), "MARK", odd_item
    )
    (reply,) = run_requests(ScriptedClient((200, body)), PlatformList("l", "seeds/"))
    if odd_item == NESTED:
        assert isinstance(reply, PlatformFailed)
        return
    keys = {stored.key for stored in reply.values}
    assert keys == {"seeds/10.0.0.1:7000", "seeds/10.0.0.2:7000"}


class FailingClient(ScriptedClient):
    """A client with a defect."""

    def read(self, key):
        raise ZeroDivisionError


def test_unexpected_error_fails_one_request_and_not_the_task():
    client = FailingClient((200, dumps({"items": [], "has_more": False}).encode()))
    failed, done = run_requests(
        client, PlatformRead("r", CONFIG_KEY), PlatformList("l", "seeds/")
    )
    assert isinstance(failed, PlatformFailed)
    assert isinstance(done, PlatformDone)


def test_value_that_is_not_base64_fails_one_request():
    body = dumps({**item("op/config", value="no base64!"), "at_rev": 9}).encode()
    (reply,) = run_requests(ScriptedClient((200, body)), PlatformRead("r", CONFIG_KEY))
    assert isinstance(reply, PlatformFailed)
