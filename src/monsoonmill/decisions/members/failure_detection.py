"""Failure detection by direct probes and by indirect probes through other nodes."""

from abc import abstractmethod
from random import Random

from attrs import evolve

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.entries import is_live
from monsoonmill.decisions.members.remote_member import FailureDetector, RemoteMember
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

INDIRECT_PROBE_COUNT = 3


class FailureDetection(Decision, FailureDetector):
    """Marks nodes as suspect that answer neither direct nor indirect probes.

    After a failed direct probe, a few other nodes probe the target, so that a
    single broken link does not make it suspect. A node that has no contact
    with any other node marks none as suspect, because it may be isolated itself.
    """

    def __init__(self, limits: MemberSettings, own: Member, rng: Random):
        self.limits = limits
        self.rng = rng
        self.timers = Timers()
        self._table = MemberTable(own)
        self._updates = UpdateQueue()
        self._changed_members: list[Member] = []
        self._outgoing: list[Send] = []

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
        """Return the gossip message for one node."""

    def _record_contact(self, node, now):
        remote = self._table.remotes.get(node)
        if remote is None:
            return
        remote.probe_sent_at = None
        remote.last_contact_at = now
        remote.chart.send("contact_made", now)
        for requester in remote.take_probe_requesters(now):
            yield Send(requester, ProbeReport(node))

    def _expire_probes(self, now):
        timeout_s = self.limits.probe_timeout_ms / 1000
        for remote in list(self._table.remotes.values()):
            if (
                remote.probe_sent_at is not None
                and now - remote.probe_sent_at > timeout_s
            ):
                remote.probe_sent_at = None
                remote.chart.send("direct_probe_failed", now)
        yield from self._publish_changes()

    def on_peer_unreachable(self, signal, now):
        """Count a refused connection as a failed direct probe."""
        yield from self._fail_direct_probe(signal.node, now)

    def on_peer_down(self, signal, now):
        """Count a broken stream as a failed direct probe."""
        yield from self._fail_direct_probe(signal.node, now)

    def _fail_direct_probe(self, node, now):
        remote = self._table.remotes.get(node)
        if remote is not None:
            remote.probe_sent_at = None
            remote.chart.send("direct_probe_failed", now)
            yield from self._publish_changes()

    def request_indirect_probes(self, remote: RemoteMember, now: float) -> None:
        """Ask a few randomly chosen nodes to probe a node."""
        others = [other for other in self._table.live() if other is not remote]
        for prober in self.rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others))):
            request = ProbeRequest(remote.member.node)
            self._outgoing.append(Send(prober.member.node, request))

    def has_contact_excluding(self, remote: RemoteMember, now: float) -> bool:
        """Return whether any node but ``remote`` was in contact recently.

        The result is also true if no other node is known.
        """
        others = [other for other in self._table.live() if other is not remote]
        interval_s = self.limits.gossip_ms / 1000
        since = now - 2 * interval_s - self.limits.probe_timeout_ms / 1000
        return not others or any(other.last_contact_at > since for other in others)

    def on_probe_request(self, signal: Received, now):
        """Probe a node on behalf of the sender."""
        remote = self._table.remotes.get(signal.message.node)
        if remote is not None and is_live(remote.member):
            until = now + self.limits.probe_timeout_ms / 1000
            remote.add_probe_requester(signal.node, until)
            yield Send(remote.member.node, self.gossip(answer=True))

    def on_probe_report(self, signal: Received, now):
        """End the indirect probing of a node that has answered another node."""
        remote = self._table.remotes.get(signal.message.node)
        if remote is not None:
            remote.chart.send("indirect_probe_answered", now)
        return ()

    def set_state(self, remote: RemoteMember, state: MemberState) -> None:
        """Set the state of a node's entry and queue the change for gossip."""
        self._table.replace(remote, evolve(remote.member, state=state))
        self._updates.add(remote.member.node)
        self._changed_members.append(remote.member)

    def _publish_changes(self):
        out, self._outgoing = self._outgoing, []
        yield from out
        changed, self._changed_members = self._changed_members, []
        for member in changed:
            if member.node != self.own.node:
                yield AddressLearned(
                    member.node, member.address, member.region, member.data_centre
                )
                yield MemberChanged(member)
        if changed:
            yield MembersChanged()
