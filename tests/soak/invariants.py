"""Invariants of a run, checked against the records of callers and backend servers."""

from bisect import bisect_right

from attrs import frozen

from tests.integration.load import Oracle

RATE_WINDOW_S = 5.0


@frozen
class Violation:
    """Violation of an invariant, with the evidence."""

    invariant: str
    evidence: str


def refused_but_executed(requests, executions):
    """Return requests that ran although they were refused as not run."""
    executed = {
        (execution["id"], execution["headers"].get("x-try")) for execution in executions
    }
    return [
        request
        for request in requests
        if request.outcome == "not-run"
        and (request.id, str(request.send_number)) in executed
    ]


def check_refusals(requests, executions):
    """Yield calls that ran although all their requests were refused as not run.

    Must be called after all callers have ended; until then, another request of a
    call may be in progress.
    """
    found = Oracle(requests, executions).wrongly_reported_not_run()
    if found:
        yield Violation(
            "all requests of a call refused as not run, but it ran", repr(found)
        )


def check_responses(requests, executions):
    """Yield violations by responses, refusals, repeated executions and leaked keys."""
    oracle = Oracle(requests, executions)
    found = {
        "pledge ran more than once": oracle.pledges_run_twice(),
        "refused as not run, but ran": refused_but_executed(requests, executions),
        "answered, but did not run": oracle.wrongly_reported_done(),
        "response incomplete or of another call": oracle.corrupt_responses(),
        "backend server received a key": oracle.key_leaks(),
    }
    yield from (Violation(name, repr(cases)) for name, cases in found.items() if cases)


def check_rate_limit(requests, rate, burst):
    """Yield a violation if an organisation certainly exceeded its rate in a window.

    A call takes its token between its start and its end, so calls that lie entirely
    within a window took their tokens in it.
    """
    done = sorted(
        (request.ended_at, request.sent_at) for request in requests if request.is_done
    )
    max_calls = rate * RATE_WINDOW_S + burst
    for window_start in sorted({sent_at for _, sent_at in done}):
        last = bisect_right(done, (window_start + RATE_WINDOW_S, float("inf")))
        inside = sum(sent_at >= window_start for _, sent_at in done[:last])
        if inside > max_calls:
            text = f"{inside} calls from {window_start:.3f}, limit {max_calls:g}"
            yield Violation("rate limit exceeded", text)
            return


def check_planned_shutdowns(requests, executions, injected, effect_s):
    """Yield requests that were interrupted during a planned shutdown of their host.

    Requests that an unplanned fault may have interrupted are left out: those sent
    while it was active or up to ``effect_s`` seconds after its end.
    """
    interrupted = Oracle(requests, executions).cut_off_requests()
    unplanned = [scheduled for scheduled in injected if not scheduled.fault.is_planned]
    for shutdown in (scheduled for scheduled in injected if scheduled.fault.is_planned):
        host = f"host-{shutdown.fault.target.host}"
        for request in interrupted:
            is_during = shutdown.overlaps(request.sent_at, request.ended_at)
            has_no_other_fault = not any(
                other.overlaps(request.sent_at - effect_s, request.ended_at)
                for other in unplanned
            )
            if request.host == host and is_during and has_no_other_fault:
                yield Violation("planned shutdown interrupted a request", repr(request))


def check_deadlines(requests, injected, limit_s):
    """Yield calls that a node without a fault did not answer in time."""
    node_faults = [
        scheduled
        for scheduled in injected
        if scheduled.fault.target.component == "node"
    ]
    for request in requests:
        node_had_fault = any(
            f"host-{scheduled.fault.target.host}" == request.host
            and scheduled.overlaps(request.sent_at, request.ended_at)
            for scheduled in node_faults
        )
        if request.ended_at - request.sent_at > limit_s and not node_had_fault:
            yield Violation("call not answered within its deadline", repr(request))
