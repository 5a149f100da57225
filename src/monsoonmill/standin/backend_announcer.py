"""Task that announces the backend server to its node."""

from collections.abc import Callable

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from monsoonmill.clock import Clock, SystemClock
from monsoonmill.model import Address
from monsoonmill.standin.backend_messages import AnnounceFailed, AnnounceState
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.task import MessageTask

MIN_ERROR_STATUS = 400


class Announcer(MessageTask):
    """Announces each change immediately and repeats the announcement regularly."""

    def __init__(
        self,
        settings: BackendSettings,
        address: Address,
        report: Callable[[object], None],
        clock: Clock | None = None,
    ):
        super().__init__("announcer")
        backend = settings.backend
        self._body = {
            "service": backend.service,
            "address": str(address),
            "slots": settings.work.slots,
            "draining": False,
        }
        self._report = report
        self._clock = clock or SystemClock()
        self._interval_s = backend.announce_ms / 1000
        self._next_at = self._clock.now()
        self._pool = HTTPConnectionPool(
            backend.node.host,
            backend.node.port,
            maxsize=1,
            retries=False,
            timeout=Timeout(total=backend.announce_timeout_ms / 1000),
        )

    def wait_s(self) -> float:
        """Return the time until the next announcement."""
        return max(0.0, self._next_at - self._clock.now())

    def run_due_timers(self) -> None:
        """Announce; the next announcement makes up for a failed one."""
        self._announce()

    def handle(self, message: AnnounceState) -> None:
        """Announce a change of state immediately."""
        self._body["draining"] = message.draining
        self._announce()

    def close(self) -> None:
        """Close the connection to the node."""
        self._pool.close()

    def _announce(self):
        self._next_at = self._clock.now() + self._interval_s
        try:
            response = self._pool.request("POST", "/announce", json=self._body)
            failed = response.status >= MIN_ERROR_STATUS
        except (HTTPError, OSError):
            failed = True
        if failed:
            self._report(AnnounceFailed())
