"""Latencies of routes, with and without load."""

from collections import OrderedDict

from attrs import define

MAX_ROUTES = 1024
"""Number of routes tracked; the least recently used one is evicted."""
WEIGHT = 0.05
"""Weight of one sample in the moving averages."""
BATCH = 32
"""Loaded samples whose mean may lower the baseline."""
MIN_SAMPLES = 8
"""Samples that a baseline needs before runs are compared with it."""
RISE_PER_S = 0.05
"""Maximum increase of the baseline per second, as a share of the baseline."""
RECENT_S = 1.0
"""A latency without any sample for this long is not used as an estimate."""


@define
class RouteLatency:
    """Latency of one route.

    Attributes
    ----------
    baseline_s : float
        Mean latency without load; follows ``unloaded_s`` down immediately, up
        slowly.
    unloaded_s : float
        Moving average of the runs without load.
    recent_s : float
        Moving average of all runs.
    updated_at : float
        Time of the last sample.
    unloaded_at : float
        Time of the last sample without load.
    """

    baseline_s: float
    unloaded_s: float
    recent_s: float
    updated_at: float
    unloaded_at: float
    samples: int = 0
    batch_sum: float = 0.0
    batch_count: int = 0

    @property
    def is_known(self) -> bool:
        """Whether runs can be compared with the baseline."""
        return self.samples >= MIN_SAMPLES and self.baseline_s > 0

    def record(self, latency_s: float, is_unloaded: bool, now: float) -> None:
        """Record the latency of an answered run."""
        self.samples += 1
        weight = max(WEIGHT, 1 / self.samples)
        self.recent_s += weight * (latency_s - self.recent_s)
        if self.samples <= BATCH:
            # Too few samples to separate loaded from unloaded ones; the mean of
            # all of them is the better estimate.
            self.unloaded_s = self.baseline_s = self.recent_s
            self.unloaded_at = now
        elif is_unloaded:
            self.unloaded_s += weight * (latency_s - self.unloaded_s)
            self._follow_unloaded(now)
        else:
            self._add_to_batch(latency_s)
        self.updated_at = now

    def _follow_unloaded(self, now):
        elapsed_s = max(now - self.unloaded_at, 0.0)
        max_s = self.baseline_s * (1 + RISE_PER_S * elapsed_s)
        self.baseline_s = min(self.unloaded_s, max_s)
        self.unloaded_at = now

    def _add_to_batch(self, latency_s):
        self.batch_sum += latency_s
        self.batch_count += 1
        if self.batch_count == BATCH:
            self.lower_baseline(self.batch_sum / BATCH)
            self.batch_sum, self.batch_count = 0.0, 0

    def lower_baseline(self, max_s: float) -> None:
        """Reduce the latency without load to at most a maximum."""
        self.baseline_s = min(self.baseline_s, max_s)
        self.unloaded_s = min(self.unloaded_s, max_s)

    def record_lower_bound(self, elapsed_s: float, now: float) -> None:
        """Record a run that was cut off after a time."""
        if elapsed_s > self.recent_s:
            self.recent_s += WEIGHT * (elapsed_s - self.recent_s)
        self.updated_at = now


class RouteLatencies:
    """Latencies by route; a bounded table."""

    def __init__(self):
        self._routes: OrderedDict[str, RouteLatency] = OrderedDict()

    def get(self, route: str) -> RouteLatency | None:
        """Return the latency of a route; None if it has no samples."""
        return self._routes.get(route)

    def record(
        self, route: str, latency_s: float, is_unloaded: bool, now: float
    ) -> None:
        """Record the latency of an answered run."""
        latency = self._routes.get(route)
        if latency is None:
            latency = RouteLatency(latency_s, latency_s, latency_s, now, now)
            self._routes[route] = latency
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        latency.record(latency_s, is_unloaded, now)

    def recent_s(self, route: str, now: float) -> float:
        """Return a route's current latency; 0 if it is unknown."""
        latency = self._routes.get(route)
        if latency is None or now - latency.updated_at > RECENT_S:
            return 0.0
        return latency.recent_s
