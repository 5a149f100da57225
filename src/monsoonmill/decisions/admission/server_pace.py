"""Ramp-up of a backend server that has just started or recovered.

The number of concurrent calls starts at a small share of the slots. It grows while the
server responds as fast as it usually does, and shrinks while it sheds, or responds more
slowly than it did with fewer calls. What the server says about itself only starts a
ramp; its responses end it.
"""

from collections import OrderedDict

from attrs import define

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
    RunSample,
    ServerEvent,
)
from monsoonmill.value_classes import frozen

START_SHARE = 0.1
"""Share of the slots with which a ramp starts. A server at half its speed and a tenth
of its slots responds at once, and 6 doublings by half reach all slots."""
MIN_RAMP_LIMIT = 2
"""Calls that a server always gets, so that there are responses to go by."""
WINDOW_S = 0.1
MIN_WINDOW_RUNS = 4
"""Runs that a window needs, so that one slow run does not decide; with a higher limit,
as many as may run at once."""
SPARSE_WINDOW_S = 0.5
"""A window with fewer runs is evaluated after this time."""
GROWTH = 1.5
"""Growth with each good window: full from a tenth after 6 windows, 1 to 2 s at the
latencies of 20 to 120 ms that are known."""
CAREFUL_GROWTH = 1.2
"""Growth after the limit had to shrink, or if it was not in use."""
SLOW_GROWTH = 1.15
"""Growth while the server is slower than usual, but not because of concurrency. It
reaches all slots from a tenth after 17 windows."""
SHRINK = 0.7
SHED_SHARE = 0.05
"""Share of refusals in a window that counts as crowded, unless fewer calls did not
lower it."""
CROWDED_RATIO = 1.5
"""Ratio of the latency to that with fewer calls from which a server is crowded."""
USUAL_RATIO = 1.5
"""Ratio of the latency to the usual one up to which a server is as fast as usual. It
lies below 2, the slowness of a cold server."""
LOWERED_RATIO = 0.85
"""A latency, or a share of refusals, above this part of the one before the limit shrank
was not caused by concurrency."""
FALL_WEIGHT = 0.5
RISE_WEIGHT = 0.1
"""Weights of a window in the ratio with fewer calls. It hardly rises within the 6 to 17
windows of a ramp, or each step would be compared with one almost as crowded."""
USED_SHARE = 0.7
"""Share of the limit that has to be in use for fast growth."""
MAX_RATIO = 16.0
"""Upper bound on the ratio of a single run."""
MIN_LOST_RUNS = 5
"""Runs lost in a row after which responses count as resumed; senders eject a server
after about as many."""
MIN_FULL_S = 5.0
"""A server that says that it is cold is ramped up again only after this time, since
it may say so wrongly again and again."""
MAX_ROUTES = 1024
"""Number of routes tracked; the least recently used one is evicted."""
MIN_SAMPLES = 8
"""Runs of a route that define its usual latency at first."""
WEIGHT = 0.02
"""Weight of one run in the usual latency: about the last 50 runs of the route."""


@define
class UsualLatency:
    """Usual latency of one route at this server."""

    mean_s: float = 0.0
    samples: int = 0

    @property
    def is_known(self) -> bool:
        """Whether runs can be compared with it."""
        return self.samples >= MIN_SAMPLES and self.mean_s > 0

    def record(self, latency_s: float) -> None:
        """Record the latency of an answered run."""
        self.samples += 1
        self.mean_s += max(WEIGHT, 1 / self.samples) * (latency_s - self.mean_s)


