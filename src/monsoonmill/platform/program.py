"""The node's program on the users' platform."""

import gc
import os
import sys
from secrets import token_hex
from signal import SIGHUP, SIGINT, SIGTERM, signal
from threading import Event

from monsoonmill.clock import SystemClock
from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.core import NodeCore
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.errors import USER_ERROR_STATUS, UserError
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.http1.client import BackendPool
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.server import WebServer
from monsoonmill.logs import configure_logging
from monsoonmill.messages import PEER_MESSAGES
from monsoonmill.node.incarnation import new_incarnation
from monsoonmill.node.operators import OperatorApp
from monsoonmill.node.task import NodeTask
from monsoonmill.platform.backend import TargetProtocol
from monsoonmill.platform.callers import CallerApp
from monsoonmill.platform.config_codec import StoredConfigCodec
from monsoonmill.platform.heartbeats import HeartbeatApp
from monsoonmill.platform.ready import ReadyApp
from monsoonmill.platform.settings import GOODBYE_S, PlatformNode
from monsoonmill.platform.store_client import KvClient

SETTINGS_VARIABLE = "MONSOONMILL_NODE_FILE"
TOKEN_BYTES = 16
HEADER_S = 10.0
"""Longest time for a request's headers; operators allow less to clients."""
BACKEND_IDLE_S = 8.0
"""Backend servers close connections that were idle for 10 s."""
GC_THRESHOLD = 50_000
"""Objects between collections; few of a call's objects are in cycles."""

log = get_logger("program")


class PlatformProgram:
    """A node behind the platform's interface."""

    def __init__(self, path: str):
        self._path = path
        self.place = place = PlatformNode.from_file(path)
        cfg = place.settings
        self._stopped = Event()
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
            HEADER_S,
        )
        operators = OperatorApp(self.core, lambda: self.task.latency)
        callers = WebServer(place.callers, CallerApp(place.service), limits)
        components = (
            WebServer(place.ready, ReadyApp(self.is_ready), limits),
            WebServer(place.heartbeats, HeartbeatApp(place.backend), limits),
            WebServer(place.operators, operators, limits),
            callers,
            BackendPool(
                TargetProtocol(),
                ConnectionLimits(
                    cfg.http.max_header_bytes,
                    cfg.http.max_body_bytes,
                    BACKEND_IDLE_S,
                    HEADER_S,
                ),
            ),
        )
        self.task = NodeTask(
            cfg,
            self.core,
            MsgpackCodec(PEER_MESSAGES),
            SystemClock(),
            components,
            KvClient.from_settings,
        )

    def is_ready(self) -> bool:
        """Return whether callers are welcome."""
        has_config = self.core.view.config.revision > 0
        return has_config and self.task.ready.is_set() and not self._stopped.is_set()

    def run(self) -> None:
        """Serve until SIGTERM, finish what is under way, and return."""
        for number in (SIGTERM, SIGINT):
            signal(number, lambda *_: self._stopped.set())
        signal(SIGHUP, lambda *_: self._reload())
        self.task.start()
        log.info("started", node=self.core.node, service=self.place.service)
        self._stopped.wait()
        log.info("stopping", node=self.core.node)
        self.task.post(DrainRequested())
        drain = self.place.settings.drain
        self.task.drained.wait(drain.settle_ms / 1000 + drain.limit_s)
        self.task.stop()
        self.task.join(GOODBYE_S)
        log.info("ended", node=self.core.node)

    def _reload(self):
        """Read the settings again and tell what a restart would change."""
        try:
            place = PlatformNode.from_file(self._path)
        except UserError as exc:
            log.warning("reload_failed", error=str(exc))
            return
        log.info("reloaded", changed=place != self.place)


def main() -> int:
    """Run the program and return its exit status."""
    configure_logging("info", json_lines=True)
    request_log.set_nonblocking()
    gc.set_threshold(GC_THRESHOLD)
    try:
        program = PlatformProgram(os.environ.get(SETTINGS_VARIABLE, ""))
    except UserError as exc:
        sys.stderr.write(f"{exc}\n")
        return USER_ERROR_STATUS
    program.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
