"""Limits on the number of concurrent calls at the node's own backend server.

The adaptive limit follows the measured delay: the mean ratio of latency to the
route's baseline over a window. It grows additively while it is in use and
shrinks multiplicatively when the ratio exceeds the tolerance. A latency that
does not fall with the limit is not caused by concurrency and is accepted.
"""

from abc import ABC, abstractmethod
from enum import Enum, unique
from math import sqrt

from attrs import define, field

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.admission.route_latency import RouteLatencies
from monsoonmill.settings import AdmissionSettings
from monsoonmill.value_classes import frozen

MIN_SAMPLES = 20
"""Runs that a window needs before it is evaluated."""
PROBE_SAMPLES = 10
"""Runs that a window needs during a probe, when the limit is low."""
SETTLE_LATENCIES = 2.0
"""A window lasts at least this many mean latencies after a change of the limit,
since short runs end first and would bias it."""
SPARSE_WINDOWS = 10
"""A window with too few runs is evaluated after this many times its length."""
MAX_RATIO = 16.0
"""Upper bound on the ratio of a single run."""
MEAN_WEIGHT = 0.05
"""Weight of one run in the moving average of latency over all routes."""
FAST_GROWTH = 1.5
MIN_DECREASE_FACTOR = 0.5
MAX_DECREASE_FACTOR = 0.9
SHED_DECREASE_FACTOR = 0.8
"""Largest factor of a decrease after the backend server itself refused calls."""
SHED_SHARE = 0.05
"""Share of refusals in a window that counts as congestion."""
HOLD_SHARE = 0.5
"""The limit stops growing when the ratio has come this far towards the tolerance."""
COMPARED_DECREASE = 0.5
"""Latencies are compared once a back-off has shrunk the limit to this share."""
PROBE_FACTOR = 0.25
FIRST_PROBE_S = 1.0
MAX_PROBE_S = 32.0
"""Interval between probes under load; it doubles while probes find nothing."""
LOWERED_RATIO = 0.7
"""A probe whose latency is below this share of a baseline lowers the baseline."""
MIN_ROUTE_SAMPLES = 5
"""Runs of a route that a probe needs to lower its baseline."""
UNLOADED_SHARE = 0.25
"""A run that started with at most this share of the limit in use is unloaded."""


@unique
class RunResult(Enum):
    """How a run ended, which decides how its latency is used."""

    ANSWERED = "answered"
    SHED = "shed"
    CUT_OFF = "cut-off"
    FAILED = "failed"


@frozen
class RunSample:
    """One run at the backend server.

    Attributes
    ----------
    running : int
        Runs in progress when it started, including itself.
    """

    route: str
    started_at: float
    latency_s: float
    running: int
    result: RunResult


@define
class LatencySum:
    """Latencies of one route in a window."""

    count: int = 0
    total_s: float = 0.0

    @property
    def mean_s(self) -> float:
        """Mean latency in seconds."""
        return self.total_s / self.count


@define
class Window:
    """Runs that ended since the last evaluation of the limit."""

    started_at: float = float("-inf")
    count: int = 0
    ratio_sum: float = 0.0
    sheds: int = 0
    was_full: bool = False
    routes: dict[str, LatencySum] = field(factory=dict)

    @property
    def ratio(self) -> float:
        """Mean ratio of latency to baseline."""
        return self.ratio_sum / self.count if self.count else 1.0

    def add(self, sample: RunSample, ratio: float) -> None:
        """Count a run with its ratio of latency to baseline."""
        self.count += 1
        self.ratio_sum += ratio
        latencies = self.routes.setdefault(sample.route, LatencySum())
        latencies.count += 1
        latencies.total_s += sample.latency_s

    @property
    def total(self) -> int:
        """Number of runs counted, including those that were shed."""
        return self.count + self.sheds


@frozen
class LimitReference:
    """A limit and the ratio of latency to baseline measured with it."""

    limit: float
    ratio: float


@unique
class ServerEvent(Enum):
    """What may precede slow responses of a backend server.

    ``COLD`` is what a heartbeat says; ``LOST_RUN`` is a run without a response.
    """

    STARTED = "started"
    COLD = "turned_cold"
    REFUSED_CONNECTION = "refused"
    LOST_RUN = "lost"


