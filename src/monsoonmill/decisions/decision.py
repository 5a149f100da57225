"""Base class of the decisions, and the bus that passes signals between them."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from math import inf

from monsoonmill.decisions.signals import Received, Send

Handler = Callable[[object, float], Iterable[object]]


class Decision(ABC):
    """One part of a node's decisions, with its own state.

    Handlers take a signal and the time, and yield signals. A message of another
    node is handled under its own type; the handler receives the ``Received``
    signal that contains it.
    """

    @abstractmethod
    def handlers(self) -> Mapping[type, Handler]:
        """Return the handler of each type of signal or message."""

    def start(self, now: float) -> Iterable[object]:
        """Yield the signals for the start of the node."""
        return ()

    @property
    def in_progress(self) -> int:
        """Number of operations that a graceful shutdown waits for."""
        return 0

    def next_due(self) -> float | None:
        """Return when ``tick`` is due next; None for never."""
        return None

    def tick(self, now: float) -> Iterable[object]:
        """Yield the signals that are due at ``now``."""
        return ()

    def status(self) -> dict:
        """Return the state shown to operators, as plain data."""
        return {}


class SignalBus:
    """Passes signals to decisions until none is left that has a handler.

    Parameters
    ----------
    node : str
        Name of this node; messages sent to it are received at once.
    """

    def __init__(self, node: str, decisions: Iterable[Decision]):
        self.node = node
        self.decisions = tuple(decisions)
        self._timed = tuple(
            decision
            for decision in self.decisions
            if type(decision).next_due is not Decision.next_due
        )
        self._due_times = dict.fromkeys(self._timed, inf)
        self._stale = set(self._timed)
        self._handlers: dict[type, list[Handler]] = {}
        self._timed_owners: dict[type, set[Decision]] = {}
        for decision in self.decisions:
            for cls, handler in decision.handlers().items():
                self._handlers.setdefault(cls, []).append(handler)
                if decision in self._due_times:
                    self._timed_owners.setdefault(cls, set()).add(decision)

    def handle(self, signal: object, now: float) -> Iterator[object]:
        """Handle a signal, and yield those that tasks have to execute."""
        pending = deque((signal,))
        pop, extend, find = pending.popleft, pending.extend, self._handlers.get
        while pending:
            current = pop()
            cls = type(current)
            if cls is Send and current.node == self.node:
                current = Received(self.node, current.message)
                cls = Received
            if cls is Received:
                cls = type(current.message)
            handlers = find(cls)
            if handlers is None:
                yield current
                continue
            for handler in handlers:
                extend(handler(current, now))
            if cls in self._timed_owners:
                self._stale |= self._timed_owners[cls]

    def mark_stale(self, decision: Decision) -> None:
        """Mark the recorded due time of a decision as outdated."""
        self._stale.add(decision)

    def tick(self, now: float) -> Iterator[object]:
        """Run the decisions whose timers are due."""
        for decision in self._timed:
            due = decision.next_due()
            if due is not None and due <= now:
                self._stale.add(decision)
                for signal in list(decision.tick(now)):
                    yield from self.handle(signal, now)

    def next_due(self) -> float | None:
        """Return the earliest due time of a decision.

        A decision's due time changes only in its handlers, ``tick`` and
        ``start``, so only the decisions that ran since the last call are asked.
        """
        due_times = self._due_times
        for decision in self._stale:
            if decision in due_times:
                due = decision.next_due()
                due_times[decision] = inf if due is None else due
        self._stale.clear()
        earliest = min(due_times.values(), default=inf)
        return None if earliest == inf else earliest
