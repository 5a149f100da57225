"""Claims held by a single node each, without replication; a baseline for comparisons.

The home of a key is found by rendezvous hashing over the live nodes. A call can
run twice if its key's home fails or changes.
"""

from collections.abc import Iterator
from random import Random

from xxhash import xxh3_64_intdigest

from monsoonmill.claim_messages import (
    ClaimRedirect,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimSettled,
)
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.claims import Claims
from monsoonmill.decisions.claims.client import ClaimClient, HomeLocator
from monsoonmill.decisions.claims.rules import apply_settle, decide_request
from monsoonmill.decisions.claims.table import ClaimTable
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import first_member
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.settings import Settings

CONSTANT_EPOCH = 0


class RendezvousLocator(HomeLocator):
    """Locates the home of a partition by rendezvous hashing over the live nodes."""

    def __init__(self, members: Membership, partitions: int):
        self._members = members
        self._partitions = partitions

    def partition(self, organisation: str, key: str) -> int:
        """Return the partition number of a key."""
        text = f"{len(organisation)}/{organisation}/{key}"
        return xxh3_64_intdigest(text.encode()) % self._partitions

    def home(self, partition: int) -> tuple[str, int] | None:
        """Return the highest-ranked live node of the partition."""
        home = first_member(f"claims/{partition}", self._members.live())
        return home.node, CONSTANT_EPOCH

    def on_no_answer(self, partition: int, now: float) -> Iterator[object]:
        """Do nothing; the home changes when the member list does."""
        return iter(())

    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Do nothing; the home changes when the member list does."""
        return iter(())


class SingleHomeClaims(Claims):
    """Grants claims at their single home."""

    def __init__(
        self, cfg: Settings, members: Membership, rng: Random, counters: Counters
    ):
        self.table = ClaimTable(cfg.claims, counters)
        locator = RendezvousLocator(members, cfg.claims.partitions)
        prefix = f"{members.own.node}/{members.own.incarnation}"
        self.client = ClaimClient(prefix, locator, rng, counters)
        self._counters = counters

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            ClaimRequest: self.on_claim_request,
            ClaimReply: self.on_claim_reply,
            ClaimSettle: self.on_claim_settle,
            ClaimSettled: self.on_claim_settled,
        }

    @property
    def in_progress(self) -> int:
        """Number of claims to settle."""
        return len(self.client)

    def next_due(self):
        """Return when the next timer is due."""
        times = (self.client.next_due(), self.table.next_due())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Run the client's timers and expire overdue claims."""
        yield from self.client.tick(now)
        for entry in self.table.pop_due(now):
            self.table.send_event(entry, "overdue", None, now)

    def on_claim_needed(self, signal, now):
        """Request a claim from the key's home."""
        return self.client.on_claim_needed(signal, now)

    def on_claimed_call_ended(self, signal, now):
        """Settle a claim with the key's home."""
        return self.client.on_call_ended(signal, now)

    def on_claim_request(self, signal: Received, now):
        """Grant or deny a claim request."""
        result = decide_request(self.table, signal.message, False, self._counters, now)
        if result.reply is not None:
            yield Send(signal.node, result.reply)

    def on_claim_settle(self, signal: Received, now):
        """Store the outcome of a call and confirm it."""
        apply_settle(self.table, signal.message, now)
        yield Send(signal.node, ClaimSettled(signal.message.claim))

    def on_claim_reply(self, signal: Received, now):
        """Handle the home's decision."""
        return self.client.on_reply(signal.message, now)

    def on_claim_settled(self, signal: Received, now):
        """Remove a claim whose outcome its home has stored."""
        return self.client.on_settled(signal.message, now)

    def status(self):
        """Return the size of the table and the number of own claims."""
        return {**self.table.status(), "asks": len(self.client)}
