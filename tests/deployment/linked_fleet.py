"""A deployment whose connections go through proxies that inject faults."""

from json import dumps, loads
from subprocess import PIPE, Popen
from sys import executable
from threading import Lock
from time import monotonic

from attrs import asdict, define, frozen
from urllib3 import PoolManager

from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.standin.kv_store import KvApp, StoreFaults
from monsoonmill.standin.platform_backend import PlatformBackendApp
from tests.deployment.clients import Exchange
from tests.deployment.fleet import KEY, PORTS, DeploymentFleet
from tests.platform_fleet import HOST, SUBNET, configuration, tenant

PROXY_HOST = f"{SUBNET}.200"
STORE_HOST = f"{SUBNET}.201"
STORE_PORT = 7300
"""Each machine has a port of the store of its own, with faults of its own."""
LINKS = {"peer": 7100, "backend": 7200, "store": 7300}
"""First port of the proxies of each kind of link."""
CONTROL_PORTS = {"peer": 7190, "backend": 7290, "store": 7390}
REGION_DELAY_MS = 30.0
HOT_TENANT = {"name": "hot", "key": "hot-key", "rate": 40, "burst": 40}
WITHDRAWN_KEYS = 6
START_ATTEMPTS_S = 10.0
PASS = {"mode": "pass"}


@frozen
class Arrival:
    """A request that began to run.

    Attributes
    ----------
    left_s : float
        Time that the node left for the request when it sent it.
    """

    request_id: str
    tenant: str
    service: str
    at: float
    left_s: float


@define
class Withdrawal:
    """A key that was taken away, with the time at which operators wrote it."""

    key: str
    at: float


