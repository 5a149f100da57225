"""Backend servers that leave, with real nodes on the stand-ins of the platform."""

from threading import Event

import pytest

from monsoonmill.admin_client import AdminClient
from monsoonmill.model import Address
from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration

CALLS = 20
CALL_INTERVAL_S = 0.1
"""Twenty calls last longer than news of a backend server takes to other nodes."""


def accepting_servers(host):
    """Return the number of backend servers that a node may send calls to."""
    client = AdminClient.from_address(Address(host.ip, 9464), timeout_s=5.0)
    return sum(member["accepts_calls"] for member in client.members().values())


# A node that had just been restarted acknowledged a deregistration and forgot it; a
# heartbeat that had been sent before brought the backend server back into use.
def test_server_that_left_after_a_restart_of_its_node_gets_no_calls(tmp_path):
    services = ("profiles", "pledges", "pledges")
    with PlatformFleet(tmp_path, services, zones=("z1",)) as fleet:
        rules = (rule("/pledge/", "pledges", kind="non_idempotent"),)
        fleet.put_config(configuration(3, rules, ("profiles", "pledges"), [tenant()]))
        fleet.start()
        caller, leaving = fleet.hosts[:2]
        wait_until(lambda: accepting_servers(caller) == 3)
        leaving.sends_heartbeats = False
        late_heartbeat = leaving.heartbeat.next_document()
        fleet.kill(leaving)
        fleet.start(leaving)
        instance = leaving.heartbeat.instance
        assert leaving.call_control_plane(f"{instance}/deregister") == 200
        heartbeat_path = f"{instance}/heartbeat"
        assert leaving.call_control_plane(heartbeat_path, late_heartbeat) == 200
        before = len(leaving.backend_app.runs)
        pace = Event()
        statuses = []
        for number in range(CALLS):
            resp = caller.call(f"/pledge/{number}", "POST", body=b"1")
            statuses.append(resp.status)
            pace.wait(CALL_INTERVAL_S)
        assert statuses == [200] * CALLS
        assert len(leaving.backend_app.runs) == before
