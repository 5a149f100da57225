"""The checks of a run find the violations in what clients and servers saw."""

from signal import SIGHUP

import pytest
from attrs import evolve

from monsoonmill.standin.platform_backend import RecordedRequest
from monsoonmill.standin.platform_nested import NestedCall
from tests.deployment.checks import Observations, find_violations
from tests.deployment.clients import Exchange, request_body
from tests.deployment.disruptions import Span
from tests.deployment.fleet import TENANT, Leave, ProcessEnd
from tests.deployment.sites import KALAPUWA_MESH

STOP = Span("stop", 100.0, 105.0, frozenset({3}), True)
CRASH = Span("backend-crash", 100.0, 105.0, frozenset(), False)
EXCHANGE = Exchange(
    request_id="c0-3-1-7",
    machine=3,
    prefix="/pledges/",
    end="answer",
    status=200,
    answer_id="c0-3-1-7",
    is_signed=True,
    sent_at=101.0,
    ended_at=101.5,
    earlier=0,
    deadline_s=5.0,
)
RUN = RecordedRequest(
    "c0-3-1-7",
    "/pledges/7",
    {
        "x-monsoonmill-caller-service": "profiles",
        "x-monsoonmill-tenant-id": TENANT,
    },
    request_body("c0-3-1-7", 4000),
    "POST",
    "i-5",
    "pledges",
    101.1,
    101.4,
    200,
)
CALL = NestedCall("1", "pledges", "i-5-call-0", "shop.example", "/index/0", 2.0)


def rules(exchanges=(EXCHANGE,), executions=(RUN,), spans=(), **seen):
    """Return the rules that an observation breaks."""
    observations = Observations(
        KALAPUWA_MESH,
        list(exchanges),
        list(executions),
        [],
        list(spans),
        (),
        services={3: [(0.0, "profiles")]},
        **seen,
    )
    return {violation.rule for violation in find_violations(observations)}


def change(value, **headers):
    """Return a run with other headers."""
    return evolve(value, headers={**value.headers, **headers})


def test_request_that_was_run_and_answered_breaks_no_rule():
    assert rules(spans=[STOP]) == set()


def test_request_run_with_another_body_is_found():
    assert rules(executions=[evolve(RUN, body=b"")]) == {"UNASKED"}


def test_request_run_with_another_path_is_found():
    assert rules(executions=[evolve(RUN, path="/pledges/8")]) == {"UNASKED"}


def test_request_run_with_another_caller_is_found():
    run = change(RUN, **{"x-monsoonmill-caller-service": "pledges"})
    assert rules(executions=[run]) == {"UNASKED"}


def test_request_run_with_its_key_is_found():
    run = change(RUN, authorization="Bearer secret")
    assert rules(executions=[run]) == {"UNASKED"}


def test_request_that_nobody_sent_is_found():
    assert rules(executions=[RUN, evolve(RUN, request_id="other")]) == {"UNASKED"}


def test_request_run_by_another_service_is_found():
    assert rules(executions=[evolve(RUN, service="profiles")]) == {"ROUTE"}


def test_nested_call_with_a_tenant_is_found():
    run = evolve(
        change(RUN, **{"x-monsoonmill-caller-service": "pledges"}),
        request_id=CALL.request_id,
        path=CALL.path,
        service="carepacks",
        method="GET",
        body=b"",
    )
    calls = {CALL.request_id: CALL}
    assert rules(executions=[RUN, run], calls=calls) == {"UNASKED"}


def test_request_at_a_server_that_left_too_long_ago_is_found():
    leaves = [Leave("i-5", 5, 98.0)]
    assert rules(leaves=leaves) == {"DRAIN"}
    assert rules(leaves=leaves, spans=[CRASH]) == set()
    assert rules(leaves=[Leave("i-5", 5, 99.0)]) == set()


def test_success_with_another_body_is_found():
    assert rules([evolve(EXCHANGE, is_whole=False)]) == {"MIXED"}


def test_bytes_after_an_answer_are_found():
    assert rules([evolve(EXCHANGE, surplus_bytes=3)]) == {"MIXED"}


def test_signed_failure_that_no_server_gave_is_found():
    assert rules([evolve(EXCHANGE, status=500)]) == {"MIXED"}


def test_nested_call_with_another_answer_is_found():
    call = evolve(EXCHANGE, request_id=CALL.request_id, is_whole=False)
    assert rules(call_exchanges=[call]) == {"MIXED"}


def test_nested_call_without_an_answer_is_found():
    call = evolve(EXCHANGE, request_id=CALL.request_id, end="closed")
    assert rules(call_exchanges=[call], spans=[STOP]) == {"LOST"}


def test_answer_in_place_of_one_that_a_server_works_at_is_found():
    own = evolve(EXCHANGE, status=502, is_signed=False, answer_id="")
    running = evolve(RUN, ended_at=102.0)
    assert rules([own], [running], [STOP]) == {"LOST"}
    assert rules([own], [running], [STOP, CRASH]) == set()
    assert rules([own], [RUN], [STOP]) == set()


def test_connection_that_ends_without_an_answer_is_found():
    closed = evolve(EXCHANGE, end="closed", status=0, is_signed=False, answer_id="")
    assert rules([closed], spans=[STOP]) == {"LOST"}
    assert rules([evolve(closed, end="left")], spans=[STOP]) == set()


def test_closed_kept_connections_are_found_after_the_third():
    unanswered = evolve(EXCHANGE, end="closed", status=0, answer_id="", is_signed=False)
    closed = [
        evolve(unanswered, request_id=f"c0-3-1-{number}", earlier=1)
        for number in range(4)
    ]
    runs = [
        evolve(
            RUN,
            request_id=exchange.request_id,
            path=f"/pledges/{number}",
            body=request_body(exchange.request_id, 4000),
        )
        for number, exchange in enumerate(closed)
    ]
    assert rules(closed, runs) == {"LOST"}
    assert rules(closed[:3], runs[:3]) == set()


def test_too_many_repeats_are_found():
    again = evolve(EXCHANGE, prefix="/status/")
    run = evolve(RUN, path="/status/7", method="GET", body=b"", service="applications")
    assert rules([again], [run] * 51) == set()
    assert rules([again], [run] * 52) == {"BUDGET"}


@pytest.mark.parametrize(
    ("status", "age_s", "expected"),
    [(-SIGHUP, 0.3, set()), (-SIGHUP, 1.2, {"FAULT"}), (1, 0.3, {"FAULT"})],
)
def test_only_a_signal_in_the_first_second_excuses_an_end(status, age_s, expected):
    end = ProcessEnd(0, status, 100.0, 100.0 + age_s)
    seen = Observations(KALAPUWA_MESH, [], [], [end], [], ())
    assert {violation.rule for violation in find_violations(seen)} == expected
