"""Hypothesis state machine: random histories of a fleet with claims."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from monsoonmill.decisions.calls.signals import RunFailure
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from tests.claims_fleet import ClaimsFleet

MAX_NODES = 7
KEYS = st.sampled_from(("a", "b", "c"))
NODES = st.integers(0, MAX_NODES - 1)
WAITS_S = st.sampled_from((0.0, 0.02, 0.3, 1.0, 3.0, 8.0))


class ClaimsMachine(RuleBasedStateMachine):
    """Repeats calls while nodes, links, backend servers and the platform fail."""

    fleet_class = ClaimsFleet

    def __init__(self):
        super().__init__()
        self.fleet = None

    @initialize(size=st.integers(1, 6), seed=st.integers(1, 1000))
    def start_fleet(self, size, seed):
        self.fleet = self.fleet_class(size, seed=seed)
        self.fleet.advance(5)

    def node(self, number):
        nodes = list(self.fleet.nodes.values())
        return nodes[number % len(nodes)]

    def holder(self, key, is_primary):
        """Return a live holder of a key's claim, if there is one."""
        record = self.fleet.record_of(key)
        if record is None:
            return None
        holder = record.primary if is_primary else record.backup
        return self.fleet.nodes.get(holder.node) if holder else None

    # Calls.
    @rule(key=KEYS, number=NODES, wait_s=WAITS_S)
    def send(self, key, number, wait_s):
        self.fleet.send_call(self.node(number), key)
        self.fleet.advance(wait_s)

    @rule(key=KEYS, wait_s=WAITS_S)
    def send_to_all(self, key, wait_s):
        for node in list(self.fleet.nodes.values()):
            self.fleet.send_call(node, key)
        self.fleet.advance(wait_s)

    @rule(
        key=KEYS,
        number=NODES,
        failure=st.sampled_from(
            (RunFailure.CONNECTION_LOST, RunFailure.NOT_SENT, RunFailure.TIMED_OUT)
        ),
    )
    def send_and_lose_response(self, key, number, failure):
        self.fleet.failure = failure
        self.fleet.send_call(self.node(number), key)
        self.fleet.advance(0.5)
        self.fleet.failure = None

    @rule(delay_s=st.sampled_from((0.01, 0.01, 1.0, 4.0)))
    def change_speed(self, delay_s):
        self.fleet.delay_s = delay_s

    # Hosts.
    @rule(number=NODES, wait_s=WAITS_S)
    def kill(self, number, wait_s):
        if len(self.fleet.nodes) > 1:
            self.fleet.kill(self.node(number))
            self.fleet.advance(wait_s)

    @rule(key=KEYS, is_primary=st.booleans(), wait_s=WAITS_S)
    def kill_holder(self, key, is_primary, wait_s):
        node = self.holder(key, is_primary)
        if node is not None and len(self.fleet.nodes) > 1:
            self.fleet.kill(node)
            self.fleet.advance(wait_s)

    @rule(number=NODES, wait_s=WAITS_S)
    def restart(self, number, wait_s):
        node = self.node(number)
        self.fleet.kill(node)
        self.fleet.advance(0.01)
        self.fleet.add_host(port=node.address.port)
        self.fleet.advance(wait_s)

    @rule(wait_s=WAITS_S)
    def add(self, wait_s):
        if len(self.fleet.nodes) < MAX_NODES:
            self.fleet.add_host()
            self.fleet.advance(wait_s)

    @rule(number=NODES, limit_s=st.sampled_from((2.0, 10.0)))
    def replace(self, number, limit_s):
        node = self.node(number)
        self.fleet.add_host()
        self.fleet.advance(1.0)
        self.fleet.inject(node, DrainRequested())
        self.fleet.advance_until(lambda: node.drained, limit_s)
        self.fleet.kill(node)

    @rule(number=NODES, wait_s=WAITS_S)
    def pause(self, number, wait_s):
        self.fleet.pause(self.node(number))
        self.fleet.advance(wait_s)

    @rule()
    def resume(self):
        for node in list(self.fleet.nodes.values()):
            if node.is_paused:
                self.fleet.resume(node)

    # Links and the platform.
    @rule(key=KEYS)
    def cut_pair(self, key):
        record = self.fleet.record_of(key)
        if record is not None and record.backup is not None:
            self.fleet.cut_links.add(
                frozenset((record.primary.node, record.backup.node))
            )

    @rule(
        numbers=st.sets(NODES, min_size=1, max_size=3),
        hides_platform=st.booleans(),
        wait_s=WAITS_S,
    )
    def split(self, numbers, hides_platform, wait_s):
        isolated = {self.node(number).name for number in numbers}
        for node in isolated:
            for other in set(self.fleet.nodes) - isolated:
                self.fleet.cut_links.add(frozenset((node, other)))
        if hides_platform:
            self.fleet.platform_unreachable_from |= isolated
        self.fleet.advance(wait_s)

    @rule(is_down=st.booleans(), wait_s=WAITS_S)
    def fail_platform(self, is_down, wait_s):
        self.fleet.platform.is_down = is_down
        self.fleet.platform.drops_answers = not is_down
        self.fleet.advance(wait_s)

    @rule(wait_s=WAITS_S)
    def heal(self, wait_s):
        self.fleet.cut_links.clear()
        self.fleet.platform_unreachable_from.clear()
        self.fleet.platform.is_down = False
        self.fleet.platform.drops_answers = False
        self.resume()
        self.fleet.advance(wait_s)

    @rule(seconds=st.sampled_from((1.0, 5.0, 25.0)))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @invariant()
    def no_violations(self):
        if self.fleet is not None:
            self.fleet.assert_no_violations()
