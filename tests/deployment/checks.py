"""Checks of a run against the users' rules, from what clients and servers saw."""

from collections import Counter
from collections.abc import Iterator
from math import inf
from signal import SIGHUP, SIGTERM

from attrs import field, frozen

from monsoonmill.standin.platform_backend import RecordedRequest
from monsoonmill.standin.platform_nested import NestedCall
from tests.deployment.clients import Exchange, request_body
from tests.deployment.disruptions import DRAIN_TIMEOUT_S, MAX_START_S, Span
from tests.deployment.fleet import GRACE_PERIOD_S, TENANT, Leave, ProcessEnd
from tests.deployment.sites import Site

START_EXCUSE_S = 1.0
CONTACT_S = 4.0
LOSS_SLACK_S = 0.2
EXIT_SLACK_S = 1.0
"""A SIGTERM excuses nothing, but ends to count this long after the grace period."""
EXCUSED_SENT_S = 3.0
EXCUSED_WORK_S = GRACE_PERIOD_S * 5 / 6
"""A request that was sent by then and is at work in the last sixth may be cut off."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
SUCCESS = 200
ARRIVAL_S = 0.1
"""Time in which a request that was sent on reaches a backend server."""
BROKEN_OFF_S = 0.1
MOST_CLOSED = 3
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 50
FIRST_REQUESTS = "first"
"""End of the paths that are asked before the clients start."""


@frozen
class Violation:
    """A broken rule."""

    rule: str
    detail: str


@frozen
class Observations:
    """What a run has shown.

    Attributes
    ----------
    executions : list of RecordedRequest
        What backend servers ran.
    leaves : list of Leave
        Backend servers that left.
    calls : dict
        Calls that backend servers made, by their ids.
    call_exchanges : list of Exchange
        What backend servers saw of these calls.
    services : dict
        For each machine, the services of its backend server and since when.
    runs : Counter
        How often backend servers ran each request.
    """

    site: Site
    exchanges: list[Exchange]
    executions: list[RecordedRequest]
    ends: list[ProcessEnd]
    spans: list[Span]
    unready: tuple[int, ...]
    leaves: list[Leave] = field(factory=list)
    calls: dict[str, NestedCall] = field(factory=dict)
    call_exchanges: list[Exchange] = field(factory=list)
    services: dict[int, list[tuple[float, str]]] = field(factory=dict)
    runs: Counter = field(init=False)

    @runs.default
    def _count_runs(self):
        return Counter(run.request_id for run in self.executions)


def find_violations(seen: Observations) -> Iterator[Violation]:
    """Yield the broken rules."""
    yield from _check_processes(seen)
    yield from _check_answers(seen)
    yield from _check_lost(seen)
    yield from _check_kept(seen)
    yield from _check_broken_off(seen)
    yield from _check_requests(seen)
    yield from _check_leaves(seen)
    yield from _check_bodies(seen)
    yield from _check_repeats(seen)


def find_answer_violations(seen: Observations) -> Iterator[Violation]:
    """Yield the broken rules about answers, whatever the requests looked like."""
    yield from _check_answers(seen)
    yield from _check_lost(seen)


def _check_processes(seen):
    for end in seen.ends:
        if _is_within_start(end):
            continue
        if end.requested_at is None:
            yield Violation(
                "FAULT", f"machine {end.machine} ended by itself with {end.status}"
            )
        elif not end.is_killed and end.status not in _expected_statuses(end):
            yield Violation(
                "FAULT", f"machine {end.machine} ended after SIGTERM with {end.status}"
            )
        elif end.is_killed and end.ended_at - end.requested_at > GRACE_PERIOD_S / 2:
            yield Violation(
                "FAULT", f"machine {end.machine} was there after its grace period"
            )
    for machine in seen.unready:
        yield Violation("FAULT", f"machine {machine} doesn't become ready")


def _is_within_start(end):
    """Return whether a signal ended a process that had just been started.

    An end within a second of a disruption on its machine, as a start is, doesn't count
    as one of the process's own. Until the interpreter runs, signals have their default
    action.
    """
    return end.status == -SIGHUP and end.ended_at - end.launched_at < START_EXCUSE_S


def _expected_statuses(end):
    """Return the exit statuses after a SIGTERM.

    The interpreter needs some time until a program can handle a signal.
    """
    is_early = end.requested_at - end.launched_at < MAX_START_S
    return (0, -SIGTERM) if is_early else (0,)


def _check_answers(seen):
    prefixes = {route.prefix: route for route in seen.site.routes}
    for exchange in seen.exchanges:
        route = prefixes[exchange.prefix]
        ran = seen.runs[exchange.request_id]
        if ran > 1 and not route.is_repeatable:
            yield Violation("TWICE", f"{exchange}")
        if ran and not route.is_repeatable and exchange.status in NOT_RUN_STATUSES:
            yield Violation("REFUSED", f"{exchange}")
        if exchange.status == SUCCESS and not exchange.is_signed:
            yield Violation("MIXED", f"{exchange}")
        if exchange.answer_id not in ("", exchange.request_id):
            yield Violation("MIXED", f"{exchange}")
        if exchange.status in (401, 403, 404):
            yield Violation("DENIED", f"{exchange}")


def _check_lost(seen):
    for exchange in (*seen.exchanges, *seen.call_exchanges):
        if exchange.end in ("answer", "left"):
            continue
        stop = _planned_stop(seen, exchange)
        if stop is None or _has_unplanned(seen, exchange):
            continue
        waited_s = exchange.ended_at - exchange.sent_at
        if seen.runs[exchange.request_id] or waited_s > LOSS_SLACK_S:
            sent_s = exchange.sent_at - stop.start
            if sent_s <= EXCUSED_SENT_S and (
                exchange.ended_at - stop.start >= EXCUSED_WORK_S
                and seen.runs[exchange.request_id]
            ):
                continue
            yield Violation(
                "LOST",
                f"{exchange}: sent {sent_s:.3f} s after {stop.kind}, ended after "
                f"{waited_s:.3f} s, ran {seen.runs[exchange.request_id]} times",
            )


def _check_kept(seen):
    """Find machines in touch that close kept connections whose request has run."""
    closed = [
        exchange
        for exchange in (*seen.exchanges, *seen.call_exchanges)
        if exchange.end in ("closed", "reset", "cut")
        and exchange.earlier
        and seen.runs[exchange.request_id]
        and not _was_disturbed(seen, exchange.machine, exchange.ended_at)
    ]
    if len(closed) > MOST_CLOSED:
        yield Violation("LOST", f"{len(closed)} on kept connections, as {closed[0]}")


def _check_repeats(seen):
    """Find services that get too many repeated requests in a time."""
    services = {route.prefix: route.service for route in seen.site.routes}
    sent = {service: [] for service in seen.site.machines}
    for exchange in (*seen.exchanges, *seen.call_exchanges):
        sent[services[exchange.prefix]].append(exchange.sent_at)
    repeats = {service: [] for service in seen.site.machines}
    known = set()
    for run in sorted(seen.executions, key=lambda run: run.started_at):
        if run.request_id in known:
            repeats[run.service].append(run.started_at)
        known.add(run.request_id)
    for service, times in repeats.items():
        for end in times:
            count = _count_in_window(times, end)
            requests = max(
                _count_in_window(sent[service], end - RETRY_WINDOW_S * back)
                for back in (0.0, 0.5, 1.0)
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield Violation(
                    "BUDGET", f"{service}: {count} repeats, {requests} requests"
                )
                break


def _count_in_window(times, end):
    return sum(end - RETRY_WINDOW_S < time <= end for time in times)


def _check_broken_off(seen):
    """Yield the requests that a stop ended with an answer of the node's own."""
    last_end = {}
    for run in seen.executions:
        end = max(last_end.get(run.request_id, 0.0), run.ended_at)
        last_end[run.request_id] = end
    timeouts = {route.prefix: route.timeout_ms / 1000 for route in seen.site.routes}
    for exchange in seen.exchanges:
        if exchange.end != "answer" or exchange.status == SUCCESS or exchange.is_signed:
            continue
        stop = _planned_stop(seen, exchange)
        if stop is None or _has_unplanned(seen, exchange):
            continue
        time_s = min(exchange.deadline_s, timeouts[exchange.prefix])
        if exchange.ended_at - exchange.sent_at > time_s - BROKEN_OFF_S:
            continue
        is_excused = (
            exchange.sent_at - stop.start <= EXCUSED_SENT_S
            and exchange.ended_at - stop.start >= EXCUSED_WORK_S
        )
        is_at_work = last_end.get(exchange.request_id, 0.0) > (
            exchange.ended_at + BROKEN_OFF_S
        )
        if is_at_work and not is_excused:
            yield Violation(
                "LOST",
                f"{exchange}: broken off, sent {exchange.sent_at - stop.start:.3f} s, "
                f"ended {exchange.ended_at - stop.start:.3f} s after {stop.kind}",
            )


