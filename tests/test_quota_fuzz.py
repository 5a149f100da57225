"""Random calls and faults, checked against one bucket for the whole fleet."""

from os import environ

from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from hypothesis.strategies import integers, sampled_from

from monsoonmill.decisions.lifecycle.signals import DrainRequested
from tests.quota_fleet import FAST_TERMS, QuotaFleet

EXAMPLES = int(environ.get("MONSOON_FUZZ_EXAMPLES", "32"))
SIZE = 4
NODE_NUMBERS = integers(0, 99)
LATENCIES_S = (0.001, 0.03, 0.2, 1.5)


class QuotaMachine(RuleBasedStateMachine):
    """The oracle raises at the first token granted over the limit."""

    policy = "escrow"

    @initialize(seed=integers(1, 1000))
    def start_fleet(self, seed):
        sections = {"policy": {"quota": self.policy}, "quota": FAST_TERMS}
        self.fleet = QuotaFleet(seed=seed, **sections)
        for _ in range(SIZE):
            self.fleet.add()
        self.fleet.advance(3)

    def choose_node(self, number, paused=False):
        nodes = list((self.fleet.paused if paused else self.fleet.nodes).values())
        return nodes[number % len(nodes)] if nodes else None

    @rule(number=NODE_NUMBERS, calls=integers(1, 30))
    def call(self, number, calls):
        if node := self.choose_node(number):
            self.fleet.request_tokens(node, calls=calls)

    @rule(seconds=sampled_from((0.05, 0.4, 1.0, 2.1)), factor=sampled_from((0.5, 4)))
    def drive(self, seconds, factor):
        nodes = list(self.fleet.nodes.values())
        if nodes:
            choose_from = self.fleet.rng.choice
            self.fleet.drive(
                seconds, 20 * factor, lambda now: choose_from(nodes), step_s=0.05
            )

    @rule(seconds=sampled_from((0.01, 0.3, 1.0, 2.0, 5.0, 25.0)))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @rule(latency_s=sampled_from(LATENCIES_S))
    def change_latency(self, latency_s):
        self.fleet.latency_s = latency_s

    @rule(first=NODE_NUMBERS, second=NODE_NUMBERS)
    def cut_link(self, first, second):
        pair = frozenset((self.choose_node(first), self.choose_node(second)))
        if len(pair) == 2 and None not in pair:
            self.fleet.cut_links.add(frozenset(node.name for node in pair))

    @rule()
    def restore_links(self):
        self.fleet.cut_links.clear()

    @rule(number=NODE_NUMBERS)
    def restart(self, number):
        if node := self.choose_node(number):
            self.fleet.restart(node)

    @rule(number=NODE_NUMBERS)
    def replace(self, number):
        """Kill a node and start one at another address."""
        if len(self.fleet.nodes) > 1:
            self.fleet.kill(self.choose_node(number))
            self.fleet.add()

    @rule(number=NODE_NUMBERS)
    def pause(self, number):
        if len(self.fleet.nodes) > 1:
            self.fleet.pause(self.choose_node(number))

    @rule(number=NODE_NUMBERS)
    def resume(self, number):
        if node := self.choose_node(number, paused=True):
            self.fleet.resume(node)

    @rule(is_down=sampled_from((False, True)))
    def set_platform_down(self, is_down):
        self.fleet.platform.is_down = is_down

    @rule(drops=sampled_from((False, True)))
    def set_platform_drops_answers(self, drops):
        self.fleet.platform.drops_answers = drops

    @rule(rate=sampled_from((5.0, 20.0, 60.0)), burst=sampled_from((2.0, 10.0, 40.0)))
    def change_rate(self, rate, burst):
        self.fleet.expire_old_limits()
        self.fleet.change_rate(rate, burst)

    @rule(number=NODE_NUMBERS)
    def drain(self, number):
        if len(self.fleet.nodes) > 1 and (node := self.choose_node(number)):
            self.fleet.inject(node, DrainRequested())

    @rule(number=NODE_NUMBERS)
    def add(self, number):
        if len(self.fleet.nodes) + len(self.fleet.paused) < 2 * SIZE:
            self.fleet.add()


FUZZ_SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class FixedSlicesMachine(QuotaMachine):
    policy = "fixed-slices"


class SingleHolderMachine(QuotaMachine):
    policy = "single-holder"


TestFuzzEscrow = QuotaMachine.TestCase
TestFuzzEscrow.settings = FUZZ_SETTINGS
TestFuzzFixedSlices = FixedSlicesMachine.TestCase
TestFuzzFixedSlices.settings = settings(FUZZ_SETTINGS, max_examples=EXAMPLES // 4)
TestFuzzSingleHolder = SingleHolderMachine.TestCase
TestFuzzSingleHolder.settings = settings(FUZZ_SETTINGS, max_examples=EXAMPLES // 4)
