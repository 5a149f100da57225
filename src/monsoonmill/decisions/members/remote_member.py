"""Local record of another node, with the state chart of its failure detection."""

from abc import ABC, abstractmethod

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.timers import Timers
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import MemberSettings

PROBING = "probing"
SUSPICION = "suspicion"
REMOVAL = "forget"
"""Kind of the removal timer, whose duration is the setting ``forget_s``."""
TIMER_EVENTS = {PROBING: "indirect_probe_expired", SUSPICION: "suspicion_expired"}
MAX_PROBE_REQUESTERS = 16
"""Nodes on whose behalf one node is probed at the same time."""


class FailureDetector(ABC):
    """What a node's failure detection needs from the membership list."""

    timers: Timers
    limits: MemberSettings

    @abstractmethod
    def set_state(self, remote: "RemoteMember", state: MemberState) -> None:
        """Set the state of a node's entry and queue the change for gossip."""

    @abstractmethod
    def request_indirect_probes(self, remote: "RemoteMember", now: float) -> None:
        """Ask a few other nodes to probe a node."""

    @abstractmethod
    def has_contact_excluding(self, remote: "RemoteMember", now: float) -> bool:
        """Return whether any node but ``remote`` was in contact recently.

        Without such contact the local node itself may be isolated. The result is
        also true if no other node is known.
        """


@define(eq=False)
class RemoteMember:
    """Another node as seen from here; owner of its member chart.

    Attributes
    ----------
    last_contact_at : float
        When the last message came from the node itself.
    probe_sent_at : float or None
        When the unanswered direct probe was sent; None if there is none.
    probe_requesters : dict
        Nodes that asked for a probe of this node, with the time until which
        each waits for the report.
    """

    member: Member
    detector: FailureDetector
    chart: ChartInstance | None = None
    last_contact_at: float = float("-inf")
    probe_sent_at: float | None = None
    probe_requesters: dict[str, float] = field(factory=dict)

    def _set_timer(self, kind, due):
        self.detector.timers.set((kind, self.member.node), due)

    def _cancel_timer(self, kind):
        self.detector.timers.cancel((kind, self.member.node))

    def restart_timers(self, now: float) -> None:
        """Restart the probe and suspicion time-outs after a pause of this process."""
        self.probe_sent_at = None
        if self.chart.is_in("suspect"):
            self.start_suspicion_timer(now)
        elif self.chart.state.endswith(PROBING):
            self.start_indirect_probing(now)

    def add_probe_requester(self, node: str, until: float) -> None:
        """Register a node that waits for the result of a probe of this one."""
        if len(self.probe_requesters) < MAX_PROBE_REQUESTERS:
            self.probe_requesters[node] = until

    def take_probe_requesters(self, now: float) -> list[str]:
        """Remove all probe requesters and return those that still wait."""
        requesters, self.probe_requesters = self.probe_requesters, {}
        return [node for node, until in requesters.items() if until >= now]

    # Guards and actions.
    def has_contact_with_others(self, now):
        """Return whether the local node is in contact with any node but this one."""
        return self.detector.has_contact_excluding(self, now)

    def has_no_contact(self, now):
        """Return whether the local node itself may be isolated."""
        return not self.has_contact_with_others(now)

    def start_indirect_probing(self, now):
        """Ask other nodes to probe this one and start the time-out."""
        self._set_timer(PROBING, now + self.detector.limits.probe_timeout_ms / 1000)
        self.detector.request_indirect_probes(self, now)

    def stop_indirect_probing(self, now):
        """Cancel the time-out of the indirect probes."""
        self._cancel_timer(PROBING)

    def start_suspicion_timer(self, now):
        """Give the node time to refute the suspicion."""
        self._set_timer(SUSPICION, now + self.detector.limits.suspect_ms / 1000)

    def cancel_suspicion_timer(self, now):
        """Cancel the suspicion time-out."""
        self._cancel_timer(SUSPICION)

    def start_removal_timer(self, now):
        """Schedule the removal of the dead node's entry."""
        self._set_timer(REMOVAL, now + self.detector.limits.forget_s)

    def cancel_removal_timer(self, now):
        """Cancel the removal of the entry."""
        self._cancel_timer(REMOVAL)

    def mark_suspect(self, now):
        """Mark the node as suspect and gossip this."""
        self.detector.set_state(self, MemberState.SUSPECT)

    def mark_dead(self, now):
        """Mark the node as dead and gossip this."""
        self.detector.set_state(self, MemberState.DEAD)


MEMBER_CHART = bind_methods("member", RemoteMember)
