"""The first moments of a node process: signals, ports, settings and output."""

import os
from signal import SIGHUP, SIGTERM
from subprocess import Popen
from sys import executable
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


def launch_with_closed_streams(fleet, host):
    command = 'exec "$0" -m monsoonmill.platform.program <&- >&- 2>&-'
    host.process = Popen(
        ["sh", "-c", command, executable],
        env={**os.environ, "MONSOONMILL_NODE_FILE": host.node_file},
    )


# A node whose standard output was closed ended when it started.
def test_node_starts_without_standard_streams(fleet):
    host = fleet.hosts[0]
    launch_with_closed_streams(fleet, host)
    wait_until(host.is_ready)
    wait_until(lambda: host.call().status == 200)
    for descriptor in range(3):
        assert os.readlink(f"/proc/{host.process.pid}/fd/{descriptor}") == "/dev/null"
    fleet.stop(host)
    assert host.process.wait(EXIT_TIMEOUT_S) == 0


@pytest.fixture(params=["unread", "closed"])
def output_pipes(request):
    """Write ends of two pipes that are full, or whose read ends are closed."""
    pipes = [os.pipe() for _ in range(2)]
    for reader, writer in pipes:
        if request.param == "closed":
            os.close(reader)
            continue
        os.set_blocking(writer, False)
        with pytest.raises(BlockingIOError):
            while True:
                os.write(writer, b"x" * 4096)
        os.set_blocking(writer, True)
    yield [writer for _, writer in pipes]
    for reader, writer in pipes:
        os.close(writer)
        if request.param == "unread":
            os.close(reader)


def test_node_needs_no_reader_of_its_output(fleet, output_pipes):
    host = fleet.hosts[0]
    host.process = Popen(
        [executable, "-m", "monsoonmill.platform.program"],
        env={**os.environ, "MONSOONMILL_NODE_FILE": host.node_file},
        stdout=output_pipes[0],
        stderr=output_pipes[1],
    )
    wait_until(host.is_ready)
    wait_until(lambda: host.call().status == 200)
    for _ in range(20):
        host.process.send_signal(SIGHUP)
        assert host.call().status == 200
    fleet.stop(host)
    assert host.process.wait(EXIT_TIMEOUT_S) == 0
