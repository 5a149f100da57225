"""Tracking of the current process of the local backend server.

A heartbeat may arrive late, even after its process has ended. A backend server
that has reported that it leaves does not return as the same process.

A deregistration names an instance, but not the start of its process. If this node
knows no heartbeat of the instance, for example since it was restarted itself, the
deregistration is kept for the processes that were started before it.

An earlier process of this node may have been told of departures. Other nodes and the
store keep them, so heartbeats are not believed until one of these has replied.
"""

from collections import OrderedDict, deque

from attrs import define, frozen

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.signals import (
    BackendHeartbeat,
    DepartureRecorded,
    DeparturesKnown,
    DeparturesWanted,
)
from monsoonmill.decisions.members.signals import DeparturesLearned
from monsoonmill.decisions.signals import BackendAnnounced, BackendDeregistered
from monsoonmill.decisions.timers import Timers
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Address, Departure

MAX_LEAVING_PROCESSES = 256
"""Number of processes, and of deregistrations, that are remembered."""
MAX_HELD_HEARTBEATS = 8
"""Heartbeats kept until other nodes have replied; one comes in 1.5 s."""
ASK_TIMEOUT = "ask_timeout"
ASK_TIMEOUT_S = 2.0
"""Time for which the first heartbeat waits. A node that neither the store nor any other
node answers gets calls from its own host only."""
LATE_HEARTBEAT_S = 60.0
"""A heartbeat that arrives this long after a deregistration was sent after it: it
comes from another process, whatever start it states."""

log = get_logger("backend")


