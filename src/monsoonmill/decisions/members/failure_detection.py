"""Detection of nodes that fail, by probes of this node and of others."""

from abc import abstractmethod
from random import Random

from attrs import evolve

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.entries import is_live
from monsoonmill.decisions.members.known_member import FailureDetector, KnownMember
from monsoonmill.decisions.members.signals import MemberChanged, MembersChanged
from monsoonmill.decisions.members.table import MemberTable, UpdateQueue
from monsoonmill.decisions.signals import (
    AddressLearned,
    PeerDown,
    PeerUnreachable,
    Received,
    Send,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.messages import MemberGossip, ProbeReport, ProbeRequest
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import MemberSettings

INDIRECT_PROBES = 3


class FailureDetection(Decision, FailureDetector):
    """Doubts the nodes that neither this one nor others can reach.

    A node whose probe fails is probed by some others first, so that one cut
    link raises no doubt. A node that hears nobody doubts nobody.
    """

    def __init__(self, limits: MemberSettings, own: Member, rng: Random):
        self.limits = limits
        self.rng = rng
        self.timers = Timers()
        self._table = MemberTable(own)
        self._updates = UpdateQueue()
        self._changed: list[Member] = []
        self._out: list[Send] = []

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            PeerDown: self.on_peer_down,
            PeerUnreachable: self.on_peer_unreachable,
            ProbeRequest: self.on_probe_request,
            ProbeReport: self.on_probe_report,
        }

    @abstractmethod
    def gossip(self, answer, about=(), excluded=frozenset()) -> MemberGossip:
        """Return the news for one node."""

    def _heard_from(self, node, now):
        known = self._table.known.get(node)
        if known is None:
            return
        known.probed_at = None
        known.heard_at = now
        known.chart.send("heard", now)
        for asker in known.take_askers(now):
            yield Send(asker, ProbeReport(node))

    def _probe_results(self, now):
        limit_s = self.limits.probe_timeout_ms / 1000
        for known in list(self._table.known.values()):
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
        known = self._table.known.get(node)
        if known is not None:
            known.probed_at = None
            known.chart.send("probe_failed", now)
            yield from self._flush_changes()

    def ask_others(self, known: KnownMember, now: float) -> None:
        """Ask other nodes to probe a node."""
        others = [one for one in self._table.live() if one is not known]
        for relay in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
            request = ProbeRequest(known.member.node)
            self._out.append(Send(relay.member.node, request))

    def hears_any_but(self, known: KnownMember, now: float) -> bool:
        """Return whether other nodes are heard, or there are none."""
        others = [one for one in self._table.live() if one is not known]
        round_s = self.limits.gossip_ms / 1000
        since = now - 2 * round_s - self.limits.probe_timeout_ms / 1000
        return not others or any(one.heard_at > since for one in others)

    def on_probe_request(self, signal: Received, now):
        """Probe a node for another one."""
        known = self._table.known.get(signal.message.node)
        if known is not None and is_live(known.member):
            until = now + self.limits.probe_timeout_ms / 1000
            known.add_asker(signal.node, until)
            yield Send(known.member.node, self.gossip(answer=True))

    def on_probe_report(self, signal: Received, now):
        """Drop the beginning doubt about a node that answers another one."""
        known = self._table.known.get(signal.message.node)
        if known is not None:
            known.chart.send("vouched", now)
        return ()

    def replace(self, known: KnownMember, state: MemberState) -> None:
        """Give another node's entry a state that this node has found."""
        self._table.replace(known, evolve(known.member, state=state))
        self._updates.add(known.member.node)
        self._changed.append(known.member)

    def _flush_changes(self):
        out, self._out = self._out, []
        yield from out
        changed, self._changed = self._changed, []
        for member in changed:
            if member.node != self.own.node:
                yield AddressLearned(member.node, member.address, member.region)
                yield MemberChanged(member)
        if changed:
            yield MembersChanged()
