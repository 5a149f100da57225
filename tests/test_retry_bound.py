"""Limits on retries, for one call chain and for all calls of a node."""

from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.decisions.retries.retry_limiter import RetryLimiter
from monsoonmill.reasons import Outcome, Reason, RetryReason
from monsoonmill.settings import Settings
from tests.chains import NOT_RUN, ChainFleet

DEPTH = 14
RETRIES = 3


def check_retry_limit(fleet):
    assert fleet.runs_by_level[-1] <= 1 + RETRIES
    assert fleet.runs <= fleet.calls + RETRIES


def test_chain_of_14_refusing_levels_uses_one_retry_budget():
    fleet = ChainFleet(DEPTH)
    name = fleet.start_chain(fleet.members[0])
    fleet.advance(5)
    assert fleet.members[0].answers[name].outcome is Outcome.NOT_RUN
    assert fleet.runs_by_level[-1] >= 2
    check_retry_limit(fleet)


def test_chain_of_14_levels_with_lost_answers_uses_one_retry_budget():
    fleet = ChainFleet(DEPTH, run_leaf=lambda call: RunFailure.CONNECTION_LOST)
    fleet.start_chain(fleet.members[0])
    fleet.advance(5)
    assert fleet.runs_by_level[-1] >= 2
    check_retry_limit(fleet)


def test_levels_above_an_exhausted_budget_do_not_retry():
    fleet = ChainFleet(DEPTH)
    fleet.start_chain(fleet.members[0])
    fleet.advance(5)
    assert fleet.runs_by_level[:-1] == [1] * (DEPTH - 1)


def test_parallel_nested_calls_share_one_retry_budget():
    fleet = ChainFleet(5, fan_out=3, admission={"initial_limit": 256})
    fleet.start_chain(fleet.members[0])
    fleet.advance(5)
    assert fleet.runs_by_level[-1] >= 3**4
    assert fleet.runs <= fleet.calls + RETRIES


def test_lost_nodes_do_not_renew_the_retry_budget():
    killed = []

    def run(node, call):
        level = int(call.request.path.rpartition("/")[2])
        may_be_killed = node is not fleet.members[0] and node not in killed
        if level >= 2 and len(killed) < 2 and may_be_killed:
            killed.append(node)
            fleet.schedule(0.002, lambda: fleet.kill(node))
        return run_level(node, call)

    fleet = ChainFleet(6, size=8)
    run_level, fleet._run = fleet._run, run
    fleet.start_chain(fleet.members[0])
    fleet.advance(12)
    assert killed
    assert fleet.runs <= fleet.calls + RETRIES


def test_retries_of_many_refused_calls_are_limited_by_the_ratio():
    calls = 400
    fleet = ChainFleet(1, call={"retry_ratio": 0.1, "retry_burst": 10.0})
    for _ in range(calls):
        fleet.start_chain(fleet.members[0])
        fleet.advance(0.01)
    fleet.advance(2)
    assert fleet.runs <= calls * 1.1 + 10
    counters = fleet.members[0].core.counters
    assert counters.value(RetryReason.RATIO_SPENT) > calls / 2


def test_retry_balance_is_separate_for_each_service():
    limiter = RetryLimiter(Settings.from_dict({}).call)
    for _ in range(10):
        limiter.withdraw("care")
    assert limiter.refusal("care", 3) is RetryReason.RATIO_SPENT
    assert limiter.refusal("donkeys", 3) is None


def test_nested_call_of_an_ended_call_is_refused_as_cancelled():
    contexts = []

    def keep_context(node, call):
        contexts.append((node, call.context))
        return 0.001, RunFinished(call.attempt, NOT_RUN, None, True)

    fleet = ChainFleet(1)
    fleet._run = keep_context
    fleet.start_chain(fleet.members[0])
    fleet.advance(1)
    node, context = contexts[0]
    name = fleet.call(node, "donkeys", "/lookup/1", context=context)
    fleet.advance(1)
    assert node.answers[name].reason is Reason.CANCELLED
