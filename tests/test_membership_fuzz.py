"""Stateful fuzzing of the membership gossip against simple oracles."""

from os import environ

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.members.entries import is_live, precedence
from monsoonmill.model import MemberState
from tests.fleet import FakeFleet

EXAMPLES = int(environ.get("MONSOON_FUZZ_EXAMPLES", "20"))
MAX_NODES = 6
SETTLE_S = 60
INDEX = st.integers(0, 5)


class MembershipMachine(RuleBasedStateMachine):
    """Nodes die, restart, pause and drain while links are cut and healed."""

    @initialize(size=st.integers(3, 5), seed=st.integers(1, 1000))
    def begin(self, size, seed):
        self.fleet = FakeFleet(seed=seed)
        self.ranks = {}
        self.left = {}
        for _ in range(size):
            self.fleet.add(service="donkeys")
        self.fleet.advance(3)

    def pick(self, index):
        nodes = list(self.fleet.nodes.values())
        return nodes[index % len(nodes)]

    @rule(index=INDEX)
    def kill(self, index):
        if len(self.fleet.nodes) > 2:
            self.forget_node(self.pick(index))
            self.fleet.kill(self.pick(index))

    @rule(index=INDEX)
    def restart(self, index):
        self.forget_node(self.pick(index))
        self.fleet.restart(self.pick(index), service="donkeys")

    def forget_node(self, node):
        self.ranks = {k: v for k, v in self.ranks.items() if k[0] != node.name}
        self.left.pop(node.name, None)

    @rule()
    def add(self):
        if len(self.fleet.nodes) < MAX_NODES:
            self.fleet.add(service="donkeys")

    @rule(one=INDEX, other=INDEX)
    def cut(self, one, other):
        names = frozenset((self.pick(one).name, self.pick(other).name))
        if len(names) == 2:
            self.fleet.cut_links.add(names)

    @rule(index=INDEX)
    def isolate(self, index):
        node = self.pick(index)
        for other in self.fleet.nodes:
            if other != node.name:
                self.fleet.cut_links.add(frozenset((node.name, other)))

    @rule()
    def heal(self):
        self.fleet.cut_links.clear()

    @rule(index=INDEX)
    def pause(self, index):
        self.fleet.pause(self.pick(index))

    @rule(index=INDEX)
    def resume(self, index):
        self.fleet.resume(self.pick(index))

    @rule(index=INDEX)
    def drain(self, index):
        node = self.pick(index)
        self.fleet.inject(node, DrainRequested())
        self.left[node.name] = node

    @rule(index=INDEX)
    def lapse(self, index):
        self.pick(index).backend_stopped = True

    @rule(index=INDEX)
    def announce(self, index):
        node = self.pick(index)
        node.backend_stopped = False
        self.fleet.announce(node, "donkeys")

    @rule(seconds=st.sampled_from((0.01, 0.3, 1.0, 3.0, 10.0)))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @invariant()
    def entries_never_go_back(self):
        for node in self.fleet.nodes.values():
            for member in node.core.members.members():
                key = (node.name, member.node)
                assert precedence(member) >= self.ranks.get(key, precedence(member))
                self.ranks[key] = precedence(member)

    @invariant()
    def nobody_but_the_owner_raises_a_version(self):
        for owner in self.fleet.nodes.values():
            own = owner.core.members.own
            for node in self.fleet.nodes.values():
                member = node.core.members.find(owner.name)
                if member is not None:
                    held = (member.incarnation, member.version)
                    assert held <= (own.incarnation, own.version)

    @invariant()
    def same_digest_means_same_list(self):
        lists = {}
        for node in self.fleet.nodes.values():
            live = {one.node: one for one in node.core.members.live()}
            assert lists.setdefault(node.core.members.digest, live) == live

    @invariant()
    def a_leaving_member_never_accepts_calls_again(self):
        for node in self.left.values():
            own = node.core.members.own
            if own.state is not MemberState.LEAVING:
                assert node.is_paused
                continue
            assert not own.accepts_calls
            for other in self.fleet.nodes.values():
                member = other.core.members.find(node.name)
                if member is not None and member.state is MemberState.LEAVING:
                    assert not member.accepts_calls

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.heal()
        for node in list(self.fleet.nodes.values()):
            self.fleet.resume(node)
        assert self.fleet.advance_until(self.agree, SETTLE_S, 0.5), self.describe()
        self.entries_never_go_back()
        self.same_digest_means_same_list()
        self.a_leaving_member_never_accepts_calls_again()

    def agree(self):
        own = {one.name: one.core.members.own for one in self.fleet.nodes.values()}
        return all(
            {one.node: one for one in node.core.members.live()} == own
            for node in self.fleet.nodes.values()
        ) and all(is_live(one) for one in own.values())

    def describe(self):
        return {
            name: [
                (one.node[-4:], one.version, one.state.value, one.accepts_calls)
                for one in node.core.members.members()
            ]
            for name, node in self.fleet.nodes.items()
        }


SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
)


def test_fuzz_membership():
    run_state_machine_as_test(MembershipMachine, settings=SETTINGS)
