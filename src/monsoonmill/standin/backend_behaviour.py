"""Service times and results of simulated requests."""

from abc import ABC, abstractmethod
from random import Random

from attrs import frozen

from monsoonmill.standin.backend_settings import RouteWork


@frozen
class PlannedExecution:
    """How one request is executed.

    Attributes
    ----------
    service_s : float or None
        Service time in seconds; None for a request that is never answered.
    fails : bool
        Whether the request is answered with an error.
    """

    service_s: float | None
    fails: bool = False


class Behaviour(ABC):
    """Decides how requests are executed."""

    @abstractmethod
    def plan(self, route: RouteWork, factor: float) -> PlannedExecution:
        """Return how a request is executed.

        Parameters
        ----------
        factor : float
            Multiplies the service time of the route.
        """


class NormalBehaviour(Behaviour):
    """Answers after the route's service time, with seeded jitter and errors."""

    def __init__(self, rng: Random, error_rate: float):
        self.rng = rng
        self.error_rate = error_rate

    def plan(self, route: RouteWork, factor: float) -> PlannedExecution:
        """Return an execution that takes the route's mean time with jitter."""
        jitter_ms = route.jitter_ms * self.rng.uniform(-1, 1)
        service_s = max(0.0, route.mean_ms + jitter_ms) * factor / 1000
        return PlannedExecution(service_s, self.rng.random() < self.error_rate)


class StallBehaviour(Behaviour):
    """Accepts requests and never answers them."""

    def plan(self, route: RouteWork, factor: float) -> PlannedExecution:
        """Return an execution that never ends."""
        return PlannedExecution(None)
