"""Requests that crash the backend servers that run them."""

from abc import abstractmethod

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.poison.signals import BackendCrashed


class PoisonGuard(Decision):
    """Tells which requests are refused because they crash backend servers."""

    @abstractmethod
    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request is refused."""

    @abstractmethod
    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request was lost in a crash and not answered since."""

    @abstractmethod
    def may_retry_after_lost_connection(self, lost: int, was_suspect: bool) -> bool:
        """Return whether a call whose connection broke is tried elsewhere.

        Parameters
        ----------
        lost : int
            Connections that broke under this call.
        was_suspect : bool
            Whether it was a suspect already when it was sent.
        """

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

    def is_suspect(self, fingerprint: int) -> bool:
        """Return False."""
        return False

    def may_retry_after_lost_connection(self, lost: int, was_suspect: bool) -> bool:
        """Return True."""
        return True

    def on_backend_crashed(self, signal: BackendCrashed, now: float):
        """Take nothing into account."""
        return ()
