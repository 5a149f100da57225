"""Changes of claims that await the backup's acknowledgement."""

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
        Messages to send once the change is acknowledged.
    """

    entry: ClaimEntry
    replies: list[Send]


class PendingChanges:
    """The unacknowledged changes of one partition, by change number."""

    def __init__(self, table: ClaimTable):
        self._table = table
        self._changes: dict[int, PendingChange] = {}

    def __len__(self):
        return len(self._changes)

    def __contains__(self, entry: ClaimEntry):
        return entry.number in self._changes

    def add(self, entry: ClaimEntry, replies: list[Send]) -> None:
        """Hold the replies of a change until the backup acknowledges it."""
        self._changes[entry.number] = PendingChange(entry, replies)

    def clear(self) -> None:
        """Drop all pending changes and their replies."""
        self._changes.clear()

    def unacknowledged(self) -> Iterator[ClaimEntry]:
        """Yield the entries to resend; the latest change includes the earlier ones."""
        for number, change in list(self._changes.items()):
            if change.entry.number == number:
                yield change.entry
            else:
                del self._changes[number]

    def on_acknowledgement(self, acknowledgement: ClaimReplicated) -> Iterator[Send]:
        """Yield the replies that an acknowledgement releases."""
        change = self._changes.pop(acknowledgement.number, None)
        if change is None:
            return
        if not acknowledgement.accepted:
            yield from self._reject(change)
        elif change.entry.number == acknowledgement.number:
            yield from change.replies

    def _reject(self, change):
        """Remove a claim that the backup has no room for, and deny its requests.

        The call never ran, since its claim was not granted.
        """
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
