"""The node's task: it owns the decisions and the streams to other nodes."""

from collections.abc import Callable, Iterable
from queue import Empty, SimpleQueue
from select import select
from selectors import EVENT_READ, DefaultSelector
from threading import Event

from attrs import frozen

from monsoonmill.clock import Clock
from monsoonmill.codec import Codec
from monsoonmill.counters import LatencyHistogram
from monsoonmill.decisions.calls.signals import AbortRun, Answer, RunCall
from monsoonmill.decisions.configuration.signals import NoteAccepted, NoteRefused
from monsoonmill.decisions.core import NodeCore
from monsoonmill.decisions.lifecycle.signals import Drained, Ready, StatusReport
from monsoonmill.decisions.signals import (
    AddressLearned,
    Connect,
    PlatformLease,
    PlatformList,
    PlatformRead,
    PlatformSwap,
    PlatformWatch,
    Send,
)
from monsoonmill.errors import MonsoonError
from monsoonmill.eventlog import get_logger
from monsoonmill.messages import Hello
from monsoonmill.node.decision_log import DecisionLog
from monsoonmill.node.egress import RunPool, WorkerIdle
from monsoonmill.node.network import Channel, NetworkComponent, SignalHandler
from monsoonmill.node.pacing import Pacer
from monsoonmill.node.peer_transport import PeerTransport
from monsoonmill.node.waker import Waker
from monsoonmill.reasons import Reason
from monsoonmill.settings import PlatformSettings, Settings
from monsoonmill.store.client import PlatformClient, PlatformTask
from monsoonmill.store.http_client import HttpPlatformClient
from monsoonmill.task import Inbox, Stop, Task

log = get_logger("node")

GOODBYE_LIMIT_S = 1.0
"""Longest wait for the other nodes' goodbyes."""


@frozen
class TaskRequest:
    """A signal whose answer goes to an inbox.

    Attributes
    ----------
    name : str
        The call or request that the answer will name.
    """

    name: str
    signal: object
    reply: Inbox


@frozen
class ShuttingDown:
    """Answers a question that a node which ends will not answer any more."""


