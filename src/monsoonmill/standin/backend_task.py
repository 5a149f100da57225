"""Task that owns the state of the stand-in backend server."""

import os
from collections.abc import Callable
from random import Random

from monsoonmill.chart import bind_methods
from monsoonmill.clock import Clock, SystemClock
from monsoonmill.counters import Counters
from monsoonmill.eventlog import get_logger
from monsoonmill.reasons import Reason
from monsoonmill.standin.backend_behaviour import NormalBehaviour, StallBehaviour
from monsoonmill.standin.backend_health import HealthHistory, HealthState
from monsoonmill.standin.backend_messages import (
    AnnounceFailed,
    AnnounceState,
    ControlRequest,
    Drain,
    Listening,
    Report,
    ReportRequest,
    RequestArrived,
    RequestEnded,
    RequestRejected,
    RequestStarted,
)
from monsoonmill.standin.backend_queue import RequestQueue
from monsoonmill.standin.backend_records import ExecutionLog
from monsoonmill.standin.backend_settings import (
    BackendSettings,
    RouteWork,
    longest_prefix,
)
from monsoonmill.task import MessageTask

log = get_logger(__name__)

CRASH_STATUS = 1
"""Exit status of the process that a poison request crashes."""

DEFAULT_ROUTE = RouteWork(path="/", mean_ms=0)
"""Used for requests that match no path of the settings."""


