"""When a node that has just started takes calls."""

from monsoonmill.decisions.lifecycle.signals import Ready
from tests.configs import small_config
from tests.fleet import FakeFleet


class ReadyFleet(FakeFleet):
    def __init__(self, **options):
        super().__init__(**options)
        self.ready_at = {}

    def _carry_out(self, node, signal):
        if isinstance(signal, Ready):
            known = len(list(node.core.members.live()))
            revision = node.core.view.config.revision
            self.ready_at[node.name] = (self.now, known, revision)
        super()._carry_out(node, signal)


def test_node_is_ready_once_it_knows_the_configuration_and_others():
    fleet = ReadyFleet()
    fleet.install(small_config())
    fleet.add()
    late = fleet.add()
    fleet.advance(2)
    at, known, revision = fleet.ready_at[late.name]
    assert known == 2
    assert revision == 1
    assert at - 1000 < 1


def test_node_that_hears_nothing_is_ready_in_the_end():
    fleet = ReadyFleet()
    fleet.platform.is_down = True
    lone = fleet.add()
    fleet.advance(5)
    assert lone.name in fleet.ready_at


def test_new_fleet_without_a_configuration_is_ready_soon():
    fleet = ReadyFleet()
    nodes = [fleet.add() for _ in range(3)]
    fleet.advance(1)
    assert len(fleet.ready_at) == len(nodes)
