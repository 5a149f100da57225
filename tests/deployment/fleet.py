"""A deployment of the users: real node processes, stand-ins and clients' processes."""

from collections.abc import Callable
from json import dumps, loads
from pathlib import Path
from random import Random
from signal import SIGTERM
from subprocess import PIPE, Popen, TimeoutExpired
from sys import executable
from time import sleep, time

from attrs import asdict, define, frozen

from monsoonmill.model import Address
from monsoonmill.standin.platform_answers import PlatformBackendServer
from monsoonmill.standin.platform_backend import HeartbeatSource, PlatformBackendApp
from monsoonmill.standin.platform_nested import NestedCalls
from tests.deployment.clients import CLOCK, HABITS, Exchange
from tests.deployment.sites import Site
from tests.platform_fleet import (
    HOST,
    MEMORY_MB,
    NODE_FILE,
    SUBNET,
    FleetHost,
    PlatformFleet,
    configuration,
    tenant,
)

PORTS = {
    "peer": 7000,
    "metrics": 7015,
    "target": 8547,
    "inbound": 8543,
    "callers": 8548,
    "ready": 8546,
    "control": 8540,
}
CONTRACT_PARAMS = """
[contract_params]
grace_period = "6s"
drain_timeout = "2500ms"
config_apply = "2500ms"
retry_budget_ratio = 0.2
quota_window = "5s"
"""
GRACE_PERIOD_S = 6.0
START_TIMEOUT_S = 30.0
"""All node processes of a site start at once on one machine."""
SLOTS = 64
CLIENT_PROCESSES = 4
KEY = "secret"
TENANT = "haven"
VHOST = "shop.example"
NESTED_CALLERS = 3
ACK_WAIT_S = 4.0
"""Time for which a backend server that leaves asks for an acknowledgement."""


def _peak_memory_mb(pid):
    """Return the peak resident memory of a process; 0 if it is ending."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    lines = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(next(lines, "VmHWM: 0 kB").split()[1]) / 1024


@define
class ProcessEnd:
    """The end of a node process.

    Attributes
    ----------
    status : int
        Exit status; negative for a signal.
    launched_at, ended_at : float
        Monotonic time in seconds.
    requested_at : float or None
        Time of the SIGTERM or SIGKILL that asked for it; None if none was sent.
    is_killed : bool
        Whether it was ended by SIGKILL.
    """

    machine: int
    status: int
    launched_at: float
    ended_at: float
    requested_at: float | None = None
    is_killed: bool = False


@frozen
class Leave:
    """A backend server's announcement that it leaves, acknowledged by its node."""

    instance: str
    machine: int
    acknowledged_at: float


