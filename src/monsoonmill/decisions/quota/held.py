"""Base of the variants in which one node at a time grants an organisation's tokens."""

from abc import abstractmethod
from itertools import count

from attrs import define, field

from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.members.rendezvous import first_member
from monsoonmill.decisions.quota.held_tokens import HeldTokens
from monsoonmill.decisions.quota.rate_limiting import (
    QuotaDependencies,
    QuotaTimer,
    RateLimitingQuota,
)
from monsoonmill.decisions.quota.token_bucket import TokenBucket
from monsoonmill.decisions.quota.token_requests import (
    LapseTimer,
    RequestingDemand,
    RestTimer,
    SilenceTimer,
)
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.model import MemberState, Organisation
from monsoonmill.quota_messages import TokenGrant, TokenRequest, TokenReturn

SEQUENCE_BITS = 62
LEAST_RETRY_S = 0.02
MOST_RETRY_S = 1.0
NO_LOAN_RETRY_S = 0.1
"""A holder without any loan has just become one; lenders answer it shortly."""
RETURN_SHARE = 0.25
"""A holder waits for returned tokens for this share of a grant's term."""
ANSWER_WAIT_S = 0.15
"""A request waits this long at the holder for tokens on their way to it."""


class AnswerTimer(QuotaTimer):
    """Timer after which the holder answers with what it has."""


@define(eq=False)
class HeldOrganisation:
    """What a holder knows of one organisation.

    Attributes
    ----------
    wanted_at : float
        Time of the last request for tokens.
    pending : dict
        Requests that wait for tokens on their way to the holder, by node.
    """

    tokens: HeldTokens
    wanted_at: float
    pending: dict[str, TokenRequest] = field(factory=dict)


