"""Fleets of real processes on the loopback interface, for integration tests."""

from contextlib import ExitStack
from json import dumps, loads
from pathlib import Path
from threading import Event

from attrs import define, field
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from monsoonmill.admin_client import AdminClient, AdminError
from monsoonmill.clock import SystemClock
from monsoonmill.load.launcher import HOST, Process, free_port, wait_for
from monsoonmill.model import Address

CLOCK = SystemClock()
MAX_RECORD_DELAY_S = 2.0
"""Time after the last answer within which a backend server records an end."""
RECORD_CHECK_INTERVAL_S = 0.05


@define(eq=False)
class NodeHost:
    """One host with the processes and settings of its node and backend server.

    Attributes
    ----------
    name : str
        Name of the node and of the backend server.
    node_settings, backend_settings : dict
        Contents of the settings files, by section.
    record_file : Path
        File to which the backend server appends its executions.
    is_down : bool
        Whether the test has stopped or suspended the node.
    admin : AdminClient
        Client of the node's administration API.
    """

    name: str
    node_settings: dict
    backend_settings: dict
    record_file: Path
    node: Process | None = None
    backend: Process | None = None
    is_down: bool = False
    admin: AdminClient = field(init=False)

    def __attrs_post_init__(self):
        self.admin = AdminClient.from_address(
            Address(HOST, self.node_settings["node"]["admin_port"]), timeout_s=5.0
        )

    @property
    def call_port(self):
        return self.node_settings["node"]["call_port"]

    @property
    def peer_port(self):
        return self.node_settings["node"]["peer_port"]

    def counter(self, name):
        """Return the value of a counter of the node; 0 if it has not counted yet."""
        return self.admin.counters().get(name, 0)

    def try_query(self, query):
        """Return the result of a query of the admin client; None if it failed."""
        try:
            return getattr(self.admin, query)()
        except AdminError:
            return None


