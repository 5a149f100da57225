"""Backend servers that never answer what they cannot queue, on a virtual clock.

Plays a load against one backend server behind the admission of its node and checks
what callers get.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from attrs import define, evolve, field

from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    Admitted,
    NotAdmitted,
    SlotReleased,
)
from monsoonmill.decisions.admission.silent_runs import MIN_OVERTAKEN, SilentRuns
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.model import Address
from monsoonmill.reasons import Importance
from monsoonmill.settings import Settings

SLOTS = 14
QUEUE = 42
WORK_S = 0.096
DEADLINE_S = 1.5
ADDRESS = Address("10.0.0.1", 8080)
ADMISSION = {"policy": {"admission": "slots"}}


@define
class SlotServer:
    """A backend server that starts requests in their order.

    Attributes
    ----------
    silent_attempts : set of str
        Requests that it never answers, beside those that it cannot queue.
    """

    work_s: float = WORK_S
    running: set[str] = field(factory=set)
    queued: list[str] = field(factory=list)
    silent_attempts: set[str] = field(factory=set)
    most_held: int = 0

    def take(self, attempt):
        """Return whether a request starts now."""
        if attempt in self.silent_attempts:
            return False
        if len(self.running) < SLOTS:
            self.running.add(attempt)
        elif len(self.queued) < QUEUE:
            self.queued.append(attempt)
        else:
            self.silent_attempts.add(attempt)
        self.most_held = max(self.most_held, len(self.running) + len(self.queued))
        return attempt in self.running

    def finish(self, attempt):
        """End a request; return the one that starts in its place, or None."""
        self.running.discard(attempt)
        if not self.queued:
            return None
        self.running.add(self.queued[0])
        return self.queued.pop(0)


class Play:
    """Open-loop load on one backend server; counts what callers get."""

    def __init__(self, silent_after_ms, rate, seconds=12.0, seed=1, **server):
        cfg = Settings.from_dict({}).admission
        cfg = evolve(cfg, silent_after_ms=silent_after_ms, queue_ms=600)
        self.admission = QueuedAdmission.with_announced_slots(cfg)
        self.server = SlotServer(**server)
        self.now = 100.0
        self.answered = self.refused = self.unanswered = 0
        self.slot_s_lost = 0.0
        self._rng = Random(seed)
        self._events = []
        self._numbers = count()
        self._started_at = {}
        self._lost = {}
        announced = BackendAnnounced("s", ADDRESS, SLOTS)
        list(self.admission.on_backend_announced(announced, self.now))
        arrival = self.now
        while arrival < self.now + seconds:
            arrival += self._rng.expovariate(rate)
            self._schedule(arrival, self._arrive)

    def _schedule(self, due, action, *args):
        heappush(self._events, (due, next(self._numbers), action, args))

    def lose_runs(self, at_s, number):
        """Let requests that start at a time be lost at the backend server."""
        self._lost[self.now + at_s] = number

    def run(self):
        """Play to the end."""
        while self._events:
            due, _, action, args = heappop(self._events)
            while (tick := self.admission.next_due()) is not None and tick <= due:
                self.now = max(tick, self.now)
                self._process(self.admission.tick(self.now))
            self.now = due
            action(*args)
        return self

    def _arrive(self):
        attempt = f"a{next(self._numbers)}"
        call = AdmitCall(
            attempt, "r", "haven", Importance.INTERACTIVE, self.now + DEADLINE_S
        )
        self._process(self.admission.on_admit_call(call, self.now))

    def _process(self, signals):
        for signal in signals:
            if isinstance(signal, Admitted):
                self._start(signal.attempt)
            elif isinstance(signal, NotAdmitted):
                assert signal.attempt not in self._started_at, "false refusal"
                self.refused += 1

    def _start(self, attempt):
        self._started_at[attempt] = self.now
        self._schedule(self.now + DEADLINE_S, self._expire, attempt)
        for at, number in list(self._lost.items()):
            if self.now >= at and number > 0:
                self._lost[at] -= 1
                self.server.silent_attempts.add(attempt)
                break
        if self.server.take(attempt):
            self._work(attempt)

    def _work(self, attempt):
        work_s = self.server.work_s * self._rng.lognormvariate(-0.045, 0.3)
        self._schedule(self.now + work_s, self._finish, attempt)

    def _finish(self, attempt):
        following = self.server.finish(attempt)
        if following is not None:
            self._work(following)
        started_at = self._started_at.pop(attempt, None)
        if started_at is None:
            return
        self.answered += 1
        self._release(attempt, started_at)

    def _expire(self, attempt):
        started_at = self._started_at.pop(attempt, None)
        if started_at is not None:
            self.unanswered += 1
            self._release(attempt, started_at, timed_out=True)

    def _release(self, attempt, started_at, timed_out=False):
        released = SlotReleased(
            attempt,
            self.now - started_at,
            shed=False,
            timed_out=timed_out,
            failed=timed_out,
            not_run=False,
        )
        if timed_out and attempt in self.admission._running:
            self.slot_s_lost += self.now - started_at
        self._process(self.admission.on_slot_released(released, self.now))


def play(silent_after_ms, rate=120, losses=(), **options):
    played = Play(silent_after_ms, rate, **options)
    for at_s, number in losses:
        played.lose_runs(at_s, number)
    return played.run()


LOSSES = [(second, 3) for second in range(1, 11)]


def test_slots_of_silent_runs_serve_other_callers():
    """Three requests a second are never answered, at 0.8 of the capacity."""
    before = play(0, losses=LOSSES)
    after = play(1000, losses=LOSSES)
    assert after.slot_s_lost < 0.75 * before.slot_s_lost
    assert after.refused <= before.refused
    assert after.answered >= before.answered
    assert after.unanswered <= sum(number for _, number in LOSSES)


@pytest.mark.parametrize("seed", range(5))
def test_backend_server_never_gets_more_than_it_can_queue(seed):
    played = play(1000, rate=400, losses=LOSSES, seed=seed)
    assert played.server.most_held <= SLOTS + SLOTS // 4
    assert played.unanswered <= sum(number for _, number in LOSSES)


@pytest.mark.parametrize("seed", range(3))
def test_slow_backend_server_loses_no_call_by_given_slots(seed):
    """All runs take 5 times as long; none of them is silent."""
    options = {"rate": 40, "work_s": 5 * WORK_S, "seed": seed}
    before, after = play(0, **options), play(1000, **options)
    assert after.unanswered == before.unanswered == 0
    assert after.answered >= 0.98 * before.answered


# The rules, one by one.
def overtake(runs, times, now, latency_s=0.1, limit=8):
    silent = []
    for number in range(times):
        runs.add(f"later-{now}-{number}", "r", now)
        silent += runs.record_answer(f"later-{now}-{number}", latency_s, limit, now)
        runs.remove(f"later-{now}-{number}")
    return silent


def test_run_is_silent_after_time_and_answers():
    runs = SilentRuns(1.0)
    runs.add("old", "r", 10.0)
    assert overtake(runs, 3 * MIN_OVERTAKEN, 10.9) == []
    assert overtake(runs, 1, 11.1) == ["old"]
    assert runs.remove("old")
    assert len(runs) == 0


def test_answers_are_needed():
    runs = SilentRuns(1.0)
    runs.add("old", "r", 10.0)
    assert overtake(runs, MIN_OVERTAKEN - 1, 15.0) == []
    assert overtake(runs, 1, 15.0) == ["old"]


def test_answers_of_other_routes_do_not_count():
    runs = SilentRuns(1.0)
    runs.add("old", "other", 10.0)
    assert overtake(runs, 50, 15.0) == []


def test_runs_of_a_slow_route_get_more_time():
    runs = SilentRuns(1.0)
    runs.add("old", "r", 10.0)
    assert overtake(runs, 50, 12.0, latency_s=0.6) == []
    assert overtake(runs, 1, 12.5, latency_s=0.6) == ["old"]


def test_share_of_given_slots_is_bounded():
    runs = SilentRuns(1.0)
    for number in range(8):
        runs.add(f"old-{number}", "r", 10.0)
    assert len(overtake(runs, 50, 15.0, limit=8)) == 2
    assert len(overtake(runs, 50, 15.0, limit=8)) == 0


def test_zero_turns_the_detection_off():
    runs = SilentRuns(0.0)
    runs.add("old", "r", 10.0)
    assert overtake(runs, 50, 15.0) == []
