"""The first moments of a node process: signals, ports, settings and output."""

import os
from pathlib import Path
from signal import SIGHUP, SIGTERM
from socket import SO_REUSEADDR, SOL_SOCKET, create_connection, socket
from subprocess import Popen
from sys import executable
from time import sleep

import pytest

from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration

EXIT_TIMEOUT_S = 8.0
IMPORTED_LIBRARY = "/yaml/"
"""A library that is imported in the middle of a start."""
OPERATORS_PORT = 9464


@pytest.fixture
def fleet(tmp_path):
    with PlatformFleet(tmp_path, ("profiles",)) as fleet:
        rules = (rule("/look/", "profiles"),)
        fleet.put_config(configuration(3, rules, ("profiles",), [tenant()]))
        yield fleet


def has_library(host, name):
    """Return whether a node process has loaded a library."""
    maps = Path(f"/proc/{host.process.pid}/maps").read_text(encoding="ascii")
    return name in maps


def handles_signals(host):
    """Return whether a node process has a handler of SIGHUP."""
    status = Path(f"/proc/{host.process.pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("SigCgt"))
    return bool(int(line.split()[1], 16) & 1 << (SIGHUP - 1))


# SIGHUP in the first half second of a start ended the process.
def test_settings_change_during_a_start_leaves_the_node_running(fleet):
    host = fleet.hosts[0]
    fleet.launch(host)
    wait_until(lambda: has_library(host, IMPORTED_LIBRARY))
    host.process.send_signal(SIGHUP)
    wait_until(host.is_ready)
    assert host.process.poll() is None


# SIGTERM in the first half second of a start ended the process with a signal's status.
def test_stop_during_a_start_ends_with_status_0(fleet):
    host = fleet.hosts[0]
    fleet.launch(host)
    wait_until(lambda: has_library(host, IMPORTED_LIBRARY))
    fleet.stop(host)
    assert host.process.wait(EXIT_TIMEOUT_S) == 0


def test_signals_are_handled_before_the_imports(fleet):
    host = fleet.hosts[0]
    fleet.launch(host)
    wait_until(lambda: handles_signals(host))
    assert not has_library(host, IMPORTED_LIBRARY)


def test_many_signals_in_a_row_are_one_stop(fleet):
    host = fleet.start().hosts[0]
    for _ in range(200):
        host.process.send_signal(SIGHUP)
        host.process.send_signal(SIGTERM)
    for _ in range(20):
        sleep(0.05)
        host.process.send_signal(SIGHUP)
    assert host.process.wait(EXIT_TIMEOUT_S) == 0


# A node whose settings were being replaced when it started ended with status 2.
@pytest.mark.parametrize("share", [0.0, 0.5], ids=["empty", "half_written"])
def test_node_waits_for_settings_that_are_being_replaced(fleet, share):
    host = fleet.hosts[0]
    node_file = Path(host.node_file)
    text = node_file.read_text()
    node_file.write_text(text[: int(len(text) * share)])
    fleet.launch(host)
    wait_until(lambda: "node_file_unusable" in fleet.log(host))
    node_file.write_text(text)
    wait_until(host.is_ready)


def test_stop_while_the_settings_are_unusable_ends_with_status_0(fleet):
    host = fleet.hosts[0]
    Path(host.node_file).write_text("")
    fleet.launch(host)
    wait_until(lambda: "node_file_unusable" in fleet.log(host))
    fleet.stop(host)
    assert host.process.wait(EXIT_TIMEOUT_S) == 0


# A number without a bound in replaced settings ended the process at SIGHUP.
@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("memory_mb = 300", "memory_mb = inf"),
        ("seeds = []", "seeds = [7]"),
        ("seeds = []", "seeds = " + "[" * 5000),
        ("internal_ports", "ports"),
    ],
    ids=["infinite", "wrong_type", "nested", "missing"],
)
def test_unusable_settings_leave_a_running_node_as_it_is(fleet, old, new):
    host = fleet.start().hosts[0]
    wait_until(lambda: host.call().status == 200)
    node_file = Path(host.node_file)
    node_file.write_text(node_file.read_text().replace(old, new))
    host.process.send_signal(SIGHUP)
    wait_until(lambda: "reload_failed" in fleet.log(host))
    node_file.unlink()
    host.process.send_signal(SIGHUP)
    wait_until(lambda: fleet.log(host).count("reload_failed") == 2)
    assert host.process.poll() is None
    assert host.call().status == 200


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


def node_address(host, name):
    return host.ip, OPERATORS_PORT if name == "operators" else host.ports[name]


def take_port(host, name):
    """Return a socket that listens on a port of a node."""
    sock = socket()
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    sock.bind(node_address(host, name))
    sock.listen()
    return sock


# A node that found a port taken when it started stayed without ports, or ended.
@pytest.mark.parametrize("name", ["callers", "ready", "control", "operators", "peer"])
def test_node_opens_a_port_that_is_taken_when_it_starts(fleet, name):
    host = fleet.hosts[0]
    with take_port(host, name):
        fleet.launch(host)
        wait_until(lambda: "port_blocked" in fleet.log(host))
        sleep(0.5)
        assert name == "ready" or not host.is_ready()
    wait_until(host.is_ready)
    assert fleet.log(host).count("port_blocked") == 1
    assert fleet.log(host).count("port_opened") == 1
    wait_until(lambda: host.call().status == 200)
    create_connection(node_address(host, name), 1.0).close()


def test_stop_of_a_node_whose_port_is_taken_ends_with_status_0(fleet):
    host = fleet.hosts[0]
    with take_port(host, "callers"), take_port(host, "peer"):
        fleet.launch(host)
        wait_until(lambda: fleet.log(host).count("port_blocked") == 2)
        fleet.stop(host)
        assert host.process.wait(EXIT_TIMEOUT_S) == 0
    assert '"sockets_closed": true' in fleet.log(host)


FAILING_NODE = """
from monsoonmill.{module} import {cls}
from monsoonmill.platform.program import main

def fail(*args, **kwargs):
    raise RuntimeError("injected")

{cls}.{method} = fail
main()
"""


# A node whose task had ended with an exception stayed, without serving or ending.
@pytest.mark.parametrize(
    ("module", "cls", "method"),
    [
        ("decisions.core", "NodeCore", "start"),
        ("node.task", "NodeTask", "_find_sockets_due"),
        ("store.client", "PlatformTask", "wait_s"),
    ],
    ids=["start", "step", "platform"],
)
def test_node_whose_task_fails_ends_and_logs_why(fleet, module, cls, method):
    host = fleet.hosts[0]
    script = FAILING_NODE.format(module=module, cls=cls, method=method)
    with open(fleet.directory / f"{host.name}.log", "ab") as log:
        host.process = Popen(
            [executable, "-c", script],
            env={**os.environ, "MONSOONMILL_NODE_FILE": host.node_file},
            stdout=log,
            stderr=log,
        )
    assert host.process.wait(EXIT_TIMEOUT_S) == 1
    assert '"event": "task_failed"' in fleet.log(host)
    assert "injected" in fleet.log(host)
