"""Membership of the fleet by gossip with incarnations.

Each node alone raises the version of its own entry; others may only doubt it.
A doubted node that hears of the doubt answers with a higher version. Doubt
that lasts turns into death, and the dead are forgotten after a while.
"""

from collections.abc import Iterator
from random import Random

from attrs import evolve

from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.members.entries import (
    describe_member,
    is_live,
    is_same_version,
    supersedes,
)
from monsoonmill.decisions.members.failure_detection import FailureDetection
from monsoonmill.decisions.members.known_member import (
    FORGET,
    MEMBER_CHART,
    TIMER_EVENTS,
    KnownMember,
)
from monsoonmill.decisions.members.partners import Partners
from monsoonmill.decisions.members.signals import SelfLeaving
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
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import Settings

LOST_CONTACT_SHARE = 0.1
"""Share of gossip rounds that also try a node believed dead, or a seed."""
LIST_REQUEST_EVERY_S = 5.0
LIST_REQUEST_AT_LAST_S = 30.0
"""After this time the list is compared although it still changes."""
QUIET_S = 1.0
"""A list that has not changed for so long should be the same everywhere."""
PAUSED_S = 0.5
"""A timer that is so late tells that this process was paused."""
GOSSIP = "gossip"
ANNOUNCEMENT = "announcement"
DOUBTED = (MemberState.SUSPECT, MemberState.DEAD)


