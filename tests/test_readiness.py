"""Readiness of a node that has just started."""

from monsoonmill.decisions.lifecycle.signals import Ready
from tests.configs import small_config
from tests.fleet import FakeFleet


class ReadinessFleet(FakeFleet):
    def __init__(self, **options):
        super().__init__(**options)
        self.ready_at = {}

    def _carry_out(self, node, signal):
        if isinstance(signal, Ready):
            known = len(list(node.core.members.live()))
            revision = node.core.view.config.revision
            self.ready_at[node.name] = (self.now, known, revision)
        super()._carry_out(node, signal)


def test_node_is_ready_once_it_knows_the_configuration_and_other_nodes():
    fleet = ReadinessFleet()
    fleet.install(small_config())
    fleet.add()
    second = fleet.add()
    fleet.advance(2)
    ready_at, known, revision = fleet.ready_at[second.name]
    assert known == 2
    assert revision == 1
    assert ready_at - 1000 < 1


def test_isolated_node_is_ready_after_the_start_timeout():
    fleet = ReadinessFleet()
    fleet.platform.is_down = True
    isolated = fleet.add()
    fleet.advance(5)
    assert isolated.name in fleet.ready_at


def test_new_fleet_without_a_configuration_is_ready_within_a_second():
    fleet = ReadinessFleet()
    nodes = [fleet.add() for _ in range(3)]
    fleet.advance(1)
    assert len(fleet.ready_at) == len(nodes)
