"""Usual latencies of routes, with and without load."""

from collections import OrderedDict

from attrs import define

MAX_ROUTES = 1024
"""Routes whose latency is remembered; the least recently used is forgotten."""
WEIGHT = 0.05
"""Weight of one sample in the moving averages."""
BATCH = 16
"""Samples under load whose mean may lower the baseline."""
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
        Mean latency without load.
    usual_s : float
        Mean latency at present.
    updated_at : float
        Time of the last sample.
    """

    baseline_s: float
    usual_s: float
    updated_at: float
    samples: int = 0
    batch_sum: float = 0.0
    batch_count: int = 0

    def learn(self, latency_s: float, is_calm: bool, now: float) -> None:
        """Take one run's latency into account."""
        self.samples += 1
        weight = max(WEIGHT, 1 / self.samples)
        self.usual_s += weight * (latency_s - self.usual_s)
        if is_calm:
            self._move(weight * (latency_s - self.baseline_s), now)
        else:
            self._learn_from_batch(latency_s)
        self.updated_at = now

    def _move(self, change_s, now):
        elapsed_s = max(now - self.updated_at, 0.0)
        if self.samples > BATCH:
            change_s = min(change_s, self.baseline_s * RISE_PER_S * elapsed_s)
        self.baseline_s += change_s

    def _learn_from_batch(self, latency_s):
        self.batch_sum += latency_s
        self.batch_count += 1
        if self.batch_count == BATCH:
            self.baseline_s = min(self.baseline_s, self.batch_sum / BATCH)
            self.batch_sum, self.batch_count = 0.0, 0

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
            entry = RouteLatency(latency_s, latency_s, now)
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

    def scale(self, routes: set[str], factor: float) -> None:
        """Multiply the baselines of some routes."""
        for route in routes:
            if route in self._routes:
                self._routes[route].baseline_s *= factor
