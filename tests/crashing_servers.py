"""Backend servers that crash on a poison request, for the fake fleet."""

from collections import defaultdict

from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.model import HttpResponse

POISON = b"poison"
CRASH_DELAY_S = 0.01
"""Time from the start of a poison request to the crash."""


class CrashingServers:
    """Servers that lose all their requests when they run a poison request."""

    def __init__(self, latency_s=0.02, restart_s=1.0):
        self.latency_s = latency_s
        self.restart_s = restart_s
        self.crashes = []
        self.fleet = None
        self._running = defaultdict(set)
        self._down_until = defaultdict(float)

    def run(self, node, call):
        if self.fleet.now < self._down_until[node.name]:
            return 0.001, RunFinished(call.attempt, None, RunFailure.NOT_SENT)
        self._running[node.name].add(call.attempt)
        if POISON in call.request.body:
            self.fleet.schedule(CRASH_DELAY_S, lambda: self._crash(node))
        self.fleet.schedule(self.latency_s, lambda: self._finish(node, call))
        return None

    def _crash(self, node):
        lost, self._running[node.name] = self._running[node.name], set()
        if lost:
            self.crashes.append(node.name)
            self._down_until[node.name] = self.fleet.now + self.restart_s
        for attempt in sorted(lost):
            finished = RunFinished(attempt, None, RunFailure.CONNECTION_LOST)
            self.fleet.inject(node, finished)

    def _finish(self, node, call):
        if call.attempt in self._running[node.name]:
            self._running[node.name].remove(call.attempt)
            response = HttpResponse(200, (), call.request.body)
            self.fleet.inject(node, RunFinished(call.attempt, response, None))
