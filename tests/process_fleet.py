"""Fleets of real processes on the loopback interface, for integration tests."""

from contextlib import ExitStack
from json import dumps, loads
from pathlib import Path

from attrs import define, field
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from monsoonmill.admin_client import AdminClient, AdminError
from monsoonmill.load.launcher import HOST, Process, free_port, wait_for
from monsoonmill.model import Address


@define(eq=False)
class NodeHost:
    """A host: its node and its backend server, and how to reach them."""

    name: str
    tables: dict
    backend_tables: dict
    record_file: Path
    node: Process | None = None
    backend: Process | None = None
    is_down: bool = False
    admin: AdminClient = field(init=False)

    def __attrs_post_init__(self):
        self.admin = AdminClient.from_address(
            Address(HOST, self.tables["node"]["admin_port"]), timeout_s=5.0
        )

    @property
    def call_port(self):
        return self.tables["node"]["call_port"]

    @property
    def peer_port(self):
        return self.tables["node"]["peer_port"]

    def counter(self, name):
        """Return one counter of the node."""
        return self.admin.counters().get(name, 0)

    def ask(self, what):
        """Return what the administration API answers; None for no answer."""
        try:
            return getattr(self.admin, what)()
        except AdminError:
            return None


class Fleet:
    """Platform, nodes, backend servers and proxies of one test."""

    def __init__(self, directory, node_tables=None, backend_tables=None):
        self.directory = Path(directory)
        self.hosts = []
        self.http = PoolManager(retries=False, timeout=5.0, maxsize=8)
        self.platform = None
        self.faults = None
        self._faults_port = 0
        self._node_tables = node_tables or {}
        self._backend_tables = backend_tables or {}
        self._stack = ExitStack()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def launch(self, kind, name, tables):
        """Start a process that ends with the test."""
        process = Process.start(self.directory, kind, name, tables)
        self._stack.callback(process.close)
        return process

    def start(self, size, proxied=False, services=("donkeys",)):
        """Start the platform and some hosts, and wait until all know all."""
        server = {"port": 0, "threads": 16, "max_watches": 16}
        self.platform = self.launch("platform", "platform", {"server": server})
        self.platform.await_ready()
        hosts = [self.add_host(services[i % len(services)]) for i in range(size)]
        if proxied:
            self._start_faults(hosts)
        seeds = [self._advertised(host) for host in hosts[:2]]
        for host in hosts:
            host.tables["node"]["seeds"] = seeds
            host.node = self.launch("node", host.name, host.tables)
        for host in hosts:
            host.node.await_ready()
            self.start_backend(host)
        for host in hosts:
            host.backend.await_ready()
        self.await_known()
        return self

    def add_host(self, service="donkeys"):
        """Return a host whose processes are not started yet."""
        name = f"host-{len(self.hosts)}"
        ports = {f"{one}_port": free_port() for one in ("call", "peer", "admin")}
        ports["backend_port"] = free_port()
        far = len(self.hosts) % 2
        node = {
            **ports,
            "name": name,
            "data_centre": f"dc-{far + 1}",
            "random_seed": len(self.hosts) + 1,
            "log_level": "info",
        }
        platform = {"endpoints": [f"{HOST}:{self.platform.port}"]}
        tables = {**self._node_tables, "node": node, "platform": platform}
        record_file = self.directory / f"{name}.executions"
        backend = self._backend_settings(name, service, ports, record_file)
        host = NodeHost(name, tables, backend, record_file)
        self.hosts.append(host)
        return host

    def _backend_settings(self, name, service, ports, record_file):
        given = self._backend_tables
        own = {
            "service": service,
            "name": name,
            "port": 0,
            "node": f"{HOST}:{ports['backend_port']}",
            "log_level": "warning",
            "random_seed": len(self.hosts) + 1,
        }
        faults = {**given.get("faults", {}), "record_file": str(record_file)}
        return {**given, "backend": own, "faults": faults}

    def _start_faults(self, hosts):
        pairs = [
            {"name": host.name, "listen_port": 0, "target": f"{HOST}:{host.peer_port}"}
            for host in hosts
        ]
        tables = {"proxy": {"control_port": 0, "pairs": pairs, "log_level": "error"}}
        self.faults = self.launch("faults", "faults", tables).await_ready()
        listed = loads(self.http.request("GET", self._faults_url()).data)
        ports = {pair["name"]: pair["port"] for pair in listed["pairs"]}
        for host in hosts:
            host.tables["node"]["advertise_port"] = ports[host.name]

    def _faults_url(self):
        return f"http://{HOST}:{self.faults.port}/faults"

    def _advertised(self, host):
        node = host.tables["node"]
        return f"{HOST}:{node.get('advertise_port', node['peer_port'])}"

    def start_node(self, host):
        """Start a host's node again and wait until it is known."""
        host.node = self.launch("node", host.name, host.tables).await_ready()
        host.is_down = False

    def start_backend(self, host):
        """Start a host's backend server; it may not be ready yet."""
        host.backend = self.launch(
            "backend", f"{host.name}-backend", host.backend_tables
        )

    @property
    def up(self):
        """Hosts whose nodes are meant to be up."""
        return [host for host in self.hosts if not host.is_down]

    def await_known(self, timeout_s=15.0):
        """Wait until each node that is up has heard of all backend servers."""
        names = {host.name for host in self.up}
        wait_for(
            lambda: all(self._accepting(host) == names for host in self.up),
            timeout_s,
            "all nodes know all backend servers",
        )

    def _accepting(self, host):
        members = host.ask("members") or {}
        return {
            name
            for name, one in members.items()
            if one["accepts_calls"] and one["state"] == "alive"
        }

    def await_gone(self, gone, timeout_s):
        """Wait until no node that is up has a host among its targets."""
        wait_for(
            lambda: all(gone.name not in self._accepting(one) for one in self.up),
            timeout_s,
            f"{gone.name} is out of use",
        )

    def await_revision(self, revision, timeout_s=5.0):
        """Wait until a configuration is in force at each node that is up."""
        wait_for(
            lambda: all(self._revision(host) >= revision for host in self.up),
            timeout_s,
            f"revision {revision} in force everywhere",
        )

    def _revision(self, host):
        config = host.ask("config")
        return -1 if config is None else config.revision

    def set_platform(self, mode, **values):
        """Change how the platform treats calls."""
        self._control(self.platform.port, {"mode": mode, **values})

    def set_link(self, mode, pair="", scope="all", **values):
        """Set a fault of the connections to a node."""
        body = dumps({"mode": mode, "pair": pair, "scope": scope, **values})
        response = self.http.request("POST", self._faults_url(), body=body)
        assert response.status == 200, response.data

    def control_backend(self, host, **values):
        """Change a backend server's behaviour."""
        self._control(host.backend.port, values)

    def _control(self, port, doc):
        url = f"http://{HOST}:{port}/control"
        response = self.http.request("POST", url, body=dumps(doc))
        assert response.status == 200, response.data

    def executions(self):
        """Return the started executions of all backend servers."""
        records = {}
        for host in self.hosts:
            text = host.record_file.read_text() if host.record_file.exists() else ""
            for number, line in enumerate(text.splitlines()):
                doc = loads(line)
                key = (host.name, doc["started_s"], doc["number"])
                doc["host"], doc["line"] = host.name, number
                records[key] = doc
        return list(records.values())

    def call(self, host, path, method="GET", headers=None, body=None, timeout_s=15.0):
        """Make one call; None if the node gave no answer."""
        url = f"http://{HOST}:{host.call_port}{path}"
        try:
            return self.http.request(
                method, url, headers=headers, body=body, timeout=timeout_s
            )
        except HTTPError:
            return None
