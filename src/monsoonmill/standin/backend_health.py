"""Health reports that lag behind the truth."""

from collections import deque

from attrs import asdict, frozen


@frozen
class HealthState:
    """What the health endpoint tells."""

    state: str
    running: int
    waiting: int
    slots: int


class HealthHistory:
    """Remembers states for as long as the health endpoint lags.

    Parameters
    ----------
    lag_s : float
        Age in seconds of the state that is reported.
    """

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self._states: deque[tuple[float, HealthState]] = deque()

    def note(self, state: HealthState, now: float) -> None:
        """Remember the state from ``now`` on."""
        if not self._states or self._states[-1][1] != state:
            self._states.append((now, state))
        self._forget(now)

    def lagging(self, now: float) -> dict:
        """Return the state of ``lag_s`` ago as plain data."""
        self._forget(now)
        return asdict(self._states[0][1])

    def _forget(self, now):
        while len(self._states) > 1 and self._states[1][0] <= now - self.lag_s:
            self._states.popleft()
