"""Fleet of nodes, backend servers and a platform, run as local processes.

Its regions, data centres and hosts are laid out as in a deployment.
"""

from contextlib import ExitStack
from itertools import product
from json import loads
from pathlib import Path

from attrs import define, field, frozen
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from monsoonmill.load.launcher import HOST, Process, free_port, wait_for
from monsoonmill.model import Address

CONVERGENCE_TIMEOUT_S = 30.0
HTTP_TIMEOUT_S = 30.0
REGIONS = ("north", "south")
DATA_CENTRES = ("1", "2")


@frozen
class HostPlan:
    """Location of a host, and its backend server's settings."""

    name: str
    region: str
    data_centre: str
    service: str
    backend: dict = field(factory=dict)


@define(eq=False)
class Host:
    """Processes and ports of a host."""

    plan: HostPlan
    ports: dict[str, int]
    node: Process
    backend: Process

    @property
    def call_address(self) -> Address:
        """Address at which the node accepts calls."""
        return Address(HOST, self.ports["call_port"])


def plan_hosts(service: str, count: int, backend: dict) -> list[HostPlan]:
    """Distribute a service's hosts over two regions with two data centres each."""
    locations = list(product(DATA_CENTRES, REGIONS))
    plans = []
    for number in range(count):
        data_centre, region = locations[number % len(locations)]
        name = f"{service}-{number}"
        full_name = f"{region}-{data_centre}"
        plans.append(HostPlan(name, region, full_name, service, backend))
    return plans


class LocalFleet:
    """Platform, nodes and backend servers; a context manager that stops them."""

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

    def start(self, plans: list[HostPlan]) -> "LocalFleet":
        """Start all processes and wait until each node knows all backend servers."""
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
        wait_for(
            self._is_converged,
            CONVERGENCE_TIMEOUT_S,
            "all nodes know all backend servers",
        )
        return self

    def _launch(self, kind, name, tables):
        process = Process.start(self.directory, kind, name, tables)
        self._stack.callback(process.close)
        return process

    def _start_host(self, plan, ports, seeds):
        node_section = {
            **ports,
            "name": plan.name,
            "region": plan.region,
            "data_centre": plan.data_centre,
            "seeds": seeds,
            "log_level": "warning",
        }
        platform_section = {"endpoints": [f"{HOST}:{self.platform.port}"]}
        node_tables = {
            **self._node_tables,
            "node": node_section,
            "platform": platform_section,
        }
        backend_section = {
            "service": plan.service,
            "name": plan.name,
            "port": 0,
            "node": f"{HOST}:{ports['backend_port']}",
            "log_level": "error",
        }
        faults_section = {"record_file": str(self._record_file(plan))}
        backend_tables = {
            **plan.backend,
            "backend": backend_section,
            "faults": faults_section,
        }
        return Host(
            plan,
            ports,
            self._launch("node", plan.name, node_tables),
            self._launch("backend", f"{plan.name}-backend", backend_tables),
        )

    def _record_file(self, plan):
        return self.directory / f"{plan.name}.executions"

    def _is_converged(self):
        names = {host.plan.name for host in self.hosts}
        return all(self._accepting_names(host) == names for host in self.hosts)

    def _accepting_names(self, host):
        members = self.fetch(host, "/members") or {}
        return {name for name, member in members.items() if member["accepts_calls"]}

    def fetch(self, host: Host, path: str) -> dict | None:
        """Return a document of the administration API, or None if it is unreachable."""
        url = f"http://{HOST}:{host.ports['admin_port']}{path}"
        try:
            return loads(self._http.request("GET", url).data)
        except HTTPError:
            return None

    def submit_note(self, text: str) -> int:
        """Submit a release note and return its revision once all nodes apply it."""
        url = f"http://{HOST}:{self.hosts[0].ports['admin_port']}/notes"
        response = loads(self._http.request("POST", url, body=text.encode()).data)
        revision = response["revision"]
        wait_for(
            lambda: all(self._revision(host) >= revision for host in self.hosts),
            CONVERGENCE_TIMEOUT_S,
            f"revision {revision} in force on all nodes",
        )
        return revision

    def _revision(self, host):
        config = self.fetch(host, "/config")
        return config["revision"] if config else -1

    def executions(self) -> list[dict]:
        """Return the last record of each execution that a backend server started."""
        records = {}
        for host in self.hosts:
            path = self._record_file(host.plan)
            text = path.read_text(encoding="utf-8") if path.exists() else ""
            for line in text.splitlines():
                doc = loads(line)
                records[(host.plan.name, doc["started_s"], doc["number"])] = doc
        return list(records.values())

    def counters(self) -> dict[str, int]:
        """Return the counters, summed over all nodes that are reachable."""
        sums: dict[str, int] = {}
        for host in self.hosts:
            for name, value in (self.fetch(host, "/counters") or {}).items():
                sums[name] = sums.get(name, 0) + value
        return sums