class HeldQuota(RateLimitingQuota):
    """Asks the holder for tokens, and grants them where it is the holder."""

    def __init__(self, parts: QuotaDependencies):
        super().__init__(parts)
        self.sequences = count(self.rng.getrandbits(SEQUENCE_BITS))
        self.held: dict[str, HeldOrganisation] = {}
        self.grants_from = float("-inf")
        self._holders: dict[str, str] = {}

    @abstractmethod
    def get_capacity(self, held: HeldOrganisation, now: float):
        """Yield what gets the holder more of an organisation's rate."""

    @abstractmethod
    def is_on_its_way(self, held: HeldOrganisation, now: float) -> bool:
        """Return whether more of the rate may come shortly."""

    @abstractmethod
    def give_up_capacity(self, held: HeldOrganisation, now: float):
        """Yield what ends the holder's use of an organisation's rate."""

    def new_demand(self, organisation, now):
        """Return the entry of an organisation without calls."""
        return RequestingDemand.create(
            organisation, now, self.cfg, self.timers, self.counters
        )

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            TokenRequest: self.on_token_request,
            TokenGrant: self.on_token_grant,
            TokenReturn: self.on_token_return,
        }

    def start(self, now):
        """Let the tokens that a former process here granted lapse first."""
        self.grants_from = now + self.cfg.grant_term_ms / 1000
        yield from super().start(now)

    # Choice of the holder.
    def holder(self, organisation: str) -> str:
        """Return the node to ask for an organisation's tokens."""
        if organisation not in self._holders:
            alive = list(self.alive())
            chosen = first_member(organisation, alive) or self.members.own
            self._holders[organisation] = chosen.node
        return self._holders[organisation]

    def alive(self):
        """Yield the members that are neither leaving nor doubted."""
        for member in self.members.live():
            if member.state is MemberState.ALIVE:
                yield member

    def is_holder(self, organisation: str) -> bool:
        """Return whether this node is the holder in its own view."""
        return self.holder(organisation) == self.members.own.node

    def on_members_changed(self, signal, now):
        """Hand organisations over that have another holder now."""
        yield from super().on_members_changed(signal, now)
        self._holders.clear()
        for name, held in self.held.items():
            if not self.is_holder(name):
                yield from self.give_up_capacity(held, now)

    def on_self_leaving(self, signal, now):
        """Be no holder any more."""
        yield from self.on_members_changed(signal, now)
        yield from super().on_self_leaving(signal, now)

    def describe(self, demand, now):
        """Return who holds the rate, and how this node stands with it."""
        return (
            f"{super().describe(demand, now)}, holder "
            f"{self.holder(demand.organisation)}, {demand.chart.state}"
        )

    # Asking.
    def take(self, demand, now):
        """Spend a granted token."""
        return demand.take_granted(now)

    def ask(self, demand, now):
        """Ask the holder for tokens if they are needed."""
        request = demand.make_request(next(self.sequences), now)
        if request is not None:
            holder = self.holder(demand.organisation)
            yield from demand.ask(request, holder, now)

    def on_token_grant(self, signal: Received, now: float):
        """Give the tokens to the calls that wait."""
        demand = self.find_demand(signal.message.organisation)
        if demand is None:
            return
        demand.on_grant(signal.node, signal.message, now)
        yield from self.serve(demand, now)
        yield from self.deny_hopeless(demand, now)
        yield from self.ask(demand, now)

    def on_timer(self, key, now):
        """Act on one timer."""
        if isinstance(key, AnswerTimer):
            if key.organisation in self.held:
                yield from self._answer_pending(self.held[key.organisation], now)
            return
        demand = self.find_demand(key.organisation)
        if demand is None:
            return
        if isinstance(key, LapseTimer):
            yield from demand.give_back(key.sequence)
        elif isinstance(key, SilenceTimer):
            demand.on_silence(key.sequence, now)
        elif isinstance(key, RestTimer):
            demand.chart.send("due", now)
        else:
            yield from super().on_timer(key, now)
        yield from self.ask(demand, now)

    # Granting.
    def hold(self, organisation: Organisation, now: float) -> HeldOrganisation:
        """Return the entry of an organisation, made anew if there is none."""
        held = self.held.get(organisation.name)
        if held is None:
            term_s = self.cfg.grant_term_ms / 1000 * (1 + RETURN_SHARE)
            bucket = TokenBucket(now)
            tokens = HeldTokens(organisation, self.cfg.slices, term_s, bucket)
            held = HeldOrganisation(tokens, now)
            self.held[organisation.name] = held
        return held

    def on_token_request(self, signal: Received, now: float):
        """Grant what there is, or get more of the rate first."""
        message = signal.message
        organisation = self.view.config.organisations.get(message.organisation)
        if organisation is None or now < self.grants_from:
            retry = TokenGrant(message.sequence, message.organisation, 0, LEAST_RETRY_S)
            yield Send(signal.node, retry)
            return
        held = self.hold(organisation, now)
        held.wanted_at = now
        held.tokens.settle(signal.node, message.spent, now)
        wanted = message.needed + message.ahead
        if held.tokens.bucket.level < wanted and self.is_holder(message.organisation):
            yield from self.get_capacity(held, now)
        lacks = held.tokens.bucket.level < message.needed
        if lacks and self.is_on_its_way(held, now):
            held.pending[signal.node] = message
            timer = AnswerTimer(message.organisation)
            if not self.timers.is_due_before(timer, now + ANSWER_WAIT_S):
                self.timers.set(timer, now + ANSWER_WAIT_S)
            return
        yield self._answer(held, signal.node, message, now)

    def on_token_return(self, signal: Received, now: float):
        """Take back tokens that a node does not need."""
        message = signal.message
        held = self.held.get(message.organisation)
        if held is not None:
            held.tokens.take_back(signal.node, message.sequence, message.tokens, now)
            yield from self.serve_pending(held, now)

    def serve_pending(self, held: HeldOrganisation, now: float):
        """Answer the requests that wait, as far as there are tokens."""
        for node, message in list(held.pending.items()):
            held.tokens.advance(now)
            if held.tokens.bucket.level < message.needed:
                break
            del held.pending[node]
            yield self._answer(held, node, message, now)
        if held.pending and not self.is_on_its_way(held, now):
            yield from self._answer_pending(held, now)

    def _answer_pending(self, held, now):
        pending, held.pending = held.pending, {}
        for node, message in pending.items():
            yield self._answer(held, node, message, now)

    def _answer(self, held, node, message, now):
        tokens = held.tokens.grant(
            node, message.sequence, message.needed, message.ahead, now
        )
        self.counters.add("tokens-granted", tokens)
        retry_s = 0.0 if tokens >= message.needed else self._retry_s(held)
        grant = TokenGrant(message.sequence, message.organisation, tokens, retry_s)
        return Send(node, grant)

    def _retry_s(self, held):
        if not held.tokens.loans:
            return NO_LOAN_RETRY_S
        wait_s = held.tokens.bucket.wait_s(1.0)
        return min(max(wait_s, LEAST_RETRY_S), MOST_RETRY_S)

    def on_config_changed(self, signal: ConfigChanged, now: float):
        """Follow changes of rates and bursts."""
        yield from super().on_config_changed(signal, now)
        for name, held in list(self.held.items()):
            organisation = signal.new.organisations.get(name)
            if organisation is not None:
                held.tokens.change(organisation, now)
            else:
                yield from self.give_up_capacity(held, now)
                if not held.tokens.grants:
                    del self.held[name]

    def status(self):
        """Return what this node grants, beside the calls that wait."""
        held = {
            name: {
                "lenders": len(one.tokens.loans),
                "level": round(one.tokens.bucket.level, 1),
                "in_flight": one.tokens.bucket.reserved,
            }
            for name, one in self.held.items()
        }
        return {**super().status(), "held": held}
