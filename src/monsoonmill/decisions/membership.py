"""Membership of the fleet by gossip with incarnations.

Each node alone raises the version of its own entry; others may only doubt it.
A doubted node that hears of the doubt answers with a higher version. Doubt
that lasts turns into death, and the dead are forgotten after a while.
"""

from collections.abc import Iterator
from math import ceil, log2
from random import Random

from attrs import define, evolve
from xxhash import xxh3_64_intdigest

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.configuration import ConfigView
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.signals import (
    AddressLearned,
    BackendAnnounced,
    BackendUnreachable,
    ConfigChanged,
    Connect,
    MemberChanged,
    MembersChanged,
    PeerDown,
    PeerUnreachable,
    PeerUp,
    Received,
    SelfLeaving,
    Send,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.messages import (
    ConfigRequest,
    MemberGossip,
    MemberListRequest,
)
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import Settings

MAX_UPDATES_PER_GOSSIP = 64
SPREAD_FACTOR = 3
"""An update is passed on this often times the logarithm of the fleet's size."""
DEAD_PROBE_SHARE = 0.1
"""Share of gossip rounds that also try a node believed dead, or a seed."""
LIST_REQUEST_EVERY_S = 5.0
GOSSIP = "gossip"
ANNOUNCEMENT = "announcement"

SEVERITY = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def supersedes(new: Member, old: Member) -> bool:
    """Return whether an entry replaces another one of the same node."""
    return _rank(new) > _rank(old)


def _rank(member):
    return (member.incarnation, member.version, SEVERITY[member.state])


def digest_member(member: Member) -> int:
    """Return a digest of an entry; a list's digest is the XOR of them."""
    text = f"{member.node}/{member.incarnation}/{member.version}/{member.state.value}"
    return xxh3_64_intdigest(text.encode())


@define
class KnownMember:
    """Another node as known here; owner of its member chart."""

    member: Member
    membership: "Membership"
    chart: ChartInstance | None = None
    heard_at: float = 0.0
    probed_at: float | None = None

    def note_heard(self, now):
        """Remember that the node was heard of directly."""
        self.heard_at = now

    def start_suspicion(self, now):
        """Give the node some time to answer the doubt."""
        self.membership.timers.set(
            ("suspicion", self.member.node),
            now + self.membership.cfg.members.suspect_ms / 1000,
        )

    def end_suspicion(self, now):
        """Stop the clock of the doubt."""
        self.membership.timers.cancel(("suspicion", self.member.node))

    def start_forgetting(self, now):
        """Forget the node after a while."""
        self.membership.timers.set(
            ("forget", self.member.node), now + self.membership.cfg.members.forget_s
        )

    def spread_suspicion(self, now):
        """Tell others of the doubt."""
        self.membership.replace(self, MemberState.SUSPECT)

    def spread_death(self, now):
        """Tell others that the node is gone."""
        self.membership.replace(self, MemberState.DEAD)

    def spread_alive(self, now):
        """Drop the own doubt; the node itself tells the others."""
        self.note_heard(now)


MEMBER_CHART = bind_methods("member", KnownMember)


class Membership(Decision):
    """The list of nodes, kept by gossip."""

    def __init__(self, cfg: Settings, own: Member, view: ConfigView, rng: Random):
        self.cfg = cfg
        self.own = own
        self.view = view
        self.rng = rng
        self.timers = Timers()
        self._known: dict[str, KnownMember] = {}
        self._updates: dict[str, int] = {}
        self._digest = digest_member(own)
        self._list_requested_at = float("-inf")
        self._changed: list[Member] = []

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            BackendAnnounced: self.on_backend_announced,
            BackendUnreachable: self.on_backend_unreachable,
            SelfLeaving: self.on_self_leaving,
            PeerUp: self.on_peer_up,
            PeerDown: self.on_peer_down,
            PeerUnreachable: self.on_peer_unreachable,
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
    def members(self) -> Iterator[Member]:
        """Yield the entries of all known nodes, the own one first."""
        yield self.own
        for known in self._known.values():
            yield known.member

    def live(self) -> Iterator[Member]:
        """Yield the nodes that are not believed to be gone."""
        return (one for one in self.members() if one.state is not MemberState.DEAD)

    def find(self, node: str) -> Member | None:
        """Return a node's entry, if it is known."""
        if node == self.own.node:
            return self.own
        known = self._known.get(node)
        return known.member if known else None

    # The own entry.
    def change_own(self, **changes) -> None:
        """Change the own entry and pass it on."""
        self._digest ^= digest_member(self.own)
        self.own = evolve(self.own, version=self.own.version + 1, **changes)
        self._digest ^= digest_member(self.own)
        self._spread(self.own)

    def on_backend_announced(self, signal, now):
        """Take the own backend server's announcement."""
        is_leaving = self.own.state is MemberState.LEAVING
        accepts = not signal.draining and not is_leaving
        entry = (signal.service, accepts, signal.slots)
        if entry != (self.own.service, self.own.accepts_calls, self.own.slots):
            self.change_own(
                service=signal.service, accepts_calls=accepts, slots=signal.slots
            )
            yield from self._gossip_now(now)
        ttl_s = self.cfg.members.announce_ttl_ms / 1000
        self.timers.set(ANNOUNCEMENT, now + ttl_s)

    def on_backend_unreachable(self, signal, now):
        """Take no calls until the backend server announces itself again."""
        if self.own.accepts_calls:
            self.change_own(accepts_calls=False)
            yield from self._gossip_now(now)

    def on_self_leaving(self, signal, now):
        """Tell the fleet that this node takes no more calls."""
        self.change_own(state=MemberState.LEAVING, accepts_calls=False)
        yield from self._gossip_now(now)

    # Gossip.
    def tick(self, now):
        """Run the rounds and time limits that are due."""
        for key in self.timers.pop_due(now):
            if key == GOSSIP:
                self.timers.set(GOSSIP, now + self._round_s())
                yield from self._probe_results(now)
                yield from self._gossip_now(now)
            elif key == ANNOUNCEMENT:
                self.change_own(accepts_calls=False)
                yield from self._gossip_now(now)
            else:
                yield from self._member_timer(*key, now)

    def _member_timer(self, kind, node, now):
        known = self._known.get(node)
        if known is None:
            return
        if kind == "suspicion":
            known.chart.send("suspicion_expired", now)
        elif known.member.state is MemberState.DEAD:
            self._digest ^= digest_member(known.member)
            del self._known[node]
        yield from self._flush_changes()

    def _round_s(self):
        return self.cfg.members.gossip_ms / 1000 * self.rng.uniform(0.8, 1.2)

    def _gossip_now(self, now):
        targets = [one for one in self._known.values() if _is_live(one.member)]
        count = min(self.cfg.members.gossip_fanout, len(targets))
        for known in self.rng.sample(targets, count):
            if known.probed_at is None:
                known.probed_at = now
            yield Send(known.member.node, self._gossip(answer=True))
        self._age_updates()
        if self.rng.random() < DEAD_PROBE_SHARE or not targets:
            yield from self._contact_lost()

    def _contact_lost(self):
        dead = [one.member for one in self._known.values() if not _is_live(one.member)]
        if dead:
            yield Connect(self.rng.choice(dead).address)
        yield from self._contact_seeds()

    def _contact_seeds(self):
        addresses = {one.address for one in self.live()}
        for address in self.cfg.node.seeds:
            if address not in addresses:
                yield Connect(address)

    def _gossip(self, answer):
        names = list(self._updates)[:MAX_UPDATES_PER_GOSSIP]
        updates = tuple(one for name in names if (one := self.find(name)))
        return MemberGossip(updates, self.view.config.revision, self._digest, answer)

    def _age_updates(self):
        limit = SPREAD_FACTOR * ceil(log2(len(self._known) + 2))
        for name in list(self._updates)[:MAX_UPDATES_PER_GOSSIP]:
            self._updates[name] += 1
            if self._updates[name] > limit:
                del self._updates[name]

    def _spread(self, member):
        # Fresh updates go first.
        rest = {name: n for name, n in self._updates.items() if name != member.node}
        self._updates = {member.node: 0, **rest}

    def on_gossip(self, signal: Received, now):
        """Merge another node's entries, and answer if it asks."""
        message = signal.message
        yield from self._heard_from(signal.node, now)
        for member in message.members:
            self._merge(member, now)
        yield from self._flush_changes()
        if message.answer:
            yield Send(signal.node, self._gossip(answer=False))
        if message.revision > self.view.config.revision:
            yield Send(signal.node, ConfigRequest(self.view.config.revision))
        yield from self._ask_for_list(signal, now)

    def _ask_for_list(self, signal, now):
        if signal.message.members_digest in (0, self._digest):
            return
        if now - self._list_requested_at < LIST_REQUEST_EVERY_S:
            return
        self._list_requested_at = now
        yield Send(signal.node, MemberListRequest())

    def on_list_request(self, signal, now):
        """Send the whole list."""
        yield Send(signal.node, self._whole_list(answer=False))

    def _whole_list(self, answer):
        revision = self.view.config.revision
        return MemberGossip(tuple(self.members()), revision, self._digest, answer)

    def on_peer_up(self, signal, now):
        """Exchange whole lists with a node that was unknown or lost."""
        known = self._known.get(signal.node)
        if known is None or not _is_live(known.member):
            yield Send(signal.node, self._whole_list(answer=True))
        yield from self._heard_from(signal.node, now)

    def on_config_changed(self, signal, now):
        """Tell others at once that there is a new revision."""
        yield from self._gossip_now(now)

    # Merging.
    def _merge(self, member, now):
        if member.node == self.own.node:
            self._defend(member)
            return
        known = self._known.get(member.node)
        if known is None:
            self._add(member, now)
        elif supersedes(member, known.member):
            self._digest ^= digest_member(known.member) ^ digest_member(member)
            known.member = member
            known.chart.send(f"reported_{member.state.value}", now)
            known.member = member
            self._spread(member)
            self._changed.append(member)

    def _defend(self, member):
        """Outbid whatever others hold of this node."""
        if not supersedes(member, self.own):
            return
        self._digest ^= digest_member(self.own)
        self.own = evolve(
            self.own,
            incarnation=max(member.incarnation, self.own.incarnation),
            version=max(member.version, self.own.version),
        )
        self._digest ^= digest_member(self.own)
        self.change_own()

    def _add(self, member, now):
        known = KnownMember(member, self, heard_at=now)
        self._known[member.node] = known
        known.chart = MEMBER_CHART.start(known)
        if member.state is not MemberState.ALIVE:
            known.chart.send(f"reported_{member.state.value}", now)
        self._digest ^= digest_member(member)
        self._spread(member)
        self._changed.append(member)

    def replace(self, known: KnownMember, state: MemberState) -> None:
        """Give another node's entry a state that this node has found."""
        self._digest ^= digest_member(known.member)
        known.member = evolve(known.member, state=state)
        self._digest ^= digest_member(known.member)
        self._spread(known.member)
        self._changed.append(known.member)

    def _flush_changes(self):
        changed, self._changed = self._changed, []
        for member in changed:
            yield AddressLearned(member.node, member.address, member.region)
            yield MemberChanged(member)
        if changed:
            yield MembersChanged()

    # Failure detection.
    def _heard_from(self, node, now):
        known = self._known.get(node)
        if known is not None:
            known.probed_at = None
            known.heard_at = now
            if known.member.state is MemberState.SUSPECT:
                self.replace_heard(known, now)
                yield from self._flush_changes()

    def replace_heard(self, known: KnownMember, now: float) -> None:
        """Drop the doubt about a node that has just been heard."""
        known.chart.send("heard", now)
        self._digest ^= digest_member(known.member)
        known.member = evolve(known.member, state=MemberState.ALIVE)
        self._digest ^= digest_member(known.member)
        self._changed.append(known.member)

    def _probe_results(self, now):
        limit_s = self.cfg.members.probe_timeout_ms / 1000
        for known in list(self._known.values()):
            if known.probed_at is not None and now - known.probed_at > limit_s:
                known.probed_at = None
                known.chart.send("probe_failed", now)
        yield from self._flush_changes()

    def on_peer_unreachable(self, signal, now):
        """Doubt a node that refuses connections."""
        yield from self._doubt(signal.node, now)

    def on_peer_down(self, signal, now):
        """Doubt a node whose stream broke."""
        yield from self._doubt(signal.node, now)

    def _doubt(self, node, now):
        known = self._known.get(node)
        if known is not None:
            known.probed_at = None
            known.chart.send("probe_failed", now)
            yield from self._flush_changes()

    def status(self):
        """Return all entries by node."""
        return {
            one.node: {
                "state": one.state.value,
                "incarnation": one.incarnation,
                "version": one.version,
                "address": str(one.address),
                "region": one.region,
                "data_centre": one.data_centre,
                "service": one.service,
                "accepts_calls": one.accepts_calls,
                "slots": one.slots,
            }
            for one in self.members()
        }


def _is_live(member: Member) -> bool:
    return member.state is not MemberState.DEAD
