"""Calls run only in the regions that their route and organisation allow."""

from random import Random

import pytest
from attrs import evolve

from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.decisions.signals import Received
from monsoonmill.messages import ConfigReply, Forward
from monsoonmill.model import HttpResponse, Route
from monsoonmill.reasons import HTTP_STATUS, Outcome, Reason
from tests.configs import PLATFORM_POLICY, SECRET, small_config
from tests.fleet import FakeFleet, answer_ok

REGIONS = ("east", "west", "south")
PLATFORM = {"policy": {**PLATFORM_POLICY, "health": "none", "poison": "none"}}


def limited_config(route=(), organisation=(), open_route=(), revision=1):
    config = small_config(revision=revision)
    routes = {**config.routes}
    routes["lookup"] = evolve(routes["lookup"], allowed_regions=route, max_attempts=4)
    routes["open"] = evolve(routes["open"], allowed_regions=open_route)
    branch = evolve(config.organisations["branch"], allowed_regions=organisation)
    return evolve(config, routes=routes, organisations={"branch": branch})


def start_fleet(config, run=None, per_region=2, **sections):
    """Return a fleet whose forwarded attempts are recorded with their receivers."""
    fleet = FakeFleet(run, **{**PLATFORM, **sections})
    fleet.install(config)
    fleet.forwards = []
    for region in REGIONS:
        for number in range(per_region):
            fleet.add(region, f"{region}-{number}", "donkeys")
    send = fleet._send

    def record(node, signal):
        if isinstance(signal.message, Forward) and signal.node in fleet.nodes:
            region = fleet.nodes[signal.node].core.members.own.region
            fleet.forwards.append((region, signal.message))
        send(node, signal)

    fleet._send = record
    fleet.advance(8.0)
    return fleet


def node_in(fleet, region):
    return next(
        node for node in fleet.nodes.values() if node.core.members.own.region == region
    )


def call(fleet, node, path="/lookup", limit_s=5.0, **fields):
    fields.setdefault("bearer", SECRET)
    name = fleet.call(node, "donkeys", path, **fields)
    fleet.advance_until(lambda: name in node.answers, limit_s)
    return node.answers.get(name)


def regions_used(fleet):
    executed = {fleet.nodes[node].core.members.own.region for node, _ in fleet.executed}
    forwarded = {region for region, _ in fleet.forwards}
    return executed | forwarded


def lose_some(seed):
    """Return a run of requests of which most fail in different ways."""
    rng = Random(seed)

    def run(node, call):
        draw = rng.random()
        if draw < 0.2:
            return 0.01, RunFinished(call.attempt, None, RunFailure.CONNECTION_LOST)
        if draw < 0.4:
            shed = HttpResponse(503)
            return 0.01, RunFinished(call.attempt, shed, None, not_run=True)
        return answer_ok(node, call)

    return run


@pytest.mark.parametrize("seed", range(3))
def test_no_retry_leaves_the_allowed_regions(seed):
    # Guards against a body that is sent to another region when those allowed fail.
    config = limited_config(route=("west", "south"), organisation=("east", "west"))
    fleet = start_fleet(config, lose_some(seed), call={"tries": 3, "retry_ratio": 1.0})
    nodes = list(fleet.nodes.values())
    answers = [call(fleet, nodes[index % len(nodes)]) for index in range(60)]
    assert regions_used(fleet) == {"west"}
    assert sum(answer.outcome is Outcome.DONE for answer in answers) > 20
    assert len(fleet.executed) > 60


@pytest.mark.parametrize("route", ["west", "north"])
def test_call_without_a_region_or_a_server_there_is_refused_at_once(route):
    # Guards against a wait, another status, or a reason that hides the cause.
    organisation = {"west": ("east",), "north": ()}[route]
    fleet = start_fleet(limited_config(route=(route,), organisation=organisation))
    node = node_in(fleet, "west")
    answer = call(fleet, node, limit_s=0.0)
    assert (answer.outcome, answer.reason) == (
        Outcome.NOT_RUN,
        Reason.NO_ALLOWED_REGION,
    )
    assert fleet.forwards == []
    assert node.core.counters.snapshot()["no-allowed-region"] == 1
    assert HTTP_STATUS[Reason.NO_ALLOWED_REGION] == 503
    assert HTTP_STATUS[Reason.REGION_NOT_ALLOWED] == 503


