"""Judgement of nodes and their backend servers by their answers."""

from abc import abstractmethod

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.health.signals import AttemptObserved


class Health(Decision):
    """Tells which nodes have been judged unfit by their answers."""

    @abstractmethod
    def is_ejected(self, node: str, now: float) -> bool:
        """Return whether a node gets no calls at present."""

    @abstractmethod
    def on_attempt_observed(self, signal: AttemptObserved, now: float):
        """Take one attempt's end into account."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {AttemptObserved: self.on_attempt_observed}


class AllHealthy(Health):
    """Judges nobody; the baseline to compare with."""

    def is_ejected(self, node: str, now: float) -> bool:
        """Return False."""
        return False

    def on_attempt_observed(self, signal: AttemptObserved, now: float):
        """Take nothing into account."""
        return ()
