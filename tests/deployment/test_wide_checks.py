"""Tests of the checks of quotas, withdrawn keys, clients that left, and recovery."""

from itertools import chain

import pytest
from attrs import evolve

from monsoonmill.standin.platform_backend import RecordedRequest
from tests.deployment.checks import Observations
from tests.deployment.clients import Exchange
from tests.deployment.disruptions import Span
from tests.deployment.linked_fleet import Arrival, Withdrawal
from tests.deployment.sites import SEGNALI_CT
from tests.deployment.wide_checks import WideObservations, find_wide_violations

NOBODY = frozenset()
ROUTE_TIMEOUT_S = 1.0


def exchange(request_id, sent_at=100.0, wait_s=0.1, **changes):
    answered = Exchange(
        request_id,
        machine=0,
        prefix="/orders/",
        end="answer",
        status=200,
        answer_id=request_id,
        is_signed=True,
        sent_at=sent_at,
        ended_at=sent_at + wait_s,
        earlier=0,
        deadline_s=6.0,
    )
    return evolve(answered, **changes)


def execution(request_id, at, status=200):
    return RecordedRequest(
        request_id,
        "/orders/first",
        {},
        b"",
        service="ordini",
        started_at=at,
        status=status,
    )


def observe(exchanges=(), special=None, arrivals=(), withdrawals=(), spans=()):
    executions = [execution(arrival.request_id, arrival.at) for arrival in arrivals]
    ran = {run.request_id for run in executions}
    executions.extend(
        execution(sent.request_id, sent.sent_at, sent.status)
        for sent in chain(exchanges, *(special or {}).values())
        if sent.is_signed and sent.request_id not in ran
    )
    plain = Observations(SEGNALI_CT, list(exchanges), executions, [], list(spans), ())
    return WideObservations(
        plain, special or {}, list(arrivals), list(withdrawals), 40.0
    )


def broken_rules(seen):
    return {violation.rule for violation in find_wide_violations(seen)}


def run_of(sent, tenant="haven", delay_s=0.05):
    at = sent.sent_at + delay_s
    return Arrival(sent.request_id, tenant, "ordini", at, ROUTE_TIMEOUT_S - delay_s)


@pytest.mark.parametrize(("count", "expected"), [(284, set()), (285, {"QUOTA"})])
def test_quota_counts_requests_that_are_sent_and_run_in_a_window(count, expected):
    hot = [exchange(f"h{n}", 100.0 + n / 100) for n in range(count)]
    seen = observe(special={"hot": hot}, arrivals=[run_of(e, "hot") for e in hot])
    assert broken_rules(seen) == expected


@pytest.mark.parametrize(("delay_s", "expected"), [(0.5, set()), (0.8, {"GONE"})])
def test_requests_of_clients_that_left_may_not_run_later(delay_s, expected):
    left = [
        exchange(f"l{n}", end="left", status=0, answer_id="", is_signed=False)
        for n in range(4)
    ]
    arrivals = [run_of(e, delay_s=delay_s) for e in left]
    assert broken_rules(observe(special={"leaving": left}, arrivals=arrivals)) == (
        expected
    )


@pytest.mark.parametrize(("late_s", "expected"), [(2.4, set()), (2.6, {"CONFIG"})])
def test_requests_with_a_withdrawn_key_may_not_run(late_s, expected):
    sent = exchange("w", 100.0 + late_s)
    seen = observe(
        special={"withdrawn": [sent]},
        arrivals=[run_of(sent, "tenant-key-0")],
        withdrawals=[Withdrawal("key-0", 100.0)],
    )
    assert broken_rules(seen) == expected


def test_refused_key_is_denied_before_its_withdrawal_only():
    refused = exchange("w", 100.0, status=401, is_signed=False)
    withdrawal = Withdrawal("key-0", 99.0)
    withdrawn = {"withdrawn": [refused]}
    assert broken_rules(observe(special=withdrawn, withdrawals=[withdrawal])) == set()
    later = [Withdrawal("key-0", 101.0)]
    assert broken_rules(observe(special=withdrawn, withdrawals=later)) == {"DENIED"}


def test_more_repeats_than_the_budget_are_found():
    sent = [exchange(f"r{n}") for n in range(60)]
    arrivals = [run_of(e, delay_s=delay) for e in sent for delay in (0.01, 0.1)]
    once = [run_of(e, delay_s=0.01) for e in sent]
    assert broken_rules(observe(sent, arrivals=once)) == set()
    assert broken_rules(observe(sent, arrivals=arrivals)) == set()
    repeated = arrivals + [run_of(e, delay_s=0.2) for e in sent]
    assert broken_rules(observe(sent, arrivals=repeated)) == {"BUDGET"}


@pytest.mark.parametrize(
    ("machines", "expected"), [((1,), {"LOST"}), ((0,), set()), ((), set())]
)
def test_closed_connections_count_at_machines_in_touch(machines, expected):
    closed = [exchange(f"c{n}", end="closed", status=0) for n in range(4)]
    span = Span("kill", 98.0, 99.0, frozenset(machines), False)
    seen = observe(closed, arrivals=[run_of(e) for e in closed], spans=[span])
    assert broken_rules(seen) == expected


@pytest.mark.parametrize(("wait_s", "expected"), [(1.4, set()), (1.6, {"CONFIG"})])
def test_requests_are_answered_at_the_time_out_of_their_route(wait_s, expected):
    held = [exchange(f"t{n}", wait_s=wait_s, status=504) for n in range(8)]
    assert broken_rules(observe(held)) == expected


@pytest.mark.parametrize(("status", "expected"), [(200, set()), (503, {"RECOVER"})])
def test_fleet_serves_again_after_all_nodes_were_killed(status, expected):
    span = Span("kill-all", 80.0, 81.0, NOBODY, False)
    later = [exchange(f"k{n}", status=status) for n in range(4)]
    assert broken_rules(observe(later, spans=[span])) == expected
