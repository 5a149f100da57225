"""Short runs of a deployment whose links, store and clients are disturbed."""

from time import monotonic, sleep

import pytest

from tests.deployment.linked_fleet import LinkedFleet
from tests.deployment.run import await_ready, await_served
from tests.deployment.sites import SEGNALI_CT
from tests.deployment.store_disruptions import disturb_store
from tests.deployment.wide_run import run_wide
from tests.platform_fleet import wait_until

pytestmark = pytest.mark.integration

LENGTH_S = 10.0
WITHOUT_STORE_S = 3.0


@pytest.mark.parametrize(("group", "seed"), [("all", 1), ("planned", 1)])
def test_disturbed_deployment_breaks_no_rule(group, seed):
    result = run_wide(SEGNALI_CT, group, seed, LENGTH_S)
    assert not result.violations, result


@pytest.mark.parametrize("mode", ["busy", "cut"])
def test_fleet_that_starts_without_the_store_serves_when_it_is_back(tmp_path, mode):
    with LinkedFleet(tmp_path, SEGNALI_CT, 1) as fleet:
        fleet.change_config()
        machines = range(len(fleet.hosts))
        for number in machines:
            disturb_store(fleet, number, mode)
        for host in fleet.hosts:
            fleet.launch(host)
        for host in fleet.hosts:
            wait_until(lambda host=host: '"started"' in fleet.log(host))
        sleep(WITHOUT_STORE_S)
        assert not any(host.is_ready() for host in fleet.hosts)
        statuses = {host.call("/orders/early").status for host in fleet.hosts}
        for number in machines:
            disturb_store(fleet, number, "ok")
        back_at = monotonic()
        unready = await_ready(fleet)
        await_served(fleet)
        served_s = monotonic() - back_at
    assert statuses == {503}
    assert not unready
    assert served_s < 8.0
