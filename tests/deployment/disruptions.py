"""Disruptions of a deployment: each is a task that acts on the fleet from outside."""

from abc import ABC, abstractmethod
from random import Random
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGTERM
from socket import SO_REUSEADDR, SOL_SOCKET, socket
from threading import Event, Lock
from time import monotonic

from attrs import define, field, frozen

from tests.deployment.fleet import PORTS, DeploymentFleet

RESTART_DELAY_S = 0.2
"""Time after the end of a process at which it is started again."""
MAX_START_S = 0.9
"""Signals of a start are sent within this time after it."""


@frozen
class Span:
    """A time in which a disruption acted.

    Attributes
    ----------
    kind : str
        Name of the disruption.
    machines : frozenset of int
        Machines whose processes it disturbed.
    is_planned : bool
        Whether it is planned work, which must cut off no request.
    """

    kind: str
    start: float
    end: float
    machines: frozenset[int]
    is_planned: bool


@define
class Stage:
    """What the disruptions of a run share.

    Attributes
    ----------
    spans : list of Span
        What was done, for the checks.
    """

    fleet: DeploymentFleet
    rng: Random
    spans: list[Span] = field(factory=list)
    ending: Event = field(factory=Event)
    _busy: set[int] = field(factory=set)
    _lock: Lock = field(factory=Lock)

    def reserve(self, count: int) -> list[int]:
        """Return random machines that no other disruption of processes holds."""
        with self._lock:
            free = [n for n in range(len(self.fleet.hosts)) if n not in self._busy]
            chosen = self.rng.sample(free, min(count, len(free)))
            self._busy.update(chosen)
            return chosen

    @property
    def busy(self) -> frozenset[int]:
        """Machines that a disruption of processes holds."""
        with self._lock:
            return frozenset(self._busy)

    def release(self, number: int) -> None:
        """Make a machine available for other disruptions."""
        with self._lock:
            self._busy.discard(number)

    def record(self, kind, start, machines, is_planned) -> None:
        """Record a disruption that ends now."""
        span = Span(kind, start, monotonic(), frozenset(machines), is_planned)
        with self._lock:
            self.spans.append(span)


class Disruption(ABC):
    """A kind of disruption."""

    is_planned = False

    @abstractmethod
    def run(self, stage: Stage) -> None:
        """Disturb the deployment, and return when it is over."""


class RollingStop(Disruption):
    """Nodes get SIGTERM in turn and are started again when they have ended."""

    is_planned = True

    def __init__(self, share: float, gap_s: float):
        self.share = share
        self.gap_s = gap_s

    def run(self, stage: Stage) -> None:
        """Stop a share of the machines, some at the same time if the gap is short."""
        fleet = stage.fleet
        numbers = stage.reserve(round(self.share * len(fleet.hosts)))
        started = {}
        for number in numbers:
            started[number] = monotonic()
            fleet.terminate(number)
            stage.ending.wait(self.gap_s)
        for number in numbers:
            fleet.await_end(number)
            stage.ending.wait(RESTART_DELAY_S)
            fleet.launch(fleet.hosts[number])
            stage.record("stop", started[number], (number,), True)
            stage.release(number)


class StopDuringStart(Disruption):
    """A node is killed, started again and gets a signal before it is ready."""

    def __init__(self, signal_number: int, delay_s: float):
        self.signal_number = signal_number
        self.delay_s = delay_s

    def run(self, stage: Stage) -> None:
        """Disturb one start."""
        fleet = stage.fleet
        start = monotonic()
        for number in stage.reserve(1):
            fleet.kill_node(number)
            fleet.launch(fleet.hosts[number])
            stage.ending.wait(self.delay_s)
            if self.signal_number == SIGTERM:
                fleet.terminate(number)
                fleet.await_end(number)
                fleet.launch(fleet.hosts[number])
            else:
                fleet.hosts[number].process.send_signal(self.signal_number)
            stage.record("start", start, (number,), False)
            stage.release(number)


