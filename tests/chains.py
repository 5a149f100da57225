"""Chains of nested calls through a simulated fleet, in which every call fails."""

from itertools import count

from monsoonmill.decisions.calls.signals import (
    Answer,
    CallArrived,
    RunFailure,
    RunFinished,
)
from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.reasons import Outcome
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet

NOT_RUN = HttpResponse(503, (("Monsoon-Outcome", Outcome.NOT_RUN.value),))


class ChainFleet(FakeFleet):
    """A fleet in which each call makes nested calls down to a given depth.

    Each run above the last level makes ``fan_out`` nested calls at once, and fails
    when the last of them has failed. ``run_leaf`` returns the result at the last
    level.
    """

    def __init__(self, depth, fan_out=1, run_leaf=None, size=5, **sections):
        super().__init__(run=self._run_level, **sections)
        self.depth = depth
        self.fan_out = fan_out
        self.run_leaf = run_leaf or (lambda call: NOT_RUN)
        self.calls = 0
        self.runs_by_level = [0] * depth
        self._parents = {}
        self._pending = {}
        self._names = count(1)
        self.install(small_config())
        self.members = [self.add(service="donkeys") for _ in range(size)]
        assert self.advance_until(self._has_converged)

    def _has_converged(self):
        for node in self.members:
            live = [
                member for member in node.core.members.live() if member.accepts_calls
            ]
            if len(live) < len(self.members) or not node.core.view.config.revision:
                return False
        return True

    def start_chain(self, node):
        self.calls += 1
        return self.call(node, "donkeys", "/lookup/0", bearer=SECRET)

    @property
    def runs(self):
        return sum(self.runs_by_level)

    def _run_level(self, node, call):
        level = int(call.request.path.rpartition("/")[2])
        self.runs_by_level[level] += 1
        if level + 1 == self.depth:
            return self._finish_leaf(call)
        self._pending[call.attempt] = self.fan_out
        for _ in range(self.fan_out):
            self.schedule(0.001, lambda: self._call_nested(node, call, level + 1))
        return None

    def _finish_leaf(self, call):
        result = self.run_leaf(call)
        if isinstance(result, RunFailure):
            return 0.001, RunFinished(call.attempt, None, result)
        return 0.001, RunFinished(call.attempt, result, None, result is NOT_RUN)

    def _call_nested(self, node, call, level):
        name = f"nested-{next(self._names)}"
        self._parents[name] = (node, call)
        self.calls += 1
        request = HttpRequest("GET", f"/lookup/{level}")
        arrival = CallArrived(name, "donkeys", request, context=call.context)
        self.inject(node, arrival)

    def _carry_out(self, node, signal):
        super()._carry_out(node, signal)
        if isinstance(signal, Answer) and signal.call in self._parents:
            parent_node, call = self._parents.pop(signal.call)
            self._pending[call.attempt] -= 1
            if not self._pending[call.attempt]:
                finished = RunFinished(call.attempt, NOT_RUN, None, True)
                self.schedule(0.001, lambda: self.inject(parent_node, finished))
