"""Explanation of where a request would go, without a network."""

from collections import deque
from json import dumps, loads
from random import Random

import pytest
from attrs import evolve

from monsoonmill.clock import ManualClock
from monsoonmill.counters import LatencyHistogram
from monsoonmill.decisions.admission.chain_admission import SMOOTHING
from monsoonmill.decisions.configuration.evacuations import Evacuations
from monsoonmill.decisions.request_query import RequestQuery
from monsoonmill.messages import Load
from monsoonmill.model import HttpRequest, MemberState, Organisation, ServiceShare
from monsoonmill.node.operators import OperatorApp
from monsoonmill.reasons import Importance
from tests.configs import PLATFORM_POLICY, small_config
from tests.fleet import FakeFleet

PLATFORM = {"policy": {**PLATFORM_POLICY, "entry": "objectives"}}
SITES = (("r1", "z1"), ("r1", "z1"), ("r1", "z2"), ("r2", "z3"), ("r2", "z3"))
EAST = Organisation("east", 5, 5, Importance.BACKGROUND, ("r2",))


def start_fleet(aims=(0, 0), lookup=None, **sections):
    """Return a fleet, its first node's decisions, and the names of its nodes."""
    config = small_config()
    config.organisations["east"] = EAST
    for name, changes in (
        ("lookup", {"aim_ms": aims[0], **(lookup or {})}),
        ("background", {"aim_ms": aims[1]}),
        ("pledge", {"organisations": ("branch",)}),
        ("open", {"allowed_regions": ("r2",)}),
    ):
        config.routes[name] = evolve(config.routes[name], **changes)
    fleet = FakeFleet(**sections)
    fleet.install(config)
    nodes = [fleet.add(*site, "donkeys") for site in SITES]
    fleet.advance(8.0)
    return fleet, nodes[0].core, [node.name for node in nodes]


def explain(fleet, core, path="/lookup", service="donkeys", **fields):
    given = {"path": path, "service": service, **fields}
    query = RequestQuery.from_fields(given, core.view.config)
    return loads(dumps(core.explain(query, fleet.now)))


def select(report, key):
    """Return a fact of each candidate."""
    nodes = report["services"]["donkeys"]["candidates"]
    return {each["node"]: each[key] for each in nodes}


def snapshot(value, seen):
    """Return all state reachable from an object as plain data."""
    if isinstance(value, Random):
        return value.getstate()
    if id(value) in seen or isinstance(value, str | int | float) or callable(value):
        return repr(value) if callable(value) else value
    seen[id(value)] = value
    if isinstance(value, dict):
        return [(repr(key), snapshot(each, seen)) for key, each in value.items()]
    if isinstance(value, list | tuple | set | frozenset | deque):
        return [snapshot(each, seen) for each in value]
    names = {n for cls in type(value).__mro__ for n in getattr(cls, "__slots__", ())}
    state = {n: getattr(value, n, None) for n in names} | getattr(value, "__dict__", {})
    return [(n, snapshot(state[n], seen)) for n in sorted(state) if n != "__weakref__"]


def report_load(core, fleet, node, **fields):
    core.router.record_start(node)
    core.router.record_end(node, Load(**fields), fleet.now)


@pytest.mark.parametrize("sections", [{}, PLATFORM])
@pytest.mark.parametrize("aims", [(0, 0), (100, 1000)])
def test_explains_the_nodes_that_are_drawn_and_changes_no_state(sections, aims):
    # A draw from the generator, an entry in a table or a count would make the node
    # decide otherwise than without the command; a rule of its own would mislead.
    fleet, core, names = start_fleet(aims, **sections)
    for early_s in (1.1, 1.1, 1.1, 0.6):
        core.calls._entry_limit.record_result("lookup", 1.0, fleet.now - early_s)
    core.calls._entry_limit.record_threshold("lookup", "donkeys", 9, fleet.now)
    for running in (1, 20):
        for name in names[:3]:
            report_load(core, fleet, name, running=running, limit=8, latency_ms=4.0)
        before = snapshot(core, {})
        for path in ("/lookup", "/open", "/pledges", "/none"):
            for organisation in ("", "branch", "east"):
                explain(fleet, core, path, method="POST", organisation=organisation)
                explain(fleet, core, path, organisation=organisation)
        assert snapshot(core, {}) == before
        for regions, organisation in ((None, "branch"), (frozenset({"r2"}), "east")):
            preferred = select(
                explain(fleet, core, organisation=organisation), "preferred"
            )
            call = ("donkeys", Importance.NORMAL, frozenset(), fleet.now, regions)
            drawn = {core.router.choose(*call) for _ in range(200)}
            # The less loaded nodes of the group may win every draw.
            assert drawn <= {name for name in names if preferred[name]}
    before = snapshot(core, {})
    core.router.target("new")
    assert snapshot(core, {}) != before


