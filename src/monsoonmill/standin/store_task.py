"""Task that owns the key-value stand-in's store, rate limits and fault mode."""

from collections.abc import Callable
from itertools import count

from attrs import frozen
from sortedcontainers import SortedKeyList

from monsoonmill.clock import Clock, SystemClock
from monsoonmill.counters import Counters
from monsoonmill.errors import PlatformError, PlatformRateLimitError
from monsoonmill.eventlog import get_logger
from monsoonmill.standin.store_calls import (
    CallArrived,
    CountsRequested,
    Dropped,
    Failed,
    Found,
    ModeRequested,
    Reply,
    Report,
    ShutdownRequested,
    StoreCall,
    Unchanged,
    WatchCall,
)
from monsoonmill.standin.store_data import Store
from monsoonmill.standin.store_faults import CallEffect, FaultSwitch
from monsoonmill.standin.store_settings import LimitSettings, StoreServerSettings
from monsoonmill.store.limits import CallLimit
from monsoonmill.task import MessageTask

LIMITED = "limited"
"""Counter of calls that were rejected by a limit."""

DROPPED = "dropped"
"""Counter of connections that were closed without an answer."""

MAX_TIMER_S = 3600.0
"""Longest wait for a message, since the operating system limits time-outs."""

log = get_logger("platform.store")


@frozen(eq=False)
class DelayedStep:
    """A step of a call that runs at a later time.

    Attributes
    ----------
    reply : callable
        Replies to the thread that waits for the call.
    """

    due: float
    sequence: int
    run: Callable[[], None]
    reply: Reply


class StoreTask(MessageTask):
    """Executes the calls of all HTTP threads one after the other."""

    def __init__(
        self, limits: LimitSettings, switch: FaultSwitch, max_watches: int, clock: Clock
    ):
        super().__init__("platform-store")
        burst_s = limits.burst_ms / 1000
        self._writes = CallLimit.from_rate(limits.writes_per_s, burst_s)
        self._reads = CallLimit.from_rate(limits.reads_per_s, burst_s)
        self._switch = switch
        self._max_watches = max_watches
        self._clock = clock
        self._store = Store()
        self._counters = Counters()
        self._delayed = SortedKeyList(key=_delayed_order)
        self._sequence = count()
        self._handlers = {
            CallArrived: self._call_arrived,
            ModeRequested: self._mode_requested,
            CountsRequested: self._counts_requested,
            ShutdownRequested: self._shutdown_requested,
        }

    @classmethod
    def from_settings(cls, settings: StoreServerSettings) -> "StoreTask":
        """Create a task with an empty store."""
        switch = FaultSwitch.from_settings(settings.faults)
        max_watches = settings.server.max_watches
        return cls(settings.limits, switch, max_watches, SystemClock())

    def wait_s(self) -> float | None:
        """Return the time in seconds until the next timer is due."""
        times = [self._store.next_due()]
        if self._delayed:
            times.append(self._delayed[0].due)
        due = min((time for time in times if time is not None), default=None)
        if due is None:
            return None
        return min(max(due - self._clock.now(), 0.0), MAX_TIMER_S)

    def handle(self, message: object) -> None:
        """Handle one message from an HTTP thread."""
        self._handlers[type(message)](message)
        self.run_due_timers()

    def run_due_timers(self) -> None:
        """Run the timers that are due and answer the watches that ended."""
        now = self._clock.now()
        while self._delayed and self._delayed[0].due <= now:
            self._delayed.pop(0).run()
        self._store.expire(now)
        for ended in self._store.take_ended_watches():
            ended.token(Unchanged() if ended.entry is None else Found(ended.entry))

    def _call_arrived(self, message):
        call, reply = message.call, message.reply
        self._counters.add(call.kind)
        effect = self._switch.behaviour.effect_on(call)
        if not effect.runs:
            self._drop(reply)
        elif self._is_over_limit(call):
            self._counters.add(LIMITED)
            reply(Failed(PlatformRateLimitError(f"too many calls of kind {call.kind}")))
        else:
            answer = self._faulty_reply(reply, effect)
            self._run_after(effect.delay_s, lambda: self._run(call, answer), reply)

    def _is_over_limit(self, call: StoreCall):
        if isinstance(call, WatchCall) and self._store.watch_count >= self._max_watches:
            return True
        limit = self._writes if call.is_write else self._reads
        return not limit.take(self._clock.now())

    def _faulty_reply(self, reply: Reply, effect: CallEffect) -> Reply:
        if not effect.answers:
            return lambda answer: self._drop(reply)
        if not effect.delay_s:
            return reply
        return lambda answer: self._run_after(
            effect.delay_s, lambda: reply(answer), reply
        )

    def _run(self, call, reply):
        try:
            call.run(self._store, self._clock.now(), reply)
        except PlatformError as exc:
            reply(Failed(exc))

    def _run_after(self, delay_s, step, reply):
        if delay_s <= 0:
            step()
            return
        due = self._clock.now() + delay_s
        self._delayed.add(DelayedStep(due, next(self._sequence), step, reply))

    def _mode_requested(self, message):
        self._switch.set_mode(message.settings)
        if not self._switch.behaviour.keeps_pending_calls:
            self._drop_calls()
        log.info("mode", state=self._switch.state)
        message.reply(Report({"state": self._switch.state}))

    def _counts_requested(self, message):
        message.reply(Report(self._counters.snapshot()))

    def _shutdown_requested(self, message):
        self._switch.shut_down()
        self._drop_calls()

    def _drop(self, reply):
        self._counters.add(DROPPED)
        reply(Dropped())

    def _drop_calls(self):
        self._counters.add(DROPPED, self._store.watch_count + len(self._delayed))
        for watch in self._store.drop_watches():
            watch.token(Dropped())
        for delayed in self._delayed:
            delayed.reply(Dropped())
        self._delayed.clear()


def _delayed_order(delayed):
    return delayed.due, delayed.sequence
