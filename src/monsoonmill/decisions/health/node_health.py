"""Health of one node, determined from its recent attempts."""

from abc import ABC, abstractmethod
from collections import deque

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import HealthSettings

HALF_OPEN_CALLS = 1
"""Concurrent calls that a half-open node receives until one is answered."""
MAX_ROUTES = 10_000
"""Number of routes tracked per node; the table is cleared when it would exceed
this."""
MAX_EJECTION_FACTOR = 8
"""Maximum factor by which repeated failures prolong an ejection."""


class EjectionRules(ABC):
    """What the health of one node needs from the health of all nodes."""

    timers: Timers
    limits: HealthSettings

    @abstractmethod
    def may_eject(self, node: str) -> bool:
        """Return whether enough nodes of the same service remain."""

    @abstractmethod
    def count_ejection(self) -> None:
        """Count that a node was ejected."""


@define
class RouteAttempts:
    """Attempts of one route at a node since its last answer.

    Attributes
    ----------
    since : float
        When the first of them started, or the last answer arrived.
    in_progress : int
        Attempts in progress.
    timed_out : int
        Attempts that have ended without an answer since the last one.
    """

    since: float
    in_progress: int = 0
    timed_out: int = 0

    @property
    def unanswered(self) -> int:
        """Attempts since the last answer that have none."""
        return self.in_progress + self.timed_out

    def record_answer(self, now: float) -> None:
        """Record an answer."""
        self.since = now
        self.timed_out = 0


@define(eq=False)
class NodeHealth:
    """Health of one node; owner of its health chart.

    Attributes
    ----------
    failures : deque of bool
        Whether each of the last attempts failed.
    trials : int
        Attempts in progress that started after the ejection.
    ejection_factor : int
        Factor of the next ejection's duration; doubles with each ejection until
        the node is fit again.
    """

    node: str
    rules: EjectionRules
    failures: deque
    chart: ChartInstance | None = None
    routes: dict[str, RouteAttempts] = field(factory=dict)
    trials: int = 0
    trials_since: float = float("-inf")
    ended_trial: bool = False
    ejection_factor: int = 1

    @classmethod
    def from_settings(
        cls, node, limits: HealthSettings, rules: EjectionRules
    ) -> "NodeHealth":
        """Return the health of a node without any attempts."""
        return cls(node, rules, deque(maxlen=limits.window))

    def blocks_calls(self) -> bool:
        """Return whether the node receives no further calls now."""
        state = self.chart.state
        if state == "fit":
            return False
        return state == "ejected" or self.trials >= HALF_OPEN_CALLS

    def end_attempt(self, route: str, started_at: float) -> None:
        """Stop counting an attempt, unless it started before the ejection ended."""
        if started_at < self.trials_since:
            return
        attempts = self.routes.get(route)
        if attempts is not None:
            attempts.in_progress = max(attempts.in_progress - 1, 0)
        if self.chart.state == "half_open":
            self.trials = max(self.trials - 1, 0)

    def route_attempts(self, route: str, now: float) -> RouteAttempts:
        """Return the attempts of a route."""
        attempts = self.routes.get(route)
        if attempts is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.clear()
            attempts = self.routes[route] = RouteAttempts(now)
        return attempts

    def record_timeout(self, started_at: float, now: float) -> None:
        """Record an attempt that timed out; the node may just be slow."""
        self.ended_trial = started_at >= self.trials_since
        self.chart.send("timed_out", now)

    def record_failure(self, started_at: float, now: float) -> None:
        """Record a failed attempt."""
        self.failures.append(True)
        self.ended_trial = started_at >= self.trials_since
        self.chart.send("failed", now)

    def record_success(self, now: float) -> None:
        """Record a complete answer."""
        self.failures.append(False)
        self.chart.send("answered", now)

    # Guards and actions.
    def exceeds_failure_ratio(self, arg):
        """Return whether too many recent attempts failed and ejection is allowed."""
        limits = self.rules.limits
        failed = sum(self.failures)
        return failed >= limits.failure_ratio * limits.window and self.rules.may_eject(
            self.node
        )

    def may_be_ejected(self, arg):
        """Return whether enough other nodes remain."""
        return self.rules.may_eject(self.node)

    def was_trial(self, arg):
        """Return whether the failed attempt started after the ejection."""
        return self.ended_trial

    def reset(self, arg):
        """Clear the recorded failures and the factor of the ejection."""
        self.failures.clear()
        self.ejection_factor = 1

    def start_ejection(self, now):
        """Withhold calls from the node for a while."""
        ejection_s = self.rules.limits.eject_ms / 1000 * self.ejection_factor
        self.ejection_factor = min(2 * self.ejection_factor, MAX_EJECTION_FACTOR)
        self.rules.timers.set((self.node, None), now + ejection_s)
        self.rules.count_ejection()

    def cancel_ejection_timer(self, arg):
        """Cancel the timer that ends the ejection."""
        self.rules.timers.cancel((self.node, None))

    def start_trials(self, now):
        """Allow a few calls; only these are counted from now on."""
        self.routes.clear()
        self.trials = 0
        self.trials_since = now


HEALTH_CHART = bind_methods("backend_health", NodeHealth)
