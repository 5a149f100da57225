"""What the node's task drives beside the streams to other nodes."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from selectors import BaseSelector

SignalHandler = Callable[[object, float], Iterable[object]]
"""Carries out a signal that leaves the core; yields signals for the core."""


class Channel(ABC):
    """A socket that the node's task waits on."""

    @abstractmethod
    def on_ready(self, mask: int, now: float) -> Iterable[object]:
        """Read and write what the socket is ready for; yield signals."""


class NetworkComponent(ABC):
    """Front ends, or connections to the backend server, in the node's task."""

    @abstractmethod
    def signal_handlers(self) -> Mapping[type, SignalHandler]:
        """Return the handler of each type of signal."""

    @abstractmethod
    def open(self, selector: BaseSelector, now: float) -> None:
        """Open the sockets and register them with the task's selector."""

    @abstractmethod
    def next_due(self) -> float | None:
        """Return when ``tick`` has something to do; None for never."""

    @abstractmethod
    def tick(self, now: float) -> Iterable[object]:
        """Do what is due; yield signals for the core."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""

    @property
    def in_progress(self) -> int:
        """Number of exchanges that the end of the node waits for."""
        return 0
