"""Base class of the quotas in which one node grants an organisation's tokens."""

from abc import abstractmethod
from itertools import count

from attrs import define, field

from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.members.rendezvous import first_member
from monsoonmill.decisions.quota.holder_tokens import HolderTokens
from monsoonmill.decisions.quota.rate_limiting import (
    QuotaDependencies,
    QuotaTimer,
    RateLimitingQuota,
)
from monsoonmill.decisions.quota.token_bucket import TokenBucket
from monsoonmill.decisions.quota.token_requests import (
    AnswerTimeout,
    BackoffTimer,
    GrantExpiry,
    RequestingDemand,
)
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.model import MemberState, Organisation
from monsoonmill.quota_messages import TokenGrant, TokenRequest, TokenReturn

SEQUENCE_BITS = 62
"""Size of the random number at which the sequence numbers of requests start."""
MIN_RETRY_S = 0.02
"""Lower bound of the retry delay sent to a node that got too few tokens; also the
delay sent while this node can't grant tokens of the organisation at all."""
MAX_RETRY_S = 1.0
"""Upper bound of that delay while the holder has loans."""
NO_LOAN_RETRY_S = 0.1
"""The same for a holder without any loan: it has just become the holder, and lenders
answer shortly."""
RETURN_SHARE = 0.25
"""Share of a grant's term for which a holder also waits for returned tokens."""
PENDING_TIMEOUT_S = 0.15
"""Longest time that a request waits at the holder for a pending loan."""


class PendingTimeout(QuotaTimer):
    """Timer after which the holder answers with the tokens that it has."""


@define(eq=False)
class HolderEntry:
    """A holder's state of one organisation.

    Attributes
    ----------
    requested_at : float
        Time of the last request for tokens.
    pending : dict
        Requests that wait for a pending loan, by node.
    """

    tokens: HolderTokens
    requested_at: float
    pending: dict[str, TokenRequest] = field(factory=dict)