@define
class BackendProcess:
    """The newest known process of the backend server.

    Attributes
    ----------
    age_ms : int or None
        Time from its start to its last heartbeat, if both times are known.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    leaves: bool
    cold_left_ms: float = 0.0
    age_ms: int | None = None


@frozen
class PastDeparture:
    """Departure of an instance of which no heartbeat was known to this process.

    Attributes
    ----------
    started_by_ms : int
        Time of day in Unix milliseconds; its process had been started by then.
    expires_at : float
        Monotonic time in seconds at which it is forgotten.
    """

    started_by_ms: int
    expires_at: float


class BackendIdentity(Decision):
    """Turns numbered heartbeats into announcements of the current process."""

    def __init__(self):
        self._current: BackendProcess | None = None
        self._leaving: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._departed: OrderedDict[str, PastDeparture] = OrderedDict()
        self._held: deque[BackendHeartbeat] = deque(maxlen=MAX_HELD_HEARTBEATS)
        self._timers = Timers()
        self._outgoing = []
        self._chart: ChartInstance | None = None

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            BackendHeartbeat: self.on_heartbeat,
            BackendDeregistered: self.on_backend_deregistered,
            DeparturesLearned: self.on_departures_learned,
            DeparturesKnown: self.on_departures_known,
        }

    def next_due(self):
        """Return when heartbeats are believed without a reply."""
        return self._timers.next_due()

    def start(self, now):
        """Start without knowing what earlier processes were told."""
        self._chart = MEMORY_CHART.start(self, now)
        return ()

    def tick(self, now):
        """Handle the time-out of the wait."""
        for event in self._timers.pop_due(now):
            self._chart.send(event, now)
        yield from self._flush_outgoing()

    def on_departures_known(self, signal, now):
        """Believe heartbeats from now on."""
        log.info("departures_known", source=signal.source)
        self._chart.send("others_answered", now)
        yield from self._flush_outgoing()

    def request_departures(self, now):
        """Ask for the departures; after some time heartbeats are believed anyway."""
        self._timers.set(ASK_TIMEOUT, now + ASK_TIMEOUT_S)
        self._outgoing.append(DeparturesWanted())

    def report_no_answer(self, now):
        """Log that nobody has told departures."""
        log.warning("departures_unknown", waited_s=ASK_TIMEOUT_S)

    def release_heartbeats(self, now):
        """Handle the heartbeats that came meanwhile."""
        self._timers.cancel(ASK_TIMEOUT)
        held, self._held = list(self._held), deque()
        for signal in held:
            self._outgoing.extend(self._handle_heartbeat(signal, now))

    def _flush_outgoing(self):
        out, self._outgoing = self._outgoing, []
        yield from out

    def on_heartbeat(self, signal: BackendHeartbeat, now: float):
        """Announce the backend server unless the heartbeat is outdated.

        What a process says of its end is believed at once, also if a later heartbeat
        has overtaken it.
        """
        is_asking = self._chart is not None and not self._chart.finished
        if is_asking and not signal.leaves:
            self._held.append(signal)
            self._chart.send("heartbeat_held", now)
            yield from self._flush_outgoing()
            return
        yield from self._handle_heartbeat(signal, now)
        if signal.leaves:
            departure = Departure(signal.instance, signal.started_ms)
            yield DepartureRecorded(departure, signal.request)

    def _handle_heartbeat(self, signal, now):
        if self._is_outdated(signal, now):
            if signal.leaves:
                yield from self._leave(signal.instance, signal.started_ms)
            log.info(
                "heartbeat_ignored",
                instance=signal.instance,
                sequence=signal.sequence,
                reason="not from the current process",
            )
            return
        if signal.leaves:
            self._record_leaving(signal.instance, signal.started_ms)
        is_leaving = (signal.instance, signal.started_ms) in self._leaving
        leaves = is_leaving or self._has_deregistered(signal, now)
        process = BackendProcess(
            signal.instance,
            signal.started_ms,
            signal.sequence,
            signal.service,
            signal.address,
            signal.slots,
            leaves,
            signal.cold_left_ms,
            _age_ms(signal),
        )
        self._log_if_changed(process)
        self._current = process
        yield self._announcement()

    def _is_outdated(self, signal, now):
        current = self._current
        if current is None:
            return False
        if signal.instance != current.instance and self._has_deregistered(signal, now):
            return True
        if signal.started_ms != current.started_ms:
            return signal.started_ms < current.started_ms
        is_same = signal.instance == current.instance
        return is_same and signal.sequence <= current.sequence

    def _has_deregistered(self, signal, now):
        """Return whether a process left before this node knew a heartbeat of it."""
        departed = self._departed.get(signal.instance)
        return (
            departed is not None
            and now < departed.expires_at
            and signal.started_ms <= departed.started_by_ms
        )

    def on_backend_deregistered(self, signal: BackendDeregistered, now: float):
        """Record that a backend server leaves; announce it if it is the current one."""
        current = self._current
        if current is None or current.instance != signal.instance:
            log.info("unknown_backend_server_leaves", instance=signal.instance)
            departure = Departure(signal.instance, signal.received_ms)
            self._add_past_departure(departure, now)
            yield DepartureRecorded(departure, signal.request)
            return
        yield from self._leave(current.instance, current.started_ms)
        departure = Departure(current.instance, current.started_ms)
        yield DepartureRecorded(departure, signal.request)

    def on_departures_learned(self, signal: DeparturesLearned, now: float):
        """Record what earlier processes of this node were told."""
        for departure in signal.departures:
            log.info("departure_learned", instance=departure.instance)
            self._add_past_departure(departure, now)
            current = self._current
            if current is not None and departure.instance == current.instance:
                if current.started_ms <= departure.started_by_ms:
                    yield from self._leave(current.instance, current.started_ms)

    def _add_past_departure(self, departure, now):
        known = self._departed.get(departure.instance)
        started_by_ms = departure.started_by_ms
        if known is not None:
            started_by_ms = max(started_by_ms, known.started_by_ms)
        self._departed[departure.instance] = PastDeparture(
            started_by_ms, now + LATE_HEARTBEAT_S
        )
        if len(self._departed) > MAX_LEAVING_PROCESSES:
            self._departed.popitem(last=False)

    def _leave(self, instance, started_ms):
        """Record that a process leaves; announce it if it is the current one."""
        self._record_leaving(instance, started_ms)
        current = self._current
        if (instance, started_ms) != (current.instance, current.started_ms):
            return
        if not current.leaves:
            current.leaves = True
            log.info("backend_server_leaves", instance=current.instance)
        yield self._announcement()

    def _announcement(self):
        current = self._current
        return BackendAnnounced(
            current.service,
            current.address,
            current.slots,
            current.leaves,
            current.instance,
            current.started_ms,
            current.age_ms,
            current.cold_left_ms,
        )

    def _record_leaving(self, instance, started_ms):
        self._leaving[(instance, started_ms)] = None
        if len(self._leaving) > MAX_LEAVING_PROCESSES:
            self._leaving.popitem(last=False)

    def _log_if_changed(self, process):
        previous = self._current
        if previous is None or (previous.instance, previous.leaves) != (
            process.instance,
            process.leaves,
        ):
            log.info(
                "backend_server",
                instance=process.instance,
                service=process.service,
                slots=process.slots,
                leaves=process.leaves,
                sequence=process.sequence,
            )

    def status(self):
        """Return the current process's identity and whether it leaves."""
        if self._current is None:
            return {}
        return {"instance": self._current.instance, "leaves": self._current.leaves}


def _age_ms(heartbeat):
    """Return the age of a heartbeat's process; None if it is not known."""
    if not heartbeat.started_ms or not heartbeat.received_ms:
        return None
    return max(heartbeat.received_ms - heartbeat.started_ms, 0)


MEMORY_CHART = bind_methods("departure_memory", BackendIdentity)
