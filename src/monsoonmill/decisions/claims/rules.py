"""What the home of a claim answers, whatever keeps its copies."""

from attrs import frozen

from monsoonmill.claim_messages import ClaimReply, ClaimRequest, ClaimSettle
from monsoonmill.claim_records import ClaimState
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.table import EVENTS, ClaimEntry, ClaimTable
from monsoonmill.reasons import Outcome, Reason

RETRY_AFTER_S = 1.0


@frozen
class Verdict:
    """A home's decision on a request.

    Attributes
    ----------
    reply : ClaimReply or None
        What the asker is told; None for an ask that has been settled.
    entry : ClaimEntry or None
        The entry that the decision is about.
    changed : bool
        Whether the entry has to be replicated before the asker is told.
    """

    reply: ClaimReply | None
    entry: ClaimEntry | None = None
    changed: bool = False


def judge_request(
    table: ClaimTable,
    req: ClaimRequest,
    may_have_run: bool,
    counters: Counters,
    now: float,
) -> Verdict:
    """Decide on a request.

    Parameters
    ----------
    may_have_run : bool
        Whether a key that the table lacks may have been claimed all the same.
    """
    entry = table.find(req.partition, req.organisation, req.key)
    if entry is not None:
        return _judge_known(table, entry, req, now)
    if may_have_run:
        return _deny(req, Outcome.UNKNOWN, Reason.CLAIMS_LOST, RETRY_AFTER_S)
    if table.is_full:
        return _deny(req, Outcome.NOT_RUN, Reason.CLAIMS_FULL, RETRY_AFTER_S)
    counters.add("claims-granted")
    entry = table.add(req, now)
    return Verdict(_grant(req), entry, changed=True)


def _judge_known(table, entry, req, now):
    if entry.state is ClaimState.RELEASED:
        if entry.claim == req.claim:
            # A late repeat: its call has ended.
            return Verdict(None)
        table.send(entry, "grant", req, now)
        return Verdict(_grant(req), entry, changed=True)
    if entry.fingerprint != req.fingerprint:
        # Another request under the same key, which has never run.
        return _deny(req, Outcome.NOT_RUN, Reason.DUPLICATE)
    if entry.state is ClaimState.RUNNING:
        if entry.claim == req.claim:
            return Verdict(_grant(req), entry)
        return _deny(req, Outcome.UNKNOWN, Reason.DUPLICATE, RETRY_AFTER_S)
    return _deny_ended(entry, req)


def _deny_ended(entry, req):
    if entry.state is ClaimState.UNKNOWN:
        return _deny(req, Outcome.UNKNOWN, Reason.DUPLICATE)
    reply = ClaimReply(
        req.claim,
        granted=False,
        outcome=Outcome.DONE,
        reason=Reason.DUPLICATE,
        response=entry.response,
    )
    return Verdict(reply, entry)


def judge_ended(table: ClaimTable, req: ClaimRequest) -> ClaimReply | None:
    """Return the denial of a key whose claim has ended, which is final."""
    entry = table.find(req.partition, req.organisation, req.key)
    if entry is None or entry.fingerprint != req.fingerprint:
        return None
    if entry.state not in (ClaimState.DONE, ClaimState.UNKNOWN):
        return None
    return _deny_ended(entry, req).reply


def judge_settle(table: ClaimTable, settle: ClaimSettle, now: float) -> Verdict:
    """Note a call's end, if the entry is still that call's."""
    entry = table.find(settle.partition, settle.organisation, settle.key)
    if entry is None or entry.claim != settle.claim:
        return Verdict(None)
    changed = table.send(entry, EVENTS[settle.outcome], settle.response, now)
    return Verdict(None, entry, changed)


def _grant(req):
    return ClaimReply(req.claim, granted=True, outcome=Outcome.NOT_RUN)


def _deny(req, outcome, reason, retry_after_s=0.0):
    reply = ClaimReply(
        req.claim,
        granted=False,
        outcome=outcome,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    return Verdict(reply)