class DeploymentFleet(PlatformFleet):
    """All machines of a site; the ports are the same on each.

    Attributes
    ----------
    ends : list of ProcessEnd
        The node processes that have ended, whatever ended them.
    apps : list of pairs
        Machine and application of all backend servers, also of those that have ended.
    leaves : list of Leave
        Backend servers that have left.
    services : dict
        For each machine, the services of its backend server and since when.
    """

    backend_app_class = PlatformBackendApp
    start_timeout_s = START_TIMEOUT_S

    def __init__(self, directory, site: Site, seed: int):
        self.site = site
        self.seed = seed
        self.ends: list[ProcessEnd] = []
        self.exchanges: list[Exchange] = []
        self.apps: list[tuple[int, PlatformBackendApp]] = []
        self.leaves: list[Leave] = []
        self.services: dict[int, list[tuple[float, str]]] = {}
        self._backend_servers: dict[int, PlatformBackendServer] = {}
        self._nested: dict[int, NestedCalls] = {}
        self.peak_memory_mb = 0.0
        self.rng = Random(f"deployment-{seed}")
        self._version = 3
        self._clients: list[Popen] = []
        self._requested: dict[int, float] = {}
        self._launched: dict[str, float] = {}
        super().__init__(directory, site.services(), tuple(site.regions))

    def _make_host(self, number, service, zones):
        ip = f"{SUBNET}.{number + 1}"
        zone = zones[number % len(zones)]
        app = self._open_backend(number, ip, f"i-{number}", service)
        self.services[number] = [(0.0, service)]
        seeds = dumps([f"{SUBNET}.{n + 1}:{PORTS['control']}" for n in range(3)])
        text = NODE_FILE.format(
            name=f"sidecar-{zone}-{number}",
            host=ip,
            store_host=HOST,
            zone=zone,
            region=self.site.regions[zone],
            service=service,
            store=self.store_port,
            memory_mb=MEMORY_MB,
            **PORTS,
        ).replace("seeds = []", f"seeds = {seeds}")
        node_file = self.directory / f"host-{number}.toml"
        node_file.write_text(text + CONTRACT_PARAMS)
        heartbeat = self._heartbeat_source(f"i-{number}", ip, service)
        return FleetHost(f"host-{number}", ip, PORTS, app, heartbeat, str(node_file))

    def _open_backend(self, number, ip, instance, service):
        nested = NestedCalls(
            instance,
            Address(ip, PORTS["callers"]),
            VHOST,
            self.site.calls,
            NESTED_CALLERS if self.site.calls else 0,
        )
        nested.start()
        app = self.backend_app_class(instance, service, self.clock, nested)
        app.behaviour.work_s = self.site.work_s[service]
        app.behaviour.work_by_prefix = self.site.work_by_prefix()
        app.behaviour.filler_bytes = self.site.filler_bytes.get(service, 0)
        self._backend_servers[number] = self._listen(
            ip, PORTS["target"], app, PlatformBackendServer
        )
        self._nested[number] = nested
        self.apps.append((number, app))
        return app

    def _heartbeat_source(self, instance, ip, service):
        address = f"{ip}:{PORTS['target']}"
        return HeartbeatSource(instance, address, service, SLOTS, int(time() * 1000))

    def end_backend(self, number: int) -> None:
        """End a backend server without a word; its connections are closed."""
        host = self.hosts[number]
        host.sends_heartbeats = False
        with self.lock:
            server = self._backend_servers.pop(number)
            self._servers.remove((server, host.backend_app))
            server.close()
        self._nested.pop(number).stop()

    def start_backend(
        self, number: int, instance: str, service: str | None = None
    ) -> None:
        """Start a backend server at the address of one that has ended."""
        host = self.hosts[number]
        service = service or host.backend_app.service
        with self.lock:
            host.backend_app = self._open_backend(number, host.ip, instance, service)
            host.heartbeat = self._heartbeat_source(instance, host.ip, service)
        host.sends_heartbeats = True

    def announce_leaving(self, number: int, deregisters: bool) -> bool:
        """Have a backend server say that it leaves.

        Parameters
        ----------
        deregisters : bool
            Whether it deregisters without having reported that it drains.

        Returns
        -------
        bool
            Whether its node has acknowledged that.
        """
        host = self.hosts[number]
        host.heartbeat.state = "draining"
        host.backend_app.behaviour.is_leaving = True
        host.sends_heartbeats = not deregisters
        until = CLOCK.now() + ACK_WAIT_S
        while CLOCK.now() < until:
            status = self.deregister(number) if deregisters else host.send_heartbeat()
            if status is not None and status < 300:
                instance = host.heartbeat.instance
                self.leaves.append(Leave(instance, number, CLOCK.now()))
                return True
            sleep(0.1)
        return False

    def change_service(self, number: int, service: str) -> None:
        """Write a machine's settings file for a backend server of another service."""
        host = self.hosts[number]
        path = Path(host.node_file)
        old = f'service = "{host.backend_app.service}"'
        path.write_text(path.read_text().replace(old, f'service = "{service}"'))
        self.services[number].append((CLOCK.now(), service))

    def deregister(self, number: int) -> int | None:
        """Deregister a backend server; return the status, or None."""
        host = self.hosts[number]
        return host.call_control_plane(f"{host.heartbeat.instance}/deregister")

    def routes_config(self, version: int, prefixes=()) -> bytes:
        """Return the site's configuration, with further routes to its first service."""
        rules = [route.rule() for route in self.site.routes]
        first = self.site.routes[0]
        rules.extend(
            {**first.rule(), "name": p, "match": {"path_prefix": p}} for p in prefixes
        )
        return configuration(version, rules, self.site.machines, [tenant(TENANT, KEY)])

    def next_version(self) -> int:
        """Return a higher version than any before; versions grow in uneven steps."""
        with self.lock:
            self._version += 1 + self._version % 3
            return self._version

    def start_clients(self, clients: int, mean_gap_s: float) -> None:
        """Start the clients of all machines, in a few processes."""
        for index in range(CLIENT_PROCESSES):
            machines = [
                {
                    "number": number,
                    "ip": host.ip,
                    "port": PORTS["callers"],
                    "ready_port": PORTS["ready"],
                }
                for number, host in enumerate(self.hosts)
                if number % CLIENT_PROCESSES == index
            ]
            task = {
                "name": f"c{index}",
                "seed": self.seed,
                "key": KEY,
                "clients": clients,
                "mean_gap_s": mean_gap_s,
                "machines": machines,
                "routes": [asdict(route) for route in self.site.routes],
                "habits": list(HABITS),
            }
            output = open(self.directory / f"clients-{index}.out", "wb")
            process = Popen(
                [executable, "-m", "tests.deployment.clients"],
                stdin=PIPE,
                stdout=output,
            )
            output.close()
            process.stdin.write(dumps(task).encode() + b"\n")
            process.stdin.flush()
            self._clients.append(process)

    def stop_clients(self) -> None:
        """End the clients and read what they saw."""
        for process in self._clients:
            process.stdin.close()
        for index, process in enumerate(self._clients):
            process.wait(30)
            lines = (self.directory / f"clients-{index}.out").read_text().splitlines()
            self.exchanges.extend(Exchange(**loads(line)) for line in lines)
        self._clients.clear()

    def runs(self, service=None):
        """Return the requests run by all backend servers, or by those of a service."""
        return [
            run
            for _, app in self.apps
            if service in (None, app.service)
            for run in app.runs
        ]

    def call_exchanges(self) -> list[Exchange]:
        """Return what backend servers saw of the calls that they have sent."""
        prefixes = [route.prefix for route in self.site.routes]
        return [
            Exchange(
                result.call.request_id,
                number,
                next(p for p in prefixes if result.call.path.startswith(p)),
                result.end,
                result.status,
                "",
                False,
                result.sent_at,
                result.ended_at,
                0,
                result.call.remaining_s,
                result.is_own,
            )
            for number, app in self.apps
            for result in app.call_results
            if result.end != "unsent"
        ]

    def launch(self, host: FleetHost) -> None:
        """Start a node process."""
        self._launched[host.name] = CLOCK.now()
        super().launch(host)

    def terminate(self, number: int) -> None:
        """Send SIGTERM to a node process."""
        self._requested[number] = CLOCK.now()
        self.hosts[number].process.send_signal(SIGTERM)

    def await_end(self, number: int) -> None:
        """Wait until a stopped node has ended; kill it after the grace period."""
        process = self.hosts[number].process
        left_s = self._requested[number] + GRACE_PERIOD_S - CLOCK.now()
        is_killed = False
        try:
            process.wait(max(left_s, 0.0))
        except TimeoutExpired:
            is_killed = True
            process.kill()
            process.wait(5)
        self._record_end(number, is_killed)

    def kill_node(self, number: int) -> None:
        """Kill a node process."""
        self._requested[number] = CLOCK.now()
        self.hosts[number].process.kill()
        self.hosts[number].process.wait(5)
        self._record_end(number, True)

    def _record_end(self, number, is_killed):
        host = self.hosts[number]
        self.ends.append(
            ProcessEnd(
                number,
                host.process.returncode,
                self._launched[host.name],
                CLOCK.now(),
                self._requested.pop(number, None),
                is_killed,
            )
        )
        host.process = None

    def collect_own_ends(self, is_busy: Callable[[int], bool]) -> None:
        """Record the processes that have ended by themselves, and start them again.

        Parameters
        ----------
        is_busy : callable
            Returns whether a machine is left out, since a disruption starts and ends
            its processes. It is asked after a process was seen to have ended, which a
            disruption that began meanwhile may have done.
        """
        for number, host in enumerate(self.hosts):
            process = host.process
            if process is None:
                continue
            has_ended = process.poll() is not None
            if is_busy(number):
                continue
            if not has_ended:
                memory_mb = _peak_memory_mb(process.pid)
                self.peak_memory_mb = max(self.peak_memory_mb, memory_mb)
                continue
            self._record_end(number, False)
            self.launch(host)
