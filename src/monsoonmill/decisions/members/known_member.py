"""Another node as known here, and its failure detection."""

from abc import ABC, abstractmethod

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.timers import Timers
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import MemberSettings

PROBING = "probing"
SUSPICION = "suspicion"
FORGET = "forget"
TIMER_EVENTS = {PROBING: "probe_expired", SUSPICION: "suspicion_expired"}
MAX_ASKERS = 16
"""Nodes that one node probes another for at the same time."""


class FailureDetector(ABC):
    """What the detection of one node's failure needs of the whole list."""

    timers: Timers
    limits: MemberSettings

    @abstractmethod
    def replace(self, known: "KnownMember", state: MemberState) -> None:
        """Give another node's entry a state that this node has found."""

    @abstractmethod
    def ask_others(self, known: "KnownMember", now: float) -> None:
        """Ask other nodes to probe a node."""

    @abstractmethod
    def hears_any_but(self, known: "KnownMember", now: float) -> bool:
        """Return whether other nodes are heard, so that it is not this one's fault."""


@define(eq=False)
class KnownMember:
    """Another node as known here; owner of its member chart.

    Attributes
    ----------
    heard_at : float
        When the node itself was last heard.
    probed_at : float or None
        Since when its answer is awaited.
    askers : dict
        Nodes that want to know whether it answers, and until when.
    """

    member: Member
    detector: FailureDetector
    chart: ChartInstance | None = None
    heard_at: float = float("-inf")
    probed_at: float | None = None
    askers: dict[str, float] = field(factory=dict)

    def _set_timer(self, kind, due):
        self.detector.timers.set((kind, self.member.node), due)

    def _cancel_timer(self, kind):
        self.detector.timers.cancel((kind, self.member.node))

    def restart_timers(self, now: float) -> None:
        """Give the node its whole time again, after a pause of this one."""
        self.probed_at = None
        if self.chart.is_in("suspect"):
            self.start_suspicion(now)
        elif self.chart.state.endswith(PROBING):
            self.start_probing(now)

    def add_asker(self, node: str, until: float) -> None:
        """Remember a node to tell when this one is heard."""
        if len(self.askers) < MAX_ASKERS:
            self.askers[node] = until

    def take_askers(self, now: float) -> list[str]:
        """Return the nodes that still want to know, and forget them."""
        askers, self.askers = self.askers, {}
        return [node for node, until in askers.items() if until >= now]

    # Guards and actions.
    def hears_others(self, now):
        """Return whether the failure is not this node's own."""
        return self.detector.hears_any_but(self, now)

    def hears_nobody(self, now):
        """Return whether this node may be the one that is cut off."""
        return not self.hears_others(now)

    def start_probing(self, now):
        """Let others try to reach the node."""
        self._set_timer(PROBING, now + self.detector.limits.probe_timeout_ms / 1000)
        self.detector.ask_others(self, now)

    def end_probing(self, now):
        """Wait for others no more."""
        self._cancel_timer(PROBING)

    def start_suspicion(self, now):
        """Give the node some time to answer the doubt."""
        self._set_timer(SUSPICION, now + self.detector.limits.suspect_ms / 1000)

    def end_suspicion(self, now):
        """Stop the clock of the doubt."""
        self._cancel_timer(SUSPICION)

    def start_forgetting(self, now):
        """Forget the node after a while."""
        self._set_timer(FORGET, now + self.detector.limits.forget_s)

    def end_forgetting(self, now):
        """Keep the node."""
        self._cancel_timer(FORGET)

    def spread_suspicion(self, now):
        """Tell others of the doubt."""
        self.detector.replace(self, MemberState.SUSPECT)

    def spread_death(self, now):
        """Tell others that the node is gone."""
        self.detector.replace(self, MemberState.DEAD)


MEMBER_CHART = bind_methods("member", KnownMember)
