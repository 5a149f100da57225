"""Drives an admission decision with simulated arrivals and runs."""

from itertools import count
from math import inf

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.queued import MAX_FILL, QueuedAdmission
from monsoonmill.decisions.admission.signals import AdmitCall, Admitted, SlotReleased
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.load.overload_model import EventQueue
from monsoonmill.model import Address, Config, Route, Service
from monsoonmill.reasons import Importance
from monsoonmill.settings import Settings

ADDRESS = Address("10.0.0.1", 8080)
CONTRACT = {"cold_excess": 1.5, "cold_slack": 8, "initial_limit": 8, "queue_ms": 600}
SLOTS = 25
USABLE_SLOTS = int(SLOTS * MAX_FILL)
"""Slots in use at a full server where objectives are mixed."""


def make_config(cold_per_s=0.0, cold_start_ms=0, aims=()):
    service = Service("s", cold_start_ms=cold_start_ms, cold_per_s=cold_per_s)
    routes = {f"r{aim}": Route(f"r{aim}", "s", aim_ms=aim) for aim in aims}
    return Config(1, services={"s": service}, routes=routes)


class AdmissionDriver:
    """An admission, and a server whose latency is a function of the driver.

    Attributes
    ----------
    sent : list of tuple
        Time and name of each request sent to the server.
    respond : callable
        Returns the fields of ``SlotReleased`` that differ from a success.
    """

    def __init__(self, config, latency_s=lambda driver: 0.05):
        self.counters = Counters()
        cfg = Settings.from_dict({"admission": CONTRACT}).admission
        self.admission = QueuedAdmission.with_announced_slots(cfg, self.counters)
        self.events = EventQueue()
        self.latency_s, self.respond = latency_s, lambda now: {}
        self.running = 0
        self.sent, self.refused, self.limits = [], [], []
        self.rejected = set()
        self._tick_at = inf
        self._names = map(str, count())
        list(self.admission.start(0.0))
        self.configure(config)

    @property
    def now(self):
        return self.events.now

    def configure(self, config):
        self._handle(ConfigChanged(Config(), config))

    def announce(self, instance="i-1", started_ms=1, age_ms=60_000, cold_left_ms=0.0):
        process = (instance, started_ms, age_ms, cold_left_ms)
        self._handle(BackendAnnounced("s", ADDRESS, SLOTS, False, *process))

    def flood(self, until, per_s):
        """Send calls at a rate, from now on."""
        deadline = self.now + 5
        name = next(self._names)
        self._handle(AdmitCall(name, "r", "a", Importance.NORMAL, deadline))
        if self.now + 1 / per_s < until:
            self.events.schedule_after(1 / per_s, lambda: self.flood(until, per_s))

    def most_in_a_second(self, since=0.0, until=99.0):
        """Return the largest number of requests in a second that ends in a period."""
        times = [when for when, name in self.sent if name not in self.rejected]
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

    def _handle(self, signal):
        self._process(self.admission.handlers()[type(signal)](signal, self.now))

    def _tick(self):
        self._tick_at = inf
        self._process(self.admission.tick(self.now))

    def _process(self, signals):
        for signal in signals:
            if not isinstance(signal, Admitted):
                self.refused.append((self.now, signal.reason))
                continue
            self.sent.append((self.now, signal.attempt))
            self.running += 1
            fields = {"shed": False, "timed_out": False, **self.respond(self.now)}
            latency_s = 0.001 if any(fields.values()) else self.latency_s(self)
            released = SlotReleased(signal.attempt, latency_s, **fields)
            self.events.schedule_after(latency_s, lambda r=released: self._release(r))
        self.limits.append((self.now, self.admission.load().limit))
        due = self.admission.next_due()
        if due is not None and due < self._tick_at:
            self._tick_at = due
            self.events.schedule_at(due, self._tick)

    def _release(self, released):
        self.running -= 1
        if released.misdirected:
            self.rejected.add(released.attempt)
        self._handle(released)
