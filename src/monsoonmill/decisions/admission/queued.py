"""Admission with a concurrency limit and a bounded, fair queue."""

from attrs import define

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.admission import Admission
from monsoonmill.decisions.admission.admission_level import AdmissionLevel
from monsoonmill.decisions.admission.chain_admission import ThresholdController
from monsoonmill.decisions.admission.cold_limit import MAX_WAIT_S, ColdLimit
from monsoonmill.decisions.admission.concurrency_limit import (
    AdaptiveLimit,
    ConcurrencyLimit,
    FixedLimit,
    RunResult,
    RunSample,
    ServerEvent,
)
from monsoonmill.decisions.admission.fair_queue import FairQueue, QueuedCall
from monsoonmill.decisions.admission.server_pace import PacedLimit
from monsoonmill.decisions.admission.signals import Admitted, NotAdmitted, SlotReleased
from monsoonmill.decisions.admission.silent_runs import SilentRuns
from monsoonmill.decisions.admission.slots_limit import SlotsLimit
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.decisions.timers import Timers
from monsoonmill.eventlog import get_logger
from monsoonmill.messages import Load
from monsoonmill.model import Config
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import AdmissionSettings
from monsoonmill.value_classes import frozen

STANDING_QUEUE_SHARE = 0.1
"""Share of the maximum wait that applies while the queue never empties."""
RETRY_AFTER_S = 1.0
"""Time after which a retry of a refused call may succeed."""
MAX_HOLD_S = 0.5
"""Maximum time for which a slot is withheld after the backend server shed its
attempt."""
MAX_FILL = 0.95
"""Share of the limit that is used where the configuration has mixed objectives. Some
services there slow down when they are fuller, and the last slots then cost more
capacity than they add."""
MIN_FILLED_LIMIT = 20
"""Lower limits are used in full, since one slot is more than a twentieth of them."""

FOREGROUND = tuple(
    importance for importance in Importance if importance > Importance.BACKGROUND
)
"""Classes that may use the whole concurrency limit."""

COLD_REFUSED = "cold-refused"
PACE_LIMITED = "pace-limited"
COLD_TIMER = "cold"
"""Timer of the next request to a cold server, and of the end of the cold time."""
LATENCY_WEIGHT = 0.05
"""Weight of one run in the mean latency, as of one sample of a route's latency."""

log = get_logger("admission")


@frozen
class RunningCall:
    """An attempt that holds a slot.

    Attributes
    ----------
    running : int
        Attempts that held a slot when it started, including itself.
    """

    route: str
    importance: Importance
    started_at: float
    running: int


@frozen
class WithheldSlot:
    """A slot that is withheld, since the backend server shed its attempt."""

    attempt: str


@define
class ObservedCapacity:
    """Attempts at the backend server when it last reported that it was full.

    Additional attempts would be shed too, including those that were shed and are
    queued again.

    Attributes
    ----------
    running : int
        Attempts at the backend server at that time.
    expires_at : float
        When more attempts are sent again.
    """

    running: int = 0
    expires_at: float = float("-inf")

    def record_shed(self, running: int, now: float, hold_s: float) -> None:
        """Record how many attempts were running when another one was shed."""
        self.running = min(running, self.running) if now < self.expires_at else running
        self.expires_at = now + hold_s

    def limit(self, limit: int, min_limit: int, now: float) -> int:
        """Return how many attempts may run now."""
        return (
            min(limit, max(self.running, min_limit)) if now < self.expires_at else limit
        )


@define
class MeanLatency:
    """Mean time of recent runs, over all routes.

    Attributes
    ----------
    mean_s : float
        Moving average in seconds; 0 if it is not known.
    """

    mean_s: float = 0.0
    samples: int = 0

    def record(self, latency_s: float) -> None:
        """Record the latency of an answered run."""
        self.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / self.samples)
        self.mean_s += weight * (latency_s - self.mean_s)


