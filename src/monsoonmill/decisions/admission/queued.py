"""Admission with a concurrency limit and a bounded, fair queue."""

from attrs import define, frozen

from monsoonmill.decisions.admission.admission import Admission
from monsoonmill.decisions.admission.admission_level import AdmissionLevel
from monsoonmill.decisions.admission.concurrency_limit import (
    AdaptiveLimit,
    ConcurrencyLimit,
    FixedLimit,
    RunResult,
    RunSample,
)
from monsoonmill.decisions.admission.fair_queue import FairQueue, QueuedCall
from monsoonmill.decisions.admission.signals import Admitted, NotAdmitted, SlotReleased
from monsoonmill.decisions.admission.slots_limit import SlotsLimit
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.decisions.timers import Timers
from monsoonmill.messages import Load
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import AdmissionSettings

STANDING_SHARE = 0.1
"""Part of the longest wait that is left while the queue never empties."""
RETRY_AFTER_S = 1.0
"""When another try of a refused call may succeed."""
LONGEST_HOLD_S = 0.5
"""A slot whose attempt was shed by the backend server is held back this long."""

FOREGROUND = tuple(one for one in Importance if one > Importance.BACKGROUND)
"""Classes that may use the whole limit."""


@frozen
class RunningCall:
    """An attempt that holds a slot.

    Attributes
    ----------
    running : int
        Attempts that held one when it started, itself included.
    """

    route: str
    importance: Importance
    started_at: float
    running: int


@frozen
class HeldSlot:
    """A slot that is held back, since the backend server shed its attempt."""

    attempt: str


@define
class FullBackend:
    """How many attempts a backend server held when it last said that it was full.

    Further ones would be shed too, also those that were shed and wait again.

    Attributes
    ----------
    held : int
        Attempts that were there then.
    until : float
        When it is tried with more again.
    """

    held: int = 0
    until: float = float("-inf")

    def note_shed(self, held: int, now: float, hold_s: float) -> None:
        """Remember how many attempts were there when another was shed."""
        self.held = min(held, self.held) if now < self.until else held
        self.until = now + hold_s

    def limit(self, limit: int, least: int, now: float) -> int:
        """Return how many attempts may be there now."""
        return min(limit, max(self.held, least)) if now < self.until else limit


