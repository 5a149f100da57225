"""Health of nodes and their backend servers, judged by their answers."""

from abc import abstractmethod

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.health.signals import AttemptObserved


class Health(Decision):
    """Tracks which nodes are ejected because of their answers."""

    @abstractmethod
    def is_ejected(self, node: str, now: float) -> bool:
        """Return whether a node currently receives no calls."""

    @abstractmethod
    def on_attempt_observed(self, signal: AttemptObserved, now: float):
        """Record an attempt that ended."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {AttemptObserved: self.on_attempt_observed}


class AllHealthy(Health):
    """Ejects no node; a baseline for comparisons."""

    def is_ejected(self, node: str, now: float) -> bool:
        """Return False."""
        return False

    def on_attempt_observed(self, signal: AttemptObserved, now: float):
        """Do nothing."""
        return ()
