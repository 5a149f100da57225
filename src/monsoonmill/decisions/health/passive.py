"""Health of nodes, determined passively from regular traffic.

What makes a node unfit and how long it is ejected are separate settings. A slow
node is not a failed one: a node is unfit only if it breaks connections or
answers, or if it leaves several calls of one route without any answer for many
times its average latency. The node beside a backend server reports the share of
answers it recently lost, for all senders, since each of them alone sees too few.
"""

from math import inf

from monsoonmill.counters import Counters
from monsoonmill.decisions.health.health import Health
from monsoonmill.decisions.health.node_health import (
    HEALTH_CHART,
    MAX_ROUTES,
    EjectionRules,
    NodeHealth,
)
from monsoonmill.decisions.health.signals import AttemptObserved, AttemptStarted
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.timers import Timers
from monsoonmill.reasons import Outcome, Reason
from monsoonmill.settings import HealthSettings

EJECTIONS = "ejections"
FAILURES = frozenset((Reason.CONNECTION_LOST, Reason.BROKEN_ANSWER, Reason.UNREACHABLE))
LATENCY_WEIGHT = 0.1
"""Weight of one answer in the moving average of a route's latency."""
MIN_UNANSWERED = 3
"""Unanswered calls of a route from which a node can count as stalled."""
MIN_CHECK_INTERVAL_S = 0.1
MAX_CHECK_INTERVAL_S = 5.0
MAX_EJECTED_SHARE = 0.5


class PassiveHealth(Health, EjectionRules):
    """Ejects nodes whose recent attempts failed, for a limited time."""

    def __init__(self, cfg: HealthSettings, members: Membership, counters: Counters):
        self.limits = cfg
        self.timers = Timers()
        self._members = members
        self._counters = counters
        self._nodes: dict[str, NodeHealth] = {}
        self._latency_s: dict[str, float] = {}

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            AttemptStarted: self.on_attempt_started,
            MembersChanged: self.on_members_changed,
        }

    def next_due(self):
        """Return when the next ejection ends or the next stall check is due."""
        return self.timers.next_due()

    def is_ejected(self, node: str, now: float) -> bool:
        """Return whether a node currently receives no calls."""
        health = self._nodes.get(node)
        return health is not None and health.blocks_calls()

    def on_members_changed(self, signal, now):
        """Remove the nodes that are no longer live members."""
        live = {peer.node for peer in self._members.live()}
        for node in set(self._nodes) - live:
            del self._nodes[node]
        return ()

    def on_attempt_started(self, signal: AttemptStarted, now: float):
        """Count an attempt whose answer is outstanding."""
        health = self._health(signal.node)
        health.trials += health.chart.state == "half_open"
        attempts = health.route_attempts(signal.route, now)
        if attempts.unanswered == 0:
            attempts.since = now
        attempts.in_progress += 1
        key = (signal.node, signal.route)
        # A check that is already scheduled schedules the next one itself.
        if attempts.unanswered >= MIN_UNANSWERED and not self.timers.is_set(key):
            self._schedule_check(signal.node, signal.route, attempts, now)
        return ()

    def _schedule_check(self, node, route, attempts, now):
        stall_s = min(self.stall_timeout_s(route), MAX_CHECK_INTERVAL_S)
        self.timers.set(
            (node, route), max(attempts.since + stall_s, now + MIN_CHECK_INTERVAL_S)
        )

    def on_attempt_observed(self, signal: AttemptObserved, now: float):
        """Record an attempt that ended."""
        health = self._health(signal.node)
        health.end_attempt(signal.route, now - signal.elapsed_s)
        if self.is_answer(signal):
            self._record_answer(health, signal, now)
        elif self.is_failure(signal):
            health.record_failure(now - signal.elapsed_s, now)
        elif signal.timed_out and signal.outcome is not Outcome.NOT_RUN:
            health.route_attempts(signal.route, now).timed_out += 1
            health.record_timeout(now - signal.elapsed_s, now)
        if signal.unanswered >= self.limits.unanswered_ratio:
            health.chart.send("answers_lost", now)
        return ()

    def is_answer(self, signal: AttemptObserved) -> bool:
        """Return whether the backend server sent a complete answer."""
        return signal.outcome is Outcome.DONE and signal.reason is None

    def is_failure(self, signal: AttemptObserved) -> bool:
        """Return whether an attempt counts as a failure of its node."""
        return signal.reason in FAILURES and not signal.timed_out

    def _record_answer(self, health, signal, now):
        route = signal.route
        health.route_attempts(route, now).record_answer(now)
        latency_s = self._latency_s.get(route, signal.elapsed_s)
        if len(self._latency_s) >= MAX_ROUTES:
            self._latency_s.clear()
        difference_s = signal.elapsed_s - latency_s
        self._latency_s[route] = latency_s + LATENCY_WEIGHT * difference_s
        health.record_success(now)

    def stall_timeout_s(self, route: str) -> float:
        """Return the time without an answer after which a node counts as stalled.

        It is infinite until any node has answered a call of the route.
        """
        latency_s = self._latency_s.get(route, inf)
        floor_s = self.limits.stall_floor_ms / 1000
        return max(floor_s, self.limits.stall_factor * latency_s)

    def tick(self, now):
        """End the ejections that are due, and check routes without an answer."""
        for node, route in self.timers.pop_due(now):
            health = self._nodes.get(node)
            if health is None:
                continue
            if route is None:
                health.chart.send("ejection_expired", now)
            else:
                self._check_stall(health, route, now)
        return ()

    def _check_stall(self, health, route, now):
        attempts = health.routes.get(route)
        if attempts is None or attempts.unanswered < MIN_UNANSWERED:
            return
        if now - attempts.since >= self.stall_timeout_s(route):
            health.chart.send("stalled", now)
            attempts.since = now
        self._schedule_check(health.node, route, attempts, now)

    def may_eject(self, node: str) -> bool:
        """Return whether enough nodes of the same service remain."""
        member = self._members.find(node)
        if member is None:
            return False
        peers = [
            peer.node
            for peer in self._members.live()
            if peer.service == member.service and peer.accepts_calls
        ]
        unfit = sum(1 for peer in peers if peer != node and self._is_unfit(peer))
        return unfit + 1 <= MAX_EJECTED_SHARE * len(peers)

    def _is_unfit(self, node):
        health = self._nodes.get(node)
        return health is not None and not health.chart.is_in("fit")

    def count_ejection(self) -> None:
        """Count that a node was ejected."""
        self._counters.add(EJECTIONS)

    def _health(self, node):
        health = self._nodes.get(node)
        if health is None:
            health = NodeHealth.from_settings(node, self.limits, self)
            health.chart = HEALTH_CHART.start(health)
            self._nodes[node] = health
        return health

    def status(self):
        """Return the nodes that are not fit, with their states."""
        return {
            node: health.chart.state
            for node, health in self._nodes.items()
            if not health.chart.is_in("fit")
        }
