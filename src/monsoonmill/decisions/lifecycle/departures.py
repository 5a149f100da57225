"""Acknowledgement of departures once they outlive this process.

A backend server counts on the acknowledgement that it leaves. A node that is killed
forgets it, and a heartbeat that was sent before may still arrive at the next process
of the node. So other nodes keep the departures in the member entry of this node, and
tell them to its next process, and the store keeps them in case all nodes are killed. A
departure is acknowledged once enough nodes have replied that they have the entry with
it, and the store has it or has failed; without any other node, once the store has it.
"""

from random import Random

from attrs import define

from monsoonmill.counters import Counters
from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.departure_store import DepartureStore
from monsoonmill.decisions.lifecycle.signals import DepartureRecorded, DeparturesStored
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import EntryConfirmed
from monsoonmill.decisions.signals import Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Address, Departure, MemberState
from monsoonmill.reasons import Outcome

KEEPERS = 2
"""Other nodes that must keep a departure, if there are as many."""
NOTIFIED_NODES = 3
"""Nodes that are told a departure at the same time."""
REPEAT_S = 0.2
"""Time after which further nodes are told; replies from another region take 60 ms."""
ANSWER_LIMIT_S = 0.8
"""Backend servers wait for a second for the acknowledgement."""
DEPARTURES_KEPT = "departures-kept"
DEPARTURES_NOT_KEPT = "departures-not-kept"

log = get_logger("departures")


@define
class PendingDeparture:
    """A departure that is not yet acknowledged.

    Attributes
    ----------
    version : int
        First version of the local node's entry with the departure.
    awaits_store : bool
        Whether the store may still get it.
    """

    departure: Departure
    version: int
    expires_at: float
    awaits_store: bool = True


class Departures(Decision):
    """Has other nodes keep departures, and acknowledges those that they keep.

    Parameters
    ----------
    seeds : tuple of Address
        Nodes that a next process of this node asks first.
    """

    def __init__(
        self,
        members: Membership,
        store: DepartureStore,
        seeds: tuple[Address, ...],
        rng: Random,
        counters: Counters,
    ):
        self._members = members
        self._store = store
        self._seeds = frozenset(seeds)
        self._rng = rng
        self._counters = counters
        self._timers = Timers()
        self._versions: dict[Departure, int] = {}
        self._confirmed: dict[str, int] = {}
        self._pending: dict[str, PendingDeparture] = {}

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            DepartureRecorded: self.on_departure_recorded,
            EntryConfirmed: self.on_entry_confirmed,
            DeparturesStored: self.on_departures_stored,
        }

    @property
    def in_progress(self) -> int:
        """Number of departures that are not yet acknowledged."""
        return len(self._pending)

    def next_due(self):
        """Return when further nodes are told, or an acknowledgement is given up."""
        return self._timers.next_due()

    def on_departure_recorded(self, signal, now):
        """Add a departure to the local node's entry and tell it other nodes."""
        departure = signal.departure
        self._members.add_departure(departure)
        self._versions.setdefault(departure, self._members.own.version)
        self._forget_unused(departure)
        if not signal.request:
            return
        pending = PendingDeparture(
            departure, self._versions[departure], now + ANSWER_LIMIT_S
        )
        if self._is_kept(pending):
            yield from self._acknowledge(signal.request, pending)
            return
        self._pending[signal.request] = pending
        yield from self._notify_nodes(now)

    def _forget_unused(self, departure):
        """Forget what concerns departures and nodes that are no longer known."""
        kept = {*self._members.own.departures, departure}
        self._versions = {
            known: version for known, version in self._versions.items() if known in kept
        }
        self._confirmed = {
            node: version
            for node, version in self._confirmed.items()
            if self._members.find(node) is not None
        }

    def on_entry_confirmed(self, signal, now):
        """Acknowledge the departures that enough nodes keep now."""
        version = max(signal.version, self._confirmed.get(signal.node, 0))
        self._confirmed[signal.node] = version
        yield from self._acknowledge_kept()

    def on_departures_stored(self, signal, now):
        """Acknowledge the departures that waited for the store only."""
        for pending in self._pending.values():
            pending.awaits_store = False
        yield from self._acknowledge_kept()

    def _acknowledge_kept(self):
        for request, pending in list(self._pending.items()):
            if self._is_kept(pending):
                del self._pending[request]
                yield from self._acknowledge(request, pending)

    def tick(self, now):
        """Tell further nodes, and give up acknowledgements that come too late."""
        if not any(self._timers.pop_due(now)):
            return
        for request, pending in list(self._pending.items()):
            if now >= pending.expires_at:
                del self._pending[request]
                pending.awaits_store = False
                is_kept = self._is_kept(pending)
                end = self._acknowledge if is_kept else self._refuse
                yield from end(request, pending)
        if self._pending:
            yield from self._notify_nodes(now)

    def _other_nodes(self):
        own = self._members.own.node
        return [
            member
            for member in self._members.live()
            if member.state is MemberState.ALIVE and member.node != own
        ]

    def _is_kept(self, pending):
        is_stored = self._store.has_stored(pending.departure)
        if pending.awaits_store and not is_stored:
            return False
        others = self._other_nodes()
        if not others:
            return is_stored
        keepers = [
            member
            for member in others
            if self._confirmed.get(member.node, 0) >= pending.version
        ]
        return len(keepers) >= min(KEEPERS, len(others))

    def _notify_nodes(self, now):
        """Send the entry to some nodes that have not confirmed it, seeds first."""
        self._timers.set("repeat", now + REPEAT_S)
        version = max(pending.version for pending in self._pending.values())
        missing = [
            member
            for member in self._other_nodes()
            if self._confirmed.get(member.node, 0) < version
        ]
        self._rng.shuffle(missing)
        missing.sort(key=lambda member: member.address not in self._seeds)
        for member in missing[:NOTIFIED_NODES]:
            about = (self._members.own.node,)
            yield Send(member.node, self._members.gossip(answer=True, about=about))

    def _acknowledge(self, request, pending):
        self._counters.add(DEPARTURES_KEPT)
        yield Answer(request, Outcome.DONE)

    def _refuse(self, request, pending):
        self._counters.add(DEPARTURES_NOT_KEPT)
        log.warning(
            "departure_not_kept",
            instance=pending.departure.instance,
            others=len(self._other_nodes()),
            is_stored=self._store.has_stored(pending.departure),
            confirmed=sum(
                version >= pending.version for version in self._confirmed.values()
            ),
        )
        yield Answer(request, Outcome.UNKNOWN)

    def status(self):
        """Return the number of departures that are not yet acknowledged."""
        return {"pending": len(self._pending)}