class TokenHolderQuota(RateLimitingQuota):
    """Requests tokens from the holder, and grants them where this node is it."""

    def __init__(self, dependencies: QuotaDependencies):
        super().__init__(dependencies)
        self.sequences = count(self.rng.getrandbits(SEQUENCE_BITS))
        self.holder_entries: dict[str, HolderEntry] = {}
        self.grants_from = float("-inf")
        self._holders: dict[str, str] = {}

    @abstractmethod
    def request_capacity(self, entry: HolderEntry, now: float):
        """Yield the requests for more of an organisation's rate."""

    @abstractmethod
    def is_capacity_pending(self, entry: HolderEntry, now: float) -> bool:
        """Return whether more of the rate may arrive shortly."""

    @abstractmethod
    def release_capacity(self, entry: HolderEntry, now: float):
        """Yield the messages that end the holder's use of an organisation's rate."""

    def create_demand(self, organisation, now):
        """Return a new entry for an organisation that has sent no calls."""
        return RequestingDemand.create(
            organisation, now, self.cfg, self.timers, self.counters
        )

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            TokenRequest: self.on_peer_request,
            TokenGrant: self.on_peer_grant,
            TokenReturn: self.on_peer_return,
        }

    def start(self, now):
        """Delay grants until those of a previous process at this address expire."""
        self.grants_from = now + self.cfg.grant_term_ms / 1000
        yield from super().start(now)

    # Choice of the holder.
    def holder(self, organisation: str) -> str:
        """Return the node that grants an organisation's tokens."""
        if organisation not in self._holders:
            alive = list(self.alive_members())
            chosen = first_member(organisation, alive) or self.members.own
            self._holders[organisation] = chosen.node
        return self._holders[organisation]

    def alive_members(self):
        """Yield the members that are neither leaving nor suspected."""
        for member in self.members.live():
            if member.state is MemberState.ALIVE:
                yield member

    def is_holder(self, organisation: str) -> bool:
        """Return whether this node is the holder in its own view."""
        return self.holder(organisation) == self.members.own.node

    def on_members_changed(self, signal, now):
        """Release the capacity of organisations that have another holder now."""
        yield from super().on_members_changed(signal, now)
        self._holders.clear()
        for name, entry in self.holder_entries.items():
            if not self.is_holder(name):
                yield from self.release_capacity(entry, now)

    def on_self_leaving(self, signal, now):
        """Hand all organisations over to other holders."""
        yield from self.on_members_changed(signal, now)
        yield from super().on_self_leaving(signal, now)

    def describe(self, demand, now):
        """Add the holder, and the state of this node's requests to the holder."""
        return (
            f"{super().describe(demand, now)}, holder "
            f"{self.holder(demand.organisation)}, {demand.chart.state}"
        )

    # Requesting.
    def take_token(self, demand, now):
        """Spend a granted token."""
        return demand.take_granted(now)

    def request_tokens(self, demand, now):
        """Request tokens from the holder if they are needed."""
        request = demand.make_request(next(self.sequences), now)
        if request is not None:
            holder = self.holder(demand.organisation)
            yield from demand.send(request, holder, now)

    def on_peer_grant(self, signal: Received, now: float):
        """Pass the granted tokens on to parked calls."""
        demand = self.find_demand(signal.message.organisation)
        if demand is None:
            return
        demand.on_grant(signal.node, signal.message, now)
        yield from self.serve_parked(demand, now)
        yield from self.deny_expiring(demand, now)
        yield from self.request_tokens(demand, now)

    def on_timer(self, key, now):
        """Process one timer that is due."""
        if isinstance(key, PendingTimeout):
            if key.organisation in self.holder_entries:
                yield from self._answer_pending(
                    self.holder_entries[key.organisation], now
                )
            return
        demand = self.find_demand(key.organisation)
        if demand is None:
            return
        if isinstance(key, GrantExpiry):
            yield from demand.return_tokens(key.sequence)
        elif isinstance(key, AnswerTimeout):
            demand.on_answer_timeout(key.sequence, now)
        elif isinstance(key, BackoffTimer):
            demand.chart.send("backoff_elapsed", now)
        else:
            yield from super().on_timer(key, now)
        yield from self.request_tokens(demand, now)

    # Granting.
    def get_or_create_entry(
        self, organisation: Organisation, now: float
    ) -> HolderEntry:
        """Return the holder's entry of an organisation."""
        entry = self.holder_entries.get(organisation.name)
        if entry is None:
            term_s = self.cfg.grant_term_ms / 1000 * (1 + RETURN_SHARE)
            bucket = TokenBucket(now)
            tokens = HolderTokens(organisation, self.cfg.slices, term_s, bucket)
            entry = HolderEntry(tokens, now)
            self.holder_entries[organisation.name] = entry
        return entry

    def on_peer_request(self, signal: Received, now: float):
        """Grant tokens, or first request more of the rate if there are too few."""
        message = signal.message
        organisation = self.view.config.organisations.get(message.organisation)
        if organisation is None or now < self.grants_from:
            retry = TokenGrant(message.sequence, message.organisation, 0, MIN_RETRY_S)
            yield Send(signal.node, retry)
            return
        entry = self.get_or_create_entry(organisation, now)
        entry.requested_at = now
        entry.tokens.end_spent_grants(signal.node, message.spent, now)
        wanted = message.needed + message.ahead
        if entry.tokens.bucket.level < wanted and self.is_holder(message.organisation):
            yield from self.request_capacity(entry, now)
        is_short = entry.tokens.bucket.level < message.needed
        if is_short and self.is_capacity_pending(entry, now):
            entry.pending[signal.node] = message
            timer = PendingTimeout(message.organisation)
            if not self.timers.is_due_before(timer, now + PENDING_TIMEOUT_S):
                self.timers.set(timer, now + PENDING_TIMEOUT_S)
            return
        yield self._answer(entry, signal.node, message, now)

    def on_peer_return(self, signal: Received, now: float):
        """Accept tokens that a node has not spent."""
        message = signal.message
        entry = self.holder_entries.get(message.organisation)
        if entry is not None:
            entry.tokens.accept_return(
                signal.node, message.sequence, message.tokens, now
            )
            yield from self.serve_pending(entry, now)

    def serve_pending(self, entry: HolderEntry, now: float):
        """Answer pending requests as long as there are enough tokens."""
        for node, message in list(entry.pending.items()):
            entry.tokens.advance(now)
            if entry.tokens.bucket.level < message.needed:
                break
            del entry.pending[node]
            yield self._answer(entry, node, message, now)
        if entry.pending and not self.is_capacity_pending(entry, now):
            yield from self._answer_pending(entry, now)

    def _answer_pending(self, entry, now):
        pending, entry.pending = entry.pending, {}
        for node, message in pending.items():
            yield self._answer(entry, node, message, now)

    def _answer(self, entry, node, message, now):
        tokens = entry.tokens.grant(
            node, message.sequence, message.needed, message.ahead, now
        )
        self.counters.add("tokens-granted", tokens)
        retry_s = 0.0 if tokens >= message.needed else self._retry_s(entry)
        grant = TokenGrant(message.sequence, message.organisation, tokens, retry_s)
        return Send(node, grant)

    def _retry_s(self, entry):
        if not entry.tokens.loans:
            return NO_LOAN_RETRY_S
        wait_s = entry.tokens.bucket.wait_s(1.0)
        return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)

    def on_config_changed(self, signal: ConfigChanged, now: float):
        """Apply changed rates and bursts."""
        yield from super().on_config_changed(signal, now)
        for name, entry in list(self.holder_entries.items()):
            organisation = signal.new.organisations.get(name)
            if organisation is not None:
                entry.tokens.change_limits(organisation, now)
            else:
                yield from self.release_capacity(entry, now)
                if not entry.tokens.grants:
                    del self.holder_entries[name]

    def status(self):
        """Return the state of the tokens that this node grants."""
        entries = {
            name: {
                "lenders": len(entry.tokens.loans),
                "level": round(entry.tokens.bucket.level, 1),
                "in_flight": entry.tokens.bucket.reserved,
            }
            for name, entry in self.holder_entries.items()
        }
        return {**super().status(), "held": entries}
