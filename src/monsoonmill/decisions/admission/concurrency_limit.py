"""Limits on the number of calls at the own backend server.

The adaptive limit follows the measured delay: the mean ratio of latency to the
route's baseline over a window. It grows additively while it is in use and
shrinks multiplicatively when the ratio exceeds the tolerance. A latency that
does not fall with the limit is not caused by concurrency and is accepted.
"""

from abc import ABC, abstractmethod
from enum import Enum, unique
from math import sqrt

from attrs import define, field, frozen

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.admission.route_latency import RouteLatencies
from monsoonmill.settings import AdmissionSettings

MIN_SAMPLES = 20
"""Runs that a window needs before it is judged."""
PROBE_SAMPLES = 10
"""Runs that a window needs while a probe holds the limit down."""
SETTLE_LATENCIES = 2.0
"""A window ends this many mean latencies after a change at the earliest, since
its quick runs end first."""
SPARSE_WINDOWS = 10
"""A window with fewer runs is judged after this many times its length."""
MAX_RATIO = 16.0
"""A single run counts with this ratio at most."""
MEAN_WEIGHT = 0.05
"""Weight of one run in the mean latency over all routes."""
FAST_GROWTH = 1.5
LEAST_FACTOR = 0.5
MOST_FACTOR = 0.9
SHED_FACTOR = 0.8
"""Factor of the decrease when the backend server itself refuses calls."""
SHED_SHARE = 0.05
"""Share of refusals in a window that counts as congestion."""
HOLD_SHARE = 0.5
"""The limit stops growing at this part of the way to the tolerance."""
JUDGED_DECREASE = 0.5
"""A back-off is judged once the limit has shrunk to this part."""
PROBE_FACTOR = 0.25
FIRST_PROBE_S = 1.0
MAX_PROBE_S = 32.0
"""Probes come after these times under load, doubling while they find nothing."""
LOWERED_RATIO = 0.7
"""A probe with a smaller ratio has found a lower baseline."""
MIN_ROUTE_SAMPLES = 5
"""Runs of a route that a probe needs to lower its baseline."""
CALM_SHARE = 0.25
"""A run that started with this part of the limit in use shows no overload."""


@unique
class RunEnd(Enum):
    """How a run ended, as far as its latency can be relied on."""

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
        Runs in progress when it started, itself included.
    """

    route: str
    started_at: float
    latency_s: float
    running: int
    end: RunEnd


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
    """Runs that ended since the last judgement of the limit."""

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
    def ends(self) -> int:
        """Number of runs that were counted."""
        return self.count + self.sheds


@frozen
class JudgedLimit:
    """A limit and the ratio of latency to baseline that came with it."""

    limit: float
    ratio: float


class ConcurrencyLimit(ABC):
    """Tells how many calls may be at the backend server."""

    @property
    @abstractmethod
    def limit(self) -> int:
        """Number of calls that may run at once."""

    @abstractmethod
    def note_full(self) -> None:
        """Note that a call had to wait for a slot."""

    @abstractmethod
    def note_run(self, sample: RunSample, now: float) -> None:
        """Take one run's end into account."""

    @abstractmethod
    def note_announced(self, slots: int) -> None:
        """Take the number of slots that the backend server claims as a hint."""

    @abstractmethod
    def usual_s(self, route: str, now: float) -> float:
        """Return a route's latency at present; 0 if that is not known."""

    def status(self) -> dict:
        """Return the state that operators see."""
        return {"limit": self.limit}


