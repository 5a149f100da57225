"""Transfer of all claims of a partition to another node, in batches."""

from collections.abc import Iterator

from attrs import define

from monsoonmill.claim_messages import ClaimTransfer
from monsoonmill.claim_records import ClaimCopy
from monsoonmill.decisions.signals import Send

MAX_BATCH_ENTRIES = 64
MAX_BATCH_BYTES = 1 << 17


@define
class OutgoingTransfer:
    """A transfer in progress; each batch is sent once the previous one is acknowledged.

    Attributes
    ----------
    name : str
        Name of the transfer, unique over all nodes and times.
    epoch : int
        Epoch for which the receiver will hold the copy.
    batch : int
        Number of the batch that is to be acknowledged next.
    """

    name: str
    node: str
    partition: int
    epoch: int
    batches: tuple[tuple[ClaimCopy, ...], ...]
    batch: int = 0

    @property
    def is_done(self) -> bool:
        """Whether the receiver has acknowledged all batches."""
        return self.batch == len(self.batches)

    def message(self) -> Send:
        """Return the message with the current batch."""
        message = ClaimTransfer(
            self.name,
            self.partition,
            self.epoch,
            self.batch,
            self.batch == len(self.batches) - 1,
            self.batches[self.batch],
        )
        return Send(self.node, message)

    def acknowledge(self, name: str, batch: int) -> bool:
        """Advance to the next batch; return False if another one was acknowledged."""
        if self.is_done or (name, batch) != (self.name, self.batch):
            return False
        self.batch += 1
        return True


def split_into_batches(copies: list[ClaimCopy]) -> Iterator[tuple[ClaimCopy, ...]]:
    """Yield the copies in batches of limited length and size.

    One empty batch is yielded if there are no copies.
    """
    batch = []
    size = 0
    for copy in copies:
        body = len(copy.response.body) if copy.response else 0
        if batch and (len(batch) == MAX_BATCH_ENTRIES or size + body > MAX_BATCH_BYTES):
            yield tuple(batch)
            batch, size = [], 0
        batch.append(copy)
        size += body
    yield tuple(batch)
