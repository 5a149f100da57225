"""The fault-injecting proxy: starts and stops its tasks."""

from monsoonmill.standin.faults_control import FaultsHandler
from monsoonmill.standin.faults_settings import FaultsSettings
from monsoonmill.standin.faults_task import ProxyTask
from monsoonmill.standin.http_front_end import HttpFrontEnd

JOIN_TIMEOUT_S = 5.0
"""Longest wait for the proxy's task to end after it was asked to stop."""

CONTROL_THREADS = 2


class FaultsProxy:
    """A proxy that runs in this process.

    Attributes
    ----------
    ports : dict
        Listening port of each pair by the pair's name.
    """

    def __init__(self, settings: FaultsSettings):
        self._task = ProxyTask(settings)
        self.ports = self._task.ports
        bind_addr = (settings.proxy.host, settings.proxy.control_port)
        handler = FaultsHandler(self._task.post)
        self._front_end = HttpFrontEnd(bind_addr, CONTROL_THREADS, handler)

    def start(self) -> int:
        """Start to listen and forward bytes; return the control port."""
        control_port = self._front_end.listen()
        self._task.start()
        self._front_end.start()
        return control_port

    def stop(self) -> None:
        """Reset all connections and close all sockets."""
        self._front_end.stop()
        self._task.stop()
        self._task.join(JOIN_TIMEOUT_S)