def test_receiver_refuses_by_its_own_configuration_and_the_call_is_placed_elsewhere():
    # Guards against a run in a region that the newer of two configurations forbids.
    fleet = start_fleet(limited_config())
    sender, strict = node_in(fleet, "east"), node_in(fleet, "west")
    newer = limited_config(route=("east",), revision=2)
    fleet.inject(strict, Received("operator", ConfigReply(newer)))
    chosen = sender.core.router.choose
    sender.core.router.choose = lambda *args: (
        chosen(*args) if strict.name in args[2] else strict.name
    )
    answer = call(fleet, sender, limit_s=1.0)
    assert answer.outcome is Outcome.DONE
    assert strict.name not in {node for node, _ in fleet.executed}
    assert strict.core.counters.snapshot()["region-not-allowed"] == 1
    assert sender.core.counters.snapshot()["retry-region"] == 1


def test_waiting_attempt_obeys_a_list_that_is_set_meanwhile():
    # Guards against a run that waited for its slot while the region was forbidden.
    fleet = start_fleet(limited_config(), lambda node, run: None, per_region=1)
    east = node_in(fleet, "east")
    in_east = limited_config(route=("east",), revision=2)
    fleet.inject(east, Received("operator", ConfigReply(in_east)))
    names = [
        fleet.call(east, "donkeys", "/lookup", bearer=SECRET, timeout_ms=5000)
        for _ in range(12)
    ]
    fleet.advance(0.1)
    assert east.core.admission.load().waiting == 4
    moved = limited_config(route=("west",), revision=3)
    fleet.inject(east, Received("operator", ConfigReply(moved)))
    for _, run in list(fleet.executed):
        fleet.inject(east, RunFinished(run.attempt, None, RunFailure.TIMED_OUT))
    fleet.advance(1.0)
    east_runs = [node for node, _ in fleet.executed if node == east.name]
    assert len(east_runs) == 8
    assert {region for region, _ in fleet.forwards} <= {"east", "west"}
    reasons = [east.answers[name].reason for name in names]
    assert reasons.count(Reason.REGION_NOT_ALLOWED) == 4, reasons


def test_nested_call_obeys_its_own_route_and_its_parents_organisation():
    # Guards against a chain that leaves its organisation's regions below its first
    # call, where no API key says whose chain it is, and one level deeper.
    config = limited_config(organisation=("east", "west"), open_route=("west", "south"))
    plain = Route("plain", "donkeys", "/plain", open=True, idempotent=True)
    config = evolve(config, routes={**config.routes, "plain": plain})

    def run(node, call):
        path = call.request.path
        if path == "/open/leaf":
            return answer_ok(node, call)
        deeper = {"/lookup": "/plain", "/plain": "/open/leaf"}[path]
        parent = "r" if path == "/lookup" else "r.1"
        fleet.call(node, "donkeys", deeper, parent_id=parent, request_id=f"{parent}.1")
        return answer_ok(node, call, 0.2)

    fleet = start_fleet(config, run)
    for _ in range(20):
        answer = call(fleet, node_in(fleet, "south"), request_id="r")
        assert answer.outcome is Outcome.DONE
        fleet.advance(1.0)
    regions = {}
    for node, run in fleet.executed:
        region = fleet.nodes[node].core.members.own.region
        regions.setdefault(run.request.path, set()).add(region)
    assert regions["/lookup"] == {"east", "west"}
    assert regions["/plain"] == {"east", "west"}
    assert regions["/open/leaf"] == {"west"}


def test_call_without_lists_is_not_limited():
    fleet = start_fleet(limited_config(organisation=("west",)))
    answer = call(fleet, node_in(fleet, "south"), "/open", bearer="")
    assert answer.outcome is Outcome.DONE
    assert regions_used(fleet) == {"south"}