class QueuedAdmission(Admission):
    """Gives slots up to a limit; what finds none waits in order of worth.

    An attempt is refused before it runs when its deadline is nearer than its
    route's usual latency, or when it has waited for too long.
    """

    def __init__(self, cfg: AdmissionSettings, limit: ConcurrencyLimit):
        self._cfg = cfg
        self._limit = limit
        self._queue = FairQueue(cfg.queue_length)
        self._level = AdmissionLevel()
        self._running: dict[str, RunningCall] = {}
        self._held: set[HeldSlot] = set()
        self._room = FullBackend()
        self._background = 0
        self._queue_empty_at = float("-inf")
        self._timers = Timers()

    @classmethod
    def adaptive(cls, cfg: AdmissionSettings) -> "QueuedAdmission":
        """Return one whose limit follows the measured delay."""
        return cls(cfg, AdaptiveLimit(cfg))

    @classmethod
    def with_announced_slots(cls, cfg: AdmissionSettings) -> "QueuedAdmission":
        """Return one whose limit is the number of announced slots."""
        return cls(cfg, SlotsLimit(cfg.initial_limit))

    @classmethod
    def fixed(cls, cfg: AdmissionSettings) -> "QueuedAdmission":
        """Return one whose limit stays at the initial one."""
        return cls(cfg, FixedLimit(cfg.initial_limit))

    def handlers(self):
        """Return the handlers of this decision."""
        own = {BackendAnnounced: self.on_backend_announced}
        return {**super().handlers(), **own}

    def on_backend_announced(self, signal: BackendAnnounced, now: float):
        """Take the announced number of slots as a hint."""
        self._limit.set_announced_slots(signal.slots)
        yield from self._admit_waiting(now)

    def on_admit_call(self, signal, now):
        """Queue an attempt and give slots to those that are due."""
        call = QueuedCall(
            signal.attempt,
            signal.route,
            signal.organisation,
            signal.importance,
            signal.deadline,
            now,
        )
        if self._is_hopeless(call, now):
            yield NotAdmitted(call.attempt, Reason.DEADLINE, 0.0)
            return
        if self._may_run(call.importance, now):
            yield self._start(call, now)
            return
        if len(self._running) + len(self._held) >= self._limit.limit:
            self._limit.record_full()
        self._note_queue(now)
        refused = self._queue.offer(call)
        if refused is not call:
            self._timers.set(call.attempt, self._last_start(call, now))
        if refused is not None:
            yield self._refuse(refused, Reason.QUEUE_FULL, now)
        yield from self._admit_waiting(now)

    def on_cancel_admission(self, signal, now):
        """Forget an attempt that waits, or take its slot back."""
        self._timers.cancel(signal.attempt)
        if self._queue.remove(signal.attempt) is None:
            self._free(signal.attempt)
        yield from self._admit_waiting(now)

    def on_slot_released(self, signal, now):
        """Take a slot back and give it to the next attempt."""
        run = self._free(signal.attempt)
        if run is not None:
            sample = RunSample(
                run.route,
                run.started_at,
                signal.latency_s,
                run.running,
                _run_result(signal),
            )
            self._limit.record_run(sample, now)
        if run is not None and signal.shed:
            self._hold(signal, run.route, now)
        yield from self._admit_waiting(now)

    def _hold(self, released, route, now):
        """Hold a slot back for as long as an attempt would have run.

        A backend server sheds at once, and would shed the next attempt too.
        """
        slot = HeldSlot(released.attempt)
        self._held.add(slot)
        hold_s = min(self._limit.recent_latency_s(route, now), LONGEST_HOLD_S)
        self._timers.set(slot, now + hold_s)
        if released.not_run:
            self._room.note_shed(len(self._running), now, hold_s)

    def next_due(self):
        """Return when the next attempt has waited for too long."""
        return self._timers.next_due()

    def tick(self, now):
        """Refuse the attempts that can no longer be run in time."""
        for attempt in self._timers.pop_due(now):
            if isinstance(attempt, HeldSlot):
                self._held.discard(attempt)
                continue
            call = self._queue.remove(attempt)
            if call is not None:
                is_hopeless = self._is_hopeless(call, now)
                reason = Reason.DEADLINE if is_hopeless else Reason.SHED
                yield self._refuse(call, reason, now)
        yield from self._admit_waiting(now)

    def load(self):
        """Return the load to tell others of."""
        return Load(
            running=len(self._running),
            waiting=len(self._queue),
            limit=max(self._limit.limit, 1),
            level=self._level.level,
        )

    def _admit_waiting(self, now):
        self._note_queue(now)
        while self._queue:
            lowest = self._lowest_runnable(now)
            call = None if lowest is None else self._queue.pop(lowest)
            if call is None:
                return
            self._timers.cancel(call.attempt)
            if self._is_hopeless(call, now):
                yield self._refuse(call, Reason.DEADLINE, now)
            elif now - call.queued_at > self._longest_wait_s(call.importance, now):
                yield self._refuse(call, Reason.SHED, now)
            else:
                yield self._start(call, now)
        self._level.record_idle()

    def _lowest_runnable(self, now):
        """Return the lowest class that may have a slot now; None for none."""
        return next((one for one in Importance if self._may_run(one, now)), None)

    def _may_run(self, importance, now):
        limit = self._limit.limit
        if len(self._running) + len(self._held) >= limit:
            return False
        if len(self._running) >= self._room.limit(limit, self._cfg.min_limit, now):
            return False
        if importance is not Importance.BACKGROUND:
            return True
        return self._background < max(limit * self._cfg.background_share, 1)

    def _start(self, call, now):
        running = len(self._running) + 1
        self._running[call.attempt] = RunningCall(
            call.route, call.importance, now, running
        )
        self._background += call.importance is Importance.BACKGROUND
        self._queue.charge(call)
        self._level.record_admitted(call.importance, now)
        return Admitted(call.attempt)

    def _free(self, attempt):
        run = self._running.pop(attempt, None)
        if run is not None:
            self._background -= run.importance is Importance.BACKGROUND
        return run

    def _refuse(self, call, reason, now):
        self._timers.cancel(call.attempt)
        if reason is not Reason.DEADLINE:
            self._level.record_refused(call.importance, now)
        return NotAdmitted(call.attempt, reason, RETRY_AFTER_S)

    def _is_hopeless(self, call, now):
        return call.deadline - now <= self._limit.recent_latency_s(call.route, now)

    def _last_start(self, call, now):
        """Return when an attempt has waited for too long."""
        usual_s = self._limit.recent_latency_s(call.route, now)
        longest_s = self._longest_wait_s(call.importance, now)
        return min(call.deadline - usual_s, now + longest_s)

    def _longest_wait_s(self, importance, now):
        """Return how long a class may wait.

        Waiting only helps against bursts: in a queue that stands for long it
        makes every call late, so that what is admitted fails in the end.
        """
        queue_s = self._cfg.queue_ms / 1000
        is_standing = now - self._queue_empty_at > queue_s
        if is_standing and importance is not Importance.CRITICAL:
            return queue_s * STANDING_SHARE
        return queue_s

    def _note_queue(self, now):
        """Remember when last no call but background ones waited."""
        queue = self._queue
        if not queue or not any(queue.has_waiting(one) for one in FOREGROUND):
            self._queue_empty_at = now

    def status(self):
        """Return the limit, the load and the admission level."""
        load = self.load()
        return {
            **self._limit.status(),
            "running": load.running,
            "waiting": load.waiting,
            "level": load.level.name.lower(),
        }


def _run_result(signal: SlotReleased) -> RunResult:
    """Return what a run's end says of the backend server's load."""
    if signal.shed:
        return RunResult.SHED
    if signal.timed_out:
        return RunResult.CUT_OFF
    return RunResult.FAILED if signal.failed else RunResult.ANSWERED
