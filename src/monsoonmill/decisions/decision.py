"""Base of the decisions, and the bus that carries signals between them."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping

from monsoonmill.decisions.signals import Received, Send

Handler = Callable[[object, float], Iterable[object]]


class Decision(ABC):
    """One part of a node's decisions, with state of its own.

    Handlers take a signal and the time and yield signals. For a message of
    another node the key is the message's type and the handler is given the
    ``Received`` signal around it.
    """

    @abstractmethod
    def handlers(self) -> Mapping[type, Handler]:
        """Return a handler for each type of signal that this part takes."""

    def start(self, now: float) -> Iterable[object]:
        """Yield what has to be done first."""
        return ()

    @property
    def in_progress(self) -> int:
        """Number of things that a graceful shutdown waits for."""
        return 0

    def next_due(self) -> float | None:
        """Return when ``tick`` has something to do; None for never."""
        return None

    def tick(self, now: float) -> Iterable[object]:
        """Yield the signals that are due at ``now``."""
        return ()

    def status(self) -> dict:
        """Return the state that operators see, as plain data."""
        return {}


class SignalBus:
    """Carries signals to decisions until none is left that one takes.

    Parameters
    ----------
    node : str
        The own name; messages sent to it come back as received ones.
    """

    def __init__(self, node: str, decisions: Iterable[Decision]):
        self.node = node
        self.decisions = tuple(decisions)
        self._handlers: dict[type, list[Handler]] = {}
        for decision in self.decisions:
            for cls, handler in decision.handlers().items():
                self._handlers.setdefault(cls, []).append(handler)

    def handle(self, signal: object, now: float) -> Iterator[object]:
        """Yield the signals that tasks have to carry out."""
        pending = deque((signal,))
        while pending:
            current = pending.popleft()
            if type(current) is Send and current.node == self.node:
                current = Received(self.node, current.message)
            handlers = self._handlers.get(_routing_type(current))
            if handlers is None:
                yield current
                continue
            for handler in handlers:
                pending.extend(handler(current, now))

    def tick(self, now: float) -> Iterator[object]:
        """Run all timers that are due."""
        for decision in self.decisions:
            due = decision.next_due()
            if due is not None and due <= now:
                for signal in list(decision.tick(now)):
                    yield from self.handle(signal, now)

    def next_due(self) -> float | None:
        """Return the earliest time at which a decision has something to do."""
        times = (decision.next_due() for decision in self.decisions)
        return min((due for due in times if due is not None), default=None)


def _routing_type(signal):
    return type(signal.message) if type(signal) is Received else type(signal)
