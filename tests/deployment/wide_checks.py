"""Checks of rules that concern time, quotas, retries and recovery."""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator
from itertools import chain

from attrs import evolve, frozen

from tests.deployment.checks import (
    CONTACT_S,
    NOT_RUN_STATUSES,
    SUCCESS,
    Observations,
    Violation,
    find_answer_violations,
    find_violations,
)
from tests.deployment.clients import Exchange
from tests.deployment.linked_fleet import HOT_TENANT, Arrival, Withdrawal

CONFIG_APPLY_S = 2.5
MAX_SKEW_S = 5.0
QUOTA_WINDOW_S = 5.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 48
GONE_SLACK_S = 0.5
MOST_GONE = 3
MOST_CLOSED = 3
HELD_SLACK_S = 0.5
LEAST_HELD = 8
RECOVERY_S = 15.0
LEAST_SERVED = 0.25
UNAUTHORIZED = 401
MEMORY_MB = 300
HEALTHY_END = ("answer", "left")


@frozen
class WideObservations:
    """What a run has shown besides.

    Attributes
    ----------
    special : dict
        Exchanges of further clients by the kind of client.
    """

    plain: Observations
    special: dict[str, list[Exchange]]
    arrivals: list[Arrival]
    withdrawals: list[Withdrawal]
    peak_memory_mb: float


def find_wide_violations(seen: WideObservations) -> Iterator[Violation]:
    """Yield all broken rules."""
    plain, special = _split_clients(seen)
    yield from find_violations(plain)
    yield from find_answer_violations(special)
    yield from _check_quota(seen)
    yield from _check_gone(seen)
    yield from _check_withdrawals(seen)
    yield from _check_retries(seen)
    yield from _check_closed(seen)
    yield from _check_held(seen)
    yield from _check_recovery(seen)
    if seen.peak_memory_mb > MEMORY_MB:
        yield Violation("FAULT", f"{seen.peak_memory_mb:.0f} MB")


def _split_clients(seen):
    """Return what usual clients saw, and what special ones saw of what they are owed.

    Special clients use keys of their own, so that their requests are checked for their
    answers only.
    """
    special_ids = {exchange.request_id for exchange in chain(*seen.special.values())}
    usual = [run for run in seen.plain.executions if run.request_id not in special_ids]
    owed = [e for e in _owed(seen) if e.request_id in special_ids]
    return (
        evolve(seen.plain, executions=usual),
        evolve(seen.plain, exchanges=owed),
    )


def _all(seen):
    return list(chain(seen.plain.exchanges, *seen.special.values()))


def _owed(seen):
    """Return the exchanges without those that clients or operators ended."""
    withdrawn = {
        exchange.request_id
        for exchange in seen.special.get("withdrawn", ())
        if exchange.status == UNAUTHORIZED
        and any(withdrawal.at <= exchange.ended_at for withdrawal in seen.withdrawals)
    }
    return [
        exchange
        for exchange in _all(seen)
        if exchange.end != "left" and exchange.request_id not in withdrawn
    ]


def _is_in_touch(seen, exchange, before_s=CONTACT_S):
    """Return whether no unplanned disruption concerned the machine or the store."""
    start = exchange.sent_at - before_s
    return not any(
        span.start <= exchange.ended_at
        and span.end >= start
        and not (span.machines and exchange.machine not in span.machines)
        for span in seen.plain.spans
        if not span.is_planned
    )


def _check_quota(seen):
    bound = (HOT_TENANT["rate"] * QUOTA_WINDOW_S + HOT_TENANT["burst"]) * (
        1 + QUOTA_EXCESS
    ) + QUOTA_SLACK
    most = _most_hot(seen)
    if most > bound:
        yield Violation("QUOTA", f"{most} requests in 5 s, {bound:.0f} are accepted")


def _most_hot(seen):
    """Return the most requests of the limited tenant, sent and run in a window."""
    arrivals = {a.request_id: a.at for a in seen.arrivals if a.tenant == "hot"}
    pairs = sorted(
        (exchange.sent_at, arrivals[exchange.request_id])
        for exchange in seen.special.get("hot", ())
        if exchange.request_id in arrivals
    )
    sent = [at for at, _ in pairs]
    most = 0
    for index, start in enumerate(sent):
        end = start + QUOTA_WINDOW_S
        inside = pairs[index : bisect_right(sent, end)]
        most = max(most, sum(at <= end for _, at in inside))
    return most


def _check_gone(seen):
    """Check that requests of clients that have left aren't sent on later."""
    late = [
        f"{exchange} was sent on after {late_s:.3f} s"
        for exchange, late_s in _sent_after_leaving(seen)
        if late_s > GONE_SLACK_S and _is_in_touch(seen, exchange)
    ]
    if len(late) > MOST_GONE:
        yield from (Violation("GONE", detail) for detail in late)


