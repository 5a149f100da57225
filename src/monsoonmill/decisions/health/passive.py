"""Judgement of nodes by the traffic that flows anyway.

What makes a node unfit and how long it stays out are separate settings. Slow
is not dead: only a node that breaks connections or answers, or that leaves
several calls of one route without any answer for many times their usual time,
is unfit. The node beside a backend server tells how many answers it lost lately,
for all senders, since each of them alone sees too few.
"""

from math import inf

from monsoonmill.counters import Counters
from monsoonmill.decisions.health.health import Health
from monsoonmill.decisions.health.judgement import (
    HEALTH_CHART,
    MAX_ROUTES,
    Judge,
    Judgement,
)
from monsoonmill.decisions.health.signals import AttemptObserved, AttemptStarted
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.timers import Timers
from monsoonmill.reasons import Outcome, Reason
from monsoonmill.settings import HealthSettings

EJECTIONS = "ejections"
FAILURES = frozenset((Reason.CONNECTION_LOST, Reason.BROKEN_ANSWER, Reason.UNREACHABLE))
USUAL_TIME_WEIGHT = 0.1
"""Weight of one answer in a route's usual time."""
MIN_WAITING = 3
"""So many calls of a route must wait in vain before a node counts as stalled."""
MIN_LOOK_AGAIN_S = 0.1
MAX_LOOK_AGAIN_S = 5.0
MAX_EJECTED_SHARE = 0.5


class PassiveHealth(Health, Judge):
    """Ejects nodes whose recent attempts failed, for a while."""

    def __init__(self, cfg: HealthSettings, members: Membership, counters: Counters):
        self.limits = cfg
        self.timers = Timers()
        self._members = members
        self._counters = counters
        self._judgements: dict[str, Judgement] = {}
        self._usual_s: dict[str, float] = {}

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            AttemptStarted: self.on_attempt_started,
            MembersChanged: self.on_members_changed,
        }

    def next_due(self):
        """Return when the next rest or wait ends."""
        return self.timers.next_due()

    def is_ejected(self, node: str, now: float) -> bool:
        """Return whether a node gets no calls at present."""
        judgement = self._judgements.get(node)
        return judgement is not None and judgement.refuses_calls()

    def on_members_changed(self, signal, now):
        """Forget the nodes that are gone."""
        live = {one.node for one in self._members.live()}
        for node in set(self._judgements) - live:
            del self._judgements[node]
        return ()

    def on_attempt_started(self, signal: AttemptStarted, now: float):
        """Begin to wait for an answer."""
        judgement = self._judgement(signal.node)
        judgement.trials += judgement.chart.state == "half_open"
        wait = judgement.wait_for(signal.route, now)
        if wait.unanswered == 0:
            wait.since = now
        wait.outstanding += 1
        key = (signal.node, signal.route)
        # A look that is already due finds out itself when to look again.
        if wait.unanswered >= MIN_WAITING and not self.timers.is_set(key):
            self._await_answer(signal.node, signal.route, wait, now)
        return ()

    def _await_answer(self, node, route, wait, now):
        stall_s = min(self.stall_s(route), MAX_LOOK_AGAIN_S)
        self.timers.set(
            (node, route), max(wait.since + stall_s, now + MIN_LOOK_AGAIN_S)
        )

    def on_attempt_observed(self, signal: AttemptObserved, now: float):
        """Take one attempt's end into account."""
        judgement = self._judgement(signal.node)
        judgement.end_attempt(signal.route, now - signal.elapsed_s)
        if self.is_answer(signal):
            self._note_answer(judgement, signal, now)
        elif self.is_failure(signal):
            judgement.fail(now - signal.elapsed_s, now)
        elif signal.timed_out and signal.outcome is not Outcome.NOT_RUN:
            judgement.wait_for(signal.route, now).in_vain += 1
            judgement.miss(now - signal.elapsed_s, now)
        if signal.unanswered >= self.limits.unanswered_ratio:
            judgement.chart.send("losing", now)
        return ()

    def is_answer(self, signal: AttemptObserved) -> bool:
        """Return whether the backend server gave a whole answer."""
        return signal.outcome is Outcome.DONE and signal.reason is None

    def is_failure(self, signal: AttemptObserved) -> bool:
        """Return whether an attempt's end speaks against its node."""
        return signal.reason in FAILURES and not signal.timed_out

    def _note_answer(self, judgement, signal, now):
        route = signal.route
        judgement.wait_for(route, now).answer(now)
        usual_s = self._usual_s.get(route, signal.elapsed_s)
        if len(self._usual_s) >= MAX_ROUTES:
            self._usual_s.clear()
        gap_s = signal.elapsed_s - usual_s
        self._usual_s[route] = usual_s + USUAL_TIME_WEIGHT * gap_s
        judgement.succeed(now)

    def stall_s(self, route: str) -> float:
        """Return after what time without an answer a node counts as stalled.

        Nothing is known of a route before its first answer from any node.
        """
        usual_s = self._usual_s.get(route, inf)
        floor_s = self.limits.stall_floor_ms / 1000
        return max(floor_s, self.limits.stall_factor * usual_s)

    def tick(self, now):
        """End the rests, and look at the routes without an answer."""
        for node, route in self.timers.pop_due(now):
            judgement = self._judgements.get(node)
            if judgement is None:
                continue
            if route is None:
                judgement.chart.send("rested", now)
            else:
                self._check_stall(judgement, route, now)
        return ()

    def _check_stall(self, judgement, route, now):
        wait = judgement.waits.get(route)
        if wait is None or wait.unanswered < MIN_WAITING:
            return
        if now - wait.since >= self.stall_s(route):
            judgement.chart.send("stalled", now)
            wait.since = now
        self._await_answer(judgement.node, route, wait, now)

    def may_eject(self, node: str) -> bool:
        """Return whether enough nodes of the same service remain."""
        member = self._members.find(node)
        if member is None:
            return False
        peers = [
            one.node
            for one in self._members.live()
            if one.service == member.service and one.accepts_calls
        ]
        out = sum(1 for one in peers if one != node and self._is_out(one))
        return out + 1 <= MAX_EJECTED_SHARE * len(peers)

    def _is_out(self, node):
        judgement = self._judgements.get(node)
        return judgement is not None and not judgement.chart.is_in("fit")

    def count_ejection(self) -> None:
        """Count that a node was ejected."""
        self._counters.add(EJECTIONS)

    def _judgement(self, node):
        judgement = self._judgements.get(node)
        if judgement is None:
            judgement = Judgement.from_settings(node, self.limits, self)
            judgement.chart = HEALTH_CHART.start(judgement)
            self._judgements[node] = judgement
        return judgement

    def status(self):
        """Return the nodes that are not fit, and how they stand."""
        return {
            node: one.chart.state
            for node, one in self._judgements.items()
            if not one.chart.is_in("fit")
        }
