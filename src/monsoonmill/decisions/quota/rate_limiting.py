"""Base class of the quotas that divide rates into slices; calls wait for tokens."""

from abc import abstractmethod
from collections import deque
from random import Random

from attrs import define, field, frozen

from monsoonmill.counters import Counters
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged, SelfLeaving
from monsoonmill.decisions.quota.quota import Quota
from monsoonmill.decisions.quota.signals import (
    TokenDenied,
    TokenGranted,
    TokenRequested,
)
from monsoonmill.decisions.quota.token_bucket import RateEstimate
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import QuotaSettings

MAX_PARKED = 4096
"""Most parked calls of a node; further ones are denied."""
MIN_PARKED = 4
"""Calls of an organisation that may be parked while no token is available, beside
those that its recent rate of granted tokens serves within ``park_ms``."""
MIN_POLL_DELAY_S = 0.005
"""Lower bound of the delay until the bucket is checked again for parked calls."""
DEFAULT_RETRY_AFTER_S = 1.0
"""Retry delay sent to a caller while the time of the next token is unknown."""


@frozen
class QuotaDependencies:
    """Collaborators of every quota variant."""

    cfg: QuotaSettings
    members: Membership
    view: ConfigView
    rng: Random
    counters: Counters


@frozen
class QuotaTimer:
    """Key of a timer of one organisation; each kind of timer is a subclass."""

    organisation: str


@frozen
class ParkedCall:
    """A call that waits for a token until ``expires_at``."""

    call: str
    expires_at: float


@frozen
class ParkTimeout(QuotaTimer):
    """Timer after which a parked call is denied."""

    call: str


class TokenPoll(QuotaTimer):
    """Timer of the next check for a token in the bucket of this node's slices."""


@define(eq=False)
class Demand:
    """An organisation's calls at this node.

    Attributes
    ----------
    next_token_at : float
        No token is available before this time.
    served : RateEstimate
        Tokens granted to calls.
    """

    organisation: str
    arrivals: RateEstimate
    served: RateEstimate
    parked: deque[ParkedCall] = field(factory=deque)
    next_token_at: float = float("-inf")


