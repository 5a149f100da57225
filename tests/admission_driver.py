"""Drives an admission decision with simulated arrivals and runs."""

from heapq import heappop, heappush
from itertools import count

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    Admitted,
    SlotReleased,
)
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.model import Address, Config, Route, Service
from monsoonmill.reasons import Importance
from monsoonmill.settings import Settings

ADDRESS = Address("10.0.0.1", 8080)
CONTRACT = {"cold_excess": 1.5, "cold_slack": 8, "initial_limit": 8, "queue_ms": 600}


def make_config(cold_per_s=0.0, cold_start_ms=0, aims=()):
    service = Service("s", cold_start_ms=cold_start_ms, cold_per_s=cold_per_s)
    routes = {f"r{aim}": Route(f"r{aim}", "s", aim_ms=aim) for aim in aims}
    return Config(1, services={"s": service}, routes=routes)


class AdmissionDriver:
    """An admission, and a server whose latency is a function of driver and time.

    Attributes
    ----------
    sent : list of tuple
        Time and number of each request sent to the server.
    respond : callable
        Returns the fields of ``SlotReleased`` that differ from a success.
    """

    def __init__(self, config, latency_s=lambda driver: 0.05, slots=25):
        self.counters = Counters()
        cfg = Settings.from_dict({"admission": CONTRACT}).admission
        self.admission = QueuedAdmission.with_announced_slots(cfg, self.counters)
        self.now = 0.0
        self.latency_s = latency_s
        self.slots = slots
        self.respond = lambda now: {}
        self.running = 0
        self.sent = []
        self.rejected = set()
        self.refused = []
        self.limits = []
        self._numbers = count()
        self._events = []
        self._order = count()
        list(self.admission.start(0.0))
        self.configure(config)

    def configure(self, config):
        self._handle(ConfigChanged(Config(), config))

    def announce(self, instance="i-1", started_ms=1, age_ms=60_000, cold_left_ms=0.0):
        self._handle(
            BackendAnnounced(
                *("s", ADDRESS, self.slots, False),
                *(instance, started_ms, age_ms, cold_left_ms),
            )
        )

    def at(self, when, action):
        heappush(self._events, (when, next(self._order), action))

    def flood(self, until, per_s):
        """Send calls at a rate, from now on."""
        self._arrive()
        if self.now + 1 / per_s < until:
            self.at(self.now + 1 / per_s, lambda: self.flood(until, per_s))

    def run(self, until):
        while True:
            due = self.admission.next_due()
            event_at = self._events[0][0] if self._events else until
            if min(event_at, until if due is None else due) >= until:
                self.now = until
                return
            if due is not None and due <= event_at:
                self.now = max(due, self.now)
                self._process(self.admission.tick(self.now))
            else:
                self.now, _, action = heappop(self._events)
                action()
            self.limits.append((self.now, self.admission.load().limit))

    def most_in_a_second(self, since=0.0, until=99.0):
        """Return the largest number of requests in a second that ends in a period."""
        times = [when for when, number in self.sent if number not in self.rejected]
        most = first = 0
        for last, when in enumerate(times):
            while when - times[first] >= 1.0:
                first += 1
            if since < when <= until:
                most = max(most, last - first + 1)
        return most

    def count_sent(self, since, until):
        return sum(since <= when < until for when, _ in self.sent)

    def limit_at(self, when):
        return max((at, limit) for at, limit in self.limits if at <= when)[1]

    def _arrive(self):
        call = AdmitCall(
            str(next(self._numbers)), "r", "a", Importance.NORMAL, self.now + 5
        )
        self._handle(call)

    def _handle(self, signal):
        self._process(self.admission.handlers()[type(signal)](signal, self.now))

    def _process(self, signals):
        for signal in signals:
            if not isinstance(signal, Admitted):
                self.refused.append((self.now, signal.reason))
                continue
            self.sent.append((self.now, signal.attempt))
            self.running += 1
            fields = self.respond(self.now)
            latency_s = 0.001 if fields else self.latency_s(self)
            self.at(
                self.now + latency_s,
                lambda attempt=signal.attempt, fields=fields, s=latency_s: self._end(
                    attempt, s, fields
                ),
            )

    def _end(self, attempt, latency_s, fields):
        self.running -= 1
        if fields.get("misdirected"):
            self.rejected.add(attempt)
        self._handle(SlotReleased(attempt, latency_s, **{**SUCCESS, **fields}))


SUCCESS = {"shed": False, "timed_out": False}
