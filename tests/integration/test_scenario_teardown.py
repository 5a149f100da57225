"""Scenarios leave nothing running, also when they fail."""

from threading import enumerate as running_threads

from attrs import define, field

from monsoonmill.load.launcher import free_port
from tests.integration.conftest import World
from tests.integration.load import Load, Plan


@define
class GoneHost:
    """A host at which nobody listens."""

    name: str = "gone"
    call_port: int = field(factory=free_port)


@define
class GoneFleet:
    """A fleet without processes."""

    hosts: list = field(factory=lambda: [GoneHost()])

    def __exit__(self, *exc_info):
        pass


def callers():
    return [one for one in running_threads() if one.name.startswith("caller-")]


def test_callers_of_a_scenario_that_failed_end_with_it(tmp_path):
    before = len(callers())
    fleet = GoneFleet()
    world = World(tmp_path, fleet, Load(fleet, Plan(callers=5), seed=1))
    assert len(callers()) == before + 5
    world.end()
    assert len(callers()) == before
