"""Explanation of where a request would go, without a network."""

from json import dumps, loads
from random import Random

import pytest
from attrs import evolve

from monsoonmill.clock import ManualClock
from monsoonmill.counters import LatencyHistogram
from monsoonmill.decisions.configuration.evacuations import (
    Evacuations,
)
from monsoonmill.decisions.request_query import QueryError, RequestQuery
from monsoonmill.messages import Load
from monsoonmill.model import HttpRequest, MemberState, Organisation, ServiceShare
from monsoonmill.node.operators import OperatorApp
from monsoonmill.reasons import Importance
from tests.configs import PLATFORM_POLICY, small_config
from tests.fleet import FakeFleet

POLICIES = ({}, {"policy": {**PLATFORM_POLICY, "entry": "objectives"}})
SITES = (("r1", "z1"), ("r1", "z1"), ("r1", "z2"), ("r2", "z3"), ("r2", "z3"))


def make_config(aims=(0, 0)):
    config = small_config()
    routes = {**config.routes}
    routes["lookup"] = evolve(routes["lookup"], aim_ms=aims[0])
    routes["background"] = evolve(routes["background"], aim_ms=aims[1])
    routes["pledge"] = evolve(routes["pledge"], organisations=("branch",))
    routes["open"] = evolve(routes["open"], allowed_regions=("r2",))
    organisations = {
        **config.organisations,
        "east": Organisation("east", 5, 5, Importance.BACKGROUND, ("r2",)),
    }
    return evolve(config, routes=routes, organisations=organisations)


def start_fleet(config, **sections):
    """Return a fleet, its first node, and the names of its nodes."""
    fleet = FakeFleet(**sections)
    fleet.install(config)
    nodes = [fleet.add(*site, "donkeys") for site in SITES]
    fleet.advance(8.0)
    return fleet, nodes[0].core, [node.name for node in nodes]


def explain(fleet, core, path="/lookup", service="donkeys", **fields):
    given = {"path": path, "service": service, **fields}
    query = RequestQuery.from_fields(given, core.view.config)
    # The report must be plain data.
    return loads(dumps(core.explain(query, fleet.now)))


def candidates(report, service="donkeys"):
    return {each["node"]: each for each in report["services"][service]["candidates"]}


def preferred(report):
    return {name for name, each in candidates(report).items() if each["preferred"]}


def snapshot(value, seen):
    """Return all state reachable from an object, as nested plain data."""
    if isinstance(value, Random):
        return value.getstate()
    if isinstance(value, str | int | float | bytes | type | None) or callable(value):
        return repr(value) if callable(value) else value
    if id(value) in seen:
        return "seen"
    seen.add(id(value))
    if isinstance(value, dict):
        return [(repr(key), snapshot(each, seen)) for key, each in value.items()]
    if isinstance(value, list | tuple | set | frozenset):
        return [snapshot(each, seen) for each in value]
    names = {*getattr(value, "__dict__", ())}
    names |= {n for cls in type(value).__mro__ for n in getattr(cls, "__slots__", ())}
    return [
        (name, snapshot(getattr(value, name), seen))
        for name in sorted(names - {"__weakref__"})
        if hasattr(value, name)
    ]


def report_load(core, fleet, node, **fields):
    core.router.record_start(node)
    core.router.record_end(node, Load(**fields), fleet.now)


@pytest.mark.parametrize("sections", POLICIES)
@pytest.mark.parametrize("aims", [(0, 0), (100, 1000)])
def test_changes_no_state(sections, aims):
    # A draw from the generator, an entry in a table or a count would make the node
    # decide otherwise than without the command.
    fleet, core, names = start_fleet(make_config(aims), **sections)
    report_load(core, fleet, names[1], running=9, limit=8, latency_ms=4.0)
    for early_s in (1.1, 1.1, 1.1, 0.6):
        core.calls._entry_limit.record_result("lookup", 1.0, fleet.now - early_s)
    core.calls._entry_limit.record_threshold("lookup", "donkeys", 9, fleet.now)
    before = snapshot(core, set())
    for path in ("/lookup", "/open", "/pledges", "/none"):
        for organisation in ("", "branch", "east"):
            explain(fleet, core, path, method="POST", organisation=organisation)
            explain(fleet, core, path, organisation=organisation)
    assert snapshot(core, set()) == before
    core.router.target("new")
    assert snapshot(core, set()) != before


@pytest.mark.parametrize("sections", POLICIES)
@pytest.mark.parametrize("aims", [(0, 0), (100, 1000)])
@pytest.mark.parametrize("load", [1, 20])
def test_nodes_chosen_are_the_preferred_ones(sections, aims, load):
    # An explanation that differs from the placement would mislead operators.
    fleet, core, names = start_fleet(make_config(aims), **sections)
    for name in names[:3]:
        report_load(core, fleet, name, running=load, limit=8, latency_ms=4.0)
    for regions, organisation in ((None, "branch"), (frozenset({"r2"}), "east")):
        report = explain(fleet, core, organisation=organisation)
        drawn = {
            core.router.choose(
                "donkeys", Importance.NORMAL, frozenset(), fleet.now, regions
            )
            for _ in range(200)
        }
        # Less loaded nodes of the group may win every draw.
        assert drawn and drawn <= preferred(report)
        considered = {n for n, c in candidates(report).items() if c["considered"]}
        assert preferred(report) <= considered


