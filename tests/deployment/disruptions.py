"""Disruptions of a deployment: each is a task that acts on the fleet from outside."""

from abc import ABC, abstractmethod
from random import Random
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGTERM
from socket import SO_REUSEADDR, SOL_SOCKET, socket
from threading import Event, Lock

from attrs import define, field, frozen

from monsoonmill.standin.platform_answers import (
    AnswerDelivery,
    SometimesDelivery,
    WholeAnswer,
)
from tests.deployment.clients import CLOCK
from tests.deployment.fleet import PORTS, DeploymentFleet

RESTART_DELAY_S = 0.2
"""Time after the end of a process at which it is started again."""
MAX_IN_TURN_S = 20.0
DRAIN_TIMEOUT_S = 2.5
ADDRESS_REUSE_S = 2.0
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
    _generation: int = 0
    _lock: Lock = field(factory=Lock)

    def reserve(self, count: int) -> list[int]:
        """Return random machines that no other disruption of processes holds."""
        with self._lock:
            free = [n for n in range(len(self.fleet.hosts)) if n not in self._busy]
            chosen = self.rng.sample(free, min(count, len(free)))
            self._busy.update(chosen)
            return chosen

    def is_busy(self, number: int) -> bool:
        """Return whether a disruption of processes holds a machine."""
        with self._lock:
            return number in self._busy

    def release(self, number: int) -> None:
        """Make a machine available for other disruptions."""
        with self._lock:
            self._busy.discard(number)

    def next_instance(self, number: int) -> str:
        """Return an instance id that no backend server has had."""
        with self._lock:
            self._generation += 1
            return f"i-{number}-{self._generation}"

    def record(self, kind, start, machines, is_planned) -> None:
        """Record a disruption that ends now."""
        span = Span(kind, start, CLOCK.now(), frozenset(machines), is_planned)
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
            started[number] = CLOCK.now()
            fleet.terminate(number)
            stage.ending.wait(self.gap_s)
        for number in numbers:
            fleet.await_end(number)
            stage.ending.wait(RESTART_DELAY_S)
            fleet.launch(fleet.hosts[number])
            stage.record("stop", started[number], (number,), True)
            stage.release(number)


class StopInTurn(Disruption):
    """All nodes are stopped and started in turn.

    Parameters
    ----------
    at_once : int
        Number of machines that are stopped at the same time.
    pause_s : float
        Time between the start of some machines and the stop of the next.
    """

    is_planned = True

    def __init__(self, at_once: int, pause_s: float):
        self.at_once = at_once
        self.pause_s = pause_s

    def run(self, stage: Stage) -> None:
        """Stop each machine that no other disruption holds, as long as time is left."""
        fleet = stage.fleet
        until = CLOCK.now() + MAX_IN_TURN_S
        numbers = stage.reserve(len(fleet.hosts))
        while numbers and CLOCK.now() < until:
            chosen, numbers = numbers[: self.at_once], numbers[self.at_once :]
            started = {}
            for number in chosen:
                started[number] = CLOCK.now()
                fleet.terminate(number)
            for number in chosen:
                fleet.await_end(number)
            stage.ending.wait(RESTART_DELAY_S)
            for number in chosen:
                fleet.launch(fleet.hosts[number])
                stage.record("stop", started[number], (number,), True)
                stage.release(number)
            stage.ending.wait(self.pause_s)
        for number in numbers:
            stage.release(number)


class StopDuringStart(Disruption):
    """A node is killed, started again and gets a signal before it is ready."""

    def __init__(self, signal_number: int, delay_s: float):
        self.signal_number = signal_number
        self.delay_s = delay_s

    def run(self, stage: Stage) -> None:
        """Disturb one start."""
        fleet = stage.fleet
        start = CLOCK.now()
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
        start = CLOCK.now()
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
        start = CLOCK.now()
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
        start = CLOCK.now()
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
        start = CLOCK.now()
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
        start = CLOCK.now()
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
        start = CLOCK.now()
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
        start = CLOCK.now()
        fleet = stage.fleet
        for _ in range(self.count):
            version = fleet.next_version()
            fleet.put_config(fleet.routes_config(version, (f"/added{version}/",)))
            stage.ending.wait(self.gap_s)
        stage.record("config", start, (), True)


class StopAfterStart(Disruption):
    """A node that has started a moment ago gets SIGTERM again."""

    is_planned = True

    def __init__(self, delay_s: float):
        self.delay_s = delay_s

    def run(self, stage: Stage) -> None:
        """Stop one machine's node, start it, and stop it once more."""
        fleet = stage.fleet
        for number in stage.reserve(1):
            for _ in range(2):
                start = CLOCK.now()
                fleet.terminate(number)
                fleet.await_end(number)
                fleet.launch(fleet.hosts[number])
                stage.record("stop", start, (number,), True)
                stage.ending.wait(self.delay_s)
            stage.release(number)


class LongWork(Disruption):
    """Requests of some backend servers are long, and a few nodes are stopped."""

    is_planned = True

    def __init__(self, slowness: float, for_s: float, stops: int):
        self.slowness = slowness
        self.for_s = for_s
        self.stops = stops

    def run(self, stage: Stage) -> None:
        """Make the requests long and stop nodes meanwhile."""
        fleet = stage.fleet
        hosts = fleet.hosts[:: stage.rng.choice((1, 2, 3))]
        for host in hosts:
            host.backend_app.behaviour.slowness = self.slowness
        stage.ending.wait(1.0)
        RollingStop(self.stops / len(fleet.hosts), 0.3).run(stage)
        stage.ending.wait(self.for_s)
        for host in hosts:
            host.backend_app.behaviour.slowness = 1.0


