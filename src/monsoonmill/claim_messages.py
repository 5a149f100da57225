"""Messages about claims that nodes exchange over their streams."""

from attrs import frozen

from monsoonmill.claim_records import ClaimCopy, ClaimMap
from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Outcome, Reason


@frozen
class ClaimRequest:
    """Requests an at-most-once claim from the primary of a partition.

    Attributes
    ----------
    claim : str
        Identifier of the request, globally unique.
    partition : int
        Partition of the claim map that the key belongs to.
    epoch : int
        Epoch of the partition in the sender's claim map.
    key : str
        Idempotency key of the call.
    fingerprint : int
        Digest of the call's request, as in ``Forward``.
    timeout_ms : int
        Time left until the call's deadline.
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
    """Response to a ``ClaimRequest``.

    Attributes
    ----------
    claim : str
        Identifier of the request.
    granted : bool
        Whether the requester may execute the call.
    outcome : Outcome
        Outcome of the earlier execution, if the claim is not granted.
    response : HttpResponse or None
        Stored response of the earlier execution.
    reason : Reason or None
        Why the claim is not granted.
    retry_after_s : float
        Time after which the call may be repeated; 0 for no information.
    """

    claim: str
    granted: bool
    outcome: Outcome
    reason: Reason | None = None
    response: HttpResponse | None = None
    retry_after_s: float = 0.0


@frozen
class ClaimRedirect:
    """Reports that the receiver of a ``ClaimRequest`` cannot decide on it.

    Attributes
    ----------
    claim : str
        Identifier of the request.
    version : int
        Version of the sender's claim map.
    """

    claim: str
    version: int


@frozen
class ClaimSettle:
    """Reports the outcome of a claimed call to the primary.

    Attributes
    ----------
    claim : str
        Identifier of the ``ClaimRequest`` that was granted.
    epoch : int
        Epoch of the partition in the sender's claim map.
    key : str
        Idempotency key of the call.
    fingerprint : int
        Digest of the call's request, as in ``Forward``.
    response : HttpResponse or None
        Response of the execution, for repetitions of the call.
    """

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
    """Confirms that primary and backup have stored the outcome of a claim.

    Attributes
    ----------
    claim : str
        Identifier of the claim, from the ``ClaimSettle``.
    """

    claim: str


@frozen
class ClaimReplicate:
    """Replicates one changed claim to the backup."""

    partition: int
    epoch: int
    copy: ClaimCopy


@frozen
class ClaimReplicated:
    """Response to a ``ClaimReplicate``.

    Attributes
    ----------
    number : int
        Sequence number of the change, from the ``ClaimCopy``.
    accepted : bool
        Whether the backup stored the change; false if it is full.
    """

    partition: int
    epoch: int
    number: int
    accepted: bool = True


@frozen
class ClaimTransfer:
    """Sends a batch of the partition's claims to a new backup.

    Attributes
    ----------
    name : str
        Identifier of the transfer, globally unique.
    epoch : int
        Epoch in which the receiver will be the backup.
    batch : int
        Number of the batch, from 0; the next one is sent once it is acknowledged.
    last : bool
        Whether this is the last batch of the transfer.
    """

    name: str
    partition: int
    epoch: int
    batch: int
    last: bool
    copies: tuple[ClaimCopy, ...]


@frozen
class ClaimTransferred:
    """Acknowledges a batch of a ``ClaimTransfer``.

    Attributes
    ----------
    name : str
        Identifier of the transfer.
    """

    name: str
    partition: int
    batch: int


@frozen
class ClaimCopyWanted:
    """Tells the primary that its backup lacks the copy of the partition."""

    partition: int
    epoch: int


@frozen
class ClaimMapRequest:
    """Requests the claim map if the receiver has a newer version.

    Attributes
    ----------
    number : int
        Number of the request, repeated in the reply.
    version : int
        Version of the sender's claim map.
    fresh : bool
        Whether the receiver should also read the map from the platform.
    """

    number: int
    version: int
    fresh: bool = False


@frozen
class ClaimMapReply:
    """Response to a ``ClaimMapRequest``; also sent unsolicited.

    Attributes
    ----------
    number : int
        Number of the request; 0 if unsolicited.
    age_ms : int or None
        Time since the platform was known to hold this version; None if unknown.
    claim_map : ClaimMap or None
        None if the requester's is as new, or if the message announces a version.
    """

    number: int
    version: int
    age_ms: int | None
    claim_map: ClaimMap | None = None
