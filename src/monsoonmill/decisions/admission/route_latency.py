"""Usual latencies of routes, with and without load."""

from collections import OrderedDict

from attrs import define

MAX_ROUTES = 1024
"""Routes whose latency is remembered; the least recently used is forgotten."""
WEIGHT = 0.05
"""Weight of one sample in the moving averages."""
BATCH = 32
"""Samples under load whose mean may lower the baseline."""
FEW_SAMPLES = 8
"""Samples that a baseline needs before runs are compared with it."""
RISE_PER_S = 0.05
"""The baseline rises by this share in a second at most."""
USUAL_MEMORY_S = 1.0
"""An estimate that nothing has confirmed for this long is not relied on."""


@define
class RouteLatency:
    """Latency of one route.

    Attributes
    ----------
    baseline_s : float
        Mean latency without load; follows ``calm_s`` down at once, up slowly.
    calm_s : float
        Moving average of the runs without load.
    usual_s : float
        Mean latency at present.
    updated_at : float
        Time of the last sample.
    calm_at : float
        Time of the last sample without load.
    """

    baseline_s: float
    calm_s: float
    usual_s: float
    updated_at: float
    calm_at: float
    samples: int = 0
    batch_sum: float = 0.0
    batch_count: int = 0

    @property
    def is_known(self) -> bool:
        """Whether runs can be compared with the baseline."""
        return self.samples >= FEW_SAMPLES and self.baseline_s > 0

    def learn(self, latency_s: float, is_calm: bool, now: float) -> None:
        """Take one run's latency into account."""
        self.samples += 1
        weight = max(WEIGHT, 1 / self.samples)
        self.usual_s += weight * (latency_s - self.usual_s)
        if self.samples <= BATCH:
            # Too few to tell calm from load; the mean of all is nearer.
            self.calm_s = self.baseline_s = self.usual_s
            self.calm_at = now
        elif is_calm:
            self.calm_s += weight * (latency_s - self.calm_s)
            self._follow_calm(now)
        else:
            self._learn_from_batch(latency_s)
        self.updated_at = now

    def _follow_calm(self, now):
        elapsed_s = max(now - self.calm_at, 0.0)
        highest_s = self.baseline_s * (1 + RISE_PER_S * elapsed_s)
        self.baseline_s = min(self.calm_s, highest_s)
        self.calm_at = now

    def _learn_from_batch(self, latency_s):
        self.batch_sum += latency_s
        self.batch_count += 1
        if self.batch_count == BATCH:
            self.lower(self.batch_sum / BATCH)
            self.batch_sum, self.batch_count = 0.0, 0

    def lower(self, limit_s: float) -> None:
        """Let the latency without load be no more than a limit."""
        self.baseline_s = min(self.baseline_s, limit_s)
        self.calm_s = min(self.calm_s, limit_s)

    def learn_at_least(self, elapsed_s: float, now: float) -> None:
        """Take a run into account that was cut off after a time."""
        if elapsed_s > self.usual_s:
            self.usual_s += WEIGHT * (elapsed_s - self.usual_s)
        self.updated_at = now


class RouteLatencies:
    """Latencies by route; a bounded table."""

    def __init__(self):
        self._routes: OrderedDict[str, RouteLatency] = OrderedDict()

    def get(self, route: str) -> RouteLatency | None:
        """Return what is known of a route."""
        return self._routes.get(route)

    def learn(self, route: str, latency_s: float, is_calm: bool, now: float) -> None:
        """Take one run's latency into account."""
        entry = self._routes.get(route)
        if entry is None:
            entry = RouteLatency(latency_s, latency_s, latency_s, now, now)
            self._routes[route] = entry
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        entry.learn(latency_s, is_calm, now)

    def usual_s(self, route: str, now: float) -> float:
        """Return a route's latency at present; 0 if that is not known."""
        entry = self._routes.get(route)
        if entry is None or now - entry.updated_at > USUAL_MEMORY_S:
            return 0.0
        return entry.usual_s
