"""Calls that wait a short while for a token of their organisation."""

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
"""Calls that wait in one node; further ones are denied."""
LEAST_PARKED = 4
LEAST_LOOK_S = 0.005
UNKNOWN_RETRY_S = 1.0
"""What a caller is told when nothing is known of the next token."""


@frozen
class QuotaDependencies:
    """What every variant is built from."""

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
    """A call without a token."""

    call: str
    give_up: float


@frozen
class ParkingTime(QuotaTimer):
    """Timer of a parked call."""

    call: str


class LookAgain(QuotaTimer):
    """Timer of the next own token."""


@define(eq=False)
class Demand:
    """An organisation's calls at this node.

    Attributes
    ----------
    next_token_at : float
        No token is to be had before this time.
    served : RateEstimate
        Tokens that were given to calls.
    """

    organisation: str
    arrivals: RateEstimate
    served: RateEstimate
    parked: deque[ParkedCall] = field(factory=deque)
    next_token_at: float = float("-inf")


class RateLimitingQuota(Quota):
    """Base of the variants that bound the rate.

    Attributes
    ----------
    members : Membership
        The nodes among which the rates are divided.
    """

    def __init__(self, parts: QuotaDependencies):
        self.cfg = parts.cfg
        self.members = parts.members
        self.view = parts.view
        self.rng = parts.rng
        self.counters = parts.counters
        self.timers = Timers()
        self._demands: dict[str, Demand] = {}
        self._parked = 0

    @abstractmethod
    def take(self, demand: Demand, now: float) -> bool:
        """Spend one token that is at hand."""

    @abstractmethod
    def wait_s(self, demand: Demand, now: float) -> float:
        """Return when to look again for a token, without any message."""

    def ask(self, demand: Demand, now: float):
        """Yield what gets further tokens."""
        return ()

    def describe(self, demand: Demand, now: float) -> str:
        """Return what a denial rests on, for the log."""
        wait_s = demand.next_token_at - now
        return f"waiting {len(demand.parked)}, next token in {wait_s:.2f} s"

    def new_demand(self, organisation: str, now: float) -> Demand:
        """Return the entry of an organisation without calls."""
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
        """Yield what follows from another set of nodes."""
        return ()

    def on_self_leaving(self, signal: SelfLeaving, now: float):
        """Yield what hands this node's part over."""
        return ()

    def on_config_changed(self, signal: ConfigChanged, now: float):
        """Forget organisations that are gone; their calls are denied in time."""
        for name in self._demands.keys() - signal.new.organisations.keys():
            if not self._demands[name].parked:
                del self._demands[name]
        return ()

    def on_token_requested(self, signal: TokenRequested, now: float):
        """Give a token, let the call wait for one, or deny it."""
        if signal.organisation not in self.view.config.organisations:
            yield TokenDenied(signal.call, UNKNOWN_RETRY_S)
            return
        demand = self._demand(signal.organisation, now)
        demand.arrivals.add(1, now)
        if not demand.parked and self.take(demand, now):
            demand.served.add(1, now)
            yield TokenGranted(signal.call)
        elif self._park(demand, signal, now):
            self._look_again(demand, now)
        else:
            self.counters.add("tokens-denied-at-once")
            retry_after_s = self._retry_after_s(demand, now)
            detail = self.describe(demand, now)
            yield TokenDenied(signal.call, retry_after_s, detail)
        yield from self.ask(demand, now)

    def _demand(self, organisation, now):
        if organisation not in self._demands:
            self._demands[organisation] = self.new_demand(organisation, now)
        return self._demands[organisation]

    def demands(self):
        """Return the organisations that have sent calls to this node."""
        return list(self._demands.values())

    def find_demand(self, organisation: str) -> Demand | None:
        """Return the entry of an organisation, if it has sent calls."""
        return self._demands.get(organisation)

    def _park(self, demand, signal, now):
        give_up = min(now + self.cfg.park_ms / 1000, signal.deadline)
        if give_up <= max(now, demand.next_token_at):
            return False
        if self._parked >= MAX_PARKED or len(demand.parked) >= self._room(demand, now):
            return False
        self._parked += 1
        demand.parked.append(ParkedCall(signal.call, give_up))
        self.timers.set(ParkingTime(demand.organisation, signal.call), give_up)
        return True

    def _room(self, demand, now):
        """Return how many calls may wait; few if tokens are known to be short."""
        if now >= demand.next_token_at:
            return MAX_PARKED
        return LEAST_PARKED + demand.served.value(now) * self.cfg.park_ms / 1000

    def _retry_after_s(self, demand, now):
        wait_s = demand.next_token_at - now
        return wait_s if wait_s > 0 else UNKNOWN_RETRY_S

    def _look_again(self, demand, now):
        wait_s = max(self.wait_s(demand, now), LEAST_LOOK_S)
        if demand.parked and wait_s <= self.cfg.park_ms / 1000:
            self.timers.set(LookAgain(demand.organisation), now + wait_s)

    def serve(self, demand: Demand, now: float):
        """Give tokens at hand to the calls that wait, oldest first."""
        while demand.parked and self.take(demand, now):
            parked = demand.parked.popleft()
            self._parked -= 1
            self.timers.cancel(ParkingTime(demand.organisation, parked.call))
            demand.served.add(1, now)
            yield TokenGranted(parked.call)
        self._look_again(demand, now)

    def deny_hopeless(self, demand: Demand, now: float):
        """Deny the calls that would give up before the next token."""
        hopeless = [one for one in demand.parked if one.give_up <= demand.next_token_at]
        for parked in hopeless:
            yield from self._deny(demand, parked, now)

    def _deny(self, demand, parked, now):
        demand.parked.remove(parked)
        self._parked -= 1
        self.timers.cancel(ParkingTime(demand.organisation, parked.call))
        self.counters.add("tokens-denied")
        retry_after_s = self._retry_after_s(demand, now)
        yield TokenDenied(parked.call, retry_after_s, self.describe(demand, now))

    def next_due(self):
        """Return when the next timer is due."""
        return self.timers.next_due()

    def tick(self, now):
        """Look for tokens again, and deny calls that have waited long enough."""
        for key in self.timers.pop_due(now):
            yield from self.on_timer(key, now)

    def on_timer(self, key: object, now: float):
        """Act on one timer."""
        demand = self._demands.get(key.organisation)
        if demand is None:
            return
        yield from self.serve(demand, now)
        if isinstance(key, ParkingTime):
            for parked in [one for one in demand.parked if one.call == key.call]:
                yield from self._deny(demand, parked, now)

    def status(self):
        """Return the number of calls that wait, by organisation."""
        parked = {name: len(one.parked) for name, one in self._demands.items()}
        return {"parked": {name: n for name, n in parked.items() if n}}