class ConcurrencyLimit(ABC):
    """Determines how many calls may be at the backend server.

    Attributes
    ----------
    paces_starts : bool
        Whether the limit may be lowered after a start or a recovery.
    """

    paces_starts = False

    @property
    @abstractmethod
    def limit(self) -> int:
        """Number of calls that may run concurrently."""

    @abstractmethod
    def record_full(self) -> None:
        """Record that a call had to wait for a slot."""

    @abstractmethod
    def record_run(self, sample: RunSample, now: float) -> None:
        """Record a run that ended."""

    @abstractmethod
    def set_announced_slots(self, slots: int) -> None:
        """Use the number of slots that the backend server announces as a hint."""

    @abstractmethod
    def recent_latency_s(self, route: str, now: float) -> float:
        """Return a route's current latency; 0 if it is unknown."""

    @property
    def is_reduced(self) -> bool:
        """Whether the limit is low since the server has just started or recovered."""
        return False

    def record_event(self, event: ServerEvent, now: float) -> bool:
        """Record a change of the server; return whether the limit is lowered."""
        return False

    def status(self) -> dict:
        """Return the state shown to operators."""
        return {"limit": self.limit}


class FixedLimit(ConcurrencyLimit):
    """A limit that never changes; a baseline for comparisons."""

    def __init__(self, limit: int):
        self._limit = limit

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        return self._limit

    def record_full(self) -> None:
        """Ignore that a call had to wait."""

    def record_run(self, sample: RunSample, now: float) -> None:
        """Ignore the run."""

    def set_announced_slots(self, slots: int) -> None:
        """Ignore the hint."""

    def recent_latency_s(self, route: str, now: float) -> float:
        """Return 0, since latencies are not measured."""
        return 0.0


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that follows the measured delay.

    Attributes
    ----------
    accepted_ratio : float
        Ratio of latency to baseline that a smaller limit did not reduce.
    """

    def __init__(self, cfg: AdmissionSettings):
        self._cfg = cfg
        self._limit = float(cfg.initial_limit)
        self._announced_slots = 0
        self._latencies = RouteLatencies()
        self._window = Window()
        self._changed_at = float("-inf")
        self._unloaded_at = float("-inf")
        self._mean_s = 0.0
        self._probe_after_s = FIRST_PROBE_S
        self._previous_limit = self._limit
        self._reference = LimitReference(self._limit, 1.0)
        self.accepted_ratio = 1.0
        self._chart = LIMIT_CHART.start(self)

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        return int(self._limit)

    def record_full(self):
        """Record that a call had to wait for a slot."""
        self._window.was_full = True

    def set_announced_slots(self, slots: int) -> None:
        """End the slow start at the announced number of slots."""
        self._announced_slots = slots

    def recent_latency_s(self, route: str, now: float) -> float:
        """Return a route's current latency; 0 if it is unknown."""
        return self._latencies.recent_s(route, now)

    def record_run(self, sample: RunSample, now: float) -> None:
        """Record a run that ended, and evaluate the window if it is due."""
        if sample.result is RunResult.FAILED:
            return
        ratio = self._update_latencies(sample, now)
        # Runs that started before the last change were subject to the old limit.
        if sample.started_at >= self._changed_at:
            self._count(sample, ratio, now)
        if self._is_due(now):
            self._evaluate(now)

    def _update_latencies(self, sample, now):
        """Return the run's ratio of latency to baseline, None if it has none."""
        if sample.result is RunResult.SHED:
            return None
        if sample.result is RunResult.ANSWERED:
            is_unloaded = sample.running <= self._max_unloaded_running()
            if is_unloaded:
                self._unloaded_at = now
            self._latencies.record(sample.route, sample.latency_s, is_unloaded, now)
            self._mean_s += MEAN_WEIGHT * (sample.latency_s - self._mean_s)
        latency = self._latencies.get(sample.route)
        if latency is None or not latency.is_known:
            return None
        ratio = min(sample.latency_s / latency.baseline_s, MAX_RATIO)
        if sample.result is RunResult.CUT_OFF:
            latency.record_lower_bound(sample.latency_s, now)
            if ratio <= self._cfg.tolerance * self.accepted_ratio:
                return None
        return ratio

    def _max_unloaded_running(self):
        limit = self._previous_limit if self._chart.is_in("probing") else self._limit
        return max(limit * UNLOADED_SHARE, self._cfg.min_limit)

    def _count(self, sample, ratio, now):
        window = self._window
        if not window.total:
            window.started_at = now
        if sample.result is RunResult.SHED:
            window.sheds += 1
        elif ratio is not None:
            window.add(sample, ratio)

    def _is_due(self, now):
        window_s = self._cfg.window_ms / 1000
        elapsed_s = now - self._window.started_at
        if now - self._changed_at < self._mean_s * SETTLE_LATENCIES:
            return False
        min_samples = PROBE_SAMPLES if self._chart.is_in("probing") else MIN_SAMPLES
        if self._window.total >= min_samples:
            return elapsed_s >= window_s
        return self._window.total > 0 and elapsed_s >= window_s * SPARSE_WINDOWS

    def _evaluate(self, now):
        window = self._window
        if window.count:
            self.accepted_ratio = max(min(self.accepted_ratio, window.ratio), 1.0)
        self._window = Window(now)
        self._chart.send("window_ended", EndedWindow(window, now))

    # Guards.
    def is_congested(self, ended):
        """Return whether latencies or refusals indicate too much concurrency."""
        window = ended.window
        if window.sheds > window.total * SHED_SHARE:
            return True
        return window.ratio / self.accepted_ratio > self._cfg.tolerance

    def has_reached_announced_slots(self, ended):
        """Return whether the limit is at the announced number of slots."""
        return self._announced_slots and self._limit >= self._announced_slots

    def was_full(self, ended):
        """Return whether calls had to wait because of the limit."""
        return ended.window.was_full

    def may_grow(self, ended):
        """Return whether the limit is in use and latency well below the tolerance."""
        margin = (self._cfg.tolerance - 1) * HOLD_SHARE
        is_low = ended.window.ratio / self.accepted_ratio <= 1 + margin
        return ended.window.was_full and is_low

    def needs_probe(self, ended):
        """Return whether there has been no unloaded run for too long."""
        return (
            ended.window.was_full
            and ended.now - self._unloaded_at > self._probe_after_s
        )

    def is_latency_independent(self, ended):
        """Return whether a much smaller limit has hardly lowered the latency."""
        window, reference = ended.window, self._reference
        remaining = self._limit / reference.limit
        if remaining > COMPARED_DECREASE or not window.count or window.sheds:
            return False
        return window.ratio > reference.ratio * (1 + remaining) / 2

    def has_lower_baseline(self, ended):
        """Return whether a probe has found a route faster than its baseline."""
        return any(self._find_lower_baselines(ended.window))

    # Actions.
    def grow_fast(self, ended):
        """Increase the limit by a factor."""
        max_limit = self._announced_slots or self._cfg.max_limit
        self._set(min(self._limit * FAST_GROWTH, max_limit), ended.now)

    def grow(self, ended):
        """Increase the limit by a step."""
        self._set(self._limit + max(sqrt(self._limit) / 2, 1.0))

    def start_back_off(self, ended):
        """Save the limit and its latency ratio, and shrink the limit."""
        self._previous_limit = self._limit
        self._reference = LimitReference(self._limit, ended.window.ratio)
        self.back_off(ended)

    def back_off(self, ended):
        """Shrink the limit by a factor."""
        if self._limit <= self._reference.limit * COMPARED_DECREASE:
            self._reference = LimitReference(self._limit, ended.window.ratio)
        target = self._cfg.tolerance * self.accepted_ratio / ended.window.ratio
        factor = min(max(target, MIN_DECREASE_FACTOR), MAX_DECREASE_FACTOR)
        if ended.window.sheds:
            factor = min(factor, SHED_DECREASE_FACTOR)
        self._set(self._limit * factor, ended.now)

    def accept_latency(self, ended):
        """Accept the current latency as normal, and restore the limit."""
        self.accepted_ratio = min(ended.window.ratio, MAX_RATIO)
        self._set(self._previous_limit, ended.now)

    def start_probe(self, ended):
        """Shrink the limit for one window to measure the unloaded latency."""
        self._previous_limit = self._limit
        self._set(self._limit * PROBE_FACTOR, ended.now)

    def continue_probe(self, ended):
        """Lower the baselines, and shrink the limit to look for lower ones still."""
        for latency, mean_s in self._find_lower_baselines(ended.window):
            latency.lower_baseline(mean_s)
        self._probe_after_s = FIRST_PROBE_S
        self._set(self._limit * PROBE_FACTOR, ended.now)

    def end_probe(self, ended):
        """Accept the remaining latency as not caused by load; restore the limit."""
        window = ended.window
        if window.count:
            self.accepted_ratio = max(window.ratio, 1.0)
        self._probe_after_s = min(self._probe_after_s * 2, MAX_PROBE_S)
        self._unloaded_at = ended.now
        self._set(self._previous_limit, ended.now)

    def _find_lower_baselines(self, window):
        """Yield the routes that ran faster than their baseline, with mean latency."""
        for route, latencies in window.routes.items():
            latency = self._latencies.get(route)
            if latency is None or latencies.count < MIN_ROUTE_SAMPLES:
                continue
            if latencies.mean_s < latency.baseline_s * LOWERED_RATIO:
                yield latency, latencies.mean_s

    def _set(self, limit, changed_at=None):
        self._limit = min(max(limit, self._cfg.min_limit), self._cfg.max_limit)
        if changed_at is not None:
            self._changed_at = changed_at

    def status(self):
        """Return the state shown to operators."""
        return {
            "limit": self.limit,
            "phase": self._chart.state,
            "slowness": round(self.accepted_ratio, 2),
        }


@frozen
class EndedWindow:
    """A window to be evaluated, and when it ended."""

    window: Window
    now: float


LIMIT_CHART = bind_methods("concurrency_limit", AdaptiveLimit)