def _sent_after_leaving(seen):
    """Yield clients' requests with the time from their leaving to their sending.

    All backend servers share a thread, so a request may begin to run long after it was
    sent. The time of the sending follows from the time that the node left for it.
    """
    timeouts = {route.prefix: route.timeout_ms / 1000 for route in _routes(seen)}
    left = {e.request_id: e for e in seen.special.get("leaving", ()) if e.end == "left"}
    for arrival in seen.arrivals:
        exchange = left.get(arrival.request_id)
        if exchange is None:
            continue
        limit_s = min(exchange.deadline_s, timeouts[exchange.prefix])
        sent_at = exchange.sent_at + limit_s - arrival.left_s
        yield exchange, min(sent_at, arrival.at) - exchange.ended_at


def _routes(seen):
    return seen.plain.site.routes


def _check_withdrawals(seen):
    runs = seen.plain.runs
    by_key = {withdrawal.key: withdrawal.at for withdrawal in seen.withdrawals}
    tenants = {a.request_id: a.tenant for a in seen.arrivals}
    for exchange in seen.special.get("withdrawn", ()):
        tenant = tenants.get(exchange.request_id, "")
        withdrawn_at = by_key.get(tenant.removeprefix("tenant-"))
        if not runs[exchange.request_id] or withdrawn_at is None:
            continue
        late_s = exchange.sent_at - withdrawn_at
        is_calm = _is_in_touch(seen, exchange, CONTACT_S + CONFIG_APPLY_S)
        if late_s > CONFIG_APPLY_S and is_calm:
            yield Violation("CONFIG", f"{exchange} sent {late_s:.3f} s after its key")


def _check_retries(seen):
    """Check the runs beyond the first of each request, of each service."""
    routes = {route.prefix: route.service for route in _routes(seen)}
    sent = defaultdict(list)
    for exchange in _all(seen):
        sent[routes[exchange.prefix]].append(exchange.sent_at)
    repeats, known = defaultdict(list), set()
    for arrival in sorted(seen.arrivals, key=lambda a: a.at):
        if arrival.request_id in known:
            repeats[arrival.service].append(arrival.at)
        known.add(arrival.request_id)
    for service, times in repeats.items():
        requests = sorted(sent[service])
        for start in times:
            end = start + RETRY_WINDOW_S
            count = bisect_right(times, end) - bisect_left(times, start)
            allowed = RETRY_SLACK + RETRY_RATIO * max(
                bisect_right(requests, end - back) - bisect_left(requests, start - back)
                for back in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if count > allowed:
                yield Violation("BUDGET", f"{count} repeats at {service} in 10 s")
                break


def _check_closed(seen):
    """Check that machines in touch close no connection on a request that ran."""
    closed = [
        exchange
        for exchange in _all(seen)
        if exchange.end not in HEALTHY_END
        and seen.plain.runs[exchange.request_id]
        and _is_in_touch(seen, exchange)
    ]
    if len(closed) > MOST_CLOSED:
        yield from (Violation("LOST", f"in touch: {exchange}") for exchange in closed)


def _check_held(seen):
    """Check that requests get an answer at the time-out of their route."""
    routes = {route.prefix: route.timeout_ms / 1000 for route in _routes(seen)}
    late, held = [], []
    for exchange in _all(seen):
        waited_s = exchange.ended_at - exchange.sent_at
        if waited_s < routes[exchange.prefix] or exchange.end == "left":
            continue
        if not _is_in_touch(seen, exchange):
            continue
        late.append(exchange)
        if waited_s > routes[exchange.prefix] + HELD_SLACK_S:
            held.append(exchange)
    if len(held) >= LEAST_HELD and len(held) > len(late) / 4:
        yield from (Violation("CONFIG", f"held: {exchange}") for exchange in held)


def _check_recovery(seen):
    kills = [span for span in seen.plain.spans if span.kind == "kill-all"]
    for span in kills:
        start = span.end + RECOVERY_S
        later = [e for e in seen.plain.exchanges if e.sent_at > start]
        served = sum(exchange.status == SUCCESS for exchange in later)
        if not later or served < LEAST_SERVED * len(later):
            yield Violation("RECOVER", f"{served} of {len(later)} served")


def measure(seen: WideObservations) -> dict[str, object]:
    """Return figures of a run that show how near it was to the bounds."""
    ends = Counter(f"{e.end} {e.status}" for e in _all(seen))
    refused = sum(e.status in NOT_RUN_STATUSES for e in _all(seen))
    late = [late_s for _, late_s in _sent_after_leaving(seen)]
    return {
        "ends": dict(ends),
        "refused": refused,
        "most hot in 5 s": _most_hot(seen),
        "longest after leaving": max(late, default=0.0),
        "withdrawals": len(seen.withdrawals),
    }