def test_why_nodes_are_not_considered():
    fleet, core, names = start_fleet(make_config(), **POLICIES[1])
    own, full, evacuated, far, last = names
    report_load(core, fleet, full, level=Importance.CRITICAL, limit=3, latency_ms=2.5)
    core.view.evacuations = Evacuations(1, frozenset({"z2"}))
    core.health._health(far).chart.send("answers_lost", fleet.now)
    table = core.members._table
    remote = table.remotes[last]
    table.replace(remote, evolve(remote.member, state=MemberState.SUSPECT))
    core.members.update_own(accepts_calls=False)
    fleet.now += 0.25
    report = explain(fleet, core, organisation="branch")
    found = candidates(report)
    assert {name: each["why_not"] for name, each in found.items()} == {
        own: ["not-accepting-calls"],
        full: ["full-level"],
        evacuated: ["evacuated"],
        far: ["ejected"],
        last: ["suspect"],
    }
    assert report["evacuated"] == ["z2"] and preferred(report) == set()
    expected = {"limit": 3, "level": "critical", "latency_ms": 2.5}
    expected |= {"report_age_s": 0.25, "data_centre": "z1", "region": "r1"}
    assert found[full].items() >= expected.items()
    assert found[far]["limit"] is None and found[far]["report_age_s"] is None
    report = explain(fleet, core, organisation="east")
    assert report["allowed_regions"] == ["r2"] and report["importance"] == "background"
    assert candidates(report)[full]["why_not"] == ["region-not-allowed", "full-level"]
    # The only node left is chosen although it is ejected.
    assert preferred(report) == {far} and candidates(report)[far]["considered"]


def test_routes_refusals_and_entry_limits():
    fleet, core, _ = start_fleet(make_config((100, 1000)), **POLICIES[1])
    entry_limit = core.calls._entry_limit
    entry_limit.record_threshold("lookup", "donkeys", 100, fleet.now)
    (limit,) = [
        each["entry_limit"] for each in explain(fleet, core)["services"].values()
    ]
    assert 0 < limit["threshold"] <= 100
    assert limit["lowest_standing"] == 64 < limit["highest_standing"]
    is_open = explain(fleet, core, "/open", organisation="east")
    assert is_open["route"] == "open" and is_open["allowed_regions"] == ["r2"]
    assert is_open["services"]["donkeys"]["entry_limit"] == {}
    for fields, reason in (
        ({"path": "/none"}, "no-route"),
        ({"service": "mules"}, "no-service"),
        ({"service": "", "virtual_host": "Host"}, "no-route"),
        ({"path": "/pledges", "method": "POST", "organisation": "east"}, "forbidden"),
    ):
        assert explain(fleet, core, **fields)["refusal"]["reason"] == reason
    config = make_config()
    routes = {**config.routes}
    shares = (ServiceShare("donkeys", 3.0), ServiceShare("mules", 1.0))
    routes["lookup"] = evolve(
        routes["lookup"], shares=shares, allowed_regions=("r1",), virtual_host="host"
    )
    fleet, core, _ = start_fleet(evolve(config, routes=routes))
    entry_limit = core.calls._entry_limit
    for delay_s in (0.0, 0.0, 0.0, 0.5):
        entry_limit.record_result("lookup", 1.0, fleet.now + delay_s)
    split = explain(fleet, core, service="", virtual_host="HOST", organisation="east")
    assert split["refusal"]["reason"] == "no-allowed-region"
    weights = {name: each["weight"] for name, each in split["services"].items()}
    assert weights == {"donkeys": 3.0, "mules": 1.0}
    assert split["services"]["mules"]["candidates"] == []
    # All calls were lost, which leaves the least share.
    assert split["services"]["mules"]["entry_limit"] == {"admitted_share": 0.2}
    core.members.update_own(state=MemberState.LEAVING)
    assert explain(fleet, core, "/pledges", method="POST")["refusal"]["reason"] == (
        "draining"
    )
    unconfigured = FakeFleet().add().core
    report = explain(fleet, unconfigured, organisation="unknown")
    assert report["refusal"]["reason"] == "no-configuration"


def test_operators_port_explains_and_refuses_bad_queries():
    fleet, core, _ = start_fleet(make_config(), **POLICIES[1])
    app = OperatorApp(core, ManualClock(fleet.now), LatencyHistogram)
    target = "/explain?service=donkeys&path=%2Flookup"
    resp = app.handle("1", HttpRequest("GET", target))
    assert resp.status == 200 and loads(resp.body) == explain(fleet, core)
    for bad in (
        "path=/lookup",
        "path=/lookup&service=donkeys&virtual_host=host",
        "service=donkeys&path=lookup",
        "service=donkeys&path=/&method=A%20B",
        "service=donkeys&path=/&organisation=secret",
        "service=donkeys&path=/&key=secret",
    ):
        resp = app.handle("1", HttpRequest("GET", f"/explain?{bad}"))
        problem = loads(resp.body)
        assert resp.status == 400 and problem["title"] == "bad-query"
        assert "secret" not in problem["detail"]
    with pytest.raises(QueryError):
        RequestQuery.from_fields({"path": "/"}, core.view.config)
