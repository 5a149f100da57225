"""The ``monsoon-node`` program."""

import sys
from resource import RLIMIT_NOFILE, getrlimit
from secrets import token_hex
from threading import Thread

from monsoonmill.clock import SystemClock
from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.decisions.core import NodeCore
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.errors import SettingsError
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.logs import configure_logging
from monsoonmill.messages import PEER_MESSAGES
from monsoonmill.node.admin import AdminApp
from monsoonmill.node.incarnation import new_incarnation
from monsoonmill.node.ingress import BackendApp, CallApp
from monsoonmill.node.shared_counters import SharedCounters
from monsoonmill.node.task import JOIN_MARGIN_S, NodeTask
from monsoonmill.node.task_client import NodeTaskClient
from monsoonmill.node.web import AppServer
from monsoonmill.program import create_stop_event, print_ready_line, run_service
from monsoonmill.settings import Settings

log = get_logger("program")

FAILURE_STATUS = 1
TOKEN_BYTES = 16
ADMIN_THREADS = 3
READY_TIMEOUT_S = 5.0
"""Maximum wait for readiness; the node then accepts calls regardless."""
SWITCH_INTERVAL_S = 0.0005
"""Time after which a thread releases the interpreter lock to a waiting thread."""
CALLERS_FRACTION = 0.5
SERVICE_FRACTION = 0.1
"""Of the process's descriptors, for connections of callers and of each other port; the
rest is for other nodes, the backend server, the store and files."""


def limit_connections(max_connections: int, fraction: float) -> int:
    """Return a limit on connections that leaves descriptors for everything else."""
    descriptors, _ = getrlimit(RLIMIT_NOFILE)
    return max(min(max_connections, int(descriptors * fraction)), 1)


class Node:
    """A node process: its task and its front ends."""

    def __init__(self, cfg: Settings):
        self.cfg = cfg
        config_codec = JsonConfigCodec()
        self.core = NodeCore(
            cfg,
            cfg.node.peer_address,
            new_incarnation(),
            config_codec,
            lambda: token_hex(TOKEN_BYTES),
            SharedCounters(),
        )
        codec = MsgpackCodec(PEER_MESSAGES)
        self.task = NodeTask(cfg, self.core, codec, SystemClock())
        task_client = NodeTaskClient(self.task)
        threads = cfg.http.crew_threads
        callers = limit_connections(cfg.http.max_connections, CALLERS_FRACTION)
        others = limit_connections(cfg.http.max_service_connections, SERVICE_FRACTION)
        admin_app = AdminApp(task_client, self.core.view, config_codec)
        self.servers = (
            self._server(cfg.node.call_port, CallApp(task_client), threads, callers),
            self._server(
                cfg.node.backend_port, BackendApp(task_client), threads, others
            ),
            self._server(cfg.node.admin_port, admin_app, ADMIN_THREADS, others),
        )

    @classmethod
    def from_settings(cls, cfg: Settings) -> "Node":
        """Return a node whose front ends are not open yet."""
        return cls(cfg)

    def _server(self, port, app, threads, max_connections):
        cfg = self.cfg
        return AppServer(
            cfg.node.host,
            port,
            app,
            threads,
            cfg.http,
            self.core.counters,
            max_connections,
        )

    def start(self) -> None:
        """Open the ports and start to serve; the port for callers comes last.

        Raises
        ------
        SettingsError
            A port could not be opened.
        """
        for server in self.servers:
            try:
                server.prepare()
            except OSError as exc:
                port = server.bind_addr[1]
                raise SettingsError("settings", "node", f"port {port}: {exc}") from exc
        self.task.start()
        call_server, *other_servers = self.servers
        for server in other_servers:
            Thread(target=server.serve, daemon=True).start()
        self.task.ready.wait(READY_TIMEOUT_S)
        Thread(target=call_server.serve, daemon=True).start()

    def drain(self) -> None:
        """Leave the fleet and wait until no call is in progress."""
        for server in self.servers:
            server.end_connections()
        self.task.post(DrainRequested())
        drain = self.cfg.drain
        self.task.drained.wait(drain.limit_s + drain.settle_ms / 1000 + 1)

    def stop(self) -> None:
        """Stop the task and close the ports."""
        for server in self.servers:
            server.stop()
        self.task.stop()
        self.task.join(self.cfg.drain.close_ms / 1000 + JOIN_MARGIN_S)


def monsoon_node(config: str | None = None) -> Settings:
    """Run a node for a local backend server; SIGTERM drains and stops it.

    Parameters
    ----------
    config : str, optional
        Settings file in TOML that overlays the defaults.
    """
    return Settings.from_file(None if config is None else str(config))


def serve(cfg: Settings) -> int:
    """Run a node until it is told to stop; return the exit status."""
    configure_logging(cfg.node.log_level)
    request_log.set_nonblocking()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stop_requested = create_stop_event()
    node = Node.from_settings(cfg)
    node.task.watch(lambda failure: stop_requested.set())
    node.start()
    log.info("started", node=node.core.node)
    print_ready_line(cfg.node.call_port)
    stop_requested.wait()
    node.drain()
    node.stop()
    log.info("ended", node=node.core.node)
    return FAILURE_STATUS if node.task.has_failed else 0


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    return run_service(monsoon_node, serve, argv)


if __name__ == "__main__":
    sys.exit(main())