class RateLimitingQuota(Quota):
    """Grants tokens, and parks or denies calls while there are none.

    Attributes
    ----------
    members : Membership
        The nodes among which the rates are divided.
    """

    def __init__(self, dependencies: QuotaDependencies):
        self.cfg = dependencies.cfg
        self.members = dependencies.members
        self.view = dependencies.view
        self.rng = dependencies.rng
        self.counters = dependencies.counters
        self.timers = Timers()
        self._demands: dict[str, Demand] = {}
        self._parked = 0

    @abstractmethod
    def take_token(self, demand: Demand, now: float) -> bool:
        """Spend one available token; return False if there is none."""

    @abstractmethod
    def wait_s(self, demand: Demand, now: float) -> float:
        """Return the time until this node's slices have a token; infinity for never."""

    def request_tokens(self, demand: Demand, now: float):
        """Yield the messages that request further tokens."""
        return ()

    def describe(self, demand: Demand, now: float) -> str:
        """Return the reason for a denial, for the log."""
        wait_s = demand.next_token_at - now
        return f"parked calls {len(demand.parked)}, next token in {wait_s:.2f} s"

    def create_demand(self, organisation: str, now: float) -> Demand:
        """Return a new entry for an organisation that has sent no calls."""
        return Demand(organisation, RateEstimate(now), RateEstimate(now))

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            ConfigChanged: self.on_config_changed,
            MembersChanged: self.on_members_changed,
            SelfLeaving: self.on_self_leaving,
        }

    def on_members_changed(self, signal: MembersChanged | SelfLeaving, now: float):
        """Yield the signals that follow from a change of the members."""
        return ()

    def on_self_leaving(self, signal: SelfLeaving, now: float):
        """Yield the signals that hand this node's part of the rates to other nodes."""
        return ()

    def on_config_changed(self, signal: ConfigChanged, now: float):
        """Remove unconfigured organisations, unless calls of them are still parked.

        The parked calls are denied when they expire.
        """
        for name in self._demands.keys() - signal.new.organisations.keys():
            if not self._demands[name].parked:
                del self._demands[name]
        return ()

    def on_token_requested(self, signal: TokenRequested, now: float):
        """Grant a token, or park or deny the call."""
        if signal.organisation not in self.view.config.organisations:
            yield TokenDenied(signal.call, DEFAULT_RETRY_AFTER_S)
            return
        demand = self._demand(signal.organisation, now)
        demand.arrivals.add(1, now)
        if not demand.parked and self.take_token(demand, now):
            demand.served.add(1, now)
            yield TokenGranted(signal.call)
        elif self._park(demand, signal, now):
            self._schedule_poll(demand, now)
        else:
            self.counters.add("tokens-denied-at-once")
            retry_after_s = self._retry_after_s(demand, now)
            detail = self.describe(demand, now)
            yield TokenDenied(signal.call, retry_after_s, detail)
        yield from self.request_tokens(demand, now)

    def _demand(self, organisation, now):
        if organisation not in self._demands:
            self._demands[organisation] = self.create_demand(organisation, now)
        return self._demands[organisation]

    def demands(self):
        """Return the entries of the organisations with calls at this node."""
        return list(self._demands.values())

    def find_demand(self, organisation: str) -> Demand | None:
        """Return the entry of an organisation; None if it has sent no calls."""
        return self._demands.get(organisation)

    def _park(self, demand, signal, now):
        expires_at = min(now + self.cfg.park_ms / 1000, signal.deadline)
        if expires_at <= max(now, demand.next_token_at):
            return False
        if self._parked >= MAX_PARKED or len(demand.parked) >= self._max_parked(
            demand, now
        ):
            return False
        self._parked += 1
        demand.parked.append(ParkedCall(signal.call, expires_at))
        self.timers.set(ParkTimeout(demand.organisation, signal.call), expires_at)
        return True

    def _max_parked(self, demand, now):
        """Return how many calls may be parked; few while no token is available."""
        if now >= demand.next_token_at:
            return MAX_PARKED
        return MIN_PARKED + demand.served.value(now) * self.cfg.park_ms / 1000

    def _retry_after_s(self, demand, now):
        wait_s = demand.next_token_at - now
        return wait_s if wait_s > 0 else DEFAULT_RETRY_AFTER_S

    def _schedule_poll(self, demand, now):
        wait_s = max(self.wait_s(demand, now), MIN_POLL_DELAY_S)
        if demand.parked and wait_s <= self.cfg.park_ms / 1000:
            self.timers.set(TokenPoll(demand.organisation), now + wait_s)

    def serve_parked(self, demand: Demand, now: float):
        """Grant available tokens to parked calls, oldest first."""
        while demand.parked and self.take_token(demand, now):
            parked = demand.parked.popleft()
            self._parked -= 1
            self.timers.cancel(ParkTimeout(demand.organisation, parked.call))
            demand.served.add(1, now)
            yield TokenGranted(parked.call)
        self._schedule_poll(demand, now)

    def deny_expiring(self, demand: Demand, now: float):
        """Deny the parked calls that expire before the next token."""
        expiring = [
            parked
            for parked in demand.parked
            if parked.expires_at <= demand.next_token_at
        ]
        for parked in expiring:
            yield from self._deny(demand, parked, now)

    def _deny(self, demand, parked, now):
        demand.parked.remove(parked)
        self._parked -= 1
        self.timers.cancel(ParkTimeout(demand.organisation, parked.call))
        self.counters.add("tokens-denied")
        retry_after_s = self._retry_after_s(demand, now)
        yield TokenDenied(parked.call, retry_after_s, self.describe(demand, now))

    def next_due(self):
        """Return when the next timer is due."""
        return self.timers.next_due()

    def tick(self, now):
        """Serve parked calls, and deny those that have expired."""
        for key in self.timers.pop_due(now):
            yield from self.on_timer(key, now)

    def on_timer(self, key: object, now: float):
        """Process one timer that is due."""
        demand = self._demands.get(key.organisation)
        if demand is None:
            return
        yield from self.serve_parked(demand, now)
        if isinstance(key, ParkTimeout):
            for parked in [call for call in demand.parked if call.call == key.call]:
                yield from self._deny(demand, parked, now)

    def status(self):
        """Return the number of parked calls by organisation."""
        parked = {name: len(demand.parked) for name, demand in self._demands.items()}
        return {"parked": {name: calls for name, calls in parked.items() if calls}}
