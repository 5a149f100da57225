"""A fleet of real processes on this machine, laid out like a deployment."""

from contextlib import ExitStack
from itertools import product
from json import loads
from pathlib import Path

from attrs import define, field, frozen
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from monsoonmill.load.launcher import HOST, Process, free_port, wait_for
from monsoonmill.model import Address

KNOWN_TIMEOUT_S = 30.0
HTTP_TIMEOUT_S = 30.0
REGIONS = ("north", "south")
DATA_CENTRES = ("1", "2")


@frozen
class HostPlan:
    """Where a host stands and what its backend server does."""

    name: str
    region: str
    data_centre: str
    service: str
    backend: dict = field(factory=dict)


@define(eq=False)
class Host:
    """A host's processes and ports."""

    plan: HostPlan
    ports: dict[str, int]
    node: Process
    backend: Process

    @property
    def call_address(self) -> Address:
        """Address for callers."""
        return Address(HOST, self.ports["call_port"])


def lay_out(service: str, count: int, backend: dict) -> list[HostPlan]:
    """Spread a service's hosts over two regions with two data centres each."""
    places = list(product(DATA_CENTRES, REGIONS))
    plans = []
    for number in range(count):
        data_centre, region = places[number % len(places)]
        name = f"{service}-{number}"
        place = f"{region}-{data_centre}"
        plans.append(HostPlan(name, region, place, service, backend))
    return plans


class SmallFleet:
    """Platform, nodes and backend servers; ends them when it is closed."""

    def __init__(self, directory: str, node_tables: dict | None = None):
        self.directory = Path(directory)
        self.hosts: list[Host] = []
        self.platform: Process | None = None
        self._node_tables = node_tables or {}
        self._http = PoolManager(retries=False, timeout=HTTP_TIMEOUT_S)
        self._stack = ExitStack()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def start(self, plans: list[HostPlan]) -> "SmallFleet":
        """Start all processes and wait until the nodes know one another."""
        self.platform = self._launch("platform", "platform", {"server": {"port": 0}})
        self.platform.await_ready()
        seeds = []
        for plan in plans:
            ports = {
                f"{name}_port": free_port()
                for name in ("call", "peer", "admin", "backend")
            }
            self.hosts.append(self._start_host(plan, ports, list(seeds)))
            seeds = [*seeds, f"{HOST}:{ports['peer_port']}"][:2]
        for host in self.hosts:
            host.node.await_ready()
            host.backend.await_ready()
        wait_for(self._all_known, KNOWN_TIMEOUT_S, "all nodes know all others")
        return self

    def _launch(self, kind, name, tables):
        process = Process.start(self.directory, kind, name, tables)
        self._stack.callback(process.close)
        return process

    def _start_host(self, plan, ports, seeds):
        node = {
            **ports,
            "name": plan.name,
            "region": plan.region,
            "data_centre": plan.data_centre,
            "seeds": seeds,
            "log_level": "warning",
        }
        platform = {"endpoints": [f"{HOST}:{self.platform.port}"]}
        tables = {**self._node_tables, "node": node, "platform": platform}
        backend = {
            "service": plan.service,
            "name": plan.name,
            "port": 0,
            "node": f"{HOST}:{ports['backend_port']}",
            "log_level": "error",
        }
        record = {"record_file": str(self._record_file(plan))}
        backend_tables = {**plan.backend, "backend": backend, "faults": record}
        return Host(
            plan,
            ports,
            self._launch("node", plan.name, tables),
            self._launch("backend", f"{plan.name}-backend", backend_tables),
        )

    def _record_file(self, plan):
        return self.directory / f"{plan.name}.executions"

    def _all_known(self):
        names = {host.plan.name for host in self.hosts}
        return all(self._accepting(host) == names for host in self.hosts)

    def _accepting(self, host):
        members = self.ask(host, "/members") or {}
        return {name for name, one in members.items() if one["accepts_calls"]}

    def ask(self, host: Host, path: str) -> dict | None:
        """Return a document of a node's administration API; None if it is down."""
        url = f"http://{HOST}:{host.ports['admin_port']}{path}"
        try:
            return loads(self._http.request("GET", url).data)
        except HTTPError:
            return None

    def accept_note(self, text: str) -> int:
        """Have a release note accepted and in force; return its revision."""
        url = f"http://{HOST}:{self.hosts[0].ports['admin_port']}/notes"
        answer = loads(self._http.request("POST", url, body=text.encode()).data)
        revision = answer["revision"]
        wait_for(
            lambda: all(self._revision(host) >= revision for host in self.hosts),
            KNOWN_TIMEOUT_S,
            f"revision {revision} in force everywhere",
        )
        return revision

    def _revision(self, host):
        config = self.ask(host, "/config")
        return config["revision"] if config else -1

    def executions(self) -> list[dict]:
        """Return the started executions of all backend servers."""
        started = {}
        for host in self.hosts:
            path = self._record_file(host.plan)
            text = path.read_text(encoding="utf-8") if path.exists() else ""
            for line in text.splitlines():
                doc = loads(line)
                started[(host.plan.name, doc["started_s"], doc["number"])] = doc
        return list(started.values())

    def counters(self) -> dict[str, int]:
        """Return the sums of the counters of all nodes that are up."""
        sums: dict[str, int] = {}
        for host in self.hosts:
            for name, value in (self.ask(host, "/counters") or {}).items():
                sums[name] = sums.get(name, 0) + value
        return sums
