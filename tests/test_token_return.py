"""Tokens of calls that never ran go back to their organisation."""

import pytest

from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.reasons import Outcome, Reason
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet, answer_ok

RATE, BURST = 1.0, 20.0
"""The burst lasts for the test; the rate adds next to nothing to it."""


def make_fleet(run=None):
    fleet = FakeFleet(run=run, policy={"quota": "replicated"})
    fleet.install(small_config(RATE, BURST))
    node = fleet.add(service="donkeys")
    fleet.advance(30)
    return fleet, node


def outcomes(fleet, node, calls):
    names = []
    for _ in range(calls):
        name = fleet.call(node, "donkeys", "/lookup/1", bearer=SECRET)
        names.append(name)
        fleet.advance(0.02)
    fleet.advance(1)
    return [node.answers[name] for name in names]


def refuse(node, call):
    return 0.001, RunFinished(call.attempt, None, RunFailure.NOT_SENT)


def lose(node, call):
    return 0.001, RunFinished(call.attempt, None, RunFailure.CONNECTION_LOST)


def test_calls_that_never_ran_cost_nothing():
    fleet, node = make_fleet(refuse)
    answers = outcomes(fleet, node, 3 * int(BURST))
    assert {one.outcome for one in answers} == {Outcome.NOT_RUN}
    assert Reason.OVER_RATE not in {one.reason for one in answers}


@pytest.mark.parametrize("run", [answer_ok, lose])
def test_calls_that_ran_or_may_have_run_cost_a_token_each(run):
    fleet, node = make_fleet(run)
    answers = outcomes(fleet, node, 3 * int(BURST))
    served = [one for one in answers if one.reason is not Reason.OVER_RATE]
    assert BURST / 2 <= len(served) <= BURST + 3 * RATE