class Kill(Disruption):
    """A share of the nodes is killed at once and started again."""

    def __init__(self, share: float, down_s: float):
        self.share = share
        self.down_s = down_s

    def run(self, stage: Stage) -> None:
        """Kill the nodes of some machines."""
        fleet = stage.fleet
        start = monotonic()
        numbers = stage.reserve(max(1, round(self.share * len(fleet.hosts))))
        for number in numbers:
            fleet.kill_node(number)
        stage.ending.wait(self.down_s)
        for number in numbers:
            fleet.launch(fleet.hosts[number])
        stage.record("kill", start, numbers, False)
        for number in numbers:
            stage.release(number)


class Freeze(Disruption):
    """A node is suspended for some seconds."""

    def __init__(self, for_s: float):
        self.for_s = for_s

    def run(self, stage: Stage) -> None:
        """Suspend the node of one machine."""
        start = monotonic()
        for number in stage.reserve(1):
            process = stage.fleet.hosts[number].process
            process.send_signal(SIGSTOP)
            stage.ending.wait(self.for_s)
            process.send_signal(SIGCONT)
            stage.record("freeze", start, (number,), False)
            stage.release(number)


class TakenPort(Disruption):
    """A node is stopped, and one of its ports is still taken when it starts again."""

    def __init__(self, port: str, for_s: float):
        self.port = port
        self.for_s = for_s

    def run(self, stage: Stage) -> None:
        """Stop one node and hold one of its ports for a while."""
        fleet = stage.fleet
        start = monotonic()
        for number in stage.reserve(1):
            fleet.terminate(number)
            fleet.await_end(number)
            with socket() as sock:
                sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
                sock.bind((fleet.hosts[number].ip, PORTS[self.port]))
                sock.listen()
                fleet.launch(fleet.hosts[number])
                stage.ending.wait(self.for_s)
            stage.record("taken-port", start, (number,), False)
            stage.release(number)


class SettingsChange(Disruption):
    """Nodes get SIGHUP; their settings are as before."""

    is_planned = True

    def __init__(self, share: float):
        self.share = share

    def run(self, stage: Stage) -> None:
        """Send SIGHUP to a share of the machines."""
        start = monotonic()
        fleet = stage.fleet
        numbers = stage.reserve(max(1, round(self.share * len(fleet.hosts))))
        for number in numbers:
            fleet.hosts[number].process.send_signal(SIGHUP)
        stage.record("settings", start, numbers, True)
        for number in numbers:
            stage.release(number)


class StoreOutage(Disruption):
    """The store is down, refuses all calls or doesn't answer."""

    def __init__(self, mode: str, for_s: float):
        self.mode = mode
        self.for_s = for_s

    def run(self, stage: Stage) -> None:
        """Set the store's mode for a while."""
        start = monotonic()
        stage.fleet.faults.mode = self.mode
        stage.ending.wait(self.for_s)
        stage.fleet.faults.mode = "ok"
        stage.record(f"store-{self.mode}", start, (), False)


class StoreForgets(Disruption):
    """The store forgets its history and loses some answers."""

    def __init__(self, lost_answers: int):
        self.lost_answers = lost_answers

    def run(self, stage: Stage) -> None:
        """Remove the history once."""
        start = monotonic()
        with stage.fleet.lock:
            stage.fleet.store.compact()
        stage.fleet.faults.lost_answers = self.lost_answers
        stage.record("store-forgets", start, (), False)


class ConfigStorm(Disruption):
    """Configurations come in quick succession."""

    is_planned = True

    def __init__(self, count: int, gap_s: float):
        self.count = count
        self.gap_s = gap_s

    def run(self, stage: Stage) -> None:
        """Write configurations that add a route each."""
        start = monotonic()
        fleet = stage.fleet
        for _ in range(self.count):
            version = fleet.next_version()
            fleet.put_config(fleet.routes_config(version, (f"/added{version}/",)))
            stage.ending.wait(self.gap_s)
        stage.record("config", start, (), True)