class Membership(FailureDetection):
    """The list of nodes, kept by gossip."""

    def __init__(self, cfg: Settings, own: Member, view: ConfigView, rng: Random):
        super().__init__(cfg.members, own, rng)
        self.cfg = cfg
        self.view = view
        self._partners = Partners(rng)
        self._wants_list = True
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
            ConfigChanged: self.on_config_changed,
        }

    def next_due(self):
        """Return when the next round or time limit is due."""
        return self.timers.next_due()

    def start(self, now):
        """Contact the seeds and begin to gossip."""
        self.timers.set(GOSSIP, now + self._round_s())
        yield from self._contact_seeds()

    # Reading the list.
    @property
    def own(self) -> Member:
        """The own entry."""
        return self._table.own

    @property
    def digest(self) -> int:
        """Digest of the whole list, without the dead."""
        return self._table.digest

    def members(self) -> Iterator[Member]:
        """Yield the entries of all known nodes, the own one first."""
        return self._table.entries()

    def live(self) -> Iterator[Member]:
        """Yield the nodes that are not believed to be gone."""
        return (one for one in self.members() if is_live(one))

    def find(self, node: str) -> Member | None:
        """Return a node's entry, if it is known."""
        return self._table.find(node)

    # The own entry.
    def change_own(self, **changes) -> None:
        """Change the own entry and pass it on."""
        version = self.own.version + 1
        self._table.set_own(evolve(self.own, version=version, **changes))
        self._updates.add(self.own.node)
        self._changed.append(self.own)

    def on_backend_announced(self, signal, now):
        """Take the own backend server's announcement."""
        is_leaving = self.own.state is MemberState.LEAVING
        accepts = not signal.draining and not is_leaving
        entry = (signal.service, accepts, signal.slots)
        if entry != (self.own.service, self.own.accepts_calls, self.own.slots):
            self.change_own(
                service=signal.service, accepts_calls=accepts, slots=signal.slots
            )
            yield from self._tell_change(now)
        ttl_s = self.limits.announce_ttl_ms / 1000
        self.timers.set(ANNOUNCEMENT, now + ttl_s)

    def on_backend_unreachable(self, signal, now):
        """Take no calls until the backend server announces itself again."""
        if self.own.accepts_calls:
            self.change_own(accepts_calls=False)
            yield from self._tell_change(now)

    def on_self_leaving(self, signal, now):
        """Tell the fleet that this node takes no more calls."""
        self.change_own(state=MemberState.LEAVING, accepts_calls=False)
        yield from self._tell_change(now)

    def _on_announcement_lapsed(self, now):
        if self.own.accepts_calls:
            self.change_own(accepts_calls=False)
            yield from self._tell_change(now)

    def _tell_change(self, now):
        yield from self._flush_changes()
        yield from self._gossip_round(now)

    # Gossip.
    def tick(self, now):
        """Run the rounds and time limits that are due."""
        if now - self.timers.next_due() > PAUSED_S:
            # What came in meanwhile has not been read yet: judge nobody by it.
            for known in self._table.known.values():
                known.restart_timers(now)
        for key in self.timers.pop_due(now):
            if key == GOSSIP:
                self.timers.set(GOSSIP, now + self._round_s())
                yield from self._probe_results(now)
                yield from self._gossip_round(now)
            elif key == ANNOUNCEMENT:
                yield from self._on_announcement_lapsed(now)
            else:
                yield from self._on_member_timer(*key, now)

    def _on_member_timer(self, kind, node, now):
        known = self._table.known.get(node)
        if known is None:
            return
        if kind == FORGET:
            self._table.forget(node)
            return
        known.chart.send(TIMER_EVENTS[kind], now)
        yield from self._flush_changes()

    def _round_s(self):
        return self.limits.gossip_ms / 1000 * self.rng.uniform(0.8, 1.2)

    def _gossip_round(self, now):
        live = self._table.live()
        for known in self._partners.choose(live, self.limits.gossip_fanout):
            if known.probed_at is None:
                known.probed_at = now
            yield Send(known.member.node, self.gossip(answer=True))
        if self.rng.random() < LOST_CONTACT_SHARE or not live:
            yield from self._contact_lost()

    def _contact_lost(self):
        known = self._table.known.values()
        dead = [one.member for one in known if not is_live(one.member)]
        if dead:
            yield Connect(self.rng.choice(dead).address)
        yield from self._contact_seeds()

    def _contact_seeds(self):
        addresses = {one.address for one in self.live()}
        for address in self.cfg.node.seeds:
            if address not in addresses:
                yield Connect(address)

    def gossip(self, answer, about=(), excluded=frozenset()) -> MemberGossip:
        """Return the news for one node.

        Parameters
        ----------
        about : iterable of str
            Nodes whose entries are sent in any case.
        excluded : frozenset of str
            Nodes whose entries need not be sent.
        """
        size = len(self._table.known) + 1
        names = [*about, *self._updates.take(size, excluded | set(about))]
        entries = tuple(one for name in names if (one := self.find(name)))
        return MemberGossip(entries, self.view.config.revision, self.digest, answer)

    def on_gossip(self, signal: Received, now):
        """Merge another node's entries, and answer if it asks."""
        message = signal.message
        for member in message.members:
            is_news = not message.is_list or member.node == signal.node
            self._merge(member, is_news, now)
        yield from self._heard_from(signal.node, now)
        yield from self._flush_changes()
        about = self._doubt_about(signal.node)
        if message.answer or about:
            told = frozenset(one.node for one in message.members)
            yield Send(signal.node, self.gossip(False, about, told - set(about)))
        yield from self._compare_lists(signal, now)

    def _doubt_about(self, node):
        known = self._table.known.get(node)
        return (node,) if known and known.member.state in DOUBTED else ()

    def _compare_lists(self, signal, now):
        if signal.message.members_digest == self.digest:
            return
        since_s = now - self._list_requested_at
        is_quiet = now - self._changed_at > QUIET_S
        is_time = is_quiet and since_s > LIST_REQUEST_EVERY_S
        if self._wants_list or is_time or since_s > LIST_REQUEST_AT_LAST_S:
            self._wants_list = False
            self._list_requested_at = now
            yield Send(signal.node, MemberListRequest(self._table.digests()))

    def on_list_request(self, signal: Received, now):
        """Send the entries of the parts that differ."""
        entries = self._table.differing(signal.message.digests)
        revision = self.view.config.revision
        yield Send(
            signal.node, MemberGossip(entries, revision, self.digest, is_list=True)
        )

    def on_peer_up(self, signal, now):
        """Exchange entries with a node that was unknown or lost."""
        member = self.find(signal.node)
        if member is None or not is_live(member):
            self._wants_list = True
            about = (self.own.node, signal.node)
            yield Send(signal.node, self.gossip(True, about))
        yield from self._heard_from(signal.node, now)

    def on_config_changed(self, signal, now):
        """Tell others at once that there is a new revision."""
        yield from self._gossip_round(now)

    # Merging.
    def _merge(self, member, is_news, now):
        known = self._table.known.get(member.node)
        if member.node == self.own.node:
            self._defend(member)
        elif known is None:
            self._add(member, is_news, now)
        elif supersedes(member, known.member):
            self._take(known, member, now)

    def _take(self, known, member, now):
        """Replace an entry; a rumour of death is no more than a doubt."""
        is_doubt = member.state in DOUBTED
        if is_doubt and self._was_just_heard(known, member, now):
            self._out.append(self._tell_doubt(member))
            return
        if is_doubt and known.member.state is not MemberState.LEAVING:
            member = evolve(member, state=MemberState.SUSPECT)
            if not supersedes(member, known.member):
                return
        self._table.replace(known, member)
        known.chart.send(f"reported_{member.state.value}", now)
        self._note_change(member, now)

    def _was_just_heard(self, known, member, now):
        if not is_same_version(member, known.member):
            return False
        timeout_s = self.limits.probe_timeout_ms / 1000
        return is_live(known.member) and now - known.heard_at < timeout_s

    def _tell_doubt(self, member):
        revision = self.view.config.revision
        return Send(member.node, MemberGossip((member,), revision, self.digest))

    def _defend(self, member):
        """Outbid whatever others hold of this node."""
        if not supersedes(member, self.own):
            return
        incarnation = max(member.incarnation, self.own.incarnation)
        version = max(member.version, self.own.version)
        self._table.set_own(evolve(self.own, incarnation=incarnation, version=version))
        self.change_own()

    def _add(self, member, is_news, now):
        if not is_live(member):
            return
        known = KnownMember(member, self)
        if not self._table.add(known):
            return
        known.chart = MEMBER_CHART.start(known)
        known.chart.send(f"reported_{member.state.value}", now)
        self._note_change(member, now, is_news)

    def _note_change(self, member, now, is_news=True):
        self._changed_at = now
        self._changed.append(member)
        if is_news:
            self._updates.add(member.node)

    def status(self):
        """Return all entries by node."""
        return {one.node: describe_member(one) for one in self.members()}