class BackendTask(MessageTask):
    """Owns the slots, queue, executions and life cycle of one backend server.

    Parameters
    ----------
    announce : callable
        Sends an ``AnnounceState`` message to the announcer.
    on_stopped : callable
        Called once, when the drain has finished.
    """

    def __init__(
        self,
        settings: BackendSettings,
        announce: Callable[[object], None],
        on_stopped: Callable[[], None],
        clock: Clock | None = None,
        crash: Callable[[int], None] = os._exit,
    ):
        super().__init__("backend")
        self.settings = settings
        self.clock = clock or SystemClock()
        self.counters = Counters()
        self._announce = announce
        self._on_stopped = on_stopped
        self._crash = crash
        work = settings.work
        self._queue = RequestQueue(work.queue_length, work.queue_ms / 1000)
        self._executions = ExecutionLog(settings.faults.record_file)
        self._health = HealthHistory(settings.faults.health_lag_ms / 1000)
        self._rng = Random(settings.backend.random_seed)
        self._behaviour = NormalBehaviour(self._rng, work.error_rate)
        self._error_rate = work.error_rate
        self._time_factor = 1.0
        self._cold_factor = 1.0
        self._running: dict[object, int] = {}
        self._timer_at: float | None = None
        self._settled_at = 0.0
        self._drain_deadline = 0.0
        self._handlers = {
            Listening: lambda message: self._chart.send("listening"),
            Drain: lambda message: self._chart.send("drain_requested"),
            RequestArrived: self._request_arrived,
            RequestEnded: self._request_ended,
            ReportRequest: self._send_report,
            ControlRequest: self._apply_control,
            AnnounceFailed: lambda message: self.counters.add("announce-failed"),
        }
        self._chart = CHART.start(self)
        self._record_health()

    def wait_s(self) -> float | None:
        """Return the time in seconds until the next timer is due."""
        due = [self._timer_at, self._queue.next_due()]
        times = [time for time in due if time is not None]
        return max(0.0, min(times) - self.clock.now()) if times else None

    def run_due_timers(self) -> None:
        """Run the timers that are due."""
        self._process_timeouts()

    def handle(self, message: object) -> None:
        """Act on one message, then on the timers that are due."""
        self._handlers[type(message)](message)
        self._process_timeouts()

    def _process_timeouts(self):
        now = self.clock.now()
        for arrived in self._queue.expire(now):
            is_late = arrived.deadline is not None and arrived.deadline <= now
            self._reject(arrived, Reason.DEADLINE if is_late else Reason.SHED)
        if self._timer_at is not None and self._timer_at <= now:
            self._timer_at = None
            self._chart.send("timer_expired")
        self._record_health()

    def _record_health(self):
        state = HealthState(
            state=self._chart.state,
            running=len(self._running),
            waiting=len(self._queue),
            slots=self.settings.work.slots,
        )
        self._health.record(state, self.clock.now())

    # Guards and actions of the chart.

    def start_warming(self, arg: object) -> None:
        """Start the warm-up, during which requests take longer."""
        cold_s = self.settings.work.cold_start_ms / 1000
        self._timer_at = self.clock.now() + cold_s
        self._cold_factor = self.settings.work.cold_factor if cold_s else 1.0

    def start_serving(self, arg: object) -> None:
        """End the warm-up and announce that requests are accepted."""
        self._timer_at = None
        self._cold_factor = 1.0
        self._announce(AnnounceState(draining=False))

    def start_draining(self, arg: object) -> None:
        """Announce the drain and set its time limits."""
        log.info("draining", running=len(self._running), waiting=len(self._queue))
        self._announce(AnnounceState(draining=True))
        drain = self.settings.drain
        now = self.clock.now()
        self._settled_at = now + drain.settle_ms / 1000
        self._drain_deadline = max(self._settled_at, now + drain.limit_s)
        self._timer_at = self._settled_at

    def is_drained(self, arg: object) -> bool:
        """Return whether the drain has finished; if not, set the next timer.

        The drain lasts for the settle time at least, in which requests from nodes that
        don't know of the drain yet are rejected, and for the drain limit at most.
        """
        now = self.clock.now()
        if now < self._settled_at:
            self._timer_at = self._settled_at
            return False
        if self._running or len(self._queue):
            self._timer_at = self._drain_deadline
            return now >= self._drain_deadline
        return True

    def report_stopped(self, arg: object) -> None:
        """Report that the drain has finished."""
        log.info("stopped", executions=len(self._executions.executions))
        self._timer_at = None
        self._on_stopped()

    def admit_request(self, arrived: RequestArrived) -> None:
        """Start a request, or else queue it, or else shed it."""
        if len(self._running) < self.settings.work.slots:
            self._start_request(arrived)
        elif not self._queue.offer(arrived, self.clock.now()):
            self._reject(arrived, Reason.SHED)

    # Requests.

    def _request_arrived(self, arrived):
        if not self._chart.send("request_arrived", arrived):
            self._reject(arrived, Reason.DRAINING)

    def _reject(self, arrived, reason):
        self.counters.add(reason)
        arrived.reply.post(RequestRejected(reason))

    def _start_request(self, arrived):
        routes = longest_prefix(arrived.path, self.settings.work.routes)
        route = routes[0] if routes else DEFAULT_ROUTE
        plan = self._behaviour.plan(route, self._time_factor * self._cold_factor)
        if self._is_too_late(arrived, plan):
            self._reject(arrived, Reason.DEADLINE)
            return
        execution = self._executions.start(arrived)
        if self._is_poison(arrived):
            self._crash(CRASH_STATUS)
        self._running[arrived.reply] = execution.number
        calls = longest_prefix(arrived.path, self.settings.nested.calls)
        arrived.reply.post(
            RequestStarted(
                service_s=plan.service_s,
                fails=plan.fails,
                answer_bytes=route.answer_bytes,
                nested=tuple(calls),
            )
        )

    def _is_too_late(self, arrived, plan):
        if arrived.deadline is None:
            return False
        return self.clock.now() + (plan.service_s or 0.0) > arrived.deadline

    def _is_poison(self, arrived):
        marker = self.settings.faults.poison_marker
        if not marker:
            return False
        return marker in arrived.path or marker.encode() in arrived.body

    def _request_ended(self, message):
        number = self._running.pop(message.reply, None)
        if number is None:
            if self._queue.discard(message.reply):
                self.counters.add("cancelled-waiting")
            return
        self._executions.end(number, message.cancelled)
        self.counters.add("cancelled" if message.cancelled else "finished")
        while len(self._queue) and len(self._running) < self.settings.work.slots:
            self._start_request(self._queue.take())
        if self._chart.is_in("draining"):
            # The event also makes the chart check again whether the drain is over.
            self._chart.send("timer_expired")

    # Reports and changes at run time.

    def _send_report(self, message):
        message.reply.post(Report(self._report_document(message.topic)))

    def _report_document(self, topic):
        if topic == "health":
            return self._health.delayed_report(self.clock.now())
        if topic == "executions":
            return self._executions.as_list()
        return {
            "count": len(self._executions.executions),
            "running": len(self._running),
            "counters": self.counters.snapshot(),
        }

    def _apply_control(self, message):
        if message.factor is not None:
            self._time_factor = message.factor
        if message.seed is not None:
            self._rng = Random(message.seed)
        if message.error_rate is not None:
            self._error_rate = message.error_rate
        self._set_behaviour(message.stall)
        if message.draining is not None:
            self._chart.send(
                "drain_requested" if message.draining else "resume_requested"
            )
        message.reply.post(Report({"state": self._chart.state}))

    def _set_behaviour(self, stall):
        is_stalling = isinstance(self._behaviour, StallBehaviour)
        if is_stalling if stall is None else stall:
            self._behaviour = StallBehaviour()
        else:
            self._behaviour = NormalBehaviour(self._rng, self._error_rate)


CHART = bind_methods("backend_standin", BackendTask)
