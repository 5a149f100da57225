"""Limit on the calls that start a chain of calls at this node.

Refusing a call in the middle of a chain wastes all work done further up the
chain. When the chains of a route lose calls to overload downstream, part of the
route's calls are therefore refused on arrival, before anything has run. This
leaves the capacity to calls that must run at most once.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from random import Random

from attrs import define, evolve, frozen

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.chain_admission import (
    TOP_RANK,
    ReturningCallers,
    RouteThresholds,
    draw_retry_after_s,
    standing,
)
from monsoonmill.errors import CallRefusedError
from monsoonmill.reasons import Importance, Reason

EVALUATION_INTERVAL_S = 0.5
"""Time between two evaluations of a route; a chain is answered in less time."""
MIN_LOST_CALLS = 2.0
"""Fewer lost calls than this are not treated as overload."""
MAX_LOST_SHARE = 0.05
"""Share of lost calls above which the admitted share shrinks. Users penalise
serving less important calls before more important ones from a difference of this
size on."""
RECOVERY_LOST_SHARE = 0.02
"""Share of lost calls below which the admitted share grows."""
MIN_ADMITTED_SHARE = 0.2
"""Share of calls that is always admitted, to detect when capacity is back."""
DECREASE_FACTOR = 0.8
"""Part of the lost share by which the admitted share shrinks in one step. It is
below 1 since other routes that use the same capacity may shrink as well."""
INITIAL_GROWTH = 1.4
GROWTH_ACCELERATION = 1.3
MAX_GROWTH = 2.0
"""Growth of the admitted share with each evaluation without overload. It
accelerates, so that all calls are admitted within 2 s after an overload ends."""
MAX_GROWTH_STEPS = 8
"""This many evaluations without a loss admit all calls again."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 1.5
"""Refused callers retry at different times, after shares have been evaluated."""
MAX_ROUTES = 10_000
"""Number of routes tracked; the table is cleared when it would exceed this."""


@frozen
class RootCall:
    """What identifies a call that starts a chain.

    Attributes
    ----------
    service : str
        Service that receives the call.
    fingerprint : int
        Digest of host, method, path and body.
    deadline : float
        Time in seconds after which the response is not needed.
    """

    service: str = ""
    request_id: str = ""
    fingerprint: int = 0
    deadline: float = float("inf")


UNIDENTIFIED = RootCall()


class EntryLimit(ABC):
    """Decides whether a call that starts a chain is admitted."""

    @abstractmethod
    def admit(
        self,
        route: str,
        importance: Importance,
        now: float,
        root: RootCall = UNIDENTIFIED,
    ) -> int:
        """Admit a call and return the rank of its chain; 0 for no rank.

        Raises
        ------
        CallRefusedError
            The route's chains currently lose calls to overload.
        """

    @abstractmethod
    def record_result(self, route: str, lost: float, now: float) -> None:
        """Record the end of an admitted call.

        Parameters
        ----------
        lost : float
            Probability that it was lost to overload, from 0 to 1.
        """

    @abstractmethod
    def record_threshold(
        self, route: str, service: str, threshold: int, now: float
    ) -> None:
        """Record the threshold standing that a service's reply reported."""

    @abstractmethod
    def record_refusal(
        self, fingerprint: int, rank: int, wait_s: float, now: float
    ) -> None:
        """Record that an admitted call was refused later and may return.

        Parameters
        ----------
        wait_s : float
            Time in seconds that its caller was told to wait.
        """

    def thresholds(self) -> dict[str, int]:
        """Return the threshold standings of the limited routes, for operators."""
        return {}

    def shares(self) -> dict[str, float]:
        """Return the admitted shares of the limited routes, for operators."""
        return {}

    def explain(
        self, route: str, service: str, importance: Importance, now: float
    ) -> dict:
        """Return the present limit of a route as plain data; changes no state."""
        return {}