def test_why_nodes_are_not_considered():
    # Operators act on these reasons, so each has to be the rule that applied.
    fleet, core, names = start_fleet((100, 1000), **PLATFORM)
    own, full, evacuated, far, last = names
    core.calls._entry_limit.record_threshold("lookup", "donkeys", 30, fleet.now)
    report_load(core, fleet, full, level=Importance.CRITICAL, limit=3, latency_ms=2.5)
    core.view.evacuations = Evacuations(1, frozenset({"z2"}))
    core.health._health(far).chart.send("answers_lost", fleet.now)
    remote = core.members._table.remotes[last]
    remote.member = evolve(remote.member, state=MemberState.SUSPECT)
    core.members.update_own(accepts_calls=False)
    fleet.now += 0.25
    report = explain(fleet, core, organisation="branch")
    reasons = ("not-accepting-calls", "full-level", "evacuated", "ejected", "suspect")
    assert list(select(report, "why_not").values()) == [[each] for each in reasons]
    assert report["evacuated"] == ["z2"]
    assert not any(select(report, "preferred").values())
    for key, value in (("limit", 3), ("level", "critical"), ("latency_ms", 2.5)):
        assert select(report, key)[full] == value and select(report, key)[far] is None
    assert select(report, "report_age_s")[full] == 0.25
    report = explain(fleet, core, organisation="east")
    limit = report["services"]["donkeys"]["entry_limit"]
    assert limit == {
        "threshold": 30 * SMOOTHING,
        "lowest_standing": 0,
        "highest_standing": 255,
    }
    assert report["allowed_regions"] == ["r2"] and report["importance"] == "background"
    assert select(report, "why_not")[full] == ["region-not-allowed", "full-level"]
    # The only node left is chosen although it is ejected.
    assert [name for name, is_it in select(report, "preferred").items() if is_it] == [
        far
    ]


def test_refusals_shares_and_bad_queries():
    shares = (ServiceShare("donkeys", 3.0), ServiceShare("mules", 1.0))
    lookup = {"shares": shares, "allowed_regions": ("r1",), "virtual_host": "host"}
    fleet, core, _ = start_fleet(lookup=lookup, **PLATFORM)
    for delay_s in (0.0, 0.0, 0.0, 0.5):
        core.calls._entry_limit.record_result("lookup", 1.0, fleet.now + delay_s)
    host = {"service": "", "virtual_host": "HOST"}
    mules = explain(fleet, core, **host)["services"]["mules"]
    # All calls were lost, which leaves the least share.
    assert mules == {
        "weight": 1.0,
        "entry_limit": {"admitted_share": 0.2},
        "candidates": [],
    }
    assert explain(fleet, core, "/open")["services"]["donkeys"]["entry_limit"] == {}
    pledge = {"path": "/pledges", "method": "POST"}
    for fields, reason in (
        ({"path": "/none"}, "no-route"),
        ({"service": "mules"}, "no-service"),
        ({**host, "organisation": "east"}, "no-allowed-region"),
        ({**pledge, "organisation": "east"}, "forbidden"),
    ):
        assert explain(fleet, core, **fields)["refusal"]["reason"] == reason
    core.members.update_own(state=MemberState.LEAVING)
    assert explain(fleet, core, **pledge)["refusal"]["reason"] == "draining"
    new = explain(fleet, FakeFleet().add().core, organisation="unknown")
    assert new["refusal"]["reason"] == "no-configuration"
    app = OperatorApp(core, ManualClock(fleet.now), LatencyHistogram)
    bad = ("path=open", "path=/&method=A%20B", "path=/&organisation=secret")
    bad += ("path=/&key=secret", "path=/&virtual_host=host", "")
    for query, status in (("path=%2Fopen", 200), *((each, 400) for each in bad)):
        req = HttpRequest("GET", f"/explain?service=donkeys&{query}")
        resp = app.handle("1", req)
        assert resp.status == status and b"secret" not in resp.body
