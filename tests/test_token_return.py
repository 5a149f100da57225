"""Tokens of calls that never ran are returned to their organisation."""

import pytest

from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.reasons import Outcome, Reason
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet, answer_ok

RATE, BURST = 1.0, 20.0
"""The burst suffices for the test; the rate adds almost nothing to it."""


def make_fleet(run=None):
    fleet = FakeFleet(run=run, policy={"quota": "replicated"})
    fleet.install(small_config(RATE, BURST))
    node = fleet.add(service="donkeys")
    fleet.advance(30)
    return fleet, node


def call_repeatedly(fleet, node, calls):
    names = []
    for _ in range(calls):
        name = fleet.call(node, "donkeys", "/lookup/1", bearer=SECRET)
        names.append(name)
        fleet.advance(0.02)
    fleet.advance(1)
    return [node.answers[name] for name in names]


def fail_unsent(node, call):
    return 0.001, RunFinished(call.attempt, None, RunFailure.NOT_SENT)


def lose_connection(node, call):
    return 0.001, RunFinished(call.attempt, None, RunFailure.CONNECTION_LOST)


def test_calls_that_never_ran_cost_no_tokens():
    fleet, node = make_fleet(fail_unsent)
    answers = call_repeatedly(fleet, node, 3 * int(BURST))
    assert {answer.outcome for answer in answers} == {Outcome.NOT_RUN}
    assert Reason.OVER_RATE not in {answer.reason for answer in answers}


@pytest.mark.parametrize("run", [answer_ok, lose_connection])
def test_calls_that_ran_or_may_have_run_cost_a_token_each(run):
    fleet, node = make_fleet(run)
    answers = call_repeatedly(fleet, node, 3 * int(BURST))
    served = [answer for answer in answers if answer.reason is not Reason.OVER_RATE]
    assert BURST / 2 <= len(served) <= BURST + 3 * RATE
