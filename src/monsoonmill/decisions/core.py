"""All decisions of one node, connected by a signal bus."""

from collections.abc import Callable, Iterable, Iterator
from random import Random

from monsoonmill.codec import ConfigCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.chain_admission import RouteThresholds
from monsoonmill.decisions.admission.nested_overload import NestedOverload
from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.calls.call_checks import CallChecks
from monsoonmill.decisions.calls.call_flow import CallFlow
from monsoonmill.decisions.calls.executions import Executions
from monsoonmill.decisions.calls.location_rules import LocationRules
from monsoonmill.decisions.calls.running_requests import RunningRequests
from monsoonmill.decisions.configuration.configuration import ConfigRegister, ConfigView
from monsoonmill.decisions.configuration.evacuation_register import EvacuationRegister
from monsoonmill.decisions.configuration.store_reach import StoreReach
from monsoonmill.decisions.decision import SignalBus
from monsoonmill.decisions.explanation import RequestExplainer
from monsoonmill.decisions.lifecycle.backend_identity import BackendIdentity
from monsoonmill.decisions.lifecycle.departure_store import DepartureStore
from monsoonmill.decisions.lifecycle.departures import Departures
from monsoonmill.decisions.lifecycle.draining import Draining
from monsoonmill.decisions.lifecycle.readiness import Readiness
from monsoonmill.decisions.lifecycle.signals import (
    ExplainRequested,
    StatusReport,
    StatusRequested,
)
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.seed_directory import SeedDirectory
from monsoonmill.decisions.members.watchers import WatcherChoice
from monsoonmill.decisions.policies import (
    make_admission,
    make_claims,
    make_contexts,
    make_entry_limit,
    make_health,
    make_placement,
    make_poison,
    make_quota,
    make_thread_limit,
)
from monsoonmill.decisions.request_query import RequestQuery
from monsoonmill.decisions.retries.call_amplification import CallAmplification
from monsoonmill.decisions.routing.router import Router
from monsoonmill.model import Address, Member
from monsoonmill.settings import Settings


class NodeCore:
    """The decisions of a node; they take signals and the time, and yield signals.

    Parameters
    ----------
    address : Address
        Address at which other nodes reach this one.
    incarnation : int
        Larger than the incarnation of any earlier process at this address.
    make_token : callable
        Returns an unpredictable token.
    counters : Counters, optional
        Counters to use; new ones are created by default.
    """

    def __init__(
        self,
        cfg: Settings,
        address: Address,
        incarnation: int,
        codec: ConfigCodec,
        make_token: Callable[[], str],
        counters: Counters | None = None,
    ):
        node = cfg.node.name or str(address)
        seed = cfg.node.random_seed or incarnation
        rng = Random(f"{seed}/{node}")
        own = Member(
            node, incarnation, 1, address, cfg.node.region, cfg.node.data_centre
        )
        self.node = node
        self.counters = counters or Counters()
        self.view = ConfigView()
        self.register = ConfigRegister(cfg, self.view, codec, rng)
        self.evacuations = EvacuationRegister(cfg, self.view)
        self.members = Membership(cfg, own, self.view, rng)
        self.authorization = Authorization(self.view.config, rng)
        self.contexts = make_contexts(cfg, make_token)
        self.health = make_health(cfg, self.members, self.counters)
        self.poison = make_poison(cfg, self.members, self.counters)
        self.router = Router(
            self.members, self.health, rng, make_placement(cfg), self.view
        )
        self.quota = make_quota(cfg, self.members, self.view, rng, self.counters)
        claims_rng = Random(f"{seed}/{node}/claims")
        self.claims = make_claims(cfg, self.members, codec, claims_rng, self.counters)
        self.admission = make_admission(cfg, self.counters)
        amplification, nested_overload, running_requests = (
            CallAmplification(),
            NestedOverload(),
            RunningRequests(),
        )
        thread_limit = make_thread_limit(cfg)
        entry_limit = make_entry_limit(cfg, rng, self.authorization, self.counters)
        self.explainer = RequestExplainer(
            self.authorization, self.router, entry_limit, self.view
        )
        nested_thresholds = RouteThresholds()
        checks = CallChecks(
            cfg,
            self.authorization,
            self.contexts,
            self.poison,
            thread_limit,
            entry_limit,
            running_requests,
        )
        self.calls = CallFlow(
            cfg,
            node,
            incarnation,
            self.authorization,
            self.router,
            self.contexts,
            self.poison,
            checks,
            thread_limit,
            amplification,
            nested_overload,
            entry_limit,
            nested_thresholds,
            rng,
            self.counters,
        )
        self.executions = Executions(
            self.authorization,
            LocationRules(cfg, self.authorization, self.view),
            self.admission,
            self.contexts,
            self.poison,
            amplification,
            nested_overload,
            running_requests,
            nested_thresholds,
            self.counters,
            cfg.admission.readmits,
        )
        departures_rng = Random(f"{seed}/{node}/departures")
        self.departure_store = DepartureStore(self.members, departures_rng)
        self.departures = Departures(
            self.members,
            self.departure_store,
            cfg.node.seeds,
            departures_rng,
            self.counters,
        )
        self.draining = Draining(
            cfg.drain,
            self.calls,
            self.executions,
            (self.claims, self.quota, self.departures),
            self.counters,
        )
        self.backend = BackendIdentity()
        self.store_reach = StoreReach(self.counters)
        self.watchers = WatcherChoice(cfg, self.members, self.register)
        self.seeds = SeedDirectory(cfg, self.members, rng, self.counters)
        self.readiness = Readiness(cfg, self.members, self.view, self.register)
        self._bus = SignalBus(
            node,
            (
                self.register,
                self.evacuations,
                self.members,
                self.authorization,
                self.health,
                self.poison,
                self.router,
                self.quota,
                self.claims,
                self.admission,
                self.calls,
                self.executions,
                self.draining,
                self.store_reach,
                self.watchers,
                self.readiness,
                self.backend,
                self.departure_store,
                self.departures,
                self.seeds,
            ),
        )

    def start(self, now: float) -> Iterator[object]:
        """Start all decisions, and yield the signals that tasks have to execute."""
        for decision in self._bus.decisions:
            self._bus.mark_stale(decision)
            for signal in list(decision.start(now)):
                yield from self._bus.handle(signal, now)

    def handle(self, signal: object, now: float) -> Iterable[object]:
        """Handle a signal, and return those that tasks have to execute."""
        if isinstance(signal, StatusRequested):
            return (StatusReport(signal.request, self.report(signal.topic)),)
        if isinstance(signal, ExplainRequested):
            return (StatusReport(signal.request, self.explain(signal.query, now)),)
        return self._bus.handle(signal, now)

    def tick(self, now: float) -> Iterator[object]:
        """Run the decisions whose timers are due."""
        return self._bus.tick(now)

    def next_due(self) -> float | None:
        """Return when ``tick`` is due next; None for never."""
        return self._bus.next_due()

    def explain(self, query: RequestQuery, now: float) -> dict:
        """Return where a request would go now, as plain data; changes no state."""
        return self.explainer.explain(query, now)

    def report(self, topic: str) -> dict:
        """Return the state of a topic as plain data."""
        if topic == "members":
            return self.members.status()
        if topic == "counters":
            return self.counters.snapshot()
        parts = {
            type(part).__name__: part.status()
            for part in self._bus.decisions
            if part is not self.members
        }
        return {"node": self.node, **parts}
