"""Withdrawal of API keys, also for calls that have been accepted already."""

from attrs import evolve

from monsoonmill.model import WithdrawnKey
from monsoonmill.reasons import Outcome, Reason
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet, answer_ok

ONE_SLOT = {"initial_limit": 1, "min_limit": 1, "max_limit": 1, "queue_ms": 8000}


def withdraw_key(config):
    key = config.keys["k1"]
    return evolve(
        config,
        revision=config.revision + 1,
        keys={},
        withdrawn_keys={key.digest: WithdrawnKey(key.name, config.revision + 1)},
    )


def make_fleet():
    fleet = FakeFleet(
        run=lambda node, call: answer_ok(node, call, delay_s=3.0),
        policy={"admission": "fixed"},
        admission=ONE_SLOT,
    )
    fleet.install(small_config())
    nodes = [fleet.add(), fleet.add(service="donkeys", slots=1)]
    fleet.advance(3)
    return fleet, nodes


def test_queued_call_does_not_run_after_its_key_is_withdrawn():
    fleet, (entry, _) = make_fleet()
    for _ in range(2):
        name = fleet.call(entry, "donkeys", "/lookup/1", bearer=SECRET)
        fleet.advance(0.1)
    assert len(fleet.executed) == 1
    fleet.install(withdraw_key(small_config()))
    fleet.advance(6)
    assert len(fleet.executed) == 1
    answer = entry.answers[name]
    assert answer.reason is Reason.KEY_WITHDRAWN
    assert answer.outcome is Outcome.NOT_RUN


def test_new_call_with_a_withdrawn_key_is_refused():
    fleet, (entry, _) = make_fleet()
    fleet.install(withdraw_key(small_config()))
    fleet.advance(1)
    name = fleet.call(entry, "donkeys", "/lookup/1", bearer=SECRET)
    assert entry.answers[name].reason is Reason.KEY_WITHDRAWN
