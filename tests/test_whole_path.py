"""Calls through the decisions of several nodes, from request to answer."""

import pytest
from attrs import evolve

from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.messages import Reply
from monsoonmill.reasons import Outcome, Reason
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet, answer_ok


def make_fleet(size=4, **options):
    fleet = FakeFleet(**options)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(size)]
    assert fleet.advance_until(lambda: all(knows_all(node, size) for node in nodes))
    return fleet, nodes


def knows_all(node, size):
    members = [member for member in node.core.members.live() if member.accepts_calls]
    return len(members) == size and node.core.view.config.revision == 1


def test_call_is_answered_by_a_backend_server():
    fleet, nodes = make_fleet()
    name = fleet.call(nodes[0], "donkeys", "/lookup/1", bearer=SECRET)
    fleet.advance(1)
    answer = nodes[0].answers[name]
    assert answer.outcome is Outcome.DONE
    assert answer.response.body == b"ok /lookup/1"


def test_call_without_a_key_is_refused_and_does_not_run():
    fleet, nodes = make_fleet()
    name = fleet.call(nodes[0], "donkeys", "/lookup/1")
    fleet.advance(1)
    assert nodes[0].answers[name].reason is Reason.NO_KEY
    assert fleet.executed == []


def test_non_idempotent_call_is_not_retried_after_a_lost_answer():
    def lose_answer(node, call):
        return 0.01, RunFinished(call.attempt, None, RunFailure.CONNECTION_LOST)

    fleet, nodes = make_fleet(run=lose_answer)
    name = fleet.call(nodes[0], "donkeys", "/pledges", "POST", bearer=SECRET)
    fleet.advance(1)
    assert nodes[0].answers[name].outcome is Outcome.UNKNOWN
    assert len(fleet.executed) == 1


def test_idempotent_call_is_retried_at_another_node_after_a_lost_answer():
    lost = []

    def lose_first_answer(node, call):
        if not lost:
            lost.append(node.name)
            return 0.01, RunFinished(call.attempt, None, RunFailure.CONNECTION_LOST)
        return answer_ok(node, call)

    fleet, nodes = make_fleet(run=lose_first_answer)
    name = fleet.call(nodes[0], "donkeys", "/lookup/1", bearer=SECRET)
    fleet.advance(1)
    assert nodes[0].answers[name].outcome is Outcome.DONE
    assert [node for node, _ in fleet.executed][1] != lost[0]


def test_draining_node_finishes_its_calls_and_gets_no_new_ones():
    fleet, nodes = make_fleet()
    leaving = nodes[1]
    fleet.inject(leaving, DrainRequested())
    fleet.advance(3)
    assert leaving.drained
    before = len(fleet.executed)
    for number in range(20):
        fleet.call(nodes[0], "donkeys", f"/lookup/{number}", bearer=SECRET)
    fleet.advance(1)
    ran_at = {node for node, _ in fleet.executed[before:]}
    assert leaving.name not in ran_at
    assert len(fleet.executed) - before == 20


def finish_settling(fleet, node):
    """Request a drain and advance the clock until it accepts no more work."""
    fleet.inject(node, DrainRequested())
    fleet.advance(node.core.draining._cfg.settle_ms / 1000 + 0.01)


SHORT_DRAIN = {"settle_ms": 500, "limit_s": 3}


# A draining node went on to accept calls on open routes until it cut them off.
@pytest.mark.parametrize(
    ("timeout_ms", "is_accepted"), [(5000, False), (2950, False), (2000, True)]
)
def test_draining_node_accepts_a_call_on_an_open_route_if_it_can_end(
    timeout_ms, is_accepted
):
    def never_answer(node, call):
        return None

    fleet, nodes = make_fleet(run=never_answer, drain=SHORT_DRAIN)
    finish_settling(fleet, nodes[0])
    name = fleet.call(nodes[0], "donkeys", "/open/1", timeout_ms=timeout_ms)
    assert fleet.advance_until(lambda: nodes[0].drained)
    answer = nodes[0].answers[name]
    assert len(fleet.executed) == is_accepted
    if is_accepted:
        assert answer.reason is Reason.DEADLINE
    else:
        assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, Reason.DRAINING)


def test_no_call_on_an_open_route_is_cut_off_by_the_end_of_a_drain():
    def answer_late(node, call):
        return answer_ok(node, call, delay_s=0.4)

    fleet, nodes = make_fleet(run=answer_late, drain=SHORT_DRAIN)
    leaving = nodes[0]
    fleet.inject(leaving, DrainRequested())
    names = []
    while not leaving.drained:
        names.append(fleet.call(leaving, "donkeys", "/open/1", timeout_ms=1000))
        fleet.advance(0.05)
    # The process takes some time to exit.
    names.append(fleet.call(leaving, "donkeys", "/open/1", timeout_ms=1000))
    assert set(names) == set(leaving.answers)
    done = [name for name in names if leaving.answers[name].outcome is Outcome.DONE]
    assert len(done) == len(fleet.executed)


