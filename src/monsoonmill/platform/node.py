"""A node with the interfaces of the platform."""

import gc
import os
import sys
from secrets import token_hex
from signal import SIGHUP
from time import monotonic

from attrs import evolve

from monsoonmill.clock import SystemClock
from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.core import NodeCore
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.errors import USER_ERROR_STATUS, UserError
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.http1.client import BackendPool
from monsoonmill.http1.memory_budget import MemoryBudget
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.server import WebServer
from monsoonmill.logs import configure_logging
from monsoonmill.messages import PEER_MESSAGES
from monsoonmill.node.incarnation import new_incarnation
from monsoonmill.node.operators import OperatorApp
from monsoonmill.node.task import JOIN_MARGIN_S, NodeTask
from monsoonmill.platform.backend import PlatformBackendProtocol
from monsoonmill.platform.callers import CallerApp
from monsoonmill.platform.config_codec import StoredConfigCodec
from monsoonmill.platform.heartbeats import HeartbeatApp
from monsoonmill.platform.readiness import ReadinessApp
from monsoonmill.platform.settings import NodeFile
from monsoonmill.platform.store_client import KvClient
from monsoonmill.process import STOP_SIGNALS, ProcessInbox, run_delay_s
from monsoonmill.task import TaskFailed

NODE_FILE_VARIABLE = "MONSOONMILL_NODE_FILE"
FAILURE_STATUS = 1
TOKEN_BYTES = 16
HEADER_TIMEOUT_S = 10.0
"""Time limit for a request's headers; operators give clients less time."""
BACKEND_IDLE_TIMEOUT_S = 8.0
"""Below the 10 s after which backend servers close idle connections."""
NODE_FILE_WAIT_S = 2.0
"""Time for which a node file that is unusable at the start is read again."""
NODE_FILE_RETRY_S = 0.05
GC_THRESHOLD = 50_000
"""Allocations between collections; few of a call's objects are in cycles."""

log = get_logger("program")


class PlatformNode:
    """A node with the platform's HTTP interfaces.

    Parameters
    ----------
    path : str
        Path of the node file.
    node_file : NodeFile
        Contents of the node file at the start.
    inbox : ProcessInbox
        Source of the signals to stop and to read the node file again.
    """

    def __init__(self, path: str, node_file: NodeFile, inbox: ProcessInbox):
        self._path = path
        self._inbox = inbox
        self.node_file = node_file
        cfg = node_file.settings
        self._is_stopping = False
        clock = SystemClock()
        self.core = NodeCore(
            cfg,
            cfg.node.peer_address,
            new_incarnation(),
            StoredConfigCodec(),
            lambda: token_hex(TOKEN_BYTES),
            Counters(),
        )
        limits = ConnectionLimits(
            cfg.http.max_header_bytes,
            cfg.http.max_body_bytes,
            float(cfg.http.idle_connection_s),
            HEADER_TIMEOUT_S,
            cfg.http.max_buffered_bytes,
            cfg.http.max_header_lines,
            cfg.http.max_service_connections,
        )
        memory = MemoryBudget(cfg.http.max_held_bytes)
        operator_app = OperatorApp(self.core, clock, lambda: self.task.latency)
        apps = (
            (node_file.readiness_address, ReadinessApp(self.is_ready), limits),
            (
                node_file.heartbeats_address,
                HeartbeatApp(node_file.backend_address, clock),
                limits,
            ),
            (node_file.operators_address, operator_app, limits),
            (
                node_file.callers_address,
                CallerApp(node_file.service),
                evolve(limits, max_connections=cfg.http.max_connections),
            ),
        )
        components = (
            *(WebServer(*app, memory, self.core.counters) for app in apps),
            BackendPool(
                PlatformBackendProtocol(),
                evolve(limits, idle_s=BACKEND_IDLE_TIMEOUT_S),
            ),
        )
        self.task = NodeTask(
            cfg,
            self.core,
            MsgpackCodec(PEER_MESSAGES),
            clock,
            components,
            KvClient.from_settings,
        )

    def is_ready(self) -> bool:
        """Return whether the node accepts calls."""
        has_config = self.core.view.config.revision > 0
        is_leaving = self._is_stopping or self.core.draining.is_draining
        return has_config and self.task.ready.is_set() and not is_leaving

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, drain, and return the exit status.

        A process whose task has failed ends at once, so that the platform starts it
        again.
        """
        self.task.watch(self._inbox.post)
        self.task.start()
        log.info(
            "started",
            node=self.core.node,
            service=self.node_file.service,
            run_delay_s=run_delay_s(),
        )
        while (message := self._inbox.take()) not in STOP_SIGNALS:
            if message == SIGHUP:
                self._reload()
            elif isinstance(message, TaskFailed):
                log.warning("task_failed", task=message.task, error=message.error)
                return FAILURE_STATUS
        self._is_stopping = True
        log.info("stopping", node=self.core.node, run_delay_s=run_delay_s())
        drain = self.node_file.settings.drain
        # All limits count from the request to stop, since the grace period does.
        drained_by = monotonic() + drain.settle_ms / 1000 + drain.limit_s
        closed_by = drained_by + drain.close_ms / 1000 + JOIN_MARGIN_S
        self.task.post(DrainRequested())
        is_drained = self.task.drained.wait(max(drained_by - monotonic(), 0.0))
        self.task.stop()
        has_closed = self.task.join(max(closed_by - monotonic(), 0.0))
        log.info(
            "ended",
            node=self.core.node,
            drained=is_drained,
            sockets_closed=has_closed,
            run_delay_s=run_delay_s(),
        )
        return FAILURE_STATUS if self.task.has_failed else 0

    def _reload(self):
        """Read the node file again and log whether a restart would apply changes."""
        try:
            node_file = NodeFile.from_file(self._path)
        except UserError as exc:
            log.warning("reload_failed", error=str(exc))
            return
        log.info("reloaded", changed=node_file != self.node_file)


def read_node_file(path: str, inbox: ProcessInbox) -> NodeFile | None:
    """Return the contents of the node file, or None if the process is to stop.

    A file that is unusable may be in the middle of its replacement, so it is read again
    for some time.

    Raises
    ------
    SettingsError
        The file is still unusable.
    """
    deadline = monotonic() + NODE_FILE_WAIT_S
    has_failed = False
    while not inbox.has_stop_signal():
        try:
            return NodeFile.from_file(path)
        except UserError as exc:
            if monotonic() >= deadline:
                raise
            if not has_failed:
                log.warning("node_file_unusable", error=str(exc))
            has_failed = True
        inbox.wait(NODE_FILE_RETRY_S)
    return None


def serve(inbox: ProcessInbox) -> int:
    """Run a node until it is told to stop; return the exit status."""
    configure_logging("info", json_lines=True)
    request_log.set_nonblocking()
    # The objects that the imports created are not examined by later collections.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    path = os.environ.get(NODE_FILE_VARIABLE, "")
    try:
        node_file = read_node_file(path, inbox)
    except UserError as exc:
        sys.stderr.write(f"{exc}\n")
        return USER_ERROR_STATUS
    if node_file is None:
        log.info("ended_before_start")
        return 0
    return PlatformNode(path, node_file, inbox).run()
