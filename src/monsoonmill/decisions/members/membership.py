"""Membership of the fleet by gossip with incarnation and version numbers.

Only a node itself raises the version of its entry; other nodes may only mark it
as suspect or dead. A node that learns of a suspicion about itself refutes it
with a higher version. A suspicion that is not refuted in time turns into the
state dead, and dead nodes are removed from the list some time later.
"""

from collections.abc import Iterator
from random import Random

from attrs import evolve

from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import (
    ConfigChanged,
    EvacuationsChanged,
)
from monsoonmill.decisions.members.entries import (
    describe_member,
    has_same_version,
    is_live,
    merge_departures,
    supersedes,
)
from monsoonmill.decisions.members.failure_detection import FailureDetection
from monsoonmill.decisions.members.gossip_partners import GossipPartners
from monsoonmill.decisions.members.remote_member import (
    MEMBER_CHART,
    REMOVAL,
    TIMER_EVENTS,
    RemoteMember,
)
from monsoonmill.decisions.members.signals import (
    DeparturesLearned,
    EntryConfirmed,
    SelfLeaving,
)
from monsoonmill.decisions.signals import (
    BackendAnnounced,
    BackendUnreachable,
    Connect,
    PeerUp,
    Received,
    Send,
)
from monsoonmill.messages import (
    MemberGossip,
    MemberListRequest,
)
from monsoonmill.model import Departure, Member, MemberState
from monsoonmill.settings import Settings

RECONNECT_PROBABILITY = 0.1
"""Share of gossip rounds that also try to connect to a dead node and the seeds."""
LIST_REQUEST_INTERVAL_S = 5.0
MAX_LIST_REQUEST_INTERVAL_S = 30.0
"""After this time differences are requested although the list still changes."""
LIST_STABLE_S = 1.0
"""A list that has not changed for this time should be equal on all nodes."""
PAUSE_THRESHOLD_S = 0.5
"""A timer that is late by more than this shows that the process was paused."""
GOSSIP = "gossip"
ANNOUNCEMENT = "announcement"
SUSPECT_OR_DEAD = (MemberState.SUSPECT, MemberState.DEAD)


