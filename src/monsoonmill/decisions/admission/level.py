"""The lowest importance that is admitted at present.

A class counts as closed when, during a whole window, attempts of it were
refused and none was admitted. Nodes upstream refuse such calls early. An empty
queue opens all classes at once.
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
    """Follows which classes get slots at all."""

    def __init__(self):
        self.level = Importance.BACKGROUND
        self._counts = {one: ClassCount() for one in Importance}
        self._started_at = float("-inf")

    def note_admitted(self, importance: Importance, now: float) -> None:
        """Count an admission; it opens its class and those above."""
        self._counts[importance].admitted += 1
        self.level = min(self.level, importance)
        self._roll(now)

    def note_refused(self, importance: Importance, now: float) -> None:
        """Count a refusal for lack of slots."""
        self._counts[importance].refused += 1
        self._roll(now)

    def note_idle(self) -> None:
        """Open all classes, since nothing waits."""
        self.level = Importance.BACKGROUND

    def _roll(self, now):
        if now - self._started_at < WINDOW_S:
            return
        self.level = self._judge()
        self._counts = {one: ClassCount() for one in Importance}
        self._started_at = now

    def _judge(self):
        """Return the class above the highest closed one, at most the top."""
        level = Importance.BACKGROUND
        for importance, counted in self._counts.items():
            if counted.admitted:
                break
            if counted.refused and importance < Importance.CRITICAL:
                level = Importance(importance + 1)
        return level
