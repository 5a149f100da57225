"""What nodes keep and exchange about claims of at-most-once calls."""

from enum import Enum, unique

from attrs import frozen
from xxhash import xxh3_64_intdigest

from monsoonmill.model import HttpResponse

FIRST_EPOCH = 1
"""Epoch of a partition that no claim can have been made in before."""
NEVER_EMPTIED = 0


@unique
class ClaimState(Enum):
    """States of the claim chart."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@frozen
class CopyHolder:
    """One process that holds a copy of a partition."""

    node: str
    incarnation: int


@frozen
class PartitionRecord:
    """Which two processes hold the claims of a partition.

    Attributes
    ----------
    backup : CopyHolder or None
        None while the primary is alone.
    epoch : int
        Grows by one with each change of the record.
    transfer : str or None
        Names the transfer that gave the backup its copy for this epoch; empty
        if it had one from the epoch before; None if it gets one only now.
    emptied_epoch : int
        Epoch that began without the claims made before, because both copies
        were lost; 0 once such claims can't matter any more.
    """

    primary: CopyHolder
    backup: CopyHolder | None
    epoch: int = FIRST_EPOCH
    emptied_epoch: int = NEVER_EMPTIED
    transfer: str | None = None

    @property
    def holders(self) -> tuple[CopyHolder, ...]:
        """The processes that the record names."""
        return tuple(one for one in (self.primary, self.backup) if one is not None)

    def holds(self, holder: CopyHolder) -> bool:
        """Return whether a process is named by the record."""
        return holder in self.holders


@frozen
class ClaimMap:
    """The records of all partitions, by number."""

    records: tuple[PartitionRecord, ...]

    def partition(self, organisation: str, key: str) -> int:
        """Return the number of a key's partition."""
        text = f"{len(organisation)}/{organisation}/{key}"
        return xxh3_64_intdigest(text.encode()) % len(self.records)


@frozen
class ClaimCopy:
    """One claim as it travels to the backup.

    Attributes
    ----------
    claim : str
        Names the ask that the claim belongs to.
    timeout_ms : int
        Time that the call had when it asked.
    remaining_ms : int
        Time until the claim is overdue or forgotten.
    number : int
        Grows with each change of a claim in the partition.
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
