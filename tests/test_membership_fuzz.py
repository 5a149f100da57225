"""Stateful property-based tests of the membership gossip."""

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
CONVERGENCE_LIMIT_S = 60
INDEX = st.integers(0, 5)


class MembershipMachine(RuleBasedStateMachine):
    """Kills, restarts, pauses and drains nodes while links break and recover."""

    @initialize(size=st.integers(3, 5), seed=st.integers(1, 1000))
    def start_fleet(self, size, seed):
        self.fleet = FakeFleet(seed=seed)
        self.precedences = {}
        self.drained = {}
        for _ in range(size):
            self.fleet.add(service="donkeys")
        self.fleet.advance(3)

    def pick(self, index):
        nodes = list(self.fleet.nodes.values())
        return nodes[index % len(nodes)]

    @rule(index=INDEX)
    def kill(self, index):
        if len(self.fleet.nodes) > 2:
            self.drop_history(self.pick(index))
            self.fleet.kill(self.pick(index))

    @rule(index=INDEX)
    def restart(self, index):
        self.drop_history(self.pick(index))
        self.fleet.restart(self.pick(index), service="donkeys")

    def drop_history(self, node):
        self.precedences = {
            key: value for key, value in self.precedences.items() if key[0] != node.name
        }
        self.drained.pop(node.name, None)

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
        self.drained[node.name] = node

    @rule(index=INDEX)
    def stop_backend(self, index):
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
    def entry_precedence_never_decreases(self):
        for node in self.fleet.nodes.values():
            for member in node.core.members.members():
                key = (node.name, member.node)
                assert precedence(member) >= self.precedences.get(
                    key, precedence(member)
                )
                self.precedences[key] = precedence(member)

    @invariant()
    def only_the_owner_raises_a_version(self):
        for owner in self.fleet.nodes.values():
            own = owner.core.members.own
            for node in self.fleet.nodes.values():
                member = node.core.members.find(owner.name)
                if member is not None:
                    held = (member.incarnation, member.version)
                    assert held <= (own.incarnation, own.version)

    @invariant()
    def equal_digests_imply_equal_lists(self):
        lists = {}
        for node in self.fleet.nodes.values():
            live = {member.node: member for member in node.core.members.live()}
            assert lists.setdefault(node.core.members.digest, live) == live

    @invariant()
    def leaving_member_never_accepts_calls(self):
        for node in self.drained.values():
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
        assert self.fleet.advance_until(self.is_converged, CONVERGENCE_LIMIT_S, 0.5), (
            self.describe_entries()
        )
        self.entry_precedence_never_decreases()
        self.equal_digests_imply_equal_lists()
        self.leaving_member_never_accepts_calls()

    def is_converged(self):
        own = {node.name: node.core.members.own for node in self.fleet.nodes.values()}
        return all(
            {member.node: member for member in node.core.members.live()} == own
            for node in self.fleet.nodes.values()
        ) and all(is_live(member) for member in own.values())

    def describe_entries(self):
        return {
            name: [
                (
                    member.node[-4:],
                    member.version,
                    member.state.value,
                    member.accepts_calls,
                )
                for member in node.core.members.members()
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
