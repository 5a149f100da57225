"""The first moments of a node process: signals, ports, settings and output."""

from signal import SIGHUP, SIGTERM
from time import sleep

import pytest

from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration

EXIT_TIMEOUT_S = 8.0
INTERPRETER_START_S = 0.15
"""Time after which the program's module runs, for a machine that is not busy."""


@pytest.fixture
def fleet(tmp_path):
    with PlatformFleet(tmp_path, ("profiles",)) as fleet:
        rules = (rule("/look/", "profiles"),)
        fleet.put_config(configuration(3, rules, ("profiles",), [tenant()]))
        yield fleet


def wait_until_signals_are_handled(host):
    """Wait until the program's own code runs, as the kernel's status tells."""
    handled = 1 << (SIGHUP - 1)

    def catches_signals():
        with open(f"/proc/{host.process.pid}/status", encoding="ascii") as status:
            line = next(line for line in status if line.startswith("SigCgt"))
        return int(line.split()[1], 16) & handled

    wait_until(catches_signals)


# SIGHUP in the first half second of a start ended the process.
def test_settings_change_during_a_start_leaves_the_node_running(fleet):
    host = fleet.hosts[0]
    fleet.launch(host)
    sleep(INTERPRETER_START_S)
    host.process.send_signal(SIGHUP)
    wait_until(host.is_ready)
    assert host.process.poll() is None


# SIGTERM in the first half second of a start ended the process with a signal's status.
def test_stop_during_a_start_ends_with_status_0(fleet):
    host = fleet.hosts[0]
    fleet.launch(host)
    sleep(INTERPRETER_START_S)
    fleet.stop(host)
    assert host.process.wait(EXIT_TIMEOUT_S) == 0


def test_signals_are_handled_before_the_imports(fleet):
    host = fleet.hosts[0]
    fleet.launch(host)
    wait_until_signals_are_handled(host)
    assert fleet.log(host) == ""
    with open(f"/proc/{host.process.pid}/maps", encoding="ascii") as maps:
        assert "yaml" not in maps.read()


def test_many_signals_in_a_row_are_one_stop(fleet):
    host = fleet.start().hosts[0]
    for _ in range(200):
        host.process.send_signal(SIGHUP)
        host.process.send_signal(SIGTERM)
    for _ in range(20):
        sleep(0.05)
        host.process.send_signal(SIGHUP)
    assert host.process.wait(EXIT_TIMEOUT_S) == 0
