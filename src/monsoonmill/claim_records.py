"""Records of claims of at-most-once calls, stored and exchanged by nodes."""

from enum import Enum, unique

from attrs import frozen
from xxhash import xxh3_64_intdigest

from monsoonmill.model import HttpResponse

FIRST_EPOCH = 1
"""Initial epoch of a partition, before which no claims can exist."""
NEVER_EMPTIED = 0
"""Value of ``PartitionRecord.emptied_epoch`` if no claims are missing."""


@unique
class ClaimState(Enum):
    """States of the claim chart."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@frozen
class CopyHolder:
    """A node process that holds a copy of a partition."""

    node: str
    incarnation: int


@frozen
class PartitionRecord:
    """Assignment of a partition's claims to a primary and a backup.

    Attributes
    ----------
    backup : CopyHolder or None
        None while there is only a primary.
    epoch : int
        Incremented with each change of the record.
    transfer : str or None
        Identifier of the transfer that gave the backup its copy for this epoch;
        empty if it kept its copy from the previous epoch; None if it has no
        copy yet.
    emptied_epoch : int
        Epoch that started without the earlier claims because both copies were
        lost; 0 once claims from before that epoch no longer matter.
    """

    primary: CopyHolder
    backup: CopyHolder | None
    epoch: int = FIRST_EPOCH
    emptied_epoch: int = NEVER_EMPTIED
    transfer: str | None = None

    @property
    def holders(self) -> tuple[CopyHolder, ...]:
        """The primary and, if there is one, the backup."""
        return tuple(
            holder for holder in (self.primary, self.backup) if holder is not None
        )

    def holds(self, holder: CopyHolder) -> bool:
        """Return whether a process is the primary or the backup."""
        return holder in self.holders


@frozen
class ClaimMap:
    """The records of all partitions, indexed by partition number."""

    records: tuple[PartitionRecord, ...]

    def partition(self, organisation: str, key: str) -> int:
        """Return the partition number of an organisation's idempotency key."""
        text = f"{len(organisation)}/{organisation}/{key}"
        return xxh3_64_intdigest(text.encode()) % len(self.records)


@frozen
class ClaimCopy:
    """A claim as replicated to the backup.

    Attributes
    ----------
    key : str
        Idempotency key of the call.
    claim : str
        Identifier of the request that made the claim.
    fingerprint : int
        Digest of the call's request, as in ``Forward``.
    timeout_ms : int
        Time left for the call when it requested the claim.
    remaining_ms : int
        Time until the claim becomes overdue or is deleted.
    number : int
        Sequence number of the change within the partition.
    """

    organisation: str
    key: str
    claim: str
    fingerprint: int
    state: ClaimState
    timeout_ms: int
    remaining_ms: int
    number: int
    response: HttpResponse | None = None