class ProcessFleet:
    """The processes of one test: platform, nodes, backend servers and fault proxy."""

    def __init__(self, directory, node_settings=None, backend_settings=None):
        self.directory = Path(directory)
        self.hosts = []
        self.http = PoolManager(retries=False, timeout=5.0, maxsize=8)
        self.platform = None
        self.fault_proxy = None
        self._fault_proxy_port = 0
        self._node_settings = node_settings or {}
        self._backend_settings = backend_settings or {}
        self._exit_stack = ExitStack()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._exit_stack.close()

    def launch(self, kind, name, settings):
        """Start a process and register it to be ended when the fleet is closed."""
        process = Process.start(self.directory, kind, name, settings)
        self._exit_stack.callback(process.close)
        return process

    def start(self, size, proxied=False, services=("donkeys",)):
        """Start the platform and hosts; wait until the membership is complete.

        Parameters
        ----------
        size : int
            Number of hosts.
        proxied : bool
            Whether connections to the nodes' peer ports go through a fault proxy.
        services : tuple of str
            Services of the backend servers, assigned in turn.
        """
        server = {"port": 0, "threads": 16, "max_watches": 16}
        self.platform = self.launch("platform", "platform", {"server": server})
        self.platform.await_ready()
        hosts = [self.add_host(services[i % len(services)]) for i in range(size)]
        if proxied:
            self._start_fault_proxy(hosts)
        seeds = [self._advertised_address(host) for host in hosts[:2]]
        for host in hosts:
            host.node_settings["node"]["seeds"] = seeds
            host.node = self.launch("node", host.name, host.node_settings)
        for host in hosts:
            host.node.await_ready()
            self.start_backend(host)
        for host in hosts:
            host.backend.await_ready()
        self.await_membership()
        return self

    def add_host(self, service="donkeys"):
        """Add a host and return it, without starting its processes."""
        name = f"host-{len(self.hosts)}"
        ports = {f"{port}_port": free_port() for port in ("call", "peer", "admin")}
        ports["backend_port"] = free_port()
        data_centre_index = len(self.hosts) % 2
        node = {
            **ports,
            "name": name,
            "data_centre": f"dc-{data_centre_index + 1}",
            "random_seed": len(self.hosts) + 1,
            "log_level": "info",
        }
        platform = {"endpoints": [f"{HOST}:{self.platform.port}"]}
        node_settings = {**self._node_settings, "node": node, "platform": platform}
        record_file = self.directory / f"{name}.executions"
        backend_settings = self._make_backend_settings(
            name, service, ports, record_file
        )
        host = NodeHost(name, node_settings, backend_settings, record_file)
        self.hosts.append(host)
        return host

    def _make_backend_settings(self, name, service, ports, record_file):
        overrides = self._backend_settings
        backend = {
            "service": service,
            "name": name,
            "port": 0,
            "node": f"{HOST}:{ports['backend_port']}",
            "log_level": "warning",
            "random_seed": len(self.hosts) + 1,
        }
        faults = {**overrides.get("faults", {}), "record_file": str(record_file)}
        return {**overrides, "backend": backend, "faults": faults}

    def _start_fault_proxy(self, hosts):
        pairs = [
            {"name": host.name, "listen_port": 0, "target": f"{HOST}:{host.peer_port}"}
            for host in hosts
        ]
        settings = {"proxy": {"control_port": 0, "pairs": pairs, "log_level": "error"}}
        self.fault_proxy = self.launch("faults", "faults", settings).await_ready()
        proxy_state = loads(self.http.request("GET", self._faults_url()).data)
        ports = {pair["name"]: pair["port"] for pair in proxy_state["pairs"]}
        for host in hosts:
            host.node_settings["node"]["advertise_port"] = ports[host.name]

    def _faults_url(self):
        return f"http://{HOST}:{self.fault_proxy.port}/faults"

    def _advertised_address(self, host):
        node = host.node_settings["node"]
        return f"{HOST}:{node.get('advertise_port', node['peer_port'])}"

    def start_node(self, host):
        """Restart a host's node and wait until it reports that it is ready."""
        host.node = self.launch("node", host.name, host.node_settings).await_ready()
        host.is_down = False

    def start_backend(self, host):
        """Start a host's backend server without waiting until it is ready."""
        host.backend = self.launch(
            "backend", f"{host.name}-backend", host.backend_settings
        )

    @property
    def running_hosts(self):
        """Hosts whose nodes the test has not stopped or suspended."""
        return [host for host in self.hosts if not host.is_down]

    def await_membership(self, timeout_s=15.0):
        """Wait until each running node has every running host in its membership."""
        names = {host.name for host in self.running_hosts}
        wait_for(
            lambda: all(
                self._accepting_hosts(host) == names for host in self.running_hosts
            ),
            timeout_s,
            "all nodes have all backend servers in their membership",
        )

    def _accepting_hosts(self, host):
        """Return names of the hosts that a node regards as alive and accepting."""
        members = host.try_query("members") or {}
        return {
            name
            for name, member in members.items()
            if member["accepts_calls"] and member["state"] == "alive"
        }

    def await_removed(self, removed_host, timeout_s):
        """Wait until no running node regards a host as accepting calls."""
        wait_for(
            lambda: all(
                removed_host.name not in self._accepting_hosts(host)
                for host in self.running_hosts
            ),
            timeout_s,
            f"{removed_host.name} is no longer in the membership",
        )

    def await_revision(self, revision, timeout_s=5.0):
        """Wait until each running node applies a revision or a later one."""
        wait_for(
            lambda: all(
                self._current_revision(host) >= revision for host in self.running_hosts
            ),
            timeout_s,
            f"revision {revision} is in force at all nodes",
        )

    def _current_revision(self, host):
        config = host.try_query("config")
        return -1 if config is None else config.revision

    def set_platform_mode(self, mode, **values):
        """Set how the platform's key-value store handles requests."""
        self._post_control(self.platform.port, {"mode": mode, **values})

    def set_link_fault(self, mode, pair="", scope="all", **values):
        """Set the fault mode of the connections to one node, or to all by default."""
        body = dumps({"mode": mode, "pair": pair, "scope": scope, **values})
        response = self.http.request("POST", self._faults_url(), body=body)
        assert response.status == 200, response.data

    def control_backend(self, host, **values):
        """Change settings of a running backend server."""
        self._post_control(host.backend.port, values)

    def _post_control(self, port, doc):
        url = f"http://{HOST}:{port}/control"
        response = self.http.request("POST", url, body=dumps(doc))
        assert response.status == 200, response.data

    def executions(self):
        """Return the recorded executions of all backend servers.

        The record of an execution that has ended replaces that of its start.
        """
        records = {}
        for host in self.hosts:
            text = host.record_file.read_text() if host.record_file.exists() else ""
            for line_number, line in enumerate(text.splitlines()):
                doc = loads(line)
                key = (host.name, doc["started_s"], doc["number"])
                doc["host"], doc["line"] = host.name, line_number
                records[key] = doc
        return list(records.values())

    def has_ended_executions(self):
        """Return whether all recorded executions have ended or were cancelled."""
        return all(
            record["finished"] or record["cancelled"] for record in self.executions()
        )

    def await_ended_executions(self, timeout_s=MAX_RECORD_DELAY_S):
        """Wait until the ends of all executions are recorded, or for the time limit.

        An execution that never ends is left for the caller to find.
        """
        deadline = CLOCK.now() + timeout_s
        while not self.has_ended_executions() and CLOCK.now() < deadline:
            Event().wait(RECORD_CHECK_INTERVAL_S)

    def call(self, host, path, method="GET", headers=None, body=None, timeout_s=15.0):
        """Send a request to a node and return its response; None if none came."""
        url = f"http://{HOST}:{host.call_port}{path}"
        try:
            return self.http.request(
                method, url, headers=headers, body=body, timeout=timeout_s
            )
        except HTTPError:
            return None
