"""Changes of claims that the backup has not acknowledged yet."""

from collections.abc import Iterator

from attrs import define

from monsoonmill.claim_messages import ClaimReplicated, ClaimReply
from monsoonmill.decisions.claims.table import ClaimEntry, ClaimTable
from monsoonmill.decisions.signals import Send
from monsoonmill.reasons import Outcome, Reason


@define
class PendingChange:
    """A change that the backup has not acknowledged.

    Attributes
    ----------
    replies : list of Send
        What is sent once it has.
    """

    entry: ClaimEntry
    replies: list[Send]


class PendingChanges:
    """The unacknowledged changes of one partition, by number."""

    def __init__(self, table: ClaimTable):
        self._table = table
        self._changes: dict[int, PendingChange] = {}

    def __len__(self):
        return len(self._changes)

    def __contains__(self, entry: ClaimEntry):
        return entry.number in self._changes

    def add(self, entry: ClaimEntry, replies: list[Send]) -> None:
        """Wait for a change's receipt."""
        self._changes[entry.number] = PendingChange(entry, replies)

    def clear(self) -> None:
        """Wait for nothing any more."""
        self._changes.clear()

    def latest(self) -> Iterator[ClaimEntry]:
        """Yield the entries to repeat; a later change carries an earlier one."""
        for number, change in list(self._changes.items()):
            if change.entry.number == number:
                yield change.entry
            else:
                del self._changes[number]

    def on_receipt(self, receipt: ClaimReplicated) -> Iterator[Send]:
        """Yield the replies that waited for a receipt."""
        change = self._changes.pop(receipt.number, None)
        if change is None:
            return
        if not receipt.accepted:
            yield from self._refuse(change)
        elif change.entry.number == receipt.number:
            yield from change.replies

    def _refuse(self, change):
        """Forget a claim that the backup has no room for: it never ran."""
        self._changes.pop(change.entry.number, None)
        self._table.remove(change.entry)
        for reply in change.replies:
            denied = ClaimReply(
                change.entry.claim,
                granted=False,
                outcome=Outcome.NOT_RUN,
                reason=Reason.CLAIMS_FULL,
            )
            yield Send(reply.node, denied)
