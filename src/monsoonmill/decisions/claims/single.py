"""Claims held by one node each: the baseline to compare with.

The home of a key is found by rendezvous hashing over the live nodes. A key
whose home dies or changes can run twice.
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
from monsoonmill.decisions.claims.asks import ClaimAsks, ClaimHomes
from monsoonmill.decisions.claims.claims import Claims
from monsoonmill.decisions.claims.rules import judge_request, judge_settle
from monsoonmill.decisions.claims.table import ClaimTable
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import first_member
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.settings import Settings

ONLY_EPOCH = 0


class RendezvousHomes(ClaimHomes):
    """Finds the home of a partition among the live nodes."""

    def __init__(self, members: Membership, partitions: int):
        self._members = members
        self._partitions = partitions

    def partition(self, organisation: str, key: str) -> int:
        """Return the number of a key's partition."""
        text = f"{len(organisation)}/{organisation}/{key}"
        return xxh3_64_intdigest(text.encode()) % self._partitions

    def home(self, partition: int) -> tuple[str, int] | None:
        """Return the first live node in the partition's order."""
        home = first_member(f"claims/{partition}", self._members.live())
        return home.node, ONLY_EPOCH

    def on_silence(self, partition: int, now: float) -> Iterator[object]:
        """Wait for the membership to tell."""
        return iter(())

    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Wait for the membership to tell."""
        return iter(())


class SingleHomeClaims(Claims):
    """Grants a claim at its one home."""

    def __init__(
        self, cfg: Settings, members: Membership, rng: Random, counters: Counters
    ):
        self.table = ClaimTable(cfg.claims, counters)
        homes = RendezvousHomes(members, cfg.claims.partitions)
        prefix = f"{members.own.node}/{members.own.incarnation}"
        self.asks = ClaimAsks(prefix, homes, rng, counters)
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
        return len(self.asks)

    def next_due(self):
        """Return when the next timer is due."""
        times = (self.asks.next_due(), self.table.next_due())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Repeat asks and end overdue claims."""
        yield from self.asks.tick(now)
        for entry in self.table.pop_due(now):
            self.table.send(entry, "overdue", None, now)

    def on_claim_wanted(self, signal, now):
        """Ask the key's home."""
        return self.asks.on_wanted(signal, now)

    def on_claim_done(self, signal, now):
        """Settle the claim with the key's home."""
        return self.asks.on_done(signal, now)

    def on_claim_request(self, signal: Received, now):
        """Grant or deny a claim."""
        verdict = judge_request(self.table, signal.message, False, self._counters, now)
        if verdict.reply is not None:
            yield Send(signal.node, verdict.reply)

    def on_claim_settle(self, signal: Received, now):
        """Note the end of a call."""
        judge_settle(self.table, signal.message, now)
        yield Send(signal.node, ClaimSettled(signal.message.claim))

    def on_claim_reply(self, signal: Received, now):
        """Take the home's decision."""
        return self.asks.on_reply(signal.message, now)

    def on_claim_settled(self, signal: Received, now):
        """Forget a settled claim."""
        return self.asks.on_settled(signal.message, now)

    def status(self):
        """Return the size of the table."""
        return {**self.table.status(), "asks": len(self.asks)}
