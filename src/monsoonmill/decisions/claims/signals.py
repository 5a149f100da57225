"""Signals about claims."""

from attrs import frozen

from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Outcome, Reason


@frozen
class ClaimNeeded:
    """A call needs the claim on its key before it may run."""

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
    """A call must not run.

    Attributes
    ----------
    outcome : Outcome
        What is known of an earlier run with the same key.
    response : HttpResponse or None
        Stored response of the earlier run.
    """

    call: str
    reason: Reason
    outcome: Outcome
    response: HttpResponse | None = None
    retry_after_s: float = 0.0


@frozen
class ClaimedCallEnded:
    """A call that held its claim has ended."""

    call: str
    outcome: Outcome
    response: HttpResponse | None = None
