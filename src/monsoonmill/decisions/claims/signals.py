"""Signals of claims."""

from attrs import frozen

from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Outcome, Reason


@frozen
class ClaimNeeded:
    """A call needs the right to run once."""

    call: str
    organisation: str
    key: str
    fingerprint: int
    deadline: float


@frozen
class ClaimGranted:
    """A call may run."""

    call: str


@frozen
class ClaimDenied:
    """A call must not run; an earlier run may have left an answer."""

    call: str
    reason: Reason
    outcome: Outcome
    response: HttpResponse | None = None
    retry_after_s: float = 0.0


@frozen
class ClaimedCallEnded:
    """A call that had its claim ended."""

    call: str
    outcome: Outcome
    response: HttpResponse | None = None