def _check_requests(seen):
    """Yield the requests that servers ran otherwise than they were sent."""
    exchanges = {exchange.request_id: exchange for exchange in seen.exchanges}
    routes = {route.prefix: route for route in seen.site.routes}
    for run in seen.executions:
        if run.path.endswith(FIRST_REQUESTS):
            continue
        prefix = run.path[: run.path.rindex("/") + 1]
        if prefix in routes and run.service != routes[prefix].service:
            yield Violation("ROUTE", f"{_named(run)}: {run.path}")
        call = seen.calls.get(run.request_id)
        exchange = exchanges.get(run.request_id)
        if call is not None:
            expected = ("GET", call.path, b"", call.service, None)
        elif exchange is not None:
            number = run.request_id.rpartition("-")[2]
            size = routes[exchange.prefix].body_bytes
            expected = (
                "POST" if size else "GET",
                f"{exchange.prefix}{number}",
                request_body(run.request_id, size),
                _service_at(seen, exchange.machine, exchange.sent_at),
                TENANT,
            )
        else:
            yield Violation("UNASKED", f"{_named(run)}: nobody sent it")
            continue
        got = (
            run.method,
            run.path,
            run.body,
            run.headers.get("x-monsoonmill-caller-service"),
            run.headers.get("x-monsoonmill-tenant-id"),
        )
        if got != expected:
            yield Violation("UNASKED", f"{_named(run)}: {got} for {expected}")
        if "authorization" in run.headers:
            yield Violation("UNASKED", f"{_named(run)}: the key was passed on")