class FixedLimit(ConcurrencyLimit):
    """A limit that never changes; a baseline to compare with."""

    def __init__(self, limit: int):
        self._limit = limit

    @property
    def limit(self) -> int:
        """Number of calls that may run at once."""
        return self._limit

    def note_full(self) -> None:
        """Ignore that a call had to wait."""

    def note_run(self, sample: RunSample, now: float) -> None:
        """Ignore the run."""

    def note_announced(self, slots: int) -> None:
        """Ignore the hint."""

    def usual_s(self, route: str, now: float) -> float:
        """Return 0, since nothing is measured."""
        return 0.0


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that follows the measured delay.

    Attributes
    ----------
    slowness : float
        Ratio of latency to baseline that a smaller limit did not cure.
    """

    def __init__(self, cfg: AdmissionSettings):
        self._cfg = cfg
        self._limit = float(cfg.initial_limit)
        self._hint = 0
        self._latencies = RouteLatencies()
        self._window = Window()
        self._changed_at = float("-inf")
        self._calm_at = float("-inf")
        self._mean_s = 0.0
        self._probe_after_s = FIRST_PROBE_S
        self._before = self._limit
        self._judged = JudgedLimit(self._limit, 1.0)
        self.slowness = 1.0
        self._chart = LIMIT_CHART.start(self)

    @property
    def limit(self) -> int:
        """Number of calls that may run at once."""
        return int(self._limit)

    def note_full(self):
        """Note that a call had to wait for a slot."""
        self._window.was_full = True

    def note_announced(self, slots: int) -> None:
        """Let the slow start end at the number of slots that is claimed."""
        self._hint = slots

    def usual_s(self, route: str, now: float) -> float:
        """Return a route's latency at present; 0 if that is not known."""
        return self._latencies.usual_s(route, now)

    def note_run(self, sample: RunSample, now: float) -> None:
        """Take one run's end into account, and judge the window if it is due."""
        if sample.end is RunEnd.FAILED:
            return
        ratio = self._learn(sample, now)
        # Runs that began before the last change tell of the old limit.
        if sample.started_at >= self._changed_at:
            self._count(sample, ratio, now)
        if self._is_due(now):
            self._judge(now)

    def _learn(self, sample, now):
        """Return the run's ratio of latency to baseline, None if it has none."""
        if sample.end is RunEnd.SHED:
            return None
        if sample.end is RunEnd.ANSWERED:
            is_calm = sample.running <= self._calm_running()
            if is_calm:
                self._calm_at = now
            self._latencies.learn(sample.route, sample.latency_s, is_calm, now)
            self._mean_s += MEAN_WEIGHT * (sample.latency_s - self._mean_s)
        entry = self._latencies.get(sample.route)
        if entry is None or not entry.is_known:
            return None
        ratio = min(sample.latency_s / entry.baseline_s, MAX_RATIO)
        if sample.end is RunEnd.CUT_OFF:
            entry.learn_at_least(sample.latency_s, now)
            if ratio <= self._cfg.tolerance * self.slowness:
                return None
        return ratio

    def _calm_running(self):
        limit = self._before if self._chart.is_in("probing") else self._limit
        return max(limit * CALM_SHARE, self._cfg.min_limit)

    def _count(self, sample, ratio, now):
        window = self._window
        if not window.ends:
            window.started_at = now
        if sample.end is RunEnd.SHED:
            window.sheds += 1
        elif ratio is not None:
            window.add(sample, ratio)

    def _is_due(self, now):
        window_s = self._cfg.window_ms / 1000
        elapsed_s = now - self._window.started_at
        if now - self._changed_at < self._mean_s * SETTLE_LATENCIES:
            return False
        least = PROBE_SAMPLES if self._chart.is_in("probing") else MIN_SAMPLES
        if self._window.ends >= least:
            return elapsed_s >= window_s
        return self._window.ends > 0 and elapsed_s >= window_s * SPARSE_WINDOWS

    def _judge(self, now):
        window = self._window
        if window.count:
            self.slowness = max(min(self.slowness, window.ratio), 1.0)
        self._window = Window(now)
        self._chart.send("window", Judgement(window, now))

    # Guards.
    def is_congested(self, judged):
        """Return whether latencies or refusals tell of too many calls."""
        window = judged.window
        if window.sheds > window.ends * SHED_SHARE:
            return True
        return window.ratio / self.slowness > self._cfg.tolerance

    def has_reached_hint(self, judged):
        """Return whether the limit is at the number of slots claimed."""
        return self._hint and self._limit >= self._hint

    def was_full(self, judged):
        """Return whether the limit kept calls waiting."""
        return judged.window.was_full

    def may_grow(self, judged):
        """Return whether the limit is in use and latencies are well below."""
        room = (self._cfg.tolerance - 1) * HOLD_SHARE
        is_low = judged.window.ratio / self.slowness <= 1 + room
        return judged.window.was_full and is_low

    def needs_probe(self, judged):
        """Return whether no run without load has been seen for long."""
        return (
            judged.window.was_full and judged.now - self._calm_at > self._probe_after_s
        )

    def is_slow_by_itself(self, judged):
        """Return whether a much smaller limit has hardly lowered the latency."""
        window, earlier = judged.window, self._judged
        shrunk = self._limit / earlier.limit
        if shrunk > JUDGED_DECREASE or not window.count or window.sheds:
            return False
        return window.ratio > earlier.ratio * (1 + shrunk) / 2

    def has_found_less(self, judged):
        """Return whether a probe has found a route faster than known."""
        return any(self._lower_routes(judged.window))

    # Actions.
    def grow_fast(self, judged):
        """Grow by a factor."""
        ceiling = self._hint or self._cfg.max_limit
        self._set(min(self._limit * FAST_GROWTH, ceiling), judged.now)

    def grow(self, judged):
        """Grow by a step."""
        self._set(self._limit + max(sqrt(self._limit) / 2, 1.0))

    def begin_back_off(self, judged):
        """Remember the limit and latency, and shrink."""
        self._before = self._limit
        self._judged = JudgedLimit(self._limit, judged.window.ratio)
        self.back_off(judged)

    def back_off(self, judged):
        """Shrink by a factor."""
        if self._limit <= self._judged.limit * JUDGED_DECREASE:
            self._judged = JudgedLimit(self._limit, judged.window.ratio)
        excess = self._cfg.tolerance * self.slowness / judged.window.ratio
        factor = min(max(excess, LEAST_FACTOR), MOST_FACTOR)
        if judged.window.sheds:
            factor = min(factor, SHED_FACTOR)
        self._set(self._limit * factor, judged.now)

    def accept_slowness(self, judged):
        """Take the present latency for the usual one and restore the limit."""
        self.slowness = min(judged.window.ratio, MAX_RATIO)
        self._set(self._before, judged.now)

    def begin_probe(self, judged):
        """Shrink for one window to measure the latency without load."""
        self._before = self._limit
        self._set(self._limit * PROBE_FACTOR, judged.now)

    def probe_deeper(self, judged):
        """Lower the baselines, and shrink once more to see whether more is true."""
        for entry, mean_s in self._lower_routes(judged.window):
            entry.lower(mean_s)
        self._probe_after_s = FIRST_PROBE_S
        self._set(self._limit * PROBE_FACTOR, judged.now)

    def end_probe(self, judged):
        """Take the latency that is left as no sign of load; restore the limit."""
        window = judged.window
        if window.count:
            self.slowness = max(window.ratio, 1.0)
        self._probe_after_s = min(self._probe_after_s * 2, MAX_PROBE_S)
        self._calm_at = judged.now
        self._set(self._before, judged.now)

    def _lower_routes(self, window):
        """Yield the routes that a probe has found to be faster than known."""
        for route, latencies in window.routes.items():
            entry = self._latencies.get(route)
            if entry is None or latencies.count < MIN_ROUTE_SAMPLES:
                continue
            if latencies.mean_s < entry.baseline_s * LOWERED_RATIO:
                yield entry, latencies.mean_s

    def _set(self, limit, changed_at=None):
        self._limit = min(max(limit, self._cfg.min_limit), self._cfg.max_limit)
        if changed_at is not None:
            self._changed_at = changed_at

    def status(self):
        """Return the state that operators see."""
        return {
            "limit": self.limit,
            "phase": self._chart.state,
            "slowness": round(self.slowness, 2),
        }


@frozen
class Judgement:
    """A window that is judged, and when."""

    window: Window
    now: float


LIMIT_CHART = bind_methods("concurrency_limit", AdaptiveLimit)