class TimedBackendApp(PlatformBackendApp):
    """Records when each request began to run."""

    def __init__(self, instance: str, service: str, clock, nested):
        super().__init__(instance, service, clock, nested)
        self.arrivals: list[Arrival] = []

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Execute a request and record its time."""
        count = len(self.runs)
        resp = super().handle(name, req)
        for run in self.runs[count:]:
            tenant_name = run.headers.get("x-monsoonmill-tenant-id", "")
            left_s = float(run.headers["x-monsoonmill-request-deadline"]) / 1000
            self.arrivals.append(
                Arrival(run.request_id, tenant_name, self.service, monotonic(), left_s)
            )
        return resp


class LinkedFleet(DeploymentFleet):
    """A deployment with a proxy before each node, backend server and store port.

    Attributes
    ----------
    store_faults : list of StoreFaults
        Faults of the store for each machine.
    withdrawals : list of Withdrawal
        Keys that were taken away.
    special : dict
        Exchanges of further clients by the kind of client.
    """

    backend_app_class = TimedBackendApp
    node_program = "tests.deployment.linked_node"

    def __init__(self, directory, site, seed):
        self.store_faults: list[StoreFaults] = []
        self.withdrawals: list[Withdrawal] = []
        self.special: dict[str, list[Exchange]] = {}
        self._proxies: list[Popen] = []
        self._config_lock = Lock()
        self._control = PoolManager()
        self._base_faults = {}
        self._special_count = 0
        super().__init__(directory, site, seed)

    def _make_host(self, number, service, zones):
        host = super()._make_host(number, service, zones)
        faults = StoreFaults()
        self.store_faults.append(faults)
        app = KvApp(self.store, faults, self.clock)
        self._listen(STORE_HOST, STORE_PORT + number, app)
        node_file = self.directory / f"{host.name}.toml"
        text = node_file.read_text()
        backend = f"{PROXY_HOST}:{LINKS['backend'] + number}"
        changes = {
            f'"{host.ip}:{PORTS["target"]}"': f'"{backend}"',
            f'"{HOST}:{self.store_port}"': f'"{PROXY_HOST}:{LINKS["store"] + number}"',
        }
        for old, new in changes.items():
            assert old in text, old
            text = text.replace(old, new)
        peer = f'[proxy]\nhost = "{PROXY_HOST}"\nport = {LINKS["peer"] + number}\n'
        node_file.write_text(text + peer)
        host.heartbeat.address = backend
        if "etna" in zones[number % len(zones)]:
            delay = {"mode": "delay", "to_target_ms": REGION_DELAY_MS}
            delay["to_client_ms"] = REGION_DELAY_MS
            self._base_faults[f"peer-{number}"] = delay
        return host

    def __enter__(self):
        super().__enter__()
        for kind, first_port in LINKS.items():
            self._start_proxy(kind, first_port)
        for link, fault in self._base_faults.items():
            self.set_fault(link, fault)
        return self

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        for process in self._proxies:
            process.terminate()
            process.wait(10)

    def _start_proxy(self, kind, first_port):
        pairs = [
            f'{{ name = "{kind}-{number}", listen_port = {first_port + number}, '
            f'target = "{self._target(kind, number)}" }}'
            for number in range(len(self.hosts))
        ]
        file = self.directory / f"proxy-{kind}.toml"
        file.write_text(
            f'[proxy]\nhost = "{PROXY_HOST}"\n'
            f"control_port = {CONTROL_PORTS[kind]}\npairs = [{', '.join(pairs)}]\n"
        )
        with open(self.directory / f"proxy-{kind}.log", "ab") as log:
            process = Popen(
                [
                    executable,
                    "-m",
                    "monsoonmill.standin.faults_program",
                    f"--config={file}",
                ],
                stdout=PIPE,
                stderr=log,
            )
        line = process.stdout.readline()
        assert line.startswith(b"ready"), (kind, line)
        self._proxies.append(process)

    def _target(self, kind, number):
        if kind == "store":
            return f"{STORE_HOST}:{STORE_PORT + number}"
        port = PORTS["peer" if kind == "peer" else "target"]
        return f"{self.hosts[number].ip}:{port}"

    def set_fault(self, link: str, fault: dict, scope: str = "all") -> None:
        """Set the fault of a link; ``{"mode": "pass"}`` restores it."""
        if fault == PASS:
            fault = self._base_faults.get(link, PASS)
        port = CONTROL_PORTS[link.partition("-")[0]]
        body = dumps({"pair": link, "scope": scope, **fault})
        url = f"http://{PROXY_HOST}:{port}/faults"
        assert self._control.request("POST", url, body=body).status == 200

    def routes_config(self, version: int, prefixes=()) -> bytes:
        """Return the configuration with all tenants that still have a key."""
        rules = [route.rule() for route in self.site.routes]
        first = self.site.routes[0]
        rules.extend(
            {**first.rule(), "name": p, "match": {"path_prefix": p}} for p in prefixes
        )
        withdrawn = {withdrawal.key for withdrawal in self.withdrawals}
        others = (f"key-{number}" for number in range(WITHDRAWN_KEYS))
        tenants = [tenant(key=KEY), tenant(**HOT_TENANT)]
        tenants.extend(
            tenant(f"tenant-{key}", key) for key in others if key not in withdrawn
        )
        return configuration(version, rules, self.site.machines, tenants)

    def change_config(self, prefixes=()) -> None:
        """Write a new version of the configuration."""
        with self._config_lock:
            self.put_config(self.routes_config(self.next_version(), prefixes))

    def withdraw_key(self) -> None:
        """Take the next key away from its tenant."""
        with self._config_lock:
            key = f"key-{len(self.withdrawals)}"
            self.withdrawals.append(Withdrawal(key, monotonic()))
            self.put_config(self.routes_config(self.next_version()))

    def start_special(
        self, kind: str, key: str, machines, clients: int, mean_gap_s: float
    ) -> Popen:
        """Start further clients of some machines, in a process of their own."""
        with self._config_lock:
            self._special_count += 1
            name = f"s{self._special_count}"
        task = {
            "kind": kind,
            "name": name,
            "seed": self.seed,
            "key": key,
            "clients": clients,
            "mean_gap_s": mean_gap_s,
            "machines": [
                {
                    "number": number,
                    "ip": self.hosts[number].ip,
                    "port": PORTS["callers"],
                }
                for number in machines
            ],
            "routes": [asdict(route) for route in self.site.routes],
        }
        with open(self.directory / f"special-{name}.out", "wb") as output:
            process = Popen(
                [executable, "-m", "tests.deployment.special_clients"],
                stdin=PIPE,
                stdout=output,
            )
        process.stdin.write(dumps(task).encode() + b"\n")
        process.stdin.flush()
        process.output_name = f"special-{name}.out"
        process.kind = kind
        return process

    def stop_special(self, process: Popen) -> None:
        """End further clients and read what they saw."""
        process.stdin.close()
        process.wait(30)
        lines = (self.directory / process.output_name).read_text().splitlines()
        exchanges = [Exchange(**loads(line)) for line in lines]
        with self._config_lock:
            self.special.setdefault(process.kind, []).extend(exchanges)

    def arrivals(self) -> list[Arrival]:
        """Return all requests that began to run."""
        return [arrival for host in self.hosts for arrival in host.backend_app.arrivals]
