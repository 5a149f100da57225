"""Limit on the calls that begin a chain at this node.

A call that is turned away in the middle of a chain wastes all that was done
above it. So when the chains of a route are lost for want of room below, some of
that route's calls are refused where they come in, before anything has run, and
what must run at most once keeps the room.
"""

from abc import ABC, abstractmethod
from random import Random

from attrs import define

from monsoonmill.errors import RefusedError
from monsoonmill.reasons import Importance, Reason

JUDGED_S = 0.5
"""Time between two judgements of a route; a chain's answer takes less."""
LEAST_LOST = 2.0
"""Fewer lost calls than these are no overload."""
MOST_LOST = 0.05
"""Share of lost calls above which fewer are let in: the price that the users put
on unimportant calls going first begins at this difference."""
FEW_LOST = 0.02
"""Share of lost calls below which more are let in."""
LEAST_SHARE = 0.2
"""Share that is always let in, to find out when there is room again."""
CUT = 0.8
"""Part of the lost calls by which the share is cut at once; the calls of other
routes that share the room may be cut as well."""
FIRST_GROWTH = 1.4
ACCELERATION = 1.3
MOST_GROWTH = 2.0
"""Growth of the share with each judgement that finds room; it gathers pace, so
that all are let in again within 2 s of an overload's end."""
MOST_STEPS = 8
"""So many judgements without a loss let all in again."""
LEAST_RETRY_S = 0.5
MOST_RETRY_S = 1.5
"""Refused callers come back at different times, when shares have been judged."""
MAX_ROUTES = 10_000
"""Routes that are judged; beyond it all begin anew."""


class EntryLimit(ABC):
    """Decides whether a call that begins a chain is let in."""

    @abstractmethod
    def admit(self, route: str, importance: Importance, now: float) -> None:
        """Let a call in.

        Raises
        ------
        RefusedError
            The route's chains find no room at present.
        """

    @abstractmethod
    def record_result(self, route: str, lost: float, now: float) -> None:
        """Take the end of a call that was let in.

        Parameters
        ----------
        lost : float
            How likely it was lost to overload, from 0 to 1.
        """

    def shares(self) -> dict[str, float]:
        """Return the shares of the routes that are limited, for operators."""
        return {}


class NoEntryLimit(EntryLimit):
    """Lets every call in; the baseline to compare with."""

    def admit(self, route: str, importance: Importance, now: float) -> None:
        """Let the call in."""

    def record_result(self, route: str, lost: float, now: float) -> None:
        """Learn nothing."""


@define
class RouteEntry:
    """How one route's calls ended since it was last judged.

    Attributes
    ----------
    share : float
        Part of its calls that is let in.
    growth : float
        Factor of the next growth.
    """

    judged_at: float
    share: float = 1.0
    growth: float = FIRST_GROWTH
    ended: int = 0
    lost: float = 0.0

    def judge(self, now: float) -> None:
        """Set the share by what became of the calls, if it is time."""
        intervals = int((now - self.judged_at) / JUDGED_S)
        if not intervals:
            return
        ratio = self.lost / self.ended if self.ended else 0.0
        if ratio > MOST_LOST and self.lost >= LEAST_LOST:
            self.share = max(self.share * (1 - CUT * ratio), LEAST_SHARE)
            self.growth = FIRST_GROWTH
            # The calls all ended near the last judgement; since then none came.
            steps = intervals - 2
        else:
            steps = intervals if ratio < FEW_LOST else 0
        for _ in range(min(steps, MOST_STEPS)):
            self._grow()
        self.judged_at = now
        self.ended, self.lost = 0, 0.0

    def _grow(self):
        self.share = min(self.share * self.growth, 1.0)
        self.growth = min(self.growth * ACCELERATION, MOST_GROWTH)


class AdaptiveEntryLimit(EntryLimit):
    """Lets in the share of each route's calls whose chains find room."""

    def __init__(self, rng: Random):
        self._rng = rng
        self._routes: dict[str, RouteEntry] = {}

    def admit(self, route: str, importance: Importance, now: float) -> None:
        """Let a call in, or refuse it; the most important are never refused."""
        entry = self._routes.get(route)
        if entry is None or entry.share >= 1 or importance is Importance.CRITICAL:
            return
        entry.judge(now)
        if self._rng.random() >= entry.share:
            raise RefusedError(
                Reason.SHED,
                f"{entry.share:.2f} of the route's calls find room below",
                retry_after_s=self._rng.uniform(LEAST_RETRY_S, MOST_RETRY_S),
            )

    def record_result(self, route: str, lost: float, now: float) -> None:
        """Count a call's end, and judge the route when it is time."""
        entry = self._routes.get(route)
        if entry is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            entry = self._routes[route] = RouteEntry(now)
        entry.ended += 1
        entry.lost += lost
        entry.judge(now)

    def shares(self):
        """Return the shares of the routes that are limited."""
        return {
            name: round(one.share, 2)
            for name, one in self._routes.items()
            if one.share < 1
        }