class Release(Disruption):
    """Backend servers are drained and replaced in turn, with their nodes.

    Parameters
    ----------
    deregisters : bool
        Whether they deregister without having reported that they drain.
    stops_node : bool
        Whether the machine's node is stopped after the backend server's end.
    changes_service : bool
        Whether the address goes to a backend server of another service.
    """

    is_planned = True

    def __init__(
        self,
        count: int,
        extra_s: float,
        *,
        deregisters: bool = False,
        stops_node: bool = True,
        changes_service: bool = False,
    ):
        self.count = count
        self.extra_s = extra_s
        self.deregisters = deregisters
        self.stops_node = stops_node
        self.changes_service = changes_service

    def run(self, stage: Stage) -> None:
        """Replace some backend servers."""
        for number in stage.reserve(self.count):
            self._replace(stage, number)
            stage.release(number)

    def _replace(self, stage, number):
        fleet = stage.fleet
        fleet.announce_leaving(number, self.deregisters)
        stage.ending.wait(DRAIN_TIMEOUT_S + self.extra_s)
        if not self.deregisters:
            fleet.deregister(number)
        fleet.end_backend(number)
        start = CLOCK.now()
        if self.stops_node:
            fleet.terminate(number)
            fleet.await_end(number)
        stage.ending.wait(max(start + ADDRESS_REUSE_S - CLOCK.now(), 0.0))
        service = None
        if self.changes_service:
            service = stage.rng.choice(list(fleet.site.machines))
            fleet.change_service(number, service)
        fleet.start_backend(number, stage.next_instance(number), service)
        if self.stops_node:
            fleet.launch(fleet.hosts[number])
            stage.record("stop", start, (number,), True)


class BackendCrash(Disruption):
    """Backend servers end without a word and come back, mostly under a new id."""

    def __init__(self, share: float, down_s: float, keeps_id: bool):
        self.share = share
        self.down_s = down_s
        self.keeps_id = keeps_id

    def run(self, stage: Stage) -> None:
        """Crash some backend servers."""
        fleet = stage.fleet
        start = CLOCK.now()
        numbers = stage.reserve(max(1, round(self.share * len(fleet.hosts))))
        for number in numbers:
            fleet.end_backend(number)
        stage.ending.wait(self.down_s)
        for number in numbers:
            instance = fleet.hosts[number].heartbeat.instance
            if not self.keeps_id:
                instance = stage.next_instance(number)
            fleet.start_backend(number, instance)
        stage.record("backend-crash", start, (), False)
        for number in numbers:
            stage.release(number)


class BackendFault(Disruption):
    """Backend servers behave badly for a while."""

    def __init__(self, share: float, for_s: float):
        self.share = share
        self.for_s = for_s

    def run(self, stage: Stage) -> None:
        """Disturb some backend servers, then let them recover."""
        start = CLOCK.now()
        hosts = stage.fleet.hosts
        count = max(1, round(self.share * len(hosts)))
        behaviours = [
            host.backend_app.behaviour for host in stage.rng.sample(hosts, count)
        ]
        for behaviour in behaviours:
            self.disturb(behaviour, stage)
        stage.ending.wait(self.for_s)
        for behaviour in behaviours:
            self.restore(behaviour)
        stage.record(type(self).__name__, start, (), False)

    @abstractmethod
    def disturb(self, behaviour, stage: Stage) -> None:
        """Make a backend server behave badly."""

    @abstractmethod
    def restore(self, behaviour) -> None:
        """Make a backend server behave well."""


class SlowBackends(BackendFault):
    """Backend servers are slow."""

    def __init__(self, share: float, for_s: float, slowness: float):
        super().__init__(share, for_s)
        self.slowness = slowness

    def disturb(self, behaviour, stage):
        """Make a backend server slow."""
        behaviour.slowness = self.slowness

    def restore(self, behaviour):
        """Make a backend server as fast as usual."""
        behaviour.slowness = 1.0


class FailingBackends(BackendFault):
    """Backend servers fail part of their requests; their health checks are good."""

    def __init__(self, share: float, for_s: float, failing_share: float):
        super().__init__(share, for_s)
        self.failing_share = failing_share

    def disturb(self, behaviour, stage):
        """Make a backend server fail."""
        behaviour.failing_share = self.failing_share

    def restore(self, behaviour):
        """Make a backend server answer all requests."""
        behaviour.failing_share = 0.0


class BadAnswers(BackendFault):
    """Backend servers lose or garble part of their answers.

    Parameters
    ----------
    make_delivery : callable
        Creates what is done with these answers.
    """

    def __init__(self, share: float, for_s: float, make_delivery):
        super().__init__(share, for_s)
        self.make_delivery = make_delivery

    def disturb(self, behaviour, stage):
        """Make a backend server hand out bad answers."""
        delivery: AnswerDelivery = self.make_delivery()
        rng = Random(stage.rng.random())
        behaviour.delivery = SometimesDelivery(delivery, 0.3, rng)

    def restore(self, behaviour):
        """Make a backend server hand out whole answers."""
        behaviour.delivery = WholeAnswer()
