"""Random histories of a fleet that takes pledges, for Hypothesis."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from monsoonmill.decisions.signals import DrainRequested, RunFailure
from tests.claims_fleet import RETENTION_S, ClaimsFleet

MAX_NODES = 7
KEYS = ("a", "b", "c")
PAUSES_S = (0.05, 0.3, 1.0, 3.0, 8.0, 25.0)
LONGEST_PAUSE_S = RETENTION_S / 4


class ClaimsMachine(RuleBasedStateMachine):
    """Sends and re-sends keys while everything around them fails."""

    def __init__(self):
        super().__init__()
        self.fleet = None
        self.paused_at = {}

    @initialize(size=st.integers(1, 5), seed=st.integers(1, 1000))
    def begin(self, size, seed):
        self.fleet = ClaimsFleet(size, seed=seed)
        self.fleet.advance(4)

    def node(self, number):
        nodes = list(self.fleet.nodes.values())
        return nodes[number % len(nodes)]

    @rule(key=st.sampled_from(KEYS), numbers=st.lists(st.integers(0, 6), min_size=1))
    def send(self, key, numbers):
        for number in numbers[:4]:
            self.fleet.pledge(self.node(number), key)

    @rule(number=st.integers(0, 6))
    def kill(self, number):
        if len(self.fleet.nodes) > 1:
            self.fleet.kill(self.node(number))

    @rule(number=st.integers(0, 6))
    def restart(self, number):
        node = self.node(number)
        self.fleet.kill(node)
        self.fleet.now += 0.01
        self.fleet.add_server(port=node.address.port)

    @rule()
    def add(self):
        if len(self.fleet.nodes) < MAX_NODES:
            self.fleet.add_server()

    @rule(number=st.integers(0, 6), limit_s=st.sampled_from((2.0, 10.0)))
    def drain(self, number, limit_s):
        node = self.node(number)
        if len(self.fleet.nodes) > 1 and not node.is_paused:
            self.fleet.give(node, DrainRequested())
            self.fleet.advance_until(lambda: node.drained, limit_s)
            self.fleet.kill(node)

    @rule(numbers=st.sets(st.integers(0, 6), min_size=1, max_size=4))
    def split(self, numbers):
        inside = {self.node(number).name for number in numbers}
        for one in inside:
            for other in set(self.fleet.nodes) - inside:
                self.fleet.cut.add(frozenset((one, other)))

    @rule()
    def heal(self):
        self.fleet.cut.clear()
        self.fleet.hides_platform_from.clear()

    @rule(number=st.integers(0, 6))
    def hide_platform(self, number):
        self.fleet.hides_platform_from.add(self.node(number).name)

    @rule(is_down=st.booleans(), loses=st.booleans())
    def change_platform(self, is_down, loses):
        self.fleet.platform.is_down = is_down
        self.fleet.platform.loses_answers = loses

    @rule(
        failure=st.sampled_from(
            (None, None, RunFailure.CONNECTION_LOST, RunFailure.NOT_SENT)
        ),
        delay_s=st.sampled_from((0.01, 0.5, 4.0, 30.0)),
    )
    def change_backend(self, failure, delay_s):
        self.fleet.backend = failure
        self.fleet.delay_s = delay_s

    @rule(number=st.integers(0, 6))
    def pause(self, number):
        node = self.node(number)
        self.fleet.pause(node)
        self.paused_at[node.name] = self.fleet.now

    @rule()
    def resume(self):
        self._resume_since(self.fleet.now)

    def _resume_since(self, limit):
        for node in list(self.fleet.nodes.values()):
            if node.is_paused and self.paused_at[node.name] <= limit:
                self.fleet.resume(node)

    @rule(seconds=st.sampled_from(PAUSES_S))
    def wait(self, seconds):
        self._resume_since(self.fleet.now + seconds - LONGEST_PAUSE_S)
        self.fleet.advance(seconds)

    @invariant()
    def nothing_ran_twice(self):
        if self.fleet is not None:
            self.fleet.check()
