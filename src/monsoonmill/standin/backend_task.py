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
    Control,
    Drain,
    Listening,
    QueryReport,
    Report,
    WorkArrived,
    WorkEnded,
    WorkRefused,
    WorkStarted,
)
from monsoonmill.standin.backend_queue import WorkQueue
from monsoonmill.standin.backend_records import ExecutionLog
from monsoonmill.standin.backend_settings import (
    BackendSettings,
    RouteWork,
    longest_prefix,
)
from monsoonmill.task import MessageTask

log = get_logger(__name__)

CRASH_STATUS = 1
"""Exit status of the process after a poison request."""


UNLISTED_ROUTE = RouteWork(path="/", mean_ms=0)
"""Work of a request below no listed path."""


class BackendTask(MessageTask):
    """Slots, queue, executions and life cycle of one backend server.

    Parameters
    ----------
    announce : callable
        Takes the ``AnnounceState`` messages.
    stopped : callable
        Called once when the backend server has drained.
    """

    def __init__(
        self,
        settings: BackendSettings,
        announce: Callable[[object], None],
        stopped: Callable[[], None],
        clock: Clock | None = None,
        crash: Callable[[int], None] = os._exit,
    ):
        super().__init__("backend")
        self.settings = settings
        self.clock = clock or SystemClock()
        self.counters = Counters()
        self._announce = announce
        self._stopped = stopped
        self._crash = crash
        work = settings.work
        self._queue = WorkQueue(work.queue_length, work.queue_ms / 1000)
        self._records = ExecutionLog(settings.faults.record_file)
        self._health = HealthHistory(settings.faults.health_lag_ms / 1000)
        self._rng = Random(settings.backend.random_seed)
        self._behaviour = NormalBehaviour(self._rng, work.error_rate)
        self._error_rate = work.error_rate
        self._factor = 1.0
        self._cold_factor = 1.0
        self._running: dict[object, int] = {}
        self._phase_end: float | None = None
        self._settle_end = 0.0
        self._limit_end = 0.0
        self._handlers = {
            Listening: lambda message: self._chart.send("listening"),
            Drain: lambda message: self._chart.send("drain"),
            WorkArrived: self._arrive,
            WorkEnded: self._end_work,
            QueryReport: self._report,
            Control: self._control,
            AnnounceFailed: lambda message: self.counters.add("announce-failed"),
        }
        self._chart = CHART.start(self)
        self._note_health()

    def wait_s(self) -> float | None:
        """Return the time until a timer is due."""
        due = [self._phase_end, self._queue.next_due()]
        times = [time for time in due if time is not None]
        return max(0.0, min(times) - self.clock.now()) if times else None

    def run_due_timers(self) -> None:
        """Run the timers that are due."""
        self._run_timers()

    def handle(self, message: object) -> None:
        """Act on one message, then on the timers that are due."""
        self._handlers[type(message)](message)
        self._run_timers()

    def _run_timers(self):
        now = self.clock.now()
        for arrived in self._queue.expire(now):
            late = arrived.deadline is not None and arrived.deadline <= now
            self._refuse(arrived, Reason.DEADLINE if late else Reason.SHED)
        if self._phase_end is not None and self._phase_end <= now:
            self._phase_end = None
            self._chart.send("timer")
        self._note_health()

    def _note_health(self):
        state = HealthState(
            state=self._chart.state,
            running=len(self._running),
            waiting=len(self._queue),
            slots=self.settings.work.slots,
        )
        self._health.note(state, self.clock.now())

    # Guards and actions of the chart.

    def begin_warming(self, arg: object) -> None:
        """Start the time in which requests are slower."""
        cold_s = self.settings.work.cold_start_ms / 1000
        self._phase_end = self.clock.now() + cold_s
        self._cold_factor = self.settings.work.cold_factor if cold_s else 1.0

    def begin_serving(self, arg: object) -> None:
        """Run at full speed and be announced as accepting requests."""
        self._phase_end = None
        self._cold_factor = 1.0
        self._announce(AnnounceState(draining=False))

    def begin_draining(self, arg: object) -> None:
        """Announce the drain and set its limits."""
        log.info("draining", running=len(self._running), waiting=len(self._queue))
        self._announce(AnnounceState(draining=True))
        drain = self.settings.drain
        now = self.clock.now()
        self._settle_end = now + drain.settle_ms / 1000
        self._limit_end = max(self._settle_end, now + drain.limit_s)
        self._phase_end = self._settle_end

    def drained(self, arg: object) -> bool:
        """Return whether the process may end; set the next timer if not."""
        now = self.clock.now()
        if now < self._settle_end:
            self._phase_end = self._settle_end
            return False
        if self._running or len(self._queue):
            self._phase_end = self._limit_end
            return now >= self._limit_end
        return True

    def finish(self, arg: object) -> None:
        """Tell the program that the backend server has drained."""
        log.info("stopped", executions=len(self._records.executions))
        self._phase_end = None
        self._stopped()

    def admit(self, arrived: WorkArrived) -> None:
        """Start a request, queue it or shed it."""
        if len(self._running) < self.settings.work.slots:
            self._start_work(arrived)
        elif not self._queue.offer(arrived, self.clock.now()):
            self._refuse(arrived, Reason.SHED)

    # Work.

    def _arrive(self, arrived):
        if not self._chart.send("arrive", arrived):
            self._refuse(arrived, Reason.DRAINING)

    def _refuse(self, arrived, reason):
        self.counters.add(reason)
        arrived.reply.post(WorkRefused(reason))

    def _start_work(self, arrived):
        routes = longest_prefix(arrived.path, self.settings.work.routes)
        route = routes[0] if routes else UNLISTED_ROUTE
        plan = self._behaviour.plan(route, self._factor * self._cold_factor)
        if self._is_too_late(arrived, plan):
            self._refuse(arrived, Reason.DEADLINE)
            return
        execution = self._records.start(arrived)
        if self._is_poison(arrived):
            self._crash(CRASH_STATUS)
        self._running[arrived.reply] = execution.number
        calls = longest_prefix(arrived.path, self.settings.nested.calls)
        arrived.reply.post(
            WorkStarted(
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

    def _end_work(self, message):
        number = self._running.pop(message.reply, None)
        if number is None:
            if self._queue.discard(message.reply):
                self.counters.add("cancelled-waiting")
            return
        self._records.end(number, message.cancelled)
        self.counters.add("cancelled" if message.cancelled else "finished")
        while len(self._queue) and len(self._running) < self.settings.work.slots:
            self._start_work(self._queue.take())
        if self._chart.is_in("draining"):
            self._chart.send("timer")

    # Reports and run-time changes.

    def _report(self, message):
        message.reply.post(Report(self._document(message.topic)))

    def _document(self, topic):
        if topic == "health":
            return self._health.lagging(self.clock.now())
        if topic == "executions":
            return self._records.as_list()
        return {
            "count": len(self._records.executions),
            "running": len(self._running),
            "counters": self.counters.snapshot(),
        }

    def _control(self, message):
        if message.factor is not None:
            self._factor = message.factor
        if message.seed is not None:
            self._rng = Random(message.seed)
        if message.error_rate is not None:
            self._error_rate = message.error_rate
        self._set_behaviour(message.stall)
        if message.draining is not None:
            self._chart.send("drain" if message.draining else "resume")
        message.reply.post(Report({"state": self._chart.state}))

    def _set_behaviour(self, stall):
        is_stalled = isinstance(self._behaviour, StallBehaviour)
        if is_stalled if stall is None else stall:
            self._behaviour = StallBehaviour()
        else:
            self._behaviour = NormalBehaviour(self._rng, self._error_rate)


CHART = bind_methods("backend_standin", BackendTask)
