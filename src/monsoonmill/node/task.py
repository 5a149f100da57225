"""The node's task: owner of the decisions and of the streams to other nodes."""

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
    PlatformEra,
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
from monsoonmill.node.event_batching import EventBatcher
from monsoonmill.node.network import NetworkComponent, SignalHandler
from monsoonmill.node.peer_stream import PeerStream
from monsoonmill.node.peer_transport import PeerTransport
from monsoonmill.node.waker import Waker
from monsoonmill.reasons import Reason
from monsoonmill.settings import PlatformSettings, Settings
from monsoonmill.store.client import PlatformClient, PlatformTask
from monsoonmill.store.http_client import HttpPlatformClient
from monsoonmill.task import Inbox, Stop, Task, TaskFailed

log = get_logger("node")

JOIN_MARGIN_S = 0.1
"""Time that the task may take beyond ``drain.close_ms`` to end."""


@frozen
class TaskRequest:
    """A signal with the inbox for its answer.

    Attributes
    ----------
    name : str
        Name of the call or request, which its answer repeats.
    """

    name: str
    signal: object
    reply: Inbox


@frozen
class ShuttingDown:
    """Answer to a request that was dropped because the node is shutting down."""


class NodeTask(Task):
    """Event loop that waits for sockets, messages and timers and runs the decisions.

    Attributes
    ----------
    ready : threading.Event
        Set when the node can accept calls and all its ports are open.
    drained : threading.Event
        Set when nothing is in progress or left to send after a drain.
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
        self._platform_task = self._make_platform_task("platform")
        self._watch_task = self._make_platform_task("platform-watch")
        self._run_pool = RunPool(cfg.http, clock, self.post)
        self._reply_inboxes: dict[str, Inbox] = {}
        self._messages = SimpleQueue()
        self._event_batcher = EventBatcher(cfg.node.gather_ms / 1000)
        self._waker = Waker()
        self._selector = DefaultSelector()
        self._selector.register(self._waker.reader, EVENT_READ, None)
        local_member = core.members.own
        self._transport = PeerTransport(
            cfg,
            Hello(local_member.node, local_member.incarnation, local_member.address),
            codec,
            self._selector,
            core.counters,
            clock.now(),
        )
        self._next_due = float("-inf")
        self._sockets_due = float("-inf")
        self._decision_log = DecisionLog(cfg.node, clock)
        self._is_core_ready = False
        self._is_drained = False
        self._closes_at = float("inf")
        self._local_handlers = {
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
            PlatformEra: self._tell_store_era,
            AddressLearned: self._set_peer_address,
            Drained: self._on_drained,
            Ready: self._on_ready,
            **self._decision_log.writers(),
        }
        self._signal_handlers: dict[type, list[SignalHandler]] = {}
        for component in self._components:
            for cls, handler in component.signal_handlers().items():
                self._signal_handlers.setdefault(cls, []).append(handler)

    def _make_platform_task(self, name):
        client = self._make_client(self._cfg.platform)
        return PlatformTask(name, client, self._clock, self.post)

    def watch(self, report: Callable[[TaskFailed], None]) -> None:
        """Set what is called if this task or one that calls the platform fails."""
        for task in (self._platform_task, self._watch_task):
            task.watch(report)

        def report_own(failure):
            report(failure)
            # Nobody is to wait for a drain that doesn't come.
            self.drained.set()

        super().watch(report_own)

    @property
    def latency(self) -> LatencyHistogram:
        """Latencies of all finished calls."""
        return self._decision_log.latency

    def post(self, message: object) -> None:
        """Send the task a message and wake it; thread-safe."""
        self._messages.put(message)
        self._waker.wake()

    def run(self) -> None:
        """Run the decisions until a ``Stop`` message is received."""
        self._platform_task.start()
        self._watch_task.start()
        now = self._clock.now()
        for component in self._components:
            component.open(self._selector, now)
        self._execute(self._core.start(now), now)
        while self._step():
            pass
        self._close_sockets()
        for component in self._components:
            component.close()
        self._transport.close()
        self._waker.close()

    def _open_sockets(self):
        """Return what is open or in progress, for the log."""
        return {
            "streams": self._transport.stream_count,
            "unsent": self._transport.has_unsent,
            "connections": sum(part.connection_count for part in self._components),
            "in_progress": sum(part.in_progress for part in self._components),
        }

    def _close_sockets(self):
        """Close all sockets without losing messages, and serve them until then."""
        started_at = self._clock.now()
        self._closes_at = started_at + self._cfg.drain.close_ms / 1000
        log.info("closing", **self._open_sockets())
        self._handle_signals(self._transport.begin_close(), started_at)
        for component in self._components:
            self._handle_signals(component.begin_close(started_at), started_at)
        while self._has_open_sockets() and self._clock.now() < self._closes_at:
            self._step()
        log.info(
            "closed",
            after_s=round(self._clock.now() - started_at, 3),
            **self._open_sockets(),
        )

    def _has_open_sockets(self):
        return self._transport.has_streams or any(
            component.connection_count for component in self._components
        )

    def _step(self):
        ready, now = self._await_events()
        for key, mask in ready:
            if key.data is None:
                self._waker.clear()
            elif key.data is self._transport:
                self._accept_peers(now)
            elif isinstance(key.data, PeerStream):
                self._handle_signals(self._transport.on_ready(key.data, mask, now), now)
            else:
                self._handle_signals(self._serve_channel(key.data, mask, now), now)
        is_running = self._process_messages(now)
        if self._next_due <= now:
            self._handle_core_tick(now)
            for component in self._components:
                self._handle_signals(component.tick(now), now)
            self._handle_signals(self._transport.tick(now), now)
            self._sockets_due = self._find_sockets_due()
            self._update_ready()
        self._handle_signals(self._transport.flush(now), now)
        if self._is_drained:
            is_busy = self._transport.has_unsent or any(
                component.in_progress for component in self._components
            )
            if not is_busy:
                self.drained.set()
        return is_running

    def _await_events(self):
        """Wait for events; return the ready sockets and the current time."""
        waited_since = self._clock.now()
        poll_delay_s = self._event_batcher.poll_delay_s(waited_since)
        if poll_delay_s > 0:
            # A select without sockets only sleeps, which costs less than an event wait.
            select([], [], [], poll_delay_s)
            waited_since += poll_delay_s
        self._core.counters.add("wake-ups")
        ready = self._selector.select(self._select_timeout_s(waited_since))
        now = self._clock.now()
        self._event_batcher.record_wake_up(waited_since, now)
        return ready, now

    def _select_timeout_s(self, now):
        due = self._sockets_due
        core_due = self._core.next_due()
        if core_due is not None and core_due < due:
            due = core_due
        self._next_due = due
        return max(min(due, self._closes_at) - now, 0.0)

    def _find_sockets_due(self):
        """Return the earliest due time of the owners of sockets.

        Their due times change only in ``tick``, so that it is cached in between.
        """
        due_times = (
            self._transport.next_due(),
            *(component.next_due() for component in self._components),
        )
        return min(due for due in due_times if due is not None)

    def _process_messages(self, now):
        for _ in range(self._messages.qsize()):
            try:
                message = self._messages.get_nowait()
            except Empty:
                return True
            if isinstance(message, Stop):
                return False
            if isinstance(message, TaskRequest):
                self._reply_inboxes[message.name] = message.reply
                self._handle_signal(message.signal, now)
                if self._is_drained:
                    self._drop_requests()
                continue
            if isinstance(message, WorkerIdle):
                self._run_pool.on_worker_idle(message)
                message = message.finished
            self._handle_signal(message, now)
        return True

    def _serve_channel(self, channel, mask, now):
        """Yield the signals of a channel; an unexpected error closes only it."""
        try:
            yield from channel.on_ready(mask, now)
        except Exception as exc:
            self._report_failure(channel, exc)
            log.traceback()
            yield from channel.on_error(now)

    def _accept_peers(self, now):
        try:
            self._transport.on_accept(now)
        except Exception as exc:
            self._report_failure(self._transport, exc)
            log.traceback()

    def _handle_core_tick(self, now):
        """Run the core's timers; those behind an unexpected error run next time."""
        try:
            self._execute(self._core.tick(now), now)
        except Exception as exc:
            self._report_failure(self._core, exc)
            log.traceback()

    def _handle_signals(self, signals: Iterable[object], now):
        """Handle signals until producing the next one fails, which is logged."""
        try:
            for signal in signals:
                self._handle_signal(signal, now)
        except Exception as exc:
            self._report_failure(signals, exc)
            log.traceback()

    def _handle_signal(self, signal: object, now):
        """Handle a signal; any error is logged, so that the next signal follows."""
        try:
            self._execute(self._core.handle(signal, now), now)
        except MonsoonError as exc:
            self._report_failure(signal, exc)
        except Exception as exc:
            self._report_failure(signal, exc)
            log.traceback()

    def _execute(self, signals: Iterable[object], now):
        for signal in signals:
            cls = type(signal)
            if cls is Send:
                results = self._transport.send(signal.node, signal.message, now)
                self._handle_signals(results, now)
            elif cls is Connect:
                self._transport.connect(signal.address, now)
            elif cls in self._signal_handlers:
                for handler in self._signal_handlers[cls]:
                    self._handle_signals(handler(signal, now), now)
            elif cls in self._local_handlers:
                self._local_handlers[cls](signal)

    def _report_failure(self, signal, exc):
        # A failure to handle one signal must not terminate the node.
        self._core.counters.add(Reason.INTERNAL)
        signal_type = type(getattr(signal, "message", signal)).__name__
        log.warning("signal_failed", signal=signal_type, error=type(exc).__name__)

    def _answer_call(self, answer):
        reply = self._reply_inboxes.pop(answer.call, None)
        if reply is not None:
            reply.post(answer)

    def _answer_request(self, signal):
        reply = self._reply_inboxes.pop(signal.request, None)
        if reply is not None:
            reply.post(signal)

    def _run_call(self, signal):
        self._run_pool.run(signal)

    def _abort_run(self, signal):
        self._run_pool.abort(signal.attempt)

    def _call_platform(self, signal):
        self._core.counters.add(f"store-calls/{type(signal).__name__}")
        self._platform_task.post(signal)

    def _watch_platform(self, signal):
        self._core.counters.add(f"store-calls/{type(signal).__name__}")
        self._watch_task.post(signal)

    def _tell_store_era(self, signal):
        self._platform_task.post(signal)
        self._watch_task.post(signal)

    def _set_peer_address(self, signal):
        self._transport.set_address(
            signal.node, signal.address, signal.region, signal.data_centre
        )

    def _on_ready(self, signal):
        self._is_core_ready = True
        self._update_ready()

    def _update_ready(self):
        if self._is_core_ready and not self.ready.is_set() and self._is_listening():
            self.ready.set()

    def _is_listening(self):
        return self._transport.is_listening and all(
            component.is_listening for component in self._components
        )

    def _on_drained(self, signal):
        log.info("drained")
        self._is_drained = True
        self._drop_requests()

    def _drop_requests(self):
        """Fail all pending requests; those that wait for the platform may take long.

        No call is in progress after a drain, and later calls are refused immediately.
        """
        for reply in self._reply_inboxes.values():
            reply.post(ShuttingDown())
        self._reply_inboxes.clear()
