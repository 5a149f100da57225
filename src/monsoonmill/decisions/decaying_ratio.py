"""A ratio of recent events with exponentially decaying weights."""

from math import exp

from attrs import define


@define
class DecayingRatio:
    """Ratio of recent events that match some property.

    Parameters
    ----------
    time_constant_s : float
        The weight of an event falls to 1/e within this time.
    min_events : float
        Lower bound of the denominator, so that few events do not give a high ratio.
    """

    time_constant_s: float
    min_events: float
    _events: float = 0.0
    _matches: float = 0.0
    _decayed_at: float = 0.0

    def record_event(self, now: float) -> None:
        """Count an event."""
        self._decay(now)
        self._events += 1

    def record_match(self, weight: float, now: float) -> None:
        """Count a match by its weight; the event itself is recorded apart."""
        if weight:
            self._decay(now)
            self._matches += weight

    def value(self, now: float) -> float:
        """Return the ratio, from 0 to 1."""
        if not self._matches:
            return 0.0
        self._decay(now)
        return min(self._matches / max(self._events, self.min_events), 1.0)

    def _decay(self, now):
        factor = exp(min(self._decayed_at - now, 0.0) / self.time_constant_s)
        self._events *= factor
        self._matches *= factor
        self._decayed_at = now
