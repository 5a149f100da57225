"""Messages about claims that nodes send one another over their streams."""

from attrs import frozen

from monsoonmill.claim_records import ClaimCopy, ClaimMap
from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Outcome, Reason


@frozen
class ClaimRequest:
    """Asks the primary of a partition for the right to run a call once.

    Attributes
    ----------
    claim : str
        Names the ask; unique over all nodes and times.
    """

    claim: str
    partition: int
    epoch: int
    organisation: str
    key: str
    fingerprint: int
    timeout_ms: int


@frozen
class ClaimReply:
    """Answers a ``ClaimRequest``.

    Attributes
    ----------
    granted : bool
        Whether the asker may run the call.
    outcome : Outcome
        What is known of an earlier run, when not granted.
    response : HttpResponse or None
        The kept answer of an earlier run.
    """

    claim: str
    granted: bool
    outcome: Outcome
    reason: Reason | None = None
    response: HttpResponse | None = None
    retry_after_s: float = 0.0


@frozen
class ClaimRedirect:
    """Tells an asker that the receiver can't decide at present.

    Attributes
    ----------
    version : int
        Version of the map that the sender has.
    """

    claim: str
    version: int


@frozen
class ClaimSettle:
    """Tells the primary how a claimed call ended."""

    claim: str
    partition: int
    epoch: int
    organisation: str
    key: str
    fingerprint: int
    outcome: Outcome
    response: HttpResponse | None = None


@frozen
class ClaimSettled:
    """Tells the asker that both copies hold the end of a claim."""

    claim: str


@frozen
class ClaimReplicate:
    """Gives the backup one changed claim."""

    partition: int
    epoch: int
    copy: ClaimCopy


@frozen
class ClaimReplicated:
    """Tells the primary that the backup holds a change, or has no room."""

    partition: int
    epoch: int
    number: int
    accepted: bool = True


@frozen
class ClaimTransfer:
    """Gives a new backup a batch of the partition's claims.

    Attributes
    ----------
    name : str
        Names the transfer; unique over all nodes and times.
    epoch : int
        Epoch for which the receiver will hold the copy.
    batch : int
        Counts from 0; the next one follows the receipt.
    """

    name: str
    partition: int
    epoch: int
    batch: int
    last: bool
    copies: tuple[ClaimCopy, ...]


@frozen
class ClaimTransferred:
    """Tells the sender of a batch that it is held."""

    name: str
    partition: int
    batch: int


@frozen
class ClaimCopyWanted:
    """Tells the primary that its backup does not have the partition's copy."""

    partition: int
    epoch: int


@frozen
class ClaimMapRequest:
    """Asks for the claim map if the receiver's is newer.

    Attributes
    ----------
    number : int
        Names the request in the answer.
    fresh : bool
        Whether the receiver should also read the platform's value.
    """

    number: int
    version: int
    fresh: bool = False


@frozen
class ClaimMapReply:
    """Carries the claim map, or tells that the receiver's is as new.

    Attributes
    ----------
    number : int
        Number of the request; 0 if none asked.
    age_ms : int or None
        Time since the platform held this version; None if not known.
    """

    number: int
    version: int
    age_ms: int | None
    claim_map: ClaimMap | None = None