def _check_leaves(seen):
    """Yield the requests that reached a server too long after it had left."""
    exchanges = {exchange.request_id: exchange for exchange in seen.exchanges}
    left_at = {leave.instance: leave.acknowledged_at for leave in seen.leaves}
    for run in seen.executions:
        late_s = run.started_at - left_at.get(run.instance, inf) - DRAIN_TIMEOUT_S
        exchange = exchanges.get(run.request_id)
        if late_s < ARRIVAL_S or exchange is None:
            continue
        if not _was_disturbed(seen, exchange.machine, run.started_at):
            yield Violation(
                "DRAIN", f"{_named(run)}: {late_s:.3f} s late, from {exchange.machine}"
            )


def _check_bodies(seen):
    """Yield the answers that are not a server's own, whole answer to the request."""
    given = {}
    for run in seen.executions:
        given.setdefault(run.request_id, set()).add(run.status)
    for exchange in seen.exchanges:
        if not exchange.is_whole:
            yield Violation("MIXED", f"{exchange}: not the whole body of its own")
        if exchange.surplus_bytes:
            yield Violation("MIXED", f"{exchange}: bytes after the answer")
        is_given = exchange.status in given.get(exchange.request_id, ())
        if exchange.end == "answer" and exchange.is_signed and not is_given:
            yield Violation("MIXED", f"{exchange}: no server gave this status")
    for exchange in seen.call_exchanges:
        if not exchange.is_whole:
            yield Violation("MIXED", f"{exchange}: not the whole body of its own")


def _service_at(seen, machine, at):
    return [name for since, name in seen.services[machine] if since <= at][-1]


def _named(run):
    return f"{run.request_id} at {run.instance} of {run.service}"


def _was_disturbed(seen, machine, at):
    return any(
        (not span.is_planned or machine in span.machines)
        and span.start <= at
        and span.end >= at - CONTACT_S
        for span in seen.spans
    )


def _planned_stop(seen, exchange):
    """Return the planned stop of the machine around the end of an exchange."""
    for span in seen.spans:
        is_on_machine = span.is_planned and exchange.machine in span.machines
        if is_on_machine and span.start <= exchange.ended_at <= (
            span.start + GRACE_PERIOD_S + EXIT_SLACK_S
        ):
            return span
    return None


def _has_unplanned(seen, exchange):
    start = exchange.sent_at - CONTACT_S
    return any(
        not span.is_planned and span.start <= exchange.ended_at and span.end >= start
        for span in seen.spans
    )


def crossed(seen: Observations) -> int:
    """Return how many requests met a close before a node had read them."""
    return sum(
        exchange.end not in ("answer", "left") and not seen.runs[exchange.request_id]
        for exchange in seen.exchanges
    )
