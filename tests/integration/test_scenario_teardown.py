"""Teardown of a scenario ends its callers, also after a failed step."""

from threading import enumerate as running_threads

from attrs import define, field

from monsoonmill.load.launcher import free_port
from tests.integration.conftest import ScenarioContext
from tests.integration.load import LoadGenerator, LoadProfile


@define
class UnreachableHost:
    """A host without a listening process."""

    name: str = "unreachable"
    call_port: int = field(factory=free_port)


@define
class EmptyFleet:
    """A fleet without processes."""

    hosts: list = field(factory=lambda: [UnreachableHost()])

    def __exit__(self, *exc_info):
        pass


def caller_threads():
    return [thread for thread in running_threads() if thread.name.startswith("caller-")]


def test_closing_the_context_ends_all_callers(tmp_path):
    before = len(caller_threads())
    fleet = EmptyFleet()
    context = ScenarioContext(
        tmp_path, fleet, LoadGenerator(fleet, LoadProfile(callers=5), seed=1)
    )
    assert len(caller_threads()) == before + 5
    context.close()
    assert len(caller_threads()) == before