class UnrankedEntryLimit(EntryLimit):
    """Base of the limits that do not distinguish calls of the same route."""

    def record_threshold(self, route, service, threshold, now):
        """Do nothing."""

    def record_refusal(self, fingerprint, rank, wait_s, now):
        """Do nothing."""


class NoEntryLimit(UnrankedEntryLimit):
    """Admits every call; a baseline for comparisons."""

    def admit(
        self,
        route: str,
        importance: Importance,
        now: float,
        root: RootCall = UNIDENTIFIED,
    ) -> int:
        """Admit the call."""
        return 0

    def record_result(self, route: str, lost: float, now: float) -> None:
        """Do nothing."""


@define
class RouteLimit:
    """Admitted share of one route, and its calls since the last evaluation.

    Attributes
    ----------
    share : float
        Share of the route's calls that is admitted.
    growth : float
        Factor of the next increase.
    """

    evaluated_at: float
    share: float = 1.0
    growth: float = INITIAL_GROWTH
    ended: int = 0
    lost: float = 0.0

    def evaluate(self, now: float) -> None:
        """Adjust the share by the results since the last evaluation, if it is due."""
        intervals = int((now - self.evaluated_at) / EVALUATION_INTERVAL_S)
        if not intervals:
            return
        lost_share = self.lost / self.ended if self.ended else 0.0
        if lost_share > MAX_LOST_SHARE and self.lost >= MIN_LOST_CALLS:
            self.share = max(
                self.share * (1 - DECREASE_FACTOR * lost_share), MIN_ADMITTED_SHARE
            )
            self.growth = INITIAL_GROWTH
            # Each call that ends triggers an evaluation when one is due, so these
            # calls ended soon after the last one and later intervals had none.
            steps = intervals - 2
        else:
            steps = intervals if lost_share < RECOVERY_LOST_SHARE else 0
        for _ in range(min(steps, MAX_GROWTH_STEPS)):
            self._grow()
        self.evaluated_at = now
        self.ended, self.lost = 0, 0.0

    def _grow(self):
        self.share = min(self.share * self.growth, 1.0)
        self.growth = min(self.growth * GROWTH_ACCELERATION, MAX_GROWTH)


class AdaptiveEntryLimit(UnrankedEntryLimit):
    """Admits the share of each route's calls for which chains have capacity."""

    def __init__(self, rng: Random):
        self._rng = rng
        self._routes: dict[str, RouteLimit] = {}

    def admit(
        self,
        route: str,
        importance: Importance,
        now: float,
        root: RootCall = UNIDENTIFIED,
    ) -> int:
        """Admit or refuse a call; calls of the top class are always admitted."""
        limit = self._routes.get(route)
        if limit is None or limit.share >= 1 or importance is Importance.CRITICAL:
            return 0
        limit.evaluate(now)
        if self._rng.random() >= limit.share:
            raise CallRefusedError(
                Reason.SHED,
                f"downstream overload: {limit.share:.2f} of the route's calls admitted",
                retry_after_s=self._rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S),
            )
        return 0

    def record_result(self, route: str, lost: float, now: float) -> None:
        """Count a call that ended, and evaluate the route if it is due."""
        limit = self._routes.get(route)
        if limit is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            limit = self._routes[route] = RouteLimit(now)
        limit.ended += 1
        limit.lost += lost
        limit.evaluate(now)

    def explain(self, route, service, importance, now):
        """Return the admitted share of a route, from 0 to 1."""
        known = self._routes.get(route)
        if known is None or known.share >= 1 or importance is Importance.CRITICAL:
            return {"admitted_share": 1.0}
        limit = evolve(known)
        limit.evaluate(now)
        return {"admitted_share": round(limit.share, 2)}

    def shares(self):
        """Return the admitted shares of the limited routes."""
        return {
            name: round(limit.share, 2)
            for name, limit in self._routes.items()
            if limit.share < 1
        }