class Membership(FailureDetection):
    """The membership list, kept up to date by gossip."""

    def __init__(self, cfg: Settings, own: Member, view: ConfigView, rng: Random):
        super().__init__(cfg.members, own, rng)
        self.cfg = cfg
        self.view = view
        self._partners = GossipPartners(rng, own, cfg.members.local_gossip_from)
        self._needs_list = True
        self._list_requested_at = float("-inf")
        self._changed_at = float("-inf")

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            BackendAnnounced: self.on_backend_announced,
            BackendUnreachable: self.on_backend_unreachable,
            SelfLeaving: self.on_self_leaving,
            PeerUp: self.on_peer_up,
            MemberGossip: self.on_gossip,
            MemberListRequest: self.on_list_request,
            ConfigChanged: self.on_version_changed,
            EvacuationsChanged: self.on_version_changed,
        }

    def next_due(self):
        """Return when the next gossip round or time-out is due."""
        return self.timers.next_due()

    def start(self, now):
        """Connect to the seeds and schedule the first gossip round."""
        self.timers.set(GOSSIP, now + self._gossip_interval_s())
        yield from self._connect_to_seeds()

    # Queries.
    @property
    def own(self) -> Member:
        """Entry of the local node."""
        return self._table.own

    @property
    def digest(self) -> int:
        """Digest of the whole list without the dead nodes."""
        return self._table.digest

    def members(self) -> Iterator[Member]:
        """Yield all entries, the local node's first."""
        return self._table.entries()

    def live(self) -> Iterator[Member]:
        """Yield the entries of all nodes that are not dead."""
        return (member for member in self.members() if is_live(member))

    def find(self, node: str) -> Member | None:
        """Return a node's entry; None if there is none."""
        return self._table.find(node)

    # The local node's entry.
    def update_own(self, **changes) -> None:
        """Change the local node's entry, raise its version and queue it for gossip."""
        version = self.own.version + 1
        self._table.set_own(evolve(self.own, version=version, **changes))
        self._updates.add(self.own.node)
        self._changed_members.append(self.own)

    def on_backend_announced(self, signal, now):
        """Copy the backend server's announcement to the local node's entry."""
        is_leaving = self.own.state is MemberState.LEAVING
        accepts = not signal.draining and not is_leaving
        entry = (signal.service, accepts, signal.slots)
        if entry != (self.own.service, self.own.accepts_calls, self.own.slots):
            self.update_own(
                service=signal.service, accepts_calls=accepts, slots=signal.slots
            )
            yield from self._disseminate_changes(now)
        ttl_s = self.limits.announce_ttl_ms / 1000
        self.timers.set(ANNOUNCEMENT, now + ttl_s)

    def on_backend_unreachable(self, signal, now):
        """Accept no calls until the backend server announces itself again."""
        if self.own.accepts_calls:
            self.update_own(accepts_calls=False)
            yield from self._disseminate_changes(now)

    def on_self_leaving(self, signal, now):
        """Tell the fleet that this node accepts no more calls."""
        self.update_own(state=MemberState.LEAVING, accepts_calls=False)
        yield from self._disseminate_changes(now)

    def announce_store_reach(self, is_reached: bool, now: float):
        """Tell the fleet whether the platform's store serves this node."""
        if self.own.reaches_store != is_reached:
            self.update_own(reaches_store=is_reached)
            yield from self._disseminate_changes(now)

    def add_departure(self, departure: Departure) -> None:
        """Add a departure to the local node's entry."""
        departures = merge_departures(self.own.departures, (departure,))
        if departures != self.own.departures:
            self.update_own(departures=departures)

    def _on_announcement_expired(self, now):
        if self.own.accepts_calls:
            self.update_own(accepts_calls=False)
            yield from self._disseminate_changes(now)

    def _disseminate_changes(self, now):
        yield from self._publish_changes()
        yield from self._gossip_round(now)

    # Gossip.
    def tick(self, now):
        """Run the gossip rounds and time-outs that are due."""
        if now - self.timers.next_due() > PAUSE_THRESHOLD_S:
            # Messages that arrived during the pause are still unread, so the
            # silence of other nodes in this time says nothing about them.
            for remote in self._table.remotes.values():
                remote.restart_timers(now)
        for key in self.timers.pop_due(now):
            if key == GOSSIP:
                self.timers.set(GOSSIP, now + self._gossip_interval_s())
                yield from self._expire_probes(now)
                yield from self._gossip_round(now)
            elif key == ANNOUNCEMENT:
                yield from self._on_announcement_expired(now)
            else:
                yield from self._on_member_timer(*key, now)

    def _on_member_timer(self, kind, node, now):
        remote = self._table.remotes.get(node)
        if remote is None:
            return
        if kind == REMOVAL:
            self._table.remove(node)
            return
        remote.chart.send(TIMER_EVENTS[kind], now)
        yield from self._publish_changes()

    def _gossip_interval_s(self):
        return self.limits.gossip_ms / 1000 * self.rng.uniform(0.8, 1.2)

    def _gossip_round(self, now):
        live = self._table.live()
        for remote in self._partners.choose(live, self.limits.gossip_fanout):
            if remote.probe_sent_at is None:
                remote.probe_sent_at = now
            yield Send(remote.member.node, self.gossip(answer=True))
        if self.rng.random() < RECONNECT_PROBABILITY or not live:
            yield from self._connect_to_lost()

    def _connect_to_lost(self):
        remotes = self._table.remotes.values()
        dead = [remote.member for remote in remotes if not is_live(remote.member)]
        if dead:
            yield Connect(self.rng.choice(dead).address)
        yield from self._connect_to_seeds()

    def _connect_to_seeds(self):
        live_addresses = {member.address for member in self.live()}
        for address in self.cfg.node.seeds:
            if address not in live_addresses:
                yield Connect(address)

    def gossip(self, answer, about=(), excluded=frozenset()) -> MemberGossip:
        """Return the gossip message for one node.

        Parameters
        ----------
        answer : bool
            Whether the node is to reply with a gossip message of its own.
        about : iterable of str
            Nodes whose entries are always included.
        excluded : frozenset of str
            Nodes whose queued entries are left out.
        """
        size = len(self._table.remotes) + 1
        names = [*about, *self._updates.take(size, excluded | set(about))]
        entries = tuple(member for name in names if (member := self.find(name)))
        return self._make_gossip(entries, answer=answer)

    def _reply(self, node, about, excluded):
        """Return the reply to a node, which confirms the state of its entry here."""
        entry = self.find(node)
        version = (entry.incarnation, entry.version) if entry else (0, 0)
        return evolve(self.gossip(False, about, excluded), receiver_version=version)

    def _make_gossip(self, entries, **fields):
        return MemberGossip(
            entries,
            self.view.config.revision,
            self.digest,
            evacuations=self.view.evacuations.version,
            **fields,
        )

    def on_gossip(self, signal: Received, now):
        """Merge the sender's entries, and reply if it asks for an answer."""
        message = signal.message
        for member in message.members:
            is_update = not message.is_list or member.node == signal.node
            self._merge(member, is_update, now)
        yield from self._record_contact(signal.node, now)
        yield from self._publish_changes()
        about = self._find_own_news(signal)
        if message.answer or about:
            received = frozenset(member.node for member in message.members)
            yield Send(
                signal.node, self._reply(signal.node, about, received - {*about})
            )
        yield from self._request_differences(signal, now)
        incarnation, version = message.receiver_version
        if incarnation == self.own.incarnation:
            yield EntryConfirmed(signal.node, version)

    def _find_own_news(self, signal):
        """Return the sender if its entry here has something that is news to it.

        That is a suspicion that it can refute, or departures that an earlier process
        of it was told of.
        """
        remote = self._table.remotes.get(signal.node)
        if remote is None:
            return ()
        sent = {member.node: member for member in signal.message.members}
        own = sent.get(signal.node, remote.member)
        is_suspect = remote.member.state in SUSPECT_OR_DEAD
        is_news = is_suspect or own.departures != remote.member.departures
        return (signal.node,) if is_news else ()

    def _request_differences(self, signal, now):
        if signal.message.members_digest == self.digest:
            return
        elapsed_s = now - self._list_requested_at
        is_stable = now - self._changed_at > LIST_STABLE_S
        is_due = is_stable and elapsed_s > LIST_REQUEST_INTERVAL_S
        if self._needs_list or is_due or elapsed_s > MAX_LIST_REQUEST_INTERVAL_S:
            self._needs_list = False
            self._list_requested_at = now
            yield Send(signal.node, MemberListRequest(self._table.digests()))

    def on_list_request(self, signal: Received, now):
        """Send the entries of the buckets whose digests differ."""
        entries = self._table.find_differing(signal.message.digests)
        yield Send(signal.node, self._make_gossip(entries, is_list=True))

    def on_peer_up(self, signal, now):
        """Exchange entries with a node that was unknown or dead."""
        member = self.find(signal.node)
        if member is None or not is_live(member):
            self._needs_list = True
            about = (self.own.node, signal.node)
            yield Send(signal.node, self.gossip(True, about))
        yield from self._record_contact(signal.node, now)

    def on_version_changed(self, signal, now):
        """Start a gossip round immediately, which announces the new version."""
        yield from self._gossip_round(now)

    # Merging.
    def _merge(self, member, is_update, now):
        remote = self._table.remotes.get(member.node)
        if member.node == self.own.node:
            self._refute(member)
            self._learn_departures(member)
            return
        if remote is None:
            self._add(member, is_update, now)
            return
        departures = merge_departures(member.departures, remote.member.departures)
        if departures != member.departures:
            member = evolve(member, departures=departures)
        if supersedes(member, remote.member):
            self._replace_entry(remote, member, now)
        elif departures != remote.member.departures:
            # An older entry has departures of which the present process may not know.
            self._table.replace(remote, evolve(remote.member, departures=departures))
            self._updates.add(member.node)
        elif is_update and has_same_version(member, remote.member):
            # The fleet knows the update the better, the more often it comes back.
            self._updates.record_sent(member.node, len(self._table.remotes) + 1)

    def _replace_entry(self, remote, member, now):
        """Replace an entry by a newer one.

        A node reported dead becomes only suspect, so that it can refute the
        report, unless it is leaving. A report about a node that was in contact
        recently is not adopted but sent to that node, which refutes it.
        """
        is_suspicion = member.state in SUSPECT_OR_DEAD
        if is_suspicion and self._had_recent_contact(remote, member, now):
            self._outgoing.append(self._report_suspicion(member))
            return
        if is_suspicion and remote.member.state is not MemberState.LEAVING:
            member = evolve(member, state=MemberState.SUSPECT)
            if not supersedes(member, remote.member):
                return
        self._table.replace(remote, member)
        remote.chart.send(f"reported_{member.state.value}", now)
        self._record_change(member, now)

    def _had_recent_contact(self, remote, member, now):
        if not has_same_version(member, remote.member):
            return False
        timeout_s = self.limits.probe_timeout_ms / 1000
        return is_live(remote.member) and now - remote.last_contact_at < timeout_s

    def _report_suspicion(self, member):
        return Send(member.node, self._make_gossip((member,)))

    def _refute(self, member):
        """Raise the local node's version above that of an entry that supersedes it."""
        if not supersedes(member, self.own):
            return
        incarnation = max(member.incarnation, self.own.incarnation)
        version = max(member.version, self.own.version)
        self._table.set_own(evolve(self.own, incarnation=incarnation, version=version))
        self.update_own()

    def _learn_departures(self, member):
        """Take over departures that other nodes have kept for this one."""
        known = self.own.departures
        departures = merge_departures(known, member.departures)
        if departures != known:
            self.update_own(departures=departures)
            learned = tuple(entry for entry in departures if entry not in known)
            self._outgoing.append(DeparturesLearned(learned))

    def _add(self, member, is_update, now):
        if not is_live(member):
            return
        remote = RemoteMember(member, self)
        if not self._table.add(remote):
            return
        remote.chart = MEMBER_CHART.start(remote)
        remote.chart.send(f"reported_{member.state.value}", now)
        self._record_change(member, now, is_update)

    def _record_change(self, member, now, is_update=True):
        self._changed_at = now
        self._changed_members.append(member)
        if is_update:
            self._updates.add(member.node)

    def status(self):
        """Return all entries by node as plain data."""
        return {member.node: describe_member(member) for member in self.members()}
