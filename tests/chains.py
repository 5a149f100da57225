"""Chains of nested calls through a fake fleet, in which every hop fails."""

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
    """Each backend server calls the next one below and fails with it.

    ``fan_out`` calls go down from each level at once; a level above the leaf
    fails when the last of them has failed.
    """

    def __init__(self, depth, fan_out=1, leaf_end=None, size=5, **sections):
        super().__init__(run=self._run_level, **sections)
        self.depth = depth
        self.fan_out = fan_out
        self.leaf_end = leaf_end or (lambda call: NOT_RUN)
        self.calls = 0
        self.runs_by_level = [0] * depth
        self._parents = {}
        self._pending = {}
        self._names = count(1)
        self.install(small_config())
        self.members = [self.add(service="donkeys") for _ in range(size)]
        assert self.advance_until(self._is_settled)

    def _is_settled(self):
        for node in self.members:
            live = [one for one in node.core.members.live() if one.accepts_calls]
            if len(live) < len(self.members) or not node.core.view.config.revision:
                return False
        return True

    def start(self, node):
        self.calls += 1
        return self.call(node, "donkeys", "/lookup/0", bearer=SECRET)

    @property
    def runs(self):
        return sum(self.runs_by_level)

    def _run_level(self, node, call):
        level = int(call.request.path.rpartition("/")[2])
        self.runs_by_level[level] += 1
        if level + 1 == self.depth:
            return self._leaf(call)
        self._pending[call.attempt] = self.fan_out
        for _ in range(self.fan_out):
            self.schedule(0.001, lambda: self._call_down(node, call, level + 1))
        return None

    def _leaf(self, call):
        end = self.leaf_end(call)
        if isinstance(end, RunFailure):
            return 0.001, RunFinished(call.attempt, None, end)
        return 0.001, RunFinished(call.attempt, end, None, end is NOT_RUN)

    def _call_down(self, node, call, level):
        name = f"nested-{next(self._names)}"
        self._parents[name] = (node, call)
        self.calls += 1
        request = HttpRequest("GET", f"/lookup/{level}")
        arrived = CallArrived(name, "donkeys", request, context=call.context)
        self.inject(node, arrived)

    def _carry_out(self, node, signal):
        super()._carry_out(node, signal)
        if isinstance(signal, Answer) and signal.call in self._parents:
            parent_node, call = self._parents.pop(signal.call)
            self._pending[call.attempt] -= 1
            if not self._pending[call.attempt]:
                finished = RunFinished(call.attempt, NOT_RUN, None, True)
                self.schedule(0.001, lambda: self.inject(parent_node, finished))
