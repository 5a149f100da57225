"""Simulation of a fleet: network, platform, backend servers and a virtual clock.

Tests drive whole ``NodeCore`` objects with it, without sockets or threads.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.decisions.calls.signals import (
    AbortRun,
    Answer,
    CallArrived,
    RunCall,
    RunFailure,
    RunFinished,
)
from monsoonmill.decisions.core import NodeCore
from monsoonmill.decisions.lifecycle.signals import Drained
from monsoonmill.decisions.signals import (
    BackendAnnounced,
    Connect,
    PeerDown,
    PeerUnreachable,
    PeerUp,
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformList,
    PlatformRead,
    PlatformSwap,
    PlatformWatch,
    Received,
    Send,
    StoredListing,
    StoredValue,
)
from monsoonmill.errors import PlatformError, PlatformUnavailableError
from monsoonmill.model import Address, Config, HttpRequest, HttpResponse
from monsoonmill.settings import Settings
from monsoonmill.standin.store_data import Store

LATENCY_S = 0.001
WATCH_TIMEOUT_S = 10.0
PLATFORM_REQUESTS = (
    PlatformRead,
    PlatformSwap,
    PlatformLease,
    PlatformList,
    PlatformWatch,
)


class FakePlatform:
    """The platform's store, with simulated outages and lost answers."""

    def __init__(self):
        self.store = Store()
        self.is_down = False
        self.drops_answers = False
        self.delay_s = LATENCY_S
        self.calls = 0
        self.revision = 1
        self.listed: dict[object, tuple] = {}

    def order(self, name, value, now):
        """Write an operator's key, or delete it if ``value`` is None."""
        self.revision += 1
        version = self.store.read(name, now).version
        self.store.swap(name, version, value, "", now)

    def list_names(self, prefix, now):
        """Return a listing of the keys with a prefix."""
        names = tuple(entry.key for entry in self.store.list_keys(prefix, now))
        return StoredListing(prefix, self.revision, names)

    def execute(self, signal, now):
        """Execute a request and return its result as a signal."""
        self.calls += 1
        if self.is_down:
            return self._fail(signal, "down")
        try:
            entries = self._entries(signal, now)
        except PlatformError as exc:
            return PlatformFailed(signal.request, exc)
        if self.drops_answers and not isinstance(signal, PlatformWatch):
            return self._fail(signal, "answer lost")
        values = tuple(
            StoredValue(entry.key, entry.version, entry.value) for entry in entries
        )
        if getattr(signal, "also", ""):
            values += (self.list_names(signal.also, now),)
        return PlatformDone(signal.request, values, now)

    def refuse(self, signal):
        """Return the result for a node that can't reach the platform."""
        return self._fail(signal, "out of reach")

    def _fail(self, signal, problem):
        return PlatformFailed(signal.request, PlatformUnavailableError(problem))

    def _entries(self, signal, now):
        store = self.store
        if isinstance(signal, PlatformSwap):
            return [
                store.swap(signal.key, signal.expected, signal.value, signal.lease, now)
            ]
        if isinstance(signal, PlatformLease):
            store.grant_lease(signal.lease, signal.ttl_s, now)
            return []
        if isinstance(signal, PlatformList):
            return list(store.list_keys(signal.prefix, now))
        return [store.read(signal.key, now)]


class FakeNode:
    """The core of a node, and the signals that it has sent to its tasks."""

    def __init__(self, core: NodeCore, address: Address):
        self.core = core
        self.address = address
        self.is_up = True
        self.is_paused = False
        self.backend_stopped = False
        self.queued: list[object] = []
        self.answers: dict[str, Answer] = {}
        self.reports: dict[str, object] = {}
        self.drained = False

    @property
    def name(self):
        return self.core.node


