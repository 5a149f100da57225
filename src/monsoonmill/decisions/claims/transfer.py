"""Transfer of a whole partition's claims to another node, in batches."""

from collections.abc import Iterator

from attrs import define

from monsoonmill.claim_messages import ClaimTransfer
from monsoonmill.claim_records import ClaimCopy
from monsoonmill.decisions.signals import Send

BATCH_ENTRIES = 64
BATCH_BYTES = 1 << 17


@define
class OutgoingTransfer:
    """A transfer under way; the next batch goes once the last is held.

    Attributes
    ----------
    name : str
        Unique over all nodes and times.
    epoch : int
        Epoch for which the receiver will hold the copy.
    """

    name: str
    node: str
    partition: int
    epoch: int
    batches: tuple[tuple[ClaimCopy, ...], ...]
    batch: int = 0

    @property
    def is_done(self) -> bool:
        """Whether the receiver holds all batches."""
        return self.batch == len(self.batches)

    def message(self) -> Send:
        """Return the batch that the receiver has to acknowledge."""
        message = ClaimTransfer(
            self.name,
            self.partition,
            self.epoch,
            self.batch,
            self.batch == len(self.batches) - 1,
            self.batches[self.batch],
        )
        return Send(self.node, message)

    def note_held(self, name: str, batch: int) -> bool:
        """Note a receipt; return whether it was for the current batch."""
        if self.is_done or (name, batch) != (self.name, self.batch):
            return False
        self.batch += 1
        return True


def cut_batches(copies: list[ClaimCopy]) -> Iterator[tuple[ClaimCopy, ...]]:
    """Yield the copies in batches of bounded number and size; one if none."""
    batch = []
    size = 0
    for copy in copies:
        body = len(copy.response.body) if copy.response else 0
        if batch and (len(batch) == BATCH_ENTRIES or size + body > BATCH_BYTES):
            yield tuple(batch)
            batch, size = [], 0
        batch.append(copy)
        size += body
    yield tuple(batch)
