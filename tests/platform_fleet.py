"""A fleet of real node processes on a simulated platform.

The platform's store and backend servers run in one thread of the test process.
"""

from json import dumps
from os import environ
from pathlib import Path
from selectors import DefaultSelector
from signal import SIGTERM
from subprocess import PIPE, Popen
from sys import executable
from threading import Lock, Thread
from time import monotonic, sleep, time

from attrs import define, field
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError

from monsoonmill.clock import SystemClock
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.server import WebServer
from monsoonmill.load.launcher import free_port
from monsoonmill.model import Address
from monsoonmill.standin.kv_store import KvApp, KvStore, StoreFaults
from monsoonmill.standin.platform_backend import HeartbeatSource, PlatformBackendApp

HOST = "127.0.0.1"
SUBNET = environ.get("MONSOON_TEST_SUBNET", "127.0.1")
"""Start of the hosts' addresses; test runs side by side need their own."""
LIMITS = ConnectionLimits(65536, 1 << 24, 60.0, 10.0)
HEARTBEAT_INTERVAL_S = 0.3
MEMORY_MB = 300
"""Memory of a node's process on the users' platform."""
SELECT_TIMEOUT_S = 0.005
NODE_FILE = """
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
region = "{region}"
internal_ports = [{peer}, {metrics}]
seeds = []
app_addr = "{host}:{target}"
service = "{service}"
[listen_addrs]
inbound = "{host}:{inbound}"
outbound = "{host}:{callers}"
ready = "{host}:{ready}"
control_plane = "{host}:{control}"
[platform]
address = "{store_host}:{store}"
[limits]
memory_mb = {memory_mb}
"""


def rule(prefix, service, kind="idempotent", **action):
    """Return a rule of the configuration."""
    options = {key: action.pop(key) for key in ("public", "priority") if key in action}
    return {
        "name": f"r{prefix}",
        "route_type": kind,
        "aim": "1500ms",
        "priority": options.get("priority", 2),
        "public": options.get("public", False),
        "match": {"path_prefix": prefix},
        "action": {
            "service": service,
            "timeout": "2000ms",
            "max_attempts": 2,
            **action,
        },
    }


def configuration(version, rules, services, tenants=()):
    """Return the configuration document that operators store."""
    return dumps(
        {
            "version": version,
            "limits": {},
            "tenants": list(tenants),
            "listeners": [{"host": "shop.example", "rules": list(rules)}],
            "clusters": [{"name": name, "health_path": "/health"} for name in services],
        }
    ).encode()


def tenant(name="haven", key="secret", rate=0, burst=0):
    """Return a tenant of the configuration."""
    return {"name": name, "api_keys": [key], "rate_per_s": rate, "burst": burst}


