"""Health reports that are outdated by a set time."""

from collections import deque

from attrs import asdict, frozen


@frozen
class HealthState:
    """State that the health endpoint reports."""

    state: str
    running: int
    waiting: int
    slots: int


class HealthHistory:
    """History of states, which lets the health endpoint report an old one.

    Parameters
    ----------
    lag_s : float
        Age in seconds of the state that is reported.
    """

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self._states: deque[tuple[float, HealthState]] = deque()

    def record(self, state: HealthState, now: float) -> None:
        """Add a state that holds from ``now`` on."""
        if not self._states or self._states[-1][1] != state:
            self._states.append((now, state))
        self._discard_outdated(now)

    def delayed_report(self, now: float) -> dict:
        """Return the state of ``lag_s`` seconds ago as plain data."""
        self._discard_outdated(now)
        return asdict(self._states[0][1])

    def _discard_outdated(self, now):
        while len(self._states) > 1 and self._states[1][0] <= now - self.lag_s:
            self._states.popleft()
