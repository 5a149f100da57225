"""Faults of the soak test, injected into running processes."""

from abc import ABC, abstractmethod
from random import Random
from subprocess import TimeoutExpired
from typing import ClassVar

from attrs import field, frozen

from monsoonmill.errors import MonsoonError
from tests.process_fleet import ProcessFleet


class ShutdownTimeoutError(MonsoonError):
    """A node did not shut down within the time limit."""


@frozen
class FaultTarget:
    """Component of the fleet that a fault affects.

    Attributes
    ----------
    component : str
        Kind of the component.
    host : int or None
        Index of the host; None for a component that all hosts share.
    """

    component: str
    host: int | None = None


@frozen
class Fault(ABC):
    """A fault of one component.

    Attributes
    ----------
    component : str
        Kind of the affected component; a component has one fault at a time.
    is_per_host : bool
        Whether each host has such a component.
    is_planned : bool
        Whether this is an operator's action, which must not interrupt a request.
    target : FaultTarget
        The affected component.
    parameters : dict
        Parameters of the fault, which depend on its kind.
    """

    component: ClassVar[str]
    is_per_host: ClassVar[bool] = True
    is_planned: ClassVar[bool] = False
    target: FaultTarget
    parameters: dict = field(factory=dict)

    @classmethod
    def make_random(cls, rng: Random, target: FaultTarget) -> "Fault":
        """Return a fault with random parameters."""
        return cls(target, cls.random_parameters(rng))

    @classmethod
    def random_parameters(cls, rng: Random) -> dict:
        """Return random parameters for this kind of fault."""
        return {}

    @abstractmethod
    def inject(self, fleet: ProcessFleet) -> None:
        """Inject the fault."""

    @abstractmethod
    def remove(self, fleet: ProcessFleet) -> None:
        """Remove the fault."""

    def host(self, fleet: ProcessFleet):
        """Return the affected host."""
        return fleet.hosts[self.target.host]


class NodeSuspended(Fault):
    """A node's process is suspended and later resumed."""

    component = "node"

    def inject(self, fleet):
        """Suspend the process."""
        self.host(fleet).node.suspend()

    def remove(self, fleet):
        """Resume the process."""
        self.host(fleet).node.resume()


class NodeKilled(Fault):
    """A node's process is killed and later restarted."""

    component = "node"

    def inject(self, fleet):
        """Kill the process."""
        host = self.host(fleet)
        host.is_down = True
        host.node.kill()

    def remove(self, fleet):
        """Start a new process without waiting until it is ready."""
        restart_node(fleet, self.host(fleet))


class NodeShutDown(Fault):
    """An operator shuts a node down and restarts it."""

    component = "node"
    is_planned = True

    def inject(self, fleet):
        """Ask the process to shut down."""
        host = self.host(fleet)
        host.is_down = True
        host.node.terminate()

    def remove(self, fleet):
        """Start a new process once the old one has exited."""
        host = self.host(fleet)
        try:
            host.node.popen.wait(SHUTDOWN_TIMEOUT_S)
        except TimeoutExpired as exc:
            host.node.kill()
            raise ShutdownTimeoutError(host.name) from exc
        finally:
            restart_node(fleet, host)


class BackendKilled(Fault):
    """A backend server's process is killed and later restarted."""

    component = "backend server"

    def inject(self, fleet):
        """Kill the process."""
        self.host(fleet).backend.kill()

    def remove(self, fleet):
        """Start a new process."""
        fleet.start_backend(self.host(fleet))


class BackendSuspended(Fault):
    """A backend server's process is suspended and later resumed."""

    component = "backend server"

    def inject(self, fleet):
        """Suspend the process."""
        self.host(fleet).backend.suspend()

    def remove(self, fleet):
        """Resume the process."""
        self.host(fleet).backend.resume()


class LinkFault(Fault):
    """The connections of other nodes to one node fail, stall or are slowed down."""

    component = "links"

    @classmethod
    def random_parameters(cls, rng):
        """Choose a mode of the fault proxy."""
        return rng.choice(
            (
                {"mode": "cut"},
                {"mode": "delay", "to_target_ms": 80, "to_client_ms": 80},
                {"mode": "one-way-loss", "lost": "to-client"},
                {"mode": "one-way-loss", "lost": "to-target"},
                {"mode": "blackhole", "scope": "all"},
                {"mode": "freeze", "scope": "existing"},
                {"mode": "limit", "bytes_per_s": 60_000},
            )
        )

    def inject(self, fleet):
        """Set the fault mode of the connections."""
        fleet.set_link_fault(pair=self.host(fleet).name, **self.parameters)

    def remove(self, fleet):
        """Let the connections pass data again."""
        fleet.set_link_fault("pass", pair=self.host(fleet).name)


class StoreFault(Fault):
    """The platform's key-value store is down, slow or loses responses."""

    component = "store"
    is_per_host = False

    @classmethod
    def random_parameters(cls, rng):
        """Choose a mode of the store."""
        return rng.choice(
            (
                {"mode": "down"},
                {"mode": "slow", "delay_ms": 800},
                {"mode": "lost-answers", "lost_percent": 50, "seed": rng.randrange(99)},
            )
        )

    def inject(self, fleet):
        """Set the mode of the store."""
        fleet.set_platform_mode(**self.parameters)

    def remove(self, fleet):
        """Return the store to normal operation."""
        fleet.set_platform_mode("up")


def restart_node(fleet: ProcessFleet, host) -> None:
    """Restart a host's node without waiting until it is ready."""
    host.node = fleet.launch("node", host.name, host.node_settings)
    host.is_down = False


SHUTDOWN_TIMEOUT_S = 25.0
"""``drain.limit_s`` of the tests' nodes, 20 s, and a margin."""
FAULTS = (
    NodeSuspended,
    NodeKilled,
    NodeShutDown,
    BackendKilled,
    BackendSuspended,
    LinkFault,
    StoreFault,
)