@define(eq=False)
class FleetHost:
    """One host: its node process and its backend server."""

    name: str
    ip: str
    ports: dict[str, int]
    backend_app: PlatformBackendApp
    heartbeat: HeartbeatSource
    node_file: str
    sends_heartbeats: bool = True
    process: Popen | None = None
    http: HTTPConnectionPool = field(init=False)

    def __attrs_post_init__(self):
        self.http = HTTPConnectionPool(
            self.ip, self.ports["callers"], maxsize=64, retries=False, timeout=5.0
        )

    def call(self, path="/look/1", method="GET", key="secret", body=None, **headers):
        """Send a request as a client on this host does."""
        sent_headers = {
            "Host": "shop.example",
            "X-Monsoonmill-Attempt-Id": headers.pop("request_id", f"{time()}"),
            "X-Monsoonmill-Request-Deadline": headers.pop("deadline", "3000"),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key:
            sent_headers["Authorization"] = f"Bearer {key}"
        return self.http.urlopen(method, path, body=body, headers=sent_headers)

    def is_ready(self):
        """Return whether the node accepts calls."""
        pool = HTTPConnectionPool(
            self.ip, self.ports["ready"], retries=False, timeout=1
        )
        try:
            return pool.urlopen("GET", "/monsoonmill/ready").status == 200
        except HTTPError:
            return False
        finally:
            pool.close()

    def send_heartbeat(self):
        """Send a heartbeat; return the status, or None without a response."""
        return self.call_control_plane(
            f"{self.heartbeat.instance}/heartbeat", self.heartbeat.next_document()
        )

    def call_control_plane(self, path, body=b""):
        """Send a request of the backend server; return the status, or None."""
        pool = HTTPConnectionPool(
            self.ip, self.ports["control"], retries=False, timeout=1
        )
        try:
            url = f"/monsoonmill/instances/{path}"
            return pool.urlopen("POST", url, body=body).status
        except HTTPError:
            return None
        finally:
            pool.close()


class PlatformFleet:
    """Runs the stand-ins in one thread and sends the backend servers' heartbeats.

    Attributes
    ----------
    start_timeout_s : float
        Time within which a node that is started becomes ready.
    """

    start_timeout_s = 10.0

    node_program = "monsoonmill.platform.program"

    def __init__(self, directory, services=("profiles",) * 2, zones=("z1", "z2")):
        self.directory = directory
        self.clock = SystemClock()
        self.store = KvStore()
        self.faults = StoreFaults()
        self.store_app = KvApp(self.store, self.faults, self.clock)
        self.store_port = free_port()
        self.hosts = []
        self.lock = Lock()
        self._selector = DefaultSelector()
        self._running = True
        self._servers = []
        self._listen(HOST, self.store_port, self.store_app)
        for number, service in enumerate(services):
            self.hosts.append(self._make_host(number, service, zones))
        self._threads = [
            Thread(target=self._serve, daemon=True),
            Thread(target=self._send_heartbeats, daemon=True),
        ]

    def _listen(self, ip, port, app, server_class=WebServer):
        server = server_class(Address(ip, port), app, LIMITS)
        server.open(self._selector, self.clock.now())
        assert server.is_listening
        self._servers.append((server, app))
        return server

    def _make_host(self, number, service, zones):
        port_names = (
            "peer",
            "metrics",
            "target",
            "inbound",
            "callers",
            "ready",
            "control",
        )
        ports = {name: free_port() for name in port_names}
        ports["metrics"] = ports["peer"] + 1
        name = f"host-{number}"
        # The administration port is the same on all hosts, so each has its own address.
        ip = f"{SUBNET}.{number + 1}"
        backend_app = PlatformBackendApp(f"i-{number}", service, self.clock)
        self._listen(ip, ports["target"], backend_app)
        node_file = self.directory / f"{name}.toml"
        node_file.write_text(
            NODE_FILE.format(
                name=name,
                host=ip,
                store_host=HOST,
                zone=zones[number % len(zones)],
                region="r1",
                service=service,
                store=self.store_port,
                memory_mb=MEMORY_MB,
                **ports,
            )
        )
        heartbeat = HeartbeatSource(
            f"i-{number}",
            f"{ip}:{ports['target']}",
            service,
            16,
            int(time() * 1000),
        )
        return FleetHost(name, ip, ports, backend_app, heartbeat, str(node_file))

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._running = False
        for host in self.hosts:
            self.kill(host)
        for thread in self._threads:
            thread.join(2)
        for server, _ in self._servers:
            server.close()

    def _serve(self):
        while self._running:
            ready = self._selector.select(SELECT_TIMEOUT_S)
            now = self.clock.now()
            with self.lock:
                for key, mask in ready:
                    for _ in key.data.on_ready(mask, now):
                        pass
                for server, app in self._servers:
                    for answer in app.due_answers():
                        for _ in server.on_answer(answer, now):
                            pass

    def _send_heartbeats(self):
        while self._running:
            for host in self.hosts:
                if host.sends_heartbeats and host.process is not None:
                    host.send_heartbeat()
            sleep(HEARTBEAT_INTERVAL_S)

    def put_config(self, doc):
        """Store a configuration as an operator does."""
        with self.lock:
            return self.store.put("op/config", doc)

    def start(self, *hosts):
        """Start the given nodes, or all, and wait until they are ready."""
        for host in hosts or self.hosts:
            self.launch(host)
        for host in hosts or self.hosts:
            wait_until(host.is_ready, self.start_timeout_s)
        return self

    def launch(self, host):
        """Start a node process."""
        log = open(self.directory / f"{host.name}.log", "ab")
        host.process = Popen(
            [executable, "-m", self.node_program],
            env={**environ, "MONSOONMILL_NODE_FILE": host.node_file},
            stdout=log,
            stderr=log,
            stdin=PIPE,
        )
        log.close()

    def kill(self, host):
        """Kill a node process."""
        if host.process is not None:
            host.process.kill()
            host.process.wait(5)
            host.process = None

    def stop(self, host):
        """Send SIGTERM to a node process."""
        host.process.send_signal(SIGTERM)

    def runs(self, service=None):
        """Return the requests run by all backend servers, or by those of a service."""
        return [
            run
            for host in self.hosts
            if service in (None, host.backend_app.service)
            for run in host.backend_app.runs
        ]

    def log(self, host):
        """Return the log of a node process."""
        return (self.directory / f"{host.name}.log").read_text()


def peak_memory_mb(host):
    """Return the peak resident memory of a node process."""
    status = Path(f"/proc/{host.process.pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def wait_until(condition, limit_s=10.0):
    """Wait until a condition holds; fail after the time limit."""
    deadline = monotonic() + limit_s
    while not condition():
        assert monotonic() < deadline, f"condition not met within {limit_s} s"
        sleep(0.02)
