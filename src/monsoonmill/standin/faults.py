"""The fault-injecting proxy, put together from its tasks."""

from monsoonmill.standin.faults_control import FaultsHandler
from monsoonmill.standin.faults_settings import FaultsSettings
from monsoonmill.standin.faults_task import ProxyTask
from monsoonmill.standin.http_front_end import HttpFrontEnd

END_LIMIT_S = 5.0
CONTROL_THREADS = 2


class FaultsProxy:
    """A proxy within this process.

    Attributes
    ----------
    ports : dict
        Listening port of each pair by its name.
    """

    def __init__(self, settings: FaultsSettings):
        self._task = ProxyTask(settings)
        self.ports = self._task.ports
        bind_addr = (settings.proxy.host, settings.proxy.control_port)
        handler = FaultsHandler(self._task.post)
        self._front = HttpFrontEnd(bind_addr, CONTROL_THREADS, handler)

    def start(self) -> int:
        """Listen and move bytes; return the control port."""
        control_port = self._front.listen()
        self._task.start()
        self._front.start()
        return control_port

    def stop(self) -> None:
        """Reset all connections and close all sockets."""
        self._front.stop()
        self._task.stop()
        self._task.join(END_LIMIT_S)