class NodeTask(Task):
    """Waits for streams, messages and timers, and drives the decisions.

    Attributes
    ----------
    ready : threading.Event
        Set when the node knows enough to take calls.
    drained : threading.Event
        Set when nothing is in progress after a drain.
    """

    def __init__(
        self,
        cfg: Settings,
        core: NodeCore,
        codec: Codec,
        clock: Clock,
        components: Iterable[NetworkComponent] = (),
        make_client: Callable[[PlatformSettings], PlatformClient] = (
            HttpPlatformClient.from_settings
        ),
    ):
        super().__init__("node")
        self.ready = Event()
        self.drained = Event()
        self._cfg = cfg
        self._core = core
        self._clock = clock
        self._components = tuple(components)
        self._make_client = make_client
        self._platform = self._platform_task("platform")
        self._watch = self._platform_task("platform-watch")
        self._run_pool = RunPool(cfg.http, clock, self.post)
        self._replies: dict[str, Inbox] = {}
        self._queue = SimpleQueue()
        self._pacer = Pacer(cfg.node.gather_ms / 1000)
        self._waker = Waker()
        self._selector = DefaultSelector()
        self._selector.register(self._waker.reader, EVENT_READ, None)
        own = core.members.own
        self._peers = PeerTransport(
            cfg,
            Hello(own.node, own.incarnation, own.address),
            codec,
            self._selector,
            core.counters,
            clock.now(),
        )
        self._next_due = float("-inf")
        self._sockets_due = float("-inf")
        self._log = DecisionLog(cfg.node, clock)
        self._is_drained = False
        self._tasks = {
            Answer: self._answer_call,
            NoteAccepted: self._answer_request,
            NoteRefused: self._answer_request,
            StatusReport: self._answer_request,
            RunCall: self._run_call,
            AbortRun: self._abort_run,
            PlatformRead: self._call_platform,
            PlatformSwap: self._call_platform,
            PlatformLease: self._call_platform,
            PlatformList: self._call_platform,
            PlatformWatch: self._watch_platform,
            AddressLearned: self._learn_address,
            Drained: self._tell_drained,
            Ready: self._tell_ready,
            **self._log.writers(),
        }
        self._signal_handlers: dict[type, list[SignalHandler]] = {}
        for component in self._components:
            for cls, handler in component.signal_handlers().items():
                self._signal_handlers.setdefault(cls, []).append(handler)

    def _platform_task(self, name):
        client = self._make_client(self._cfg.platform)
        return PlatformTask(name, client, self._clock, self.post)

    @property
    def latency(self) -> LatencyHistogram:
        """Latencies of the calls that have ended."""
        return self._log.latency

    def post(self, message: object) -> None:
        """Send the task a message and wake it."""
        self._queue.put(message)
        self._waker.wake()

    def run(self) -> None:
        """Drive the decisions until a ``Stop`` message arrives."""
        self._platform.start()
        self._watch.start()
        now = self._clock.now()
        for component in self._components:
            component.open(self._selector, now)
        self._carry_out(self._core.start(now), now)
        while self._step():
            pass
        self._say_goodbye()
        for component in self._components:
            component.close()
        self._peers.close()
        self._waker.close()

    def _say_goodbye(self):
        """Take leave of the other nodes, so that no message to them is lost."""
        limit = self._clock.now() + GOODBYE_LIMIT_S
        self._peers.begin_close()
        while self._peers.has_streams and self._clock.now() < limit:
            self._step()

    def _step(self):
        ready, now = self._await_events()
        for key, mask in ready:
            if key.data is None:
                self._waker.clear()
            elif key.data is self._peers:
                self._peers.on_accept(now)
            elif isinstance(key.data, Channel):
                self._handle_all(key.data.on_ready(mask, now), now)
            else:
                self._handle_all(self._peers.on_ready(key.data, mask, now), now)
        is_running = self._drain_queue(now)
        if self._next_due <= now:
            self._carry_out(self._core.tick(now), now)
            for component in self._components:
                self._handle_all(component.tick(now), now)
            self._handle_all(self._peers.tick(now), now)
            self._sockets_due = self._find_sockets_due()
        self._handle_all(self._peers.flush(now), now)
        if self._is_drained:
            is_busy = self._peers.has_unsent or any(
                one.in_progress for one in self._components
            )
            if not is_busy:
                self.drained.set()
        return is_running

    def _await_events(self):
        """Return the sockets that are ready, and the time."""
        began_at = self._clock.now()
        pause_s = self._pacer.pause_s(began_at)
        if pause_s > 0:
            # Without any socket this is a mere wait; cheaper than an event's.
            select([], [], [], pause_s)
            began_at += pause_s
        ready = self._selector.select(self._wait_s(began_at))
        now = self._clock.now()
        self._pacer.note_wake(began_at, now)
        return ready, now

    def _wait_s(self, now):
        due = self._sockets_due
        core_due = self._core.next_due()
        if core_due is not None and core_due < due:
            due = core_due
        self._next_due = due
        return max(due - now, 0.0)

    def _find_sockets_due(self):
        """Return when the owners of sockets have something to do.

        Their times change only in their ``tick``.
        """
        dues = (self._peers.next_due(), *(one.next_due() for one in self._components))
        return min(due for due in dues if due is not None)

    def _drain_queue(self, now):
        for _ in range(self._queue.qsize()):
            try:
                message = self._queue.get_nowait()
            except Empty:
                return True
            if isinstance(message, Stop):
                return False
            if isinstance(message, TaskRequest):
                self._replies[message.name] = message.reply
                self._handle_all((message.signal,), now)
                if self._is_drained:
                    self._end_replies()
                continue
            if isinstance(message, WorkerIdle):
                self._run_pool.on_worker_idle(message)
                message = message.finished
            self._handle_all((message,), now)
        return True

    def _handle_all(self, signals: Iterable[object], now):
        for signal in signals:
            try:
                self._carry_out(self._core.handle(signal, now), now)
            except MonsoonError as exc:
                self._count_failure(signal, exc)
            except Exception as exc:
                self._count_failure(signal, exc)
                log.traceback()

    def _carry_out(self, signals: Iterable[object], now):
        for signal in signals:
            cls = type(signal)
            if cls is Send:
                sent = self._peers.send(signal.node, signal.message, now)
                self._handle_all(sent, now)
            elif cls is Connect:
                self._peers.connect(signal.address, now)
            elif cls in self._signal_handlers:
                for handler in self._signal_handlers[cls]:
                    self._handle_all(handler(signal, now), now)
            elif cls in self._tasks:
                self._tasks[cls](signal)

    def _count_failure(self, signal, exc):
        # One signal that can't be handled must not end the node.
        self._core.counters.add(Reason.INTERNAL)
        kind = type(getattr(signal, "message", signal)).__name__
        log.warning("signal_failed", signal=kind, error=type(exc).__name__)

    def _answer_call(self, answer):
        reply = self._replies.pop(answer.call, None)
        if reply is not None:
            reply.post(answer)

    def _answer_request(self, signal):
        reply = self._replies.pop(signal.request, None)
        if reply is not None:
            reply.post(signal)

    def _run_call(self, signal):
        self._run_pool.run(signal)

    def _abort_run(self, signal):
        self._run_pool.abort(signal.attempt)

    def _call_platform(self, signal):
        self._platform.post(signal)

    def _watch_platform(self, signal):
        self._watch.post(signal)

    def _learn_address(self, signal):
        self._peers.set_address(signal.node, signal.address, signal.region)

    def _tell_ready(self, signal):
        self.ready.set()

    def _tell_drained(self, signal):
        log.info("drained")
        self._is_drained = True
        self._end_replies()

    def _end_replies(self):
        """Let nobody wait for what may take long, such as the platform's word.

        No call is in progress any more, and each later one is refused at once.
        """
        for reply in self._replies.values():
            reply.post(ShuttingDown())
        self._replies.clear()