class QueuedAdmission(Admission):
    """Assigns slots up to a limit and queues further attempts by priority.

    An attempt is refused before it runs when the time left until its deadline is
    shorter than its route's recent latency, or when it has waited for too long.
    Where the configuration has mixed objectives, a threshold tells other nodes for
    which chains there is capacity.
    """

    def __init__(
        self,
        cfg: AdmissionSettings,
        limit: ConcurrencyLimit,
        counters: Counters | None = None,
    ):
        self._cfg = cfg
        self._limit = limit
        self._counters = counters or Counters()
        self._cold = ColdLimit.from_settings(cfg)
        self._config = Config()
        self._has_mixed_objectives = False
        self._service = ""
        self._process: tuple[str, int] | None = None
        self._says_cold = False
        self._latency = MeanLatency()
        self._handled_at = float("-inf")
        self._queue = FairQueue(cfg.queue_length)
        self._level = AdmissionLevel()
        self._running: dict[str, RunningCall] = {}
        self._silent_runs = SilentRuns(cfg.silent_after_ms / 1000)
        self._withheld: set[WithheldSlot] = set()
        self._capacity = ObservedCapacity()
        self._background_running = 0
        self._queue_empty_at = float("-inf")
        self._timers = Timers()
        self._controller: ThresholdController | None = None

    @classmethod
    def adaptive(
        cls, cfg: AdmissionSettings, counters: Counters | None = None
    ) -> "QueuedAdmission":
        """Return an admission whose limit follows the measured delay."""
        return cls(cfg, AdaptiveLimit(cfg), counters)

    @classmethod
    def with_announced_slots(
        cls, cfg: AdmissionSettings, counters: Counters | None = None
    ) -> "QueuedAdmission":
        """Return an admission whose limit is the number of announced slots.

        The limit is lower after a start or a recovery, where the configuration
        requires that.
        """
        return cls(cfg, PacedLimit(SlotsLimit(cfg.initial_limit)), counters)

    @classmethod
    def fixed(
        cls, cfg: AdmissionSettings, counters: Counters | None = None
    ) -> "QueuedAdmission":
        """Return an admission whose limit stays at its initial value."""
        return cls(cfg, FixedLimit(cfg.initial_limit), counters)

    def handlers(self):
        """Return the handlers of this decision."""
        own_handlers = {
            BackendAnnounced: self.on_backend_announced,
            ConfigChanged: self.on_config_changed,
        }
        return {**super().handlers(), **own_handlers}

    def start(self, now):
        """Record the start of the node."""
        self._cold.start(now)
        return ()

    def threshold(self, now):
        """Return the lowest standing for which there is capacity; 0 for all."""
        is_starting = self._cold.is_cold(now) or self._limit.is_reduced
        if self._controller is None or is_starting:
            # What such a server refuses says nothing of the capacity of its service.
            return 0
        self._controller.evaluate(now)
        return self._controller.threshold

    def record_return(self, now):
        """Ramp the server up again, which has had no calls for a time."""
        self._limit.record_event(ServerEvent.STARTED, now)

    def on_backend_announced(self, signal: BackendAnnounced, now: float):
        """Pass the announced slots, start and cold time to the limits."""
        process = (signal.instance, signal.started_ms)
        self._service = signal.service
        self._limit.set_announced_slots(signal.slots)
        begins = self._configure(now)
        begins |= self._cold.record_announcement(signal, now)
        if process != self._process:
            self._latency = MeanLatency()
            self._limit.record_event(ServerEvent.STARTED, now)
        elif signal.cold_left_ms > 0 and not self._says_cold:
            self._limit.record_event(ServerEvent.COLD, now)
        self._process = process
        self._says_cold = signal.cold_left_ms > 0
        if begins:
            yield from self._begin_cold(now)
        yield from self._admit_waiting(now)

    def on_config_changed(self, signal: ConfigChanged, now: float):
        """Use the cold limit, pace and threshold as the new configuration requires."""
        self._config = signal.new
        self._has_mixed_objectives = signal.new.has_mixed_objectives
        if not self._has_mixed_objectives:
            self._controller = None
        elif self._controller is None:
            self._controller = ThresholdController()
        if self._configure(now):
            yield from self._begin_cold(now)
        yield from self._admit_waiting(now)

    def _configure(self, now):
        """Use the server's service as configured; return whether the limit begins."""
        begins = self._cold.configure(self._config.services.get(self._service), now)
        self._limit.paces_starts = (
            self._has_mixed_objectives or self._cold.is_configured
        )
        return begins

    def _begin_cold(self, now):
        """Refuse the attempts that would wait for too long, now that it is cold."""
        log.info(
            "backend_server_cold",
            service=self._service,
            cold_ms=round((self._cold.cold_until - now) * 1000),
            waiting=len(self._queue),
        )
        for attempt in self._queue.attempts():
            self._timers.set_no_later(attempt, now + MAX_WAIT_S)
        yield from self._shorten_queue(now)

    def _shorten_queue(self, now):
        """Refuse the attempts that a cold server cannot take soon."""
        while len(self._queue) > self._cold.max_waiting:
            yield self._refuse(self._queue.evict(), Reason.SHED, now)

    def on_admit_call(self, signal, now):
        """Admit, queue or refuse an attempt."""
        self._handled_at = now
        call = QueuedCall(
            signal.attempt,
            signal.route,
            signal.organisation,
            signal.importance,
            signal.deadline,
            now,
            signal.rank,
        )
        if self._queue and self._cold.is_cold(now):
            # An arrival must not take a place that has just become free.
            yield from self._admit_waiting(now)
        if self._controller is not None and not self._cold.is_cold(now):
            self._controller.record_arrival(call.standing, len(self._queue), now)
        if self._would_miss_deadline(call, now):
            yield NotAdmitted(call.attempt, Reason.DEADLINE, 0.0)
            return
        if self._has_slot(call.importance, now):
            yield self._start(call, now)
            return
        if len(self._running) + len(self._withheld) >= self._usable_limit():
            self._limit.record_full()
            if self._limit.is_reduced:
                self._counters.add(PACE_LIMITED)
        self._update_queue_empty_at(now)
        refused = self._queue.offer(call)
        if refused is not call:
            self._timers.set(call.attempt, self._expiry(call, now))
        if refused is not None:
            yield self._refuse(refused, Reason.QUEUE_FULL, now)
        if self._cold.is_cold(now):
            yield from self._shorten_queue(now)
        yield from self._admit_waiting(now)

    def on_cancel_admission(self, signal, now):
        """Remove an attempt from the queue, or free its slot."""
        self._timers.cancel(signal.attempt)
        if self._queue.remove(signal.attempt) is None:
            # An attempt that had a slot was not sent.
            self._cold.record_not_counted(signal.attempt, now)
            self._release(signal.attempt)
        yield from self._admit_waiting(now)

    def on_slot_released(self, signal, now):
        """Free a slot and assign it to the next attempt."""
        if _run_result(signal) is RunResult.ANSWERED:
            self._find_silent_runs(signal.attempt, now)
        run = self._release(signal.attempt)
        if self._controller is not None and _run_result(signal) is RunResult.ANSWERED:
            self._controller.record_completion(now)
        if run is not None:
            sample = RunSample(
                run.route,
                run.started_at,
                signal.latency_s,
                run.running,
                _run_result(signal),
            )
            self._limit.record_run(sample, now)
            if sample.result is RunResult.ANSWERED:
                self._latency.record(signal.latency_s)
        if signal.not_sent:
            self._limit.record_event(ServerEvent.REFUSED_CONNECTION, now)
        elif signal.lost:
            self._limit.record_event(ServerEvent.LOST_RUN, now)
        if signal.misdirected or signal.not_sent:
            self._cold.record_not_counted(signal.attempt, now)
        if run is not None and signal.shed:
            self._withhold(signal, run.route, now)
        yield from self._admit_waiting(now)

    def _find_silent_runs(self, attempt, now):
        """Give away the slots of runs that will probably never be answered."""
        run = self._running.get(attempt)
        if run is None:
            return
        latency_s = self._limit.recent_latency_s(run.route, now)
        for name in self._silent_runs.record_answer(
            attempt, latency_s, self._limit.limit, now
        ):
            silent = self._running.pop(name)
            self._background_running -= silent.importance is Importance.BACKGROUND
            log.info(
                "slot_given_away",
                attempt=name,
                route=silent.route,
                elapsed_ms=round((now - silent.started_at) * 1000),
                latency_ms=round(latency_s * 1000),
            )

    def _withhold(self, released, route, now):
        """Withhold a slot for as long as the attempt would have run.

        A backend server sheds immediately, and would shed the next attempt too.
        """
        slot = WithheldSlot(released.attempt)
        self._withheld.add(slot)
        hold_s = min(self._limit.recent_latency_s(route, now), MAX_HOLD_S)
        self._timers.set(slot, now + hold_s)
        if released.not_run:
            self._capacity.record_shed(len(self._running), now, hold_s)

    def next_due(self):
        """Return when the next attempt expires or the next withheld slot is freed."""
        return self._timers.next_due()

    def tick(self, now):
        """Refuse expired attempts and free the slots that are due."""
        for key in self._timers.pop_due(now):
            if key is COLD_TIMER:
                continue
            if isinstance(key, WithheldSlot):
                self._withheld.discard(key)
                continue
            call = self._queue.remove(key)
            if call is not None:
                would_miss_deadline = self._would_miss_deadline(call, now)
                reason = Reason.DEADLINE if would_miss_deadline else Reason.SHED
                yield self._refuse(call, reason, now)
        yield from self._admit_waiting(now)

    def load(self):
        """Return the load to report to other nodes.

        While the server is cold, the limit is the number of requests that it has at
        the rate it accepts.
        """
        limit = self._usable_limit()
        if self._cold.is_cold(self._handled_at):
            limit = min(limit, self._cold.concurrency(self._latency.mean_s))
        return Load(
            running=len(self._running),
            waiting=len(self._queue),
            limit=max(limit, 1),
            level=self._level.level,
            latency_ms=round(self._latency.mean_s * 1000, 1),
        )

    def _admit_waiting(self, now):
        self._handled_at = now
        yield from self._serve_queue(now)
        if self._queue and not self._cold.may_send(now):
            self._timers.set(COLD_TIMER, self._cold.next_send(now))

    def _serve_queue(self, now):
        self._update_queue_empty_at(now)
        while self._queue:
            lowest = self._lowest_admissible(now)
            call = None if lowest is None else self._queue.pop(lowest)
            if call is None:
                return
            self._timers.cancel(call.attempt)
            if self._would_miss_deadline(call, now):
                yield self._refuse(call, Reason.DEADLINE, now)
            elif now - call.queued_at > self._max_wait_s(call.importance, now):
                yield self._refuse(call, Reason.SHED, now)
            else:
                yield self._start(call, now)
        self._level.record_idle()

    def _lowest_admissible(self, now):
        """Return the lowest class that can be assigned a slot now; None if none can."""
        return next(
            (
                importance
                for importance in Importance
                if self._has_slot(importance, now)
            ),
            None,
        )

    def _usable_limit(self):
        """Return how many attempts may run; the last slots would slow down all runs."""
        limit = self._limit.limit
        if self._controller is None or limit < MIN_FILLED_LIMIT:
            return limit
        return int(limit * MAX_FILL)

    def _has_slot(self, importance, now):
        if not self._cold.may_send(now):
            return False
        limit = self._usable_limit()
        if len(self._running) + len(self._withheld) >= limit:
            return False
        if len(self._running) >= self._capacity.limit(limit, self._cfg.min_limit, now):
            return False
        if importance is not Importance.BACKGROUND:
            return True
        return self._background_running < max(limit * self._cfg.background_share, 1)

    def _start(self, call, now):
        running = len(self._running) + 1
        self._running[call.attempt] = RunningCall(
            call.route, call.importance, now, running
        )
        self._background_running += call.importance is Importance.BACKGROUND
        self._silent_runs.add(call.attempt, call.route, now)
        self._cold.record_sent(call.attempt, now)
        self._queue.charge(call)
        self._level.record_admitted(call.importance, now)
        return Admitted(call.attempt)

    def _release(self, attempt):
        self._silent_runs.remove(attempt)
        run = self._running.pop(attempt, None)
        if run is not None:
            self._background_running -= run.importance is Importance.BACKGROUND
        return run

    def _refuse(self, call, reason, now):
        self._timers.cancel(call.attempt)
        if reason is not Reason.DEADLINE:
            if self._cold.is_cold(now):
                self._counters.add(COLD_REFUSED)
            self._level.record_refused(call.importance, now)
        if self._controller is not None and not self._cold.is_cold(now):
            self._controller.record_refusal(now)
        return NotAdmitted(call.attempt, reason, RETRY_AFTER_S)

    def _would_miss_deadline(self, call, now):
        return call.deadline - now <= self._limit.recent_latency_s(call.route, now)

    def _expiry(self, call, now):
        """Return when a queued attempt is to be refused."""
        recent_s = self._limit.recent_latency_s(call.route, now)
        max_wait_s = self._max_wait_s(call.importance, now)
        return min(call.deadline - recent_s, now + max_wait_s)

    def _max_wait_s(self, importance, now):
        """Return how long attempts of a class may wait.

        Queueing only helps with bursts. A queue that never empties delays every
        call, so that even admitted calls miss their deadlines.
        """
        queue_s = self._cfg.queue_ms / 1000
        if self._cold.is_cold(now):
            queue_s = min(queue_s, MAX_WAIT_S)
        is_standing = now - self._queue_empty_at > queue_s
        if is_standing and importance is not Importance.CRITICAL:
            return queue_s * STANDING_QUEUE_SHARE
        return queue_s

    def _update_queue_empty_at(self, now):
        """Update the last time at which no foreground attempt was waiting."""
        queue = self._queue
        if self._controller is not None:
            self._controller.record_queue(len(queue))
        if not queue or not any(
            queue.has_waiting(importance) for importance in FOREGROUND
        ):
            self._queue_empty_at = now

    def status(self):
        """Return the limit, the load and the admission level for operators."""
        load = self.load()
        return {
            **self._limit.status(),
            "running": load.running,
            "waiting": load.waiting,
            "silent": len(self._silent_runs),
            "level": load.level.name.lower(),
            "latency_ms": load.latency_ms,
            **self._cold.status(self._handled_at),
            "threshold": self._controller.threshold if self._controller else 0,
        }


def _run_result(signal: SlotReleased) -> RunResult:
    """Return how a run ended, as far as the concurrency limit is concerned."""
    if signal.shed:
        return RunResult.SHED
    if signal.timed_out:
        return RunResult.CUT_OFF
    return RunResult.FAILED if signal.failed else RunResult.ANSWERED
