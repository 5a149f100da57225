"""Limit on the requests that reach a cold backend server.

A backend server is cold for some time after its start, and whenever one of its
heartbeats says so. The node beside it is the only path to it, so that this limit
holds for the requests of all senders together.
"""

from collections import deque
from math import ceil

from attrs import define

from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.model import Service
from monsoonmill.settings import AdmissionSettings

WINDOW_S = 1.1
"""Window in which requests are counted: the second that the bound names, and a tenth
for requests that are closer together on arrival than when they were sent."""
BOUND_SHARE = 0.9
"""Share of the bound that is used; the rest is for requests that were sent before a
change of the server was known here."""
BURST_S = 0.05
"""Requests that have not been sent for this long may be sent at once. It covers the
delays of a busy node's loop without a block of requests."""
MAX_WAIT_S = 0.1
"""Maximum time for which a request waits for a cold server. A request that is refused
sooner can still be placed elsewhere; a tenth of a second is under half of the
shortest objective known."""
MAX_SENT = 8192
"""Number of sent requests that are remembered, more than a cold server handles in a
second."""
LISTENED_S = 5.0
"""A node that has run for longer than this before the first heartbeat has not missed
those of a running server: several would have arrived."""


@define(eq=False)
class SentRequest:
    """A request that was sent to the backend server.

    Attributes
    ----------
    counts : bool
        Whether it counts towards the limit.
    """

    attempt: str
    sent_at: float
    counts: bool = True


class RequestWindow:
    """Requests that were sent in the last ``WINDOW_S``."""

    def __init__(self):
        self._sent: deque[SentRequest] = deque()
        self._latest: dict[str, SentRequest] = {}
        self._count = 0

    def add(self, attempt: str, now: float) -> None:
        """Record a request; an attempt that is sent again counts again."""
        self._remove_old(now)
        if len(self._sent) >= MAX_SENT:
            self._remove_first()
        sent = SentRequest(attempt, now)
        self._sent.append(sent)
        self._latest[attempt] = sent
        self._count += 1

    def discount(self, attempt: str) -> bool:
        """Stop counting an attempt's last request; return whether it was counted."""
        sent = self._latest.pop(attempt, None)
        if sent is None:
            return False
        sent.counts = False
        self._count -= 1
        return True

    def count(self, now: float) -> int:
        """Return the number of requests that count."""
        self._remove_old(now)
        return self._count

    def time_of_room(self, limit: int, now: float) -> float:
        """Return when fewer requests than a limit will count."""
        excess = self.count(now) - limit + 1
        if excess <= 0:
            return now
        counted = [sent.sent_at for sent in self._sent if sent.counts]
        return counted[min(excess, len(counted)) - 1] + WINDOW_S

    def _remove_old(self, now):
        while self._sent and now >= self._sent[0].sent_at + WINDOW_S:
            self._remove_first()

    def _remove_first(self):
        sent = self._sent.popleft()
        self._count -= sent.counts
        if self._latest.get(sent.attempt) is sent:
            del self._latest[sent.attempt]


