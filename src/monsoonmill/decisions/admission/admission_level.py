"""The lowest importance class that is currently admitted.

A class counts as closed when attempts of it were refused and none was admitted
during a whole window. Upstream nodes refuse calls of closed classes early. An
empty queue opens all classes immediately.
"""

from attrs import define

from monsoonmill.reasons import Importance

WINDOW_S = 0.2
"""Time over which admissions and refusals of a class are compared."""


@define
class ClassCount:
    """Admissions and refusals of one class in a window."""

    admitted: int = 0
    refused: int = 0


class AdmissionLevel:
    """Tracks which importance classes are assigned any slots."""

    def __init__(self):
        self.level = Importance.BACKGROUND
        self._counts = {importance: ClassCount() for importance in Importance}
        self._started_at = float("-inf")

    def record_admitted(self, importance: Importance, now: float) -> None:
        """Count an admission; it opens its class and those above."""
        self._counts[importance].admitted += 1
        self.level = min(self.level, importance)
        self._roll_window(now)

    def record_refused(self, importance: Importance, now: float) -> None:
        """Count a refusal for lack of slots."""
        self._counts[importance].refused += 1
        self._roll_window(now)

    def record_idle(self) -> None:
        """Open all classes, since the queue is empty."""
        self.level = Importance.BACKGROUND

    def _roll_window(self, now):
        if now - self._started_at < WINDOW_S:
            return
        self.level = self._lowest_open_class()
        self._counts = {importance: ClassCount() for importance in Importance}
        self._started_at = now

    def _lowest_open_class(self):
        """Return the class above the highest closed one; the top one never closes."""
        level = Importance.BACKGROUND
        for importance, count in self._counts.items():
            if count.admitted:
                break
            if count.refused and importance < Importance.CRITICAL:
                level = Importance(importance + 1)
        return level
