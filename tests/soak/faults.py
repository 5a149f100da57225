"""The faults of the soak, each injected into the running processes from outside."""

from abc import ABC, abstractmethod
from random import Random
from subprocess import TimeoutExpired
from typing import ClassVar

from attrs import field, frozen

from monsoonmill.errors import MonsoonError
from tests.process_fleet import Fleet


class LateStopError(MonsoonError):
    """A node that was asked to end was still there after its time."""


@frozen
class Place:
    """Part of the fleet that a fault concerns.

    Attributes
    ----------
    host : int or None
        Number of the host; None for what all share.
    """

    part: str
    host: int | None = None


@frozen
class Fault(ABC):
    """A fault at one place.

    Attributes
    ----------
    part : str
        Kind of the place; a place has one fault at a time.
    is_planned : bool
        Whether operators do this, so that no request may suffer from it.
    """

    part: ClassVar[str]
    has_host: ClassVar[bool] = True
    is_planned: ClassVar[bool] = False
    place: Place
    values: dict = field(factory=dict)

    @classmethod
    def draw(cls, rng: Random, place: Place) -> "Fault":
        """Return one with values that a random number generator chooses."""
        return cls(place, cls.draw_values(rng))

    @classmethod
    def draw_values(cls, rng: Random) -> dict:
        """Return the values of the fault."""
        return {}

    @abstractmethod
    def begin(self, fleet: Fleet) -> None:
        """Inject the fault."""

    @abstractmethod
    def end(self, fleet: Fleet) -> None:
        """Take the fault away."""

    def host(self, fleet: Fleet):
        """Return the host that the fault concerns."""
        return fleet.hosts[self.place.host]


class NodePaused(Fault):
    """A node's process is stopped for a while and goes on."""

    part = "node"

    def begin(self, fleet):
        """Stop its execution."""
        self.host(fleet).node.suspend()

    def end(self, fleet):
        """Let it go on."""
        self.host(fleet).node.resume()


class NodeKilled(Fault):
    """A node's process is killed and started again."""

    part = "node"

    def begin(self, fleet):
        """Kill it."""
        host = self.host(fleet)
        host.is_down = True
        host.node.kill()

    def end(self, fleet):
        """Start another one; it may take a moment to be ready."""
        restart_node(fleet, self.host(fleet))


class NodeStopped(Fault):
    """An operator stops a node and starts it again."""

    part = "node"
    is_planned = True

    def begin(self, fleet):
        """Ask it to end."""
        host = self.host(fleet)
        host.is_down = True
        host.node.terminate()

    def end(self, fleet):
        """Start another one once it has ended."""
        host = self.host(fleet)
        try:
            host.node.popen.wait(STOP_LIMIT_S)
        except TimeoutExpired as exc:
            host.node.kill()
            raise LateStopError(host.name) from exc
        finally:
            restart_node(fleet, host)


class BackendKilled(Fault):
    """A backend server crashes and starts again."""

    part = "backend server"

    def begin(self, fleet):
        """Kill it."""
        self.host(fleet).backend.kill()

    def end(self, fleet):
        """Start another one."""
        fleet.start_backend(self.host(fleet))


class BackendPaused(Fault):
    """A backend server's process is stopped for a while and goes on."""

    part = "backend server"

    def begin(self, fleet):
        """Stop its execution."""
        self.host(fleet).backend.suspend()

    def end(self, fleet):
        """Let it go on."""
        self.host(fleet).backend.resume()


class LinkFault(Fault):
    """The connections of other nodes to one node are harmed."""

    part = "links"

    @classmethod
    def draw_values(cls, rng):
        """Choose what happens to the connections."""
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

    def begin(self, fleet):
        """Harm them."""
        fleet.set_link(pair=self.host(fleet).name, **self.values)

    def end(self, fleet):
        """Let them work again."""
        fleet.set_link("pass", pair=self.host(fleet).name)


class StoreFault(Fault):
    """The platform's key-value service misbehaves."""

    part = "store"
    has_host = False

    @classmethod
    def draw_values(cls, rng):
        """Choose how."""
        return rng.choice(
            (
                {"mode": "down"},
                {"mode": "slow", "delay_ms": 800},
                {"mode": "lost-answers", "lost_percent": 50, "seed": rng.randrange(99)},
            )
        )

    def begin(self, fleet):
        """Let it misbehave."""
        fleet.set_platform(**self.values)

    def end(self, fleet):
        """Let it work again."""
        fleet.set_platform("up")


def restart_node(fleet: Fleet, host) -> None:
    """Start a host's node again without waiting for it."""
    host.node = fleet.launch("node", host.name, host.tables)
    host.is_down = False


STOP_LIMIT_S = 25.0
"""Longest time of a stop: ``drain.limit_s`` of the tests' nodes, and a margin."""
FAULTS = (
    NodePaused,
    NodeKilled,
    NodeStopped,
    BackendKilled,
    BackendPaused,
    LinkFault,
    StoreFault,
)