class FakeFleet:
    """Nodes, links, a platform and backend servers with one virtual clock.

    Parameters
    ----------
    run : callable
        Takes a node and a ``RunCall``; returns the delay in seconds and the
        ``RunFinished``, or None if the request does not end or its end is injected.
    sections : dict
        Settings of all nodes, by section.
    """

    def __init__(self, run: Callable | None = None, seed=1, now=1000.0, **sections):
        self.now = now
        self.platform = FakePlatform()
        self.nodes: dict[str, FakeNode] = {}
        self.sections = sections
        self.executed: list[tuple[str, RunCall]] = []
        self.cut_links: set[frozenset] = set()
        self.platform_unreachable_from: set[str] = set()
        self.unreachable_delay_s = 0.0
        self.latency_s = LATENCY_S
        self.corrupt: Callable = lambda message: message
        self._run = run or answer_ok
        self._rng = Random(seed)
        self._numbers = count(1)
        self._queue = []
        self._due_times = []

    def add(
        self,
        region="region-1",
        data_centre="dc-1",
        service="",
        slots=8,
        port=0,
        seeds=None,
    ):
        """Start a node, with a backend server if a service is given.

        Without ``seeds`` its seeds are the first nodes of the fleet.
        """
        port = port or 7000 + next(self._numbers)
        if seeds is None:
            seeds = [str(node.address) for node in self.nodes.values()][:2]
        own = {
            "host": "127.0.0.1",
            "peer_port": port,
            "region": region,
            "data_centre": data_centre,
            "seeds": seeds,
            "random_seed": self._rng.randrange(1, 10**9),
        }
        cfg = Settings.from_dict({"node": own, **self.sections})
        address = Address("127.0.0.1", port)
        numbers = count(1)
        core = NodeCore(
            cfg,
            address,
            int(self.now * 1000),
            JsonConfigCodec(),
            lambda: f"{address}-{next(numbers)}",
        )
        node = FakeNode(core, address)
        self.nodes[node.name] = node
        self._process(node, core.start(self.now))
        if service:
            self.announce(node, service, slots)
        return node

    def announce(self, node, service, slots=8, draining=False):
        """Announce the backend server now and every second after."""
        if not node.is_up or node.backend_stopped:
            return
        announced = BackendAnnounced(
            service, Address("127.0.0.1", node.address.port + 1000), slots, draining
        )
        self.inject(node, announced)
        self.schedule(1.0, lambda: self.announce(node, service, slots, draining))

    def kill(self, node):
        """Stop a node without a shutdown."""
        node.is_up = False
        del self.nodes[node.name]
        for other in list(self.nodes.values()):
            self.schedule(
                self.latency_s,
                lambda other=other: self.inject(other, PeerDown(node.name)),
            )

    def restart(self, node, **options):
        """Stop a node without a shutdown and start another one at its address."""
        self.kill(node)
        self.advance(self.latency_s)
        own = node.core.members.own
        return self.add(own.region, own.data_centre, port=own.address.port, **options)

    def pause(self, node):
        """Pause a node; incoming signals are queued."""
        node.is_paused = True

    def resume(self, node):
        """Resume a node: its timers run first, then the queued signals."""
        node.is_paused = False
        self._process(node, node.core.tick(self.now))
        queued, node.queued = node.queued, []
        for signal in queued:
            self.inject(node, signal)

    def call(self, node, service, path="/", method="GET", **fields):
        """Start a call at a node and return its name."""
        name = f"call-{next(self._numbers)}"
        body = fields.pop("body", b"")
        req = HttpRequest(method, path, (), body)
        self.inject(node, CallArrived(name, service, req, **fields))
        return name

    def inject(self, node, signal):
        """Pass a signal to a node's core now."""
        if node.is_paused:
            node.queued.append(signal)
        elif node.is_up:
            self._process(node, node.core.handle(signal, self.now))

    def advance(self, seconds):
        """Advance the clock and run everything that is due, in order."""
        end = self.now + seconds
        while True:
            due = self._next_due()
            if due is None or due > end:
                break
            self.now = max(due, self.now)
            while self._queue and self._queue[0][0] <= self.now:
                heappop(self._queue)[2]()
            while self._due_times and self._due_times[0][0] <= self.now:
                due, _, node = heappop(self._due_times)
                if self._is_due(node, due):
                    self._process(node, node.core.tick(self.now))
        self.now = end

    def advance_until(self, condition, limit_s=30.0, step_s=0.05):
        """Advance the clock until a condition holds; return whether it does."""
        end = self.now + limit_s
        while self.now < end:
            if condition():
                return True
            self.advance(step_s)
        return condition()

    def install(self, config: Config):
        """Store a configuration in the platform, as an accepted release note would."""
        stored = self.platform.store.read("config", self.now)
        value = JsonConfigCodec().encode(config)
        self.platform.store.swap("config", stored.version, value, "", self.now)

    def _next_due(self):
        while self._due_times and not self._is_due(
            self._due_times[0][2], self._due_times[0][0]
        ):
            heappop(self._due_times)
        times = [heap[0][0] for heap in (self._due_times, self._queue) if heap]
        return min(times, default=None)

    def _is_due(self, node, due):
        return node.is_up and not node.is_paused and node.core.next_due() == due

    def schedule(self, delay_s, action):
        """Run an action after a delay."""
        heappush(self._queue, (self.now + delay_s, next(self._numbers), action))

    def _process(self, node, signals):
        for signal in signals:
            self._carry_out(node, signal)
        due = node.core.next_due()
        if due is not None:
            heappush(self._due_times, (due, next(self._numbers), node))

    def _carry_out(self, node, signal):
        if isinstance(signal, Send):
            self._send(node, signal)
        elif isinstance(signal, Connect):
            self.schedule(self.latency_s, lambda: self._connect(node, signal.address))
        elif isinstance(signal, Answer):
            node.answers[signal.call] = signal
        elif isinstance(signal, RunCall):
            self._run_call(node, signal)
        elif isinstance(signal, AbortRun):
            aborted = RunFinished(signal.attempt, None, RunFailure.ABORTED)
            self.schedule(LATENCY_S, lambda: self.inject(node, aborted))
        elif isinstance(signal, PLATFORM_REQUESTS):
            delay_s = self.platform.delay_s
            self.schedule(
                delay_s, lambda: self._send_to_platform(node, signal, WATCH_TIMEOUT_S)
            )
        elif isinstance(signal, Drained):
            node.drained = True
        elif hasattr(signal, "request"):
            node.reports[signal.request] = signal

    def _send(self, node, signal):
        other = self.nodes.get(signal.node)
        if other is None:
            failure = PeerUnreachable(signal.node, signal.message)
            self.schedule(self.latency_s, lambda: self.inject(node, failure))
            return
        received = Received(node.name, self.corrupt(signal.message))
        self.schedule(self.latency_s, lambda: self._deliver(node, other, received))

    def _deliver(self, node, other, received):
        # A cut link also drops the messages in flight, like a silent connection.
        if frozenset((node.name, other.name)) not in self.cut_links and other.is_up:
            self.inject(other, received)

    def _connect(self, node, address):
        for other in list(self.nodes.values()):
            is_cut = frozenset((node.name, other.name)) in self.cut_links
            if other.address == address and other is not node and not is_cut:
                self._open_stream(node, other)
                self._open_stream(other, node)

    def _open_stream(self, node, other):
        own = other.core.members.own
        up = PeerUp(own.node, own.incarnation, own.address)
        self.inject(node, up)

    def _run_call(self, node, call):
        self.executed.append((node.name, call))
        outcome = self._run(node, call)
        if outcome is not None:
            delay_s, finished = outcome
            self.schedule(delay_s, lambda: self.inject(node, finished))

    def _send_to_platform(self, node, signal, wait_s):
        is_watch = isinstance(signal, PlatformWatch)
        if node.name in self.platform_unreachable_from:
            delay_s = LATENCY_S + self.unreachable_delay_s
            if is_watch and self.unreachable_delay_s:
                # A client waits for the end of a watch before it gives up.
                delay_s += wait_s
            refused = self.platform.refuse(signal)
            self.schedule(delay_s, lambda: self.inject(node, refused))
            return
        result = self.platform.execute(signal, self.now)
        if is_watch and isinstance(result, PlatformDone):
            listing = result.values[1:]
            is_listed = self.platform.listed.get(node) == listing
            self.platform.listed[node] = listing
            if listing and not is_listed:
                pass
            elif result.values[0].version <= signal.after:
                if wait_s > 0:
                    self.platform.calls -= 1
                    self.schedule(
                        0.05,
                        lambda: self._send_to_platform(node, signal, wait_s - 0.05),
                    )
                    return
                result = PlatformDone(signal.request, (), self.now)
        self.schedule(LATENCY_S, lambda: self.inject(node, result))


def answer_ok(node, call, delay_s=0.01):
    """Return the result of a successful request."""
    response = HttpResponse(200, (), b"ok " + call.request.path.encode())
    return delay_s, RunFinished(call.attempt, response, None)