class ColdLimit:
    """Decides when a request may be sent to the backend server while it is cold.

    Requests are spread at the rate that a cold server can handle, and their number
    in any window stays below the bound.

    Parameters
    ----------
    excess : float
        Factor by which the bound exceeds the rate that a cold server can handle; it
        counts as 1 if no bound is in force.
    slack : float
        Requests by which the bound exceeds that.
    """

    def __init__(self, excess: float, slack: float):
        self._excess = max(excess, 1.0)
        self._slack = slack
        self._per_s = 0.0
        self._cold_start_s = 0.0
        self._cold_until = float("-inf")
        self._process: tuple[str, int] | None = None
        self._process_started_at = float("-inf")
        self._node_started_at = float("-inf")
        self._spread_from = float("-inf")
        self._window = RequestWindow()

    @classmethod
    def from_settings(cls, cfg: AdmissionSettings) -> "ColdLimit":
        """Return the limit with the bound of the settings."""
        return cls(cfg.cold_excess, cfg.cold_slack)

    @property
    def is_configured(self) -> bool:
        """Whether the server's service has a rate for cold servers."""
        return self._per_s > 0

    @property
    def cold_until(self) -> float:
        """Time until which the server is cold."""
        return self._cold_until

    @property
    def max_waiting(self) -> int:
        """Number of requests that are sent within ``MAX_WAIT_S``."""
        return max(int(self._rate * MAX_WAIT_S), 1)

    @property
    def _allowance(self):
        """Maximum number of requests in a window."""
        bound = self._per_s * self._excess + self._slack
        return max(int(min(BOUND_SHARE * bound, MAX_SENT - 1)), 1)

    @property
    def _rate(self):
        """Requests per second, spread so that the window is never full."""
        spread = max(self._allowance - 1, 1) / (WINDOW_S + BURST_S)
        return max(min(self._per_s, spread), 0.1)

    def start(self, now: float) -> None:
        """Record the start of the node."""
        self._node_started_at = now

    def is_cold(self, now: float) -> bool:
        """Return whether the limit acts."""
        return self._per_s > 0 and now < self._cold_until

    def configure(self, service: Service | None, now: float) -> bool:
        """Use the rate of a service; return whether the limit begins to act.

        The window keeps its requests, which were also counted without a rate.
        """
        was_cold = self.is_cold(now)
        self._per_s = service.cold_per_s if service else 0.0
        self._cold_start_s = service.cold_start_ms / 1000 if service else 0.0
        # The first heartbeat may come before the configuration.
        start_ends_at = self._process_started_at + self._cold_start_s
        self._cold_until = max(self._cold_until, start_ends_at)
        return self._begins(was_cold, now)

    def record_announcement(self, signal: BackendAnnounced, now: float) -> bool:
        """Take over what a heartbeat says; return whether the limit begins to act.

        A shorter time than an earlier heartbeat's is believed only after the time
        that a server is cold after a start, since it may be wrong.
        """
        was_cold = self.is_cold(now)
        process = (signal.instance, signal.started_ms)
        believed_until = min(self._cold_until, now + self._cold_start_s)
        if process != self._process:
            self._process_started_at = self._find_start(signal, now)
            start_ends_at = self._process_started_at + self._cold_start_s
            believed_until = max(believed_until, start_ends_at)
        self._process = process
        self._cold_until = max(now + signal.cold_left_ms / 1000, believed_until)
        return self._begins(was_cold, now)

    def _find_start(self, signal, now):
        """Return from when on a process that was not known is cold after its start.

        The first process that a node hears of may have run for long. Its age is known
        only as exactly as the clocks agree.
        """
        has_listened = now - self._node_started_at > LISTENED_S
        if self._process is not None or has_listened:
            return now
        if signal.age_ms is None:
            return float("-inf")
        return now - signal.age_ms / 1000

    def _begins(self, was_cold, now):
        begins = self.is_cold(now) and not was_cold
        if begins:
            # An earlier process of this node may have sent requests before.
            self._spread_from = max(now, self._node_started_at + WINDOW_S + BURST_S)
        return begins

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if not self.is_cold(now):
            return True
        is_due = now >= self._spread_from - BURST_S
        return is_due and self._window.count(now) < self._allowance

    def next_send(self, now: float) -> float:
        """Return when the next request may be sent, as far as the limit goes."""
        if not self.is_cold(now):
            return now
        next_at = max(
            self._spread_from - BURST_S, self._window.time_of_room(self._allowance, now)
        )
        return min(next_at, self._cold_until)

    def record_sent(self, attempt: str, now: float) -> None:
        """Record that a request is sent."""
        self._window.add(attempt, now)
        if self.is_cold(now):
            self._spread_from = max(self._spread_from, now) + 1 / self._rate

    def record_not_counted(self, attempt: str, now: float) -> None:
        """Record that a request did not arrive, or was not meant for this server."""
        if self._window.discount(attempt) and self.is_cold(now):
            self._spread_from -= 1 / self._rate

    def concurrency(self, latency_s: float) -> int:
        """Return how many requests the server has at the rate of a cold one."""
        return max(ceil(self._rate * latency_s), 1)

    def status(self, now: float) -> dict:
        """Return the state shown to operators."""
        if not self.is_cold(now):
            return {}
        return {
            "cold_left_ms": round((self._cold_until - now) * 1000),
            "cold_per_s": round(self._rate, 1),
            "cold_sent": self._window.count(now),
        }
