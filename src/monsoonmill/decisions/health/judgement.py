"""What one node's recent attempts tell of it."""

from abc import ABC, abstractmethod
from collections import deque

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import HealthSettings

HALF_OPEN_CALLS = 1
"""Calls that a node gets at a time after its rest, until one is answered."""
MAX_ROUTES = 10_000
"""Routes of which a node's answers are awaited; beyond it all begin anew."""
MAX_REST_FACTOR = 8
"""A node that fails again and again rests at most this often longer."""


class Judge(ABC):
    """What the judgement of one node needs of the whole."""

    timers: Timers
    limits: HealthSettings

    @abstractmethod
    def may_eject(self, node: str) -> bool:
        """Return whether enough nodes of the same service remain."""

    @abstractmethod
    def count_ejection(self) -> None:
        """Count that a node was ejected."""


@define
class RouteWait:
    """Attempts of one route at a node without an answer.

    Attributes
    ----------
    since : float
        When the first of them began, or the last answer came.
    outstanding : int
        Attempts in progress.
    in_vain : int
        Attempts that ended since the last answer without one.
    """

    since: float
    outstanding: int = 0
    in_vain: int = 0

    @property
    def unanswered(self) -> int:
        """Attempts since the last answer that have none."""
        return self.outstanding + self.in_vain

    def answer(self, now: float) -> None:
        """Note an answer."""
        self.since = now
        self.in_vain = 0


@define(eq=False)
class Judgement:
    """What is known of one node; owner of its health chart.

    Attributes
    ----------
    failures : deque of bool
        Whether each of the last attempts failed.
    trials : int
        Attempts in progress that began after the rest.
    rest_factor : int
        Grows with each ejection that follows a failed trial.
    """

    node: str
    judge: Judge
    failures: deque
    chart: ChartInstance | None = None
    waits: dict[str, RouteWait] = field(factory=dict)
    trials: int = 0
    trials_since: float = float("-inf")
    is_trial_over: bool = False
    rest_factor: int = 1

    @classmethod
    def from_settings(cls, node, limits: HealthSettings, judge: Judge) -> "Judgement":
        """Return the judgement of a node that nothing is known of."""
        return cls(node, judge, deque(maxlen=limits.window))

    def refuses_calls(self) -> bool:
        """Return whether the node gets no further call now."""
        state = self.chart.state
        if state == "fit":
            return False
        return state == "ejected" or self.trials >= HALF_OPEN_CALLS

    def end_attempt(self, route: str, started_at: float) -> None:
        """Wait for one attempt less, unless it began before the rest ended."""
        if started_at < self.trials_since:
            return
        wait = self.waits.get(route)
        if wait is not None:
            wait.outstanding = max(wait.outstanding - 1, 0)
        if self.chart.state == "half_open":
            self.trials = max(self.trials - 1, 0)

    def wait_for(self, route: str, now: float) -> RouteWait:
        """Return what is awaited of a route."""
        wait = self.waits.get(route)
        if wait is None:
            if len(self.waits) >= MAX_ROUTES:
                self.waits.clear()
            wait = self.waits[route] = RouteWait(now)
        return wait

    def miss(self, started_at: float, now: float) -> None:
        """Take an attempt into account whose time was up; it may be just slow."""
        self.is_trial_over = started_at >= self.trials_since
        self.chart.send("missed", now)

    def fail(self, started_at: float, now: float) -> None:
        """Take a failed attempt into account."""
        self.failures.append(True)
        self.is_trial_over = started_at >= self.trials_since
        self.chart.send("failed", now)

    def succeed(self, now: float) -> None:
        """Take a whole answer into account."""
        self.failures.append(False)
        self.chart.send("answered", now)

    # Guards and actions.
    def fails_too_often(self, arg):
        """Return whether the node's recent attempts make it unfit."""
        limits = self.judge.limits
        failed = sum(self.failures)
        return failed >= limits.failure_ratio * limits.window and self.judge.may_eject(
            self.node
        )

    def may_be_ejected(self, arg):
        """Return whether enough other nodes remain."""
        return self.judge.may_eject(self.node)

    def is_trial(self, arg):
        """Return whether the failed attempt began after the rest."""
        return self.is_trial_over

    def forgive(self, arg):
        """Forget what was held against the node."""
        self.failures.clear()
        self.rest_factor = 1

    def start_rest(self, now):
        """Give the node no calls for a while."""
        rest_s = self.judge.limits.eject_ms / 1000 * self.rest_factor
        self.rest_factor = min(2 * self.rest_factor, MAX_REST_FACTOR)
        self.judge.timers.set((self.node, None), now + rest_s)
        self.judge.count_ejection()

    def end_rest(self, arg):
        """Stop the clock of the rest."""
        self.judge.timers.cancel((self.node, None))

    def start_trials(self, now):
        """Let a few calls through; only they count."""
        self.waits.clear()
        self.trials = 0
        self.trials_since = now


HEALTH_CHART = bind_methods("backend_health", Judgement)
