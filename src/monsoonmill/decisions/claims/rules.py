"""Rules by which a claim's home decides, independent of replication."""

from attrs import frozen

from monsoonmill.claim_messages import ClaimReply, ClaimRequest, ClaimSettle
from monsoonmill.claim_records import ClaimState
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.table import OUTCOME_EVENTS, ClaimEntry, ClaimTable
from monsoonmill.reasons import Outcome, Reason

RETRY_AFTER_S = 1.0
"""Retry delay sent with a denial that is not final."""


@frozen
class ClaimResult:
    """Result of a request or a settlement.

    Attributes
    ----------
    reply : ClaimReply or None
        Reply to the requester; None if it gets none.
    entry : ClaimEntry or None
        Entry that the result is about.
    changed : bool
        Whether the entry has to be replicated before the requester is answered.
    """

    reply: ClaimReply | None
    entry: ClaimEntry | None = None
    changed: bool = False


def decide_request(
    table: ClaimTable,
    req: ClaimRequest,
    may_have_run: bool,
    counters: Counters,
    now: float,
) -> ClaimResult:
    """Grant or deny a claim request.

    Parameters
    ----------
    may_have_run : bool
        Whether a key without an entry may have been claimed nevertheless.
    """
    entry = table.find(req.partition, req.organisation, req.key)
    if entry is not None:
        return _decide_known_key(table, entry, req, now)
    if may_have_run:
        return _deny(req, Outcome.UNKNOWN, Reason.CLAIMS_LOST, RETRY_AFTER_S)
    if table.is_full:
        return _deny(req, Outcome.NOT_RUN, Reason.CLAIMS_FULL, RETRY_AFTER_S)
    counters.add("claims-granted")
    entry = table.add(req, now)
    return ClaimResult(_grant(req), entry, changed=True)


def _decide_known_key(table, entry, req, now):
    if entry.state is ClaimState.RELEASED:
        if entry.claim == req.claim:
            # A delayed repeat of a request whose call has ended.
            return ClaimResult(None)
        table.send_event(entry, "grant", req, now)
        return ClaimResult(_grant(req), entry, changed=True)
    if entry.fingerprint != req.fingerprint:
        # A different request with the same key; it has never run.
        return _deny(req, Outcome.NOT_RUN, Reason.DUPLICATE)
    if entry.state is ClaimState.RUNNING:
        if entry.claim == req.claim:
            return ClaimResult(_grant(req), entry)
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
    return ClaimResult(reply, entry)


def deny_if_ended(table: ClaimTable, req: ClaimRequest) -> ClaimReply | None:
    """Return the denial of a claim that has ended, or None.

    Such a denial is final, so a replica that does not serve may also send it.
    """
    entry = table.find(req.partition, req.organisation, req.key)
    if entry is None or entry.fingerprint != req.fingerprint:
        return None
    if entry.state not in (ClaimState.DONE, ClaimState.UNKNOWN):
        return None
    return _deny_ended(entry, req).reply


def apply_settle(table: ClaimTable, settle: ClaimSettle, now: float) -> ClaimResult:
    """Store the outcome of a call if the entry still belongs to it."""
    entry = table.find(settle.partition, settle.organisation, settle.key)
    if entry is None or entry.claim != settle.claim:
        return ClaimResult(None)
    changed = table.send_event(
        entry, OUTCOME_EVENTS[settle.outcome], settle.response, now
    )
    return ClaimResult(None, entry, changed)


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
    return ClaimResult(reply)