@define
class RampWindow:
    """Runs that started and ended since the last change of the limit."""

    started_at: float
    count: int = 0
    ratio_sum: float = 0.0
    sheds: int = 0
    failed: int = 0
    max_running: int = 0

    @property
    def ratio(self) -> float:
        """Mean ratio of latency to the usual one."""
        return self.ratio_sum / self.count if self.count else 1.0

    @property
    def shed_share(self) -> float:
        """Share of the runs that the server refused."""
        total = self.count + self.sheds + self.failed
        return self.sheds / total if total else 0.0

    def is_due(self, limit: float, now: float) -> bool:
        """Return whether the window can be evaluated."""
        total = self.count + self.sheds + self.failed
        min_runs = max(limit, MIN_WINDOW_RUNS)
        min_s = WINDOW_S if total >= min_runs else SPARSE_WINDOW_S
        return total > 0 and now - self.started_at >= min_s


@frozen
class EndedRampWindow:
    """A window to be evaluated, and when it ended."""

    window: RampWindow
    now: float


class PacedLimit(ConcurrencyLimit):
    """A limit that is ramped up when the server has just started or recovered.

    Parameters
    ----------
    inner : ConcurrencyLimit
        Limit outside of a ramp.
    """

    def __init__(self, inner: ConcurrencyLimit):
        self._inner = inner
        self._limit = 0.0
        self._growth = GROWTH
        self._reference_ratio = 0.0
        self._shrunk_ratio = 0.0
        self._tolerated_sheds = SHED_SHARE
        self._shrunk_sheds = 0.0
        self._lost_runs = 0
        self._full_since = float("-inf")
        self._window = RampWindow(float("-inf"))
        self._usual: OrderedDict[str, UsualLatency] = OrderedDict()
        self._chart = PACE_CHART.start(self)

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        if not self.is_reduced:
            return self._inner.limit
        return min(int(self._limit), self._inner.limit)

    @property
    def is_reduced(self) -> bool:
        """Whether a ramp is in progress that limits the calls."""
        return self.paces_starts and self._chart.is_in("ramping")

    def record_full(self) -> None:
        """Record that a call had to wait for a slot."""
        self._inner.record_full()

    def set_announced_slots(self, slots: int) -> None:
        """Pass the number of slots on."""
        self._inner.set_announced_slots(slots)

    def recent_latency_s(self, route: str, now: float) -> float:
        """Return a route's current latency; 0 if it is unknown."""
        return self._inner.recent_latency_s(route, now)

    def record_event(self, event: ServerEvent, now: float) -> bool:
        """Start a ramp, or count a lost run; return whether a ramp started.

        Ramps are followed even where they do not limit the calls.
        """
        if event is ServerEvent.LOST_RUN:
            self._lost_runs += 1
            return False
        was_full = self._chart.is_in("full")
        self._chart.send(event.value, now)
        return was_full and self._chart.is_in("ramping")

    def record_run(self, sample: RunSample, now: float) -> None:
        """Record a run that ended, and evaluate the window if it is due."""
        self._inner.record_run(sample, now)
        if sample.result is RunResult.ANSWERED:
            self._record_answer(sample, now)
        window = self._window
        if self._chart.is_in("full") or sample.started_at < window.started_at:
            return
        if sample.result is RunResult.SHED:
            window.sheds += 1
        elif sample.result is not RunResult.ANSWERED:
            window.failed += 1
        if window.is_due(self._limit, now):
            self._chart.send("window_ended", EndedRampWindow(window, now))

    def _record_answer(self, sample, now):
        if self._lost_runs >= MIN_LOST_RUNS:
            self._chart.send("resumed", now)
        self._lost_runs = 0
        usual = self._usual_latency(sample.route)
        is_known = usual.is_known
        if self._chart.is_in("full") or not is_known:
            usual.record(sample.latency_s)
        window = self._window
        if self._chart.is_in("full") or sample.started_at < window.started_at:
            return
        window.count += 1
        window.max_running = max(window.max_running, sample.running)
        ratio = sample.latency_s / usual.mean_s if is_known else 1.0
        window.ratio_sum += min(ratio, MAX_RATIO)

    def _usual_latency(self, route):
        usual = self._usual.get(route)
        if usual is None:
            usual = self._usual[route] = UsualLatency()
            if len(self._usual) > MAX_ROUTES:
                self._usual.popitem(last=False)
        self._usual.move_to_end(route)
        return usual

    # Guards.
    def has_been_full(self, now: float):
        """Return whether the last ramp ended long enough ago."""
        return now - self._full_since >= MIN_FULL_S

    def is_crowded(self, ended: EndedRampWindow):
        """Return whether the server sheds, or is slower than with fewer calls.

        Refusals or a latency that a smaller limit did not reduce have another cause.
        """
        window = ended.window
        if window.shed_share > self._tolerated_sheds:
            return (
                not self._shrunk_sheds
                or window.shed_share <= LOWERED_RATIO * self._shrunk_sheds
            )
        if not self._reference_ratio:
            return False
        if window.ratio <= CROWDED_RATIO * self._reference_ratio:
            return False
        was_lowered = window.ratio <= LOWERED_RATIO * self._shrunk_ratio
        return was_lowered or not self._shrunk_ratio

    def reaches_slots(self, ended: EndedRampWindow):
        """Return whether the next step reaches the limit outside of a ramp."""
        return self._limit * self._factor(ended.window) >= self._inner.limit

    def stays_below_slots(self, ended: EndedRampWindow):
        """Return whether the ramp goes on after the next step."""
        return not self.reaches_slots(ended)

    def _factor(self, window):
        """Return the growth after a window."""
        if window.ratio > USUAL_RATIO:
            return SLOW_GROWTH
        is_used = window.max_running >= USED_SHARE * int(self._limit)
        return self._growth if is_used else CAREFUL_GROWTH

    # Actions.
    def start_ramp(self, now: float):
        """Start at a small share of the slots."""
        self._limit = max(START_SHARE * self._inner.limit, MIN_RAMP_LIMIT)
        self._growth = GROWTH
        self._reference_ratio = 0.0
        self._shrunk_ratio = 0.0
        self._tolerated_sheds = SHED_SHARE
        self._shrunk_sheds = 0.0
        self._lost_runs = 0
        self._window = RampWindow(now)

    def count_refusal(self, now: float):
        """Count a refused connection like a refused run."""
        self._window.sheds += 1

    def grow(self, ended: EndedRampWindow):
        """Raise the limit."""
        window = ended.window
        self._limit *= self._factor(window)
        self._update_reference(window.ratio)
        self._shrunk_ratio = 0.0
        if window.shed_share > self._tolerated_sheds:
            self._tolerated_sheds = CROWDED_RATIO * window.shed_share
        self._shrunk_sheds = 0.0
        self._window = RampWindow(ended.now)

    def _update_reference(self, ratio):
        """Update the ratio with fewer calls, which rises slowly."""
        is_accepted = self._shrunk_ratio and ratio > CROWDED_RATIO * (
            self._reference_ratio
        )
        if not self._reference_ratio or is_accepted:
            self._reference_ratio = ratio
            return
        weight = FALL_WEIGHT if ratio < self._reference_ratio else RISE_WEIGHT
        self._reference_ratio += weight * (ratio - self._reference_ratio)

    def shrink(self, ended: EndedRampWindow):
        """Lower the limit."""
        self._limit = max(self._limit * SHRINK, MIN_RAMP_LIMIT)
        self._growth = CAREFUL_GROWTH
        self._shrunk_ratio = ended.window.ratio
        is_shedding = ended.window.shed_share > self._tolerated_sheds
        self._shrunk_sheds = ended.window.shed_share if is_shedding else 0.0
        self._window = RampWindow(ended.now)

    def end_ramp(self, ended: EndedRampWindow):
        """Record when all slots are in use again."""
        self._full_since = ended.now

    def status(self) -> dict:
        """Return the state shown to operators."""
        phase = self._chart.state if self.paces_starts else "off"
        return {**self._inner.status(), "limit": self.limit, "pace_phase": phase}


PACE_CHART = bind_methods("server_pace", PacedLimit)
