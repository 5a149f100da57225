"""How long a request's work takes, and whether it succeeds."""

from abc import ABC, abstractmethod
from random import Random

from attrs import frozen

from monsoonmill.standin.backend_settings import RouteWork


@frozen
class PlannedWork:
    """What becomes of one request; ``service_s`` None means no answer."""

    service_s: float | None
    fails: bool = False


class Behaviour(ABC):
    """Plans the work of requests."""

    @abstractmethod
    def plan(self, route: RouteWork, factor: float) -> PlannedWork:
        """Return the work of a request; ``factor`` stretches its time."""


class NormalBehaviour(Behaviour):
    """Answers after the route's time, with seeded jitter and errors."""

    def __init__(self, rng: Random, error_rate: float):
        self.rng = rng
        self.error_rate = error_rate

    def plan(self, route: RouteWork, factor: float) -> PlannedWork:
        """Return work that takes the route's mean time and a jitter."""
        jitter_ms = route.jitter_ms * self.rng.uniform(-1, 1)
        service_s = max(0.0, route.mean_ms + jitter_ms) * factor / 1000
        return PlannedWork(service_s, self.rng.random() < self.error_rate)


class StallBehaviour(Behaviour):
    """Accepts requests and never answers them."""

    def plan(self, route: RouteWork, factor: float) -> PlannedWork:
        """Return work without an end."""
        return PlannedWork(None)