# Calls that outlasted the drain of their node had no answer when its process ended.
def test_call_that_outlasts_the_drain_of_its_node_is_answered():
    def never_answer(node, call):
        return None

    fleet, nodes = make_fleet(run=never_answer, drain=SHORT_DRAIN)
    leaving = nodes[0]
    name = fleet.call(leaving, "donkeys", "/open/1", timeout_ms=60_000)
    fleet.advance(0.1)
    fleet.inject(leaving, DrainRequested())
    assert fleet.advance_until(lambda: leaving.drained)
    answer = leaving.answers[name]
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, Reason.DRAINING)
    assert leaving.core.calls.in_progress == 0


# Attempts at a node that ended were waited for until the caller's deadline.
def test_attempt_that_outlasts_the_drain_of_its_node_runs_elsewhere():
    running = []

    def hold_first(node, call):
        running.append(node)
        return None if len(running) == 1 else answer_ok(node, call)

    fleet, nodes = make_fleet(run=hold_first, drain=SHORT_DRAIN)
    caller = fleet.add()
    assert fleet.advance_until(lambda: knows_all(caller, len(nodes)))
    name = fleet.call(caller, "donkeys", "/lookup/1", bearer=SECRET, timeout_ms=60_000)
    fleet.advance(0.1)
    leaving = running[0]
    fleet.inject(leaving, DrainRequested())
    assert fleet.advance_until(lambda: leaving.drained)
    fleet.advance(0.5)
    assert caller.answers[name].outcome is Outcome.DONE
    assert running[1] is not leaving


def test_draining_node_accepts_a_nested_call_if_it_can_end():
    tokens = []

    def hold_first(node, call):
        if tokens:
            return answer_ok(node, call)
        tokens.append((node, call.context))
        return None

    fleet, nodes = make_fleet(run=hold_first, drain=SHORT_DRAIN)
    fleet.call(nodes[0], "donkeys", "/lookup/1", bearer=SECRET, timeout_ms=5000)
    fleet.advance(0.1)
    ((parent_node, token),) = tokens
    leaving = fleet.nodes[parent_node.name]
    finish_settling(fleet, leaving)
    names = {
        timeout_ms: fleet.call(
            leaving, "donkeys", "/lookup/2", context=token, timeout_ms=timeout_ms
        )
        for timeout_ms in (None, 2000)
    }
    assert fleet.advance_until(lambda: leaving.drained)
    assert leaving.answers[names[None]].reason is Reason.DRAINING
    assert leaving.answers[names[2000]].outcome is Outcome.DONE


def test_killed_node_is_detected_by_all_others():
    fleet, nodes = make_fleet()
    fleet.kill(nodes[2])
    others = [node for node in nodes if node.is_up]
    assert fleet.advance_until(
        lambda: all(len(list(node.core.members.live())) == 3 for node in others)
    )


def test_backend_server_that_refuses_connections_gets_no_more_calls():
    refused = []

    def refuse_at_one(node, call):
        if node is nodes[2]:
            refused.append(call)
            failure = RunFailure.NOT_SENT
            return 0.001, RunFinished(call.attempt, None, failure)
        return answer_ok(node, call)

    fleet, nodes = make_fleet(run=refuse_at_one)
    nodes[2].backend_stopped = True
    names = []
    for number in range(200):
        path = f"/lookup/{number}"
        names.append(fleet.call(nodes[0], "donkeys", path, bearer=SECRET))
        fleet.advance(0.01)
    fleet.advance(1)
    answers = [nodes[0].answers[name] for name in names]
    assert all(answer.outcome is Outcome.DONE for answer in answers)
    assert len(refused) < 10


def test_refusal_after_a_lost_answer_has_an_unknown_outcome():
    def lose_then_refuse(node, call):
        is_first = len(fleet.executed) == 1
        failure = RunFailure.CONNECTION_LOST if is_first else RunFailure.NOT_SENT
        return 0.01, RunFinished(call.attempt, None, failure)

    fleet, nodes = make_fleet(run=lose_then_refuse)
    name = fleet.call(nodes[0], "donkeys", "/lookup/1", bearer=SECRET)
    fleet.advance(1)
    answer = nodes[0].answers[name]
    assert answer.reason is Reason.UNREACHABLE
    assert answer.outcome is Outcome.UNKNOWN


def test_answer_corrupted_between_nodes_is_reported_as_broken():
    fleet, nodes = make_fleet(size=2)
    nodes[0].backend_stopped = True
    fleet.advance_until(lambda: not nodes[0].core.members.own.accepts_calls)
    fleet.corrupt = lambda message: (
        evolve(message, response=evolve(message.response, body=b"cut"))
        if isinstance(message, Reply) and message.response
        else message
    )
    name = fleet.call(nodes[0], "donkeys", "/pledges", "POST", bearer=SECRET)
    fleet.advance(1)
    answer = nodes[0].answers[name]
    assert answer.reason is Reason.BROKEN_ANSWER
    assert answer.outcome is Outcome.UNKNOWN
