"""Batching of socket events, so that a busy task wakes up less often."""

from attrs import define


@define
class EventBatcher:
    """Decides how long a task delays the next poll of its sockets.

    A wake-up costs a busy task more than the handling of an event. While events
    arrive at intervals shorter than ``interval_s``, the events of one interval are
    handled together. After a longer wait for an event, the next poll is not delayed.

    Parameters
    ----------
    interval_s : float
        Maximum delay of an event; 0 disables batching.
    """

    interval_s: float
    woke_at: float = float("-inf")
    is_busy: bool = False

    def poll_delay_s(self, now: float) -> float:
        """Return the time until the sockets may be polled again."""
        if not self.is_busy:
            return 0.0
        return max(self.woke_at + self.interval_s - now, 0.0)

    def record_wake_up(self, waited_since: float, now: float) -> None:
        """Record that a wait for events has ended.

        Parameters
        ----------
        waited_since : float
            Start of the wait.
        """
        self.is_busy = now - waited_since < self.interval_s
        self.woke_at = now
