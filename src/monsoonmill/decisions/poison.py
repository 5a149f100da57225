"""Requests that crash the backend servers that run them."""

from abc import abstractmethod

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.signals import BackendCrashed


class PoisonGuard(Decision):
    """Tells which requests are refused because they crash backend servers."""

    @abstractmethod
    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request is refused."""

    @abstractmethod
    def on_backend_crashed(self, signal: BackendCrashed, now: float):
        """Take the requests at a crash into account."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {BackendCrashed: self.on_backend_crashed}


class NoPoison(PoisonGuard):
    """Refuses nothing; the baseline to compare with."""

    def is_poison(self, fingerprint: int) -> bool:
        """Return False."""
        return False

    def on_backend_crashed(self, signal: BackendCrashed, now: float):
        """Take nothing into account."""
        return ()
