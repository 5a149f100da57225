"""Evacuation with real processes, the platform's protocol and its store's stand-in."""

from time import monotonic, sleep

import pytest

from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration

BOUND_S = 5.0
CALLS = 30
EVACUATED_KEY = "op/evacuate/z1"


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet in which operators may evacuate data centres."""
    with PlatformFleet(tmp_path, ("profiles",) * 3, ("z1", "z2", "z1")) as fleet:
        for host in fleet.hosts:
            with open(host.node_file, encoding="utf-8") as file:
                text = file.read()
            with open(host.node_file, "w", encoding="utf-8") as file:
                file.write(f'contract_params = {{evacuation = "5000ms"}}\n{text}')
        rules = (rule("/look/", "profiles"),)
        fleet.put_config(configuration(1, rules, ("profiles",), (tenant(),)))
        yield fleet.start()


def delete(fleet, key):
    with fleet.lock:
        fleet.store.revision += 1
        fleet.store.write(key, None)


def runs_of(fleet, *hosts):
    with fleet.lock:
        return sum(len(host.backend_app.runs) for host in hosts)


def test_evacuated_data_centre_gets_no_requests_and_is_used_again_afterwards(fleet):
    first, far, second = fleet.hosts
    near = (first, second)
    wait_until(lambda: first.call().status == 200)
    with fleet.lock:
        fleet.store.put(EVACUATED_KEY, b"{}")
    sleep(BOUND_S)
    before = runs_of(fleet, *near)
    statuses = {host.call().status for _ in range(CALLS) for host in fleet.hosts}
    assert statuses == {200}
    assert runs_of(fleet, *near) == before

    # A process that starts meanwhile must know the order before it runs anything.
    fleet.kill(second)
    fleet.start(second)
    deadline = monotonic() + 2.0
    while monotonic() < deadline:
        assert second.call().status in (200, 503)
    assert runs_of(fleet, *near) == before
    assert second.call().status == 200

    delete(fleet, EVACUATED_KEY)
    wait_until(lambda: first.call().status and runs_of(fleet, *near) > before, BOUND_S)
