"""Interfaces of the network components that run in the node's task."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from selectors import BaseSelector

SignalHandler = Callable[[object, float], Iterable[object]]
"""Executes a signal that leaves the core; yields signals for the core."""


class Channel(ABC):
    """A socket registered with the selector of the node's task."""

    @abstractmethod
    def on_ready(self, mask: int, now: float) -> Iterable[object]:
        """Handle the readiness of the socket; yield signals for the core."""

    @abstractmethod
    def on_error(self, now: float) -> Iterable[object]:
        """Close the socket after an unexpected error; return signals for the core."""


class NetworkComponent(ABC):
    """A front end, or the connections to the backend server, in the node's task.

    The streams to other nodes do not implement this interface; the task owns them
    directly.
    """

    @abstractmethod
    def signal_handlers(self) -> Mapping[type, SignalHandler]:
        """Return the handler of each type of signal that the component executes."""

    @abstractmethod
    def open(self, selector: BaseSelector, now: float) -> None:
        """Open the sockets and register them with the selector of the task."""

    @abstractmethod
    def next_due(self) -> float | None:
        """Return the time at which ``tick`` is due; None for never."""

    @abstractmethod
    def tick(self, now: float) -> Iterable[object]:
        """Run the timers that are due; yield signals for the core."""

    def begin_close(self, now: float) -> Iterable[object]:
        """Start to close the sockets without losing answers; yield signals.

        The task goes on serving them until ``connection_count`` is 0, or for the time
        that the settings allow.
        """
        return ()

    @abstractmethod
    def close(self) -> None:
        """Close all sockets immediately."""

    @property
    def is_listening(self) -> bool:
        """Whether all ports of the component are open."""
        return True

    @property
    def in_progress(self) -> int:
        """Number of pending exchanges, for which a drain of the node waits."""
        return 0

    @property
    def connection_count(self) -> int:
        """Number of open connections for which the task waits before it ends."""
        return 0
