"""Discrete-event model of backend servers, on a virtual clock.

A backend server shares its processor among its requests: up to its slots each
runs at full speed, beyond them all slow down, and crowding wastes a part.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from attrs import define, field, frozen


class EventQueue:
    """Actions in the order of their virtual times in seconds."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._order = count()

    def at(self, due: float, action: Callable[[], None]) -> None:
        """Run an action at a time, not before the present."""
        heappush(self._heap, (max(due, self.now), next(self._order), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now + delay_s, action)

    def run_until(self, end: float) -> None:
        """Run everything that is due up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heappop(self._heap)
            action()
        self.now = end


@frozen
class Slowdown:
    """A time in which a backend server runs at a part of its speed."""

    start: float
    end: float
    speed: float


@frozen
class ServerSpec:
    """What a modelled backend server can do.

    Attributes
    ----------
    slots : int
        Requests that run at full speed side by side.
    crowding : float
        Work wasted for each multiple of the slots beyond the first.
    slowdowns : tuple of Slowdown
        Cold starts and slow spells.
    """

    slots: int = 10
    crowding: float = 0.1
    slowdowns: tuple[Slowdown, ...] = ()

    def speed(self, running: int, now: float) -> float:
        """Return the speed of each request, 1 for full speed."""
        speed = 1.0
        if running > self.slots:
            load = running / self.slots
            speed = 1 / (load * (1 + self.crowding * (load - 1)))
        for one in self.slowdowns:
            if one.start <= now < one.end:
                speed *= one.speed
        return speed


@define(eq=False)
class ServerJob:
    """A request at a modelled backend server."""

    finish_at_work: float
    on_finish: Callable[[], None]
    is_aborted: bool = False


@define(eq=False)
class ModelServer:
    """A backend server that shares its processor.

    Attributes
    ----------
    work_done : float
        Seconds of full-speed work that each present request has been given.
    """

    spec: ServerSpec
    events: EventQueue
    running: int = 0
    work_done: float = 0.0
    updated_at: float = 0.0
    plan: int = 0
    jobs: list = field(factory=list)
    order: count = field(factory=count)

    def __attrs_post_init__(self):
        for one in self.spec.slowdowns:
            self.events.at(one.start, self._replan)
            self.events.at(one.end, self._replan)

    def start(self, work_s: float, on_finish: Callable[[], None]) -> ServerJob:
        """Begin a request that takes a time at full speed."""
        self._advance()
        job = ServerJob(self.work_done + work_s, on_finish)
        heappush(self.jobs, (job.finish_at_work, next(self.order), job))
        self.running += 1
        self._replan()
        return job

    def abort(self, job: ServerJob) -> None:
        """Stop a request."""
        self._advance()
        job.is_aborted = True
        self.running -= 1
        self._replan()

    def _advance(self):
        elapsed_s = self.events.now - self.updated_at
        # Slowdowns begin and end at events, so the speed was constant.
        speed = self.spec.speed(self.running, self.updated_at)
        self.work_done += elapsed_s * speed
        self.updated_at = self.events.now

    def _replan(self):
        self._advance()
        while self.jobs and self.jobs[0][2].is_aborted:
            heappop(self.jobs)
        self.plan += 1
        if self.jobs:
            plan = self.plan
            left = max(self.jobs[0][0] - self.work_done, 0.0)
            speed = self.spec.speed(self.running, self.events.now)
            self.events.after(left / speed, lambda: self._finish(plan))

    def _finish(self, plan):
        if plan != self.plan:
            return
        self._advance()
        job = heappop(self.jobs)[2]
        self.work_done = max(self.work_done, job.finish_at_work)
        self.running -= 1
        self._replan()
        job.on_finish()
