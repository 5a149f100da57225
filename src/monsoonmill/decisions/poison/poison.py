"""Guard against requests that crash the backend servers that run them."""

from abc import abstractmethod

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.poison.signals import BackendCrashed


class PoisonGuard(Decision):
    """Decides which requests are refused because they crash backend servers."""

    @abstractmethod
    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request is refused."""

    @abstractmethod
    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request was lost in a crash and not answered since."""

    @abstractmethod
    def may_retry_after_lost_connection(self, lost: int, was_suspect: bool) -> bool:
        """Return whether a call whose connection was lost is retried elsewhere.

        Parameters
        ----------
        lost : int
            Number of connections that this call has lost.
        was_suspect : bool
            Whether it was a suspect already when it was sent.
        """

    @abstractmethod
    def on_backend_crashed(self, signal: BackendCrashed, now: float):
        """Record the requests that were lost in a crash."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {BackendCrashed: self.on_backend_crashed}


class NoPoison(PoisonGuard):
    """Refuses nothing; a baseline for comparisons."""

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
        """Do nothing."""
        return ()
