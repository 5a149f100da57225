"""What must hold in each run, checked from what callers and backend servers saw."""

from bisect import bisect_right

from attrs import frozen

from tests.integration.load import Oracle

WINDOW_S = 5.0


@frozen
class BrokenPromise:
    """A promise that a run has broken, with the evidence."""

    promise: str
    evidence: str


def refused_but_ran(sent, executions):
    """Return tries that were told not to have run, but did."""
    ran = {(one["id"], one["headers"].get("x-try")) for one in executions}
    return [
        one
        for one in sent
        if one.outcome == "not-run" and (one.id, str(one.number)) in ran
    ]


def check_refusals(sent, executions):
    """Yield calls whose every try was refused as not run, though one ran.

    Only once all callers have ended: before, a further try may be under way.
    """
    found = Oracle(sent, executions).wrong_not_run()
    if found:
        yield BrokenPromise("all tries refused as not run, but one ran", repr(found))


def check_answers(sent, executions):
    """Yield broken promises on answers, refusals, single runs and keys."""
    oracle = Oracle(sent, executions)
    found = {
        "runs twice that must run once": oracle.pledges_run_twice(),
        "refused as not run, but ran": refused_but_ran(sent, executions),
        "answered without a run": oracle.wrong_done(),
        "answer is not whole or another's": oracle.broken_answers(),
        "backend server saw a key": oracle.key_leaks(),
    }
    yield from (BrokenPromise(name, repr(one)) for name, one in found.items() if one)


def check_rate(sent, rate, burst):
    """Yield windows in which an organisation surely got more than it is owed.

    A call took its token between its begin and its end, so calls that lie in a
    window as a whole took theirs in it.
    """
    done = sorted((one.ended_at, one.sent_at) for one in sent if one.is_done)
    most = rate * WINDOW_S + burst
    for begins_at in sorted({begin for _, begin in done}):
        last = bisect_right(done, (begins_at + WINDOW_S, float("inf")))
        inside = sum(begin >= begins_at for _, begin in done[:last])
        if inside > most:
            text = f"{inside} of {most:g} from {begins_at:.3f}"
            yield BrokenPromise("over the rate", text)
            return


def check_planned_stops(sent, executions, steps, contact_s):
    """Yield requests that a planned stop cut off while nothing else was wrong."""
    cut_off = Oracle(sent, executions).cut_off()
    unplanned = [one for one in steps if not one.fault.is_planned]
    for stop in (one for one in steps if one.fault.is_planned):
        host = f"host-{stop.fault.place.host}"
        for one in cut_off:
            is_during = stop.overlaps(one.sent_at, one.ended_at)
            is_calm = not any(
                other.overlaps(one.sent_at - contact_s, one.ended_at)
                for other in unplanned
            )
            if one.host == host and is_during and is_calm:
                yield BrokenPromise("planned stop cut a request off", repr(one))


def check_ends(sent, steps, limit_s):
    """Yield calls that a node did not answer in their time though it ran."""
    process = [one for one in steps if one.fault.place.part == "node"]
    for one in sent:
        was_harmed = any(
            f"host-{step.fault.place.host}" == one.host
            and step.overlaps(one.sent_at, one.ended_at)
            for step in process
        )
        if one.ended_at - one.sent_at > limit_s and not was_harmed:
            yield BrokenPromise("no answer within the call's time", repr(one))