class ChainEntryLimit(EntryLimit):
    """Admits the calls whose standing reaches the threshold reported for their route.

    Calls of every class are limited: an admitted chain that fails further down has used
    other services for nothing, whatever its importance.
    """

    def __init__(self, rng: Random, counters: Counters):
        self._rng = rng
        self._counters = counters
        self._thresholds = RouteThresholds()
        self._returning = ReturningCallers(rng)
        self._now = 0.0

    def admit(
        self,
        route: str,
        importance: Importance,
        now: float,
        root: RootCall = UNIDENTIFIED,
    ) -> int:
        """Admit or refuse a call by its standing; return the rank of its chain."""
        self._now = now
        rank, is_returning = self._returning.derive_rank(
            root.fingerprint, root.request_id, importance, now
        )
        threshold = self._thresholds.value(route, root.service, now)
        if standing(importance, rank) >= threshold:
            if is_returning:
                self._counters.add("returning-admitted")
            return rank
        wait_s = draw_retry_after_s(root.deadline - now, self._rng)
        self._returning.record_refusal(root.fingerprint, rank, wait_s, now)
        self._counters.add("entry-refused")
        raise CallRefusedError(
            Reason.SHED,
            f"downstream overload: rank {rank} is below the threshold {threshold:.0f}",
            retry_after_s=wait_s,
        )

    def record_result(self, route: str, lost: float, now: float) -> None:
        """Do nothing, since the limit follows the reported thresholds."""

    def record_threshold(self, route, service, threshold, now):
        """Record the threshold standing that a service's reply reported."""
        self._now = now
        self._thresholds.record(route, service, threshold, now)

    def record_refusal(self, fingerprint, rank, wait_s, now):
        """Record that an admitted call was refused later and may return."""
        self._returning.record_refusal(fingerprint, rank, wait_s, now)

    def thresholds(self):
        """Return the threshold standings of the limited routes."""
        return self._thresholds.snapshot(self._now)

    def explain(self, route, service, importance, now):
        """Return a route's threshold, and the standings of its calls by rank."""
        return {
            "threshold": round(self._thresholds.value(route, service, now), 1),
            "lowest_standing": standing(importance, 0),
            "highest_standing": standing(importance, TOP_RANK),
        }


class ObjectivesEntryLimit(EntryLimit):
    """Chooses a limit by the configuration in force.

    Parameters
    ----------
    plain, chains : EntryLimit
        Limits for configurations without and with mixed objectives.
    has_mixed_objectives : callable
        Returns whether the configuration in force has mixed objectives.
    """

    def __init__(
        self,
        plain: EntryLimit,
        chains: EntryLimit,
        has_mixed_objectives: Callable[[], bool],
    ):
        self._plain = plain
        self._chains = chains
        self._has_mixed_objectives = has_mixed_objectives

    @property
    def _limit(self):
        return self._chains if self._has_mixed_objectives() else self._plain

    def admit(
        self,
        route: str,
        importance: Importance,
        now: float,
        root: RootCall = UNIDENTIFIED,
    ) -> int:
        """Admit or refuse a call by the limit in force."""
        return self._limit.admit(route, importance, now, root)

    def record_result(self, route: str, lost: float, now: float) -> None:
        """Count the end of a call."""
        self._limit.record_result(route, lost, now)

    def record_threshold(self, route, service, threshold, now):
        """Record the threshold standing that a service's reply reported."""
        self._limit.record_threshold(route, service, threshold, now)

    def record_refusal(self, fingerprint, rank, wait_s, now):
        """Record that an admitted call was refused later and may return."""
        self._limit.record_refusal(fingerprint, rank, wait_s, now)

    def thresholds(self):
        """Return the threshold standings of the limited routes."""
        return self._limit.thresholds()

    def shares(self):
        """Return the admitted shares of the limited routes."""
        return self._limit.shares()

    def explain(self, route, service, importance, now):
        """Return the present limit of a route as plain data."""
        return self._limit.explain(route, service, importance, now)
