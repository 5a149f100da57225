"""A share of recent events, in which older ones count less and less."""

from math import exp

from attrs import define


@define
class FadingShare:
    """Share of events that had some property, lately.

    Parameters
    ----------
    memory_s : float
        Events count for about this long.
    least : float
        Fewer events than these count as so many.
    """

    memory_s: float
    least: float
    _all: float = 0.0
    _some: float = 0.0
    _faded_at: float = 0.0

    def note(self, now: float) -> None:
        """Count an event."""
        self._fade(now)
        self._all += 1

    def note_property(self, weight: float, now: float) -> None:
        """Count how far an event had the property; it is counted apart."""
        if weight:
            self._fade(now)
            self._some += weight

    def value(self, now: float) -> float:
        """Return the share, from 0 to 1."""
        if not self._some:
            return 0.0
        self._fade(now)
        return min(self._some / max(self._all, self.least), 1.0)

    def _fade(self, now):
        left = exp(min(self._faded_at - now, 0.0) / self.memory_s)
        self._all *= left
        self._some *= left
        self._faded_at = now
