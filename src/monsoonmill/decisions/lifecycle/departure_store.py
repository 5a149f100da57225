"""Departures in the platform's store, which outlive a kill of all nodes at once.

The record of a node is stored under a lease, so that the store removes it once no late
heartbeat is expected any more.
"""

from random import Random

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.backend_identity import LATE_HEARTBEAT_S
from monsoonmill.decisions.lifecycle.signals import (
    DepartureRecorded,
    DeparturesKnown,
    DeparturesStored,
    DeparturesWanted,
)
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import DeparturesLearned, EntryConfirmed
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformRead,
    PlatformSwap,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.departure_records import decode_departures, encode_departures
from monsoonmill.errors import (
    MalformedMessageError,
    PlatformConflictError,
    PlatformRateLimitError,
)
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Departure

DEPARTURE_PREFIX = "departures/"
LEASE_REQUEST = "departure-lease"
WRITE_REQUEST = "departure-write"
READ_REQUEST = "departure-read"
FIRST_READ = "departure-first-read"
WRITE_REQUESTS = (LEASE_REQUEST, WRITE_REQUEST, READ_REQUEST)
RETRY = "retry"
INITIAL_RETRY_S = 0.2
MAX_RETRY_S = 5.0
FIRST_READS_PER_S = 1000.0
"""Reads of the whole fleet after a restart of all nodes; the store serves 2,000."""
ESTABLISHED_MS = 5000
"""A node that started this long before this one was there when an earlier process of
this one was told of a departure, or has asked others that were."""

log = get_logger("departures")


class DepartureStore(Decision):
    """Stores the departures of the local node, and reads those of earlier processes."""

    def __init__(self, members: Membership, rng: Random):
        self._members = members
        self._rng = rng
        self._timers = Timers()
        self._outgoing = []
        self._version = 0
        self._stored: tuple[Departure, ...] = ()
        self._written: tuple[Departure, ...] = ()
        self._retry_s = INITIAL_RETRY_S
        self._now = 0.0
        self._is_known = False
        self._has_reply = False
        self._chart = RECORD_CHART.start(self)

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            DepartureRecorded: self.on_departure_recorded,
            DeparturesWanted: self.on_departures_wanted,
            EntryConfirmed: self.on_entry_confirmed,
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
        }

    def next_due(self):
        """Return when the first read or another write is due."""
        return self._timers.next_due()

    def on_departures_wanted(self, signal, now):
        """Read the record of earlier processes, unless a node has replied already."""
        if not self._is_known:
            self._schedule_first_read(now)
        return ()

    def tick(self, now):
        """Read the record of earlier processes, or retry a write."""
        self._now = now
        for key in self._timers.pop_due(now):
            if key == FIRST_READ:
                yield PlatformRead(FIRST_READ, self._key)
            else:
                self._chart.send("retry_due")
        yield from self._flush_outgoing()

    def _schedule_first_read(self, now, delay_s=0.0):
        """Read at a random time, since all nodes may have been started together."""
        spread_s = sum(1 for _ in self._members.live()) / FIRST_READS_PER_S
        due = now + delay_s + self._rng.uniform(0.0, spread_s)
        self._timers.set(FIRST_READ, due)

    def on_departure_recorded(self, signal, now):
        """Store the record again if it lacks a departure."""
        self._now = now
        if self.has_stored(signal.departure):
            return
        self._chart.send("write_wanted")
        yield from self._flush_outgoing()

    def has_stored(self, departure: Departure) -> bool:
        """Return whether the store has a departure, or a later one of its instance."""
        return any(
            stored.instance == departure.instance
            and stored.started_by_ms >= departure.started_by_ms
            for stored in self._stored
        )

    def on_entry_confirmed(self, signal, now):
        """Believe an established node, which makes the first read unnecessary."""
        self._has_reply = True
        if self._is_known:
            return
        member = self._members.find(signal.node)
        own = self._members.own
        if member and member.incarnation <= own.incarnation - ESTABLISHED_MS:
            yield from self._report_known(signal.node)

    def _report_known(self, source):
        if not self._is_known:
            self._is_known = True
            self._timers.cancel(FIRST_READ)
            yield DeparturesKnown(source)

    def on_platform_done(self, signal, now):
        """Process a value that was read, or go on with a write."""
        self._now = now
        if signal.request == FIRST_READ:
            yield from self._learn(signal.values[0])
            yield from self._report_known("store")
        elif signal.request in WRITE_REQUESTS:
            if signal.request == READ_REQUEST:
                yield from self._learn(signal.values[0])
            elif signal.request == WRITE_REQUEST:
                self._version = signal.values[0].version
                self._stored = self._written
            self._chart.send("call_done")
            yield from self._flush_outgoing()

    def _learn(self, stored):
        """Take over departures that an earlier process has stored."""
        self._version = stored.version
        if stored.value is None:
            return
        try:
            departures = decode_departures(stored.value)
        except MalformedMessageError as exc:
            log.warning("departures_unreadable", key=stored.key, error=str(exc))
            return
        for departure in departures:
            self._members.add_departure(departure)
        yield DeparturesLearned(departures)

    def on_platform_failed(self, signal, now):
        """Read again after a conflicting write, or retry later."""
        self._now = now
        if signal.request == FIRST_READ:
            is_busy = isinstance(signal.error, PlatformRateLimitError)
            if self._has_reply and not is_busy:
                yield from self._report_known("nodes that were just started")
            elif not self._is_known:
                self._schedule_first_read(now, INITIAL_RETRY_S)
        elif signal.request in WRITE_REQUESTS:
            is_conflict = isinstance(signal.error, PlatformConflictError)
            self._chart.send("write_conflict" if is_conflict else "call_failed")
            yield from self._flush_outgoing()

    @property
    def _key(self):
        return f"{DEPARTURE_PREFIX}{self._members.own.address}"

    def request_lease(self, arg):
        """Grant or renew the lease of the record."""
        self._timers.cancel(RETRY)
        lease = PlatformLease(LEASE_REQUEST, self._key, LATE_HEARTBEAT_S)
        self._outgoing.append(lease)

    def request_write(self, arg):
        """Write the record with all departures in the local node's entry."""
        self._written = self._members.own.departures
        value = encode_departures(self._written)
        self._outgoing.append(
            PlatformSwap(WRITE_REQUEST, self._key, self._version, value, self._key)
        )

    def request_read(self, arg):
        """Read the record that an earlier process has written."""
        self._outgoing.append(PlatformRead(READ_REQUEST, self._key))

    def is_complete(self, arg):
        """Return whether no departure was added during the write."""
        return set(self._members.own.departures) <= set(self._stored)

    def is_incomplete(self, arg):
        """Return whether the record has to be written once more."""
        return not self.is_complete(arg)

    def report_stored(self, arg):
        """Report which departures the store has now."""
        self._retry_s = INITIAL_RETRY_S
        self._outgoing.append(DeparturesStored(self._stored))

    def schedule_retry(self, arg):
        """Schedule another write with exponential back-off."""
        self._timers.set(RETRY, self._now + self._retry_s)
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        self._outgoing.append(DeparturesStored(self._stored))

    def _flush_outgoing(self):
        out, self._outgoing = self._outgoing, []
        yield from out

    def status(self):
        """Return the state of the record."""
        return {"state": self._chart.state, "known": self._is_known}


RECORD_CHART = bind_methods("departure_record", DepartureStore)
