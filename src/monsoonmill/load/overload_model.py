"""Discrete-event model of backend servers, on a virtual clock.

A backend server shares its CPU among its requests: up to ``slots`` requests each
run at full speed; more requests slow all down, and contention wastes a part.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from attrs import define, field, frozen


class EventQueue:
    """Actions, sorted by the virtual time in seconds at which they run."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = count()

    def schedule_at(self, due: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now if the time has passed."""
        heappush(self._heap, (max(due, self.now), next(self._sequence), action))

    def schedule_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.schedule_at(self.now + delay_s, action)

    def run_until(self, end: float) -> None:
        """Run all actions that are due up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heappop(self._heap)
            action()
        self.now = end


@frozen
class Slowdown:
    """A period in which a backend server runs at a fraction of its speed.

    Attributes
    ----------
    start, end : float
        Virtual time in seconds.
    speed : float
        The fraction.
    """

    start: float
    end: float
    speed: float


@frozen
class ServerSpec:
    """Capacity of a modelled backend server.

    Attributes
    ----------
    slots : int
        Requests that run concurrently at full speed.
    contention : float
        Fraction of work wasted for each multiple of the slots beyond the first.
    slowdowns : tuple of Slowdown
        Cold starts and temporary slowness.
    """

    slots: int = 10
    contention: float = 0.1
    slowdowns: tuple[Slowdown, ...] = ()

    def speed(self, running: int, now: float) -> float:
        """Return the speed of each request, 1 for full speed."""
        speed = 1.0
        if running > self.slots:
            load = running / self.slots
            speed = 1 / (load * (1 + self.contention * (load - 1)))
        for slowdown in self.slowdowns:
            if slowdown.start <= now < slowdown.end:
                speed *= slowdown.speed
        return speed


@define(eq=False)
class ServerJob:
    """A request at a modelled backend server.

    Attributes
    ----------
    work_done_at_finish : float
        Value of ``ModelServer.work_done`` at which the request is finished.
    """

    work_done_at_finish: float
    on_finished: Callable[[], None]
    is_aborted: bool = False


@define(eq=False)
class ModelServer:
    """A backend server that shares its CPU among its requests.

    Attributes
    ----------
    work_done : float
        Work, in seconds at full speed, that a request would have received if it
        had run since the start of the simulation.
    schedule_version : int
        Incremented on each reschedule; events of an older version are ignored.
    jobs : list
        Heap of the requests, ordered by the work at which they are finished.
    """

    spec: ServerSpec
    events: EventQueue
    running: int = 0
    work_done: float = 0.0
    updated_at: float = 0.0
    schedule_version: int = 0
    jobs: list = field(factory=list)
    job_sequence: count = field(factory=count)

    def __attrs_post_init__(self):
        for slowdown in self.spec.slowdowns:
            self.events.schedule_at(slowdown.start, self._reschedule)
            self.events.schedule_at(slowdown.end, self._reschedule)

    def start(self, work_s: float, on_finished: Callable[[], None]) -> ServerJob:
        """Start a request that takes ``work_s`` at full speed."""
        self._advance()
        job = ServerJob(self.work_done + work_s, on_finished)
        heappush(self.jobs, (job.work_done_at_finish, next(self.job_sequence), job))
        self.running += 1
        self._reschedule()
        return job

    def abort(self, job: ServerJob) -> None:
        """Abort a request."""
        self._advance()
        job.is_aborted = True
        self.running -= 1
        self._reschedule()

    def _advance(self):
        elapsed_s = self.events.now - self.updated_at
        # Slowdowns start and end at events, so the speed was constant in between.
        speed = self.spec.speed(self.running, self.updated_at)
        self.work_done += elapsed_s * speed
        self.updated_at = self.events.now

    def _reschedule(self):
        self._advance()
        while self.jobs and self.jobs[0][2].is_aborted:
            heappop(self.jobs)
        self.schedule_version += 1
        if self.jobs:
            version = self.schedule_version
            remaining_s = max(self.jobs[0][0] - self.work_done, 0.0)
            speed = self.spec.speed(self.running, self.events.now)
            self.events.schedule_after(
                remaining_s / speed, lambda: self._finish(version)
            )

    def _finish(self, version):
        if version != self.schedule_version:
            return
        self._advance()
        job = heappop(self.jobs)[2]
        self.work_done = max(self.work_done, job.work_done_at_finish)
        self.running -= 1
        self._reschedule()
        job.on_finished()
