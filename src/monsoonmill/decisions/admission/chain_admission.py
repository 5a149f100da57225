"""Standing of whole chains of calls, and thresholds below which they are refused.

A chain has the same standing at every service that it calls. The node beside a scarce
service computes the lowest standing for which there is capacity, its replies carry this
threshold up to the nodes where chains start, and these refuse calls below it before
anything has run. The design is described in ``docs/design/chain-admission.md``.
"""

from collections import OrderedDict
from math import inf, sqrt
from random import Random

from attrs import define, field
from xxhash import xxh3_64_intdigest

from monsoonmill.reasons import Importance

RANKS = 64
"""Number of ranks within an importance class."""
TOP_RANK = RANKS - 1
FLOOR_RANK = 48
"""Ranks from here on count in the band of ``CRITICAL``: a quarter of each class, which
is the smallest share of a class that must still be served."""
STANDINGS = RANKS * len(Importance)
"""Number of standings, from 0 to ``STANDINGS - 1``."""
MAX_THRESHOLD = STANDINGS - 1
"""The highest standing is always admitted, to detect when capacity is back."""

WINDOW_S = 0.1
"""Time between two evaluations of a threshold; a chain of lookups takes a few."""
TARGET_SHARE = 0.97
"""Part of the completions up to which attempts are admitted, to empty the queue."""
MAX_CLOSED_SHARE = 0.25
"""Share of the admitted arrivals that one evaluation may refuse, so that a single
window cannot close a class."""
HISTORY_WEIGHT = 0.7
"""Weight of the earlier windows in the counts; a window of a small backend server has
few arrivals."""
EXCESS_GAIN = 0.5
"""Part of the excess that one evaluation refuses. Chains that have started go on
calling for a few windows, so the effect of a change is seen late."""
MIN_EXCESS_DEVIATIONS = 1.0
"""Excess from which the threshold is raised, in standard deviations of the number of
arrivals; a smaller one may be chance."""
MAX_QUEUED_SHARE = 0.2
"""Share of attempts that find a queue up to which the decreases accelerate; a backend
server near its capacity has short queues."""
CHAIN_S = 0.5
"""Time between closing a band and refusing calls of the next one. Chains of the first
band that have started call on for about this long."""
BAND_MEMORY_S = 30.0
"""A band without arrivals for this long is skipped; most services have no calls of some
importance. A band that was closed for as long is opened at once, by this rule."""
MAX_IDLE_S = 2.0
"""Windows without an event that are made up for; all calls are admitted after them."""
FIRST_STEP = 1.0
STEP_GROWTH = 1.4
"""First decrease of the threshold and growth of the decreases: from the highest
threshold all calls are admitted after 14 windows, well within the required 2 s."""

SMOOTHING = 0.2
"""Weight of a reply in a route's threshold: the 4 to 6 backend servers of a service
report slightly different values."""
SMOOTHING_S = 0.25
"""Time between two replies after which the newer one counts alone. Otherwise routes
with few replies would learn of the end of an overload too late."""
FRESH_S = 0.3
FORGET_S = 1.0
"""A route's threshold without further replies is kept for ``FRESH_S`` and has decayed
to 0 after ``FORGET_S``. Routes with a few calls per second keep theirs."""
MAX_ROUTES = 10_000
"""Number of routes tracked; the table is cleared when it would exceed this."""
MAX_SERVICES = 32
"""Number of services tracked for a route; handled in the same way."""

MAX_WAIT_SHARE = 1 / 3
"""Share of a caller's remaining time that callers are willing to wait."""
MAX_RETRY_AFTER_S = 1.0
"""Thresholds are evaluated many times within this time."""
MIN_RETRY_JITTER = 0.6
"""Refused callers are told to wait for this share of the maximum or longer."""

MAX_RETURNING = 20_000
"""Number of refused requests remembered; the oldest are forgotten first. It covers
1,000 refusals per second at one node for as long as a record may be kept."""
RETURN_GRACE_S = 2.0
"""A refused caller is expected to return within this time after it may."""
OPEN_S = 0.5
"""After a caller has returned, further ones with the same request are treated as new
for this long. A request that many callers send is thus not refused to most of them."""
RETURN_TOLERANCE_S = 0.02
"""A caller may return this much too early: the time it is told is rounded to 10 ms."""
FLOOR_SHARE = 1 - FLOOR_RANK / RANKS
"""Calls that may get a rank from ``FLOOR_RANK`` on, per first attempt of the same
importance. Without this bound, repeated attempts would fill the highest band, and more
important calls would be refused."""
MAX_FLOOR_CREDIT = 16.0
"""Calls that may get such a rank in a burst."""


def derive_rank(request_id: str) -> int:
    """Return the rank of a chain, from 0 to 63, by a hash of its request id."""
    return xxh3_64_intdigest(request_id.encode()) % RANKS


def band(importance: Importance, rank: int) -> Importance:
    """Return the importance that a call is treated with, by its rank."""
    return Importance.CRITICAL if rank >= FLOOR_RANK else importance


def standing(importance: Importance, rank: int) -> int:
    """Return the standing of a call: its band times ``RANKS``, plus its rank."""
    return band(importance, rank) * RANKS + rank


def max_retry_after_s(remaining_s: float) -> float:
    """Return the longest time in seconds that a caller can be asked to wait."""
    return min(max(remaining_s, 0.0) * MAX_WAIT_SHARE, MAX_RETRY_AFTER_S)


def draw_retry_after_s(remaining_s: float, rng: Random) -> float:
    """Return the time in seconds after which a refused caller may return.

    It differs between callers, so that they do not return together.
    """
    return max_retry_after_s(remaining_s) * rng.uniform(MIN_RETRY_JITTER, 1.0)


@define
class ThresholdController:
    """Finds the lowest standing for which a backend server has capacity.

    Attributes
    ----------
    threshold : int
        Lowest standing that is to be admitted; 0 for all.
    step : float
        Next decrease of the threshold.
    arrivals : list of float
        Attempts by standing; those of earlier windows count partly.
    completed : float
        Attempts that the backend server answered, counted as the arrivals.
    arrived, queued : int
        Attempts that arrived in the current window, and those that found a queue.
    waiting : int
        Attempts that wait now.
    refused : int
        Attempts refused for lack of a slot in the current window.
    was_queue_empty : bool
        Whether no attempt waited at some time in the current window.
    band_used_at : list of float
        Time of the last arrival in each band.
    in_band_at : float
        Time at which the threshold was last raised within a band.
    """

    threshold: int = 0
    step: float = FIRST_STEP
    arrivals: list[float] = field(factory=lambda: [0.0] * STANDINGS)
    completed: float = 0.0
    arrived: int = 0
    queued: int = 0
    waiting: int = 0
    refused: int = 0
    was_queue_empty: bool = True
    band_used_at: list[float] = field(factory=lambda: [-inf] * len(Importance))
    in_band_at: float = -inf
    _window_ends_at: float = -inf

    def record_arrival(self, value: int, waiting: int, now: float) -> None:
        """Count an attempt by its standing, with the number that wait before it."""
        self.evaluate(now)
        self.record_queue(waiting)
        self.arrivals[value] += 1
        self.band_used_at[value // RANKS] = now
        self.arrived += 1
        self.queued += waiting > 0

    def record_completion(self, now: float) -> None:
        """Count an attempt that the backend server answered."""
        self.evaluate(now)
        self.completed += 1

    def record_refusal(self, now: float) -> None:
        """Count an attempt that got no slot."""
        self.evaluate(now)
        self.refused += 1

    def record_queue(self, waiting: int) -> None:
        """Record how many attempts wait."""
        self.waiting = waiting
        if not waiting:
            self.was_queue_empty = True

    def evaluate(self, now: float) -> None:
        """End the current window if it is over, and adjust the threshold."""
        if now < self._window_ends_at:
            return
        # Nothing happened in the windows that have passed since the current one.
        idle_s = min(now - self._window_ends_at, MAX_IDLE_S)
        for _ in range(1 + int(idle_s / WINDOW_S)):
            self._end_window(now)
        self._window_ends_at = now + WINDOW_S

    def _end_window(self, now):
        if self.refused or not self.was_queue_empty:
            self._raise(now)
            self.step = FIRST_STEP
        elif self.threshold:
            if self.queued > self.arrived * MAX_QUEUED_SHARE:
                self.step = FIRST_STEP
            self._lower(now)
        self.arrivals = [count * HISTORY_WEIGHT for count in self.arrivals]
        self.completed *= HISTORY_WEIGHT
        self.arrived = self.queued = self.refused = 0
        self.was_queue_empty = not self.waiting

    def _raise(self, now):
        """Raise the threshold so that the arrivals above it match the completions."""
        admitted = sum(self.arrivals[self.threshold :])
        excess = admitted - self.completed * TARGET_SHARE
        if excess <= MIN_EXCESS_DEVIATIONS * sqrt(admitted):
            return
        limit = min(excess * EXCESS_GAIN, admitted * MAX_CLOSED_SHARE)
        end = self._raise_end(now)
        closed = 0.0
        value = self.threshold
        while value < end and closed < limit:
            closed += self.arrivals[value]
            value += 1
        self.threshold = value

    def _raise_end(self, now):
        """Return the highest value that the threshold may be raised to now.

        It stays within one band until the chains of that band which had started before
        it was closed have ended.
        """
        is_lowest = True
        for importance in Importance:
            first = importance * RANKS
            end = first + FLOOR_RANK
            if importance is Importance.CRITICAL:
                end = MAX_THRESHOLD
            elif not self._is_in_use(importance, now):
                continue
            if self.threshold < end:
                has_paused = now - self.in_band_at >= CHAIN_S
                if is_lowest or self.threshold > first or has_paused:
                    self.in_band_at = now
                    return end
                return self.threshold
            is_lowest = False
        return self.threshold

    def _is_in_use(self, importance, now):
        return now - self.band_used_at[importance] < BAND_MEMORY_S

    def _lower(self, now):
        """Lower the threshold by the current step, over the standings in use."""
        for _ in range(round(self.step)):
            self.threshold = self._next_lower(now)
        self.step *= STEP_GROWTH

    def _next_lower(self, now):
        importance, rank = divmod(max(self.threshold - 1, 0), RANKS)
        if importance == Importance.CRITICAL:
            return self.threshold - 1
        while importance and not self._is_in_use(Importance(importance), now):
            importance, rank = importance - 1, FLOOR_RANK
        if not self._is_in_use(Importance(importance), now):
            return 0
        return importance * RANKS + min(rank, FLOOR_RANK - 1)


@define
class ReportedThreshold:
    """Smoothed threshold of the replies of a service's nodes to calls of one route.

    Attributes
    ----------
    value : float
        Threshold at the time of the last reply.
    reported_at : float
        Time of the last reply in seconds.
    """

    value: float
    reported_at: float

    def record(self, threshold: int, now: float) -> None:
        """Record the threshold of a reply."""
        value = self.decayed(now)
        # Without this, the average would approach 0 and never reach it.
        is_low = not threshold and value < 1
        weight = min(SMOOTHING + (now - self.reported_at) / SMOOTHING_S, 1.0)
        self.value = 0.0 if is_low else value + weight * (threshold - value)
        self.reported_at = now

    def decayed(self, now: float) -> float:
        """Return the current threshold; it decays without further replies."""
        age_s = now - self.reported_at
        if age_s <= FRESH_S:
            return self.value
        return self.value * max(FORGET_S - age_s, 0.0) / (FORGET_S - FRESH_S)


class RouteThresholds:
    """Thresholds that replies reported, by route and replying service."""

    def __init__(self):
        self._routes: dict[str, dict[str, ReportedThreshold]] = {}

    def record(self, route: str, service: str, threshold: int, now: float) -> None:
        """Record the threshold of a reply."""
        services = self._routes.get(route)
        if services is None:
            if not threshold:
                return
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            services = self._routes[route] = {}
        entry = services.get(service)
        if entry is not None:
            entry.record(threshold, now)
        elif threshold:
            if len(services) >= MAX_SERVICES:
                services.clear()
            entry = services[service] = ReportedThreshold(0.0, now)
            entry.record(threshold, now)

    def value(self, route: str, service: str, now: float) -> float:
        """Return the threshold of a route's calls to a service; 0 to admit all."""
        services = self._routes.get(route)
        entry = services.get(service) if services else None
        return entry.decayed(now) if entry is not None else 0.0

    def highest(self, route: str, now: float) -> float:
        """Return the highest threshold of the services called for a route."""
        services = self._routes.get(route)
        if not services:
            return 0.0
        return max(entry.decayed(now) for entry in services.values())

    def snapshot(self, now: float) -> dict[str, int]:
        """Return the thresholds above 0 by route, for operators."""
        values = {name: round(self.highest(name, now)) for name in self._routes}
        return {name: value for name, value in values.items() if value}


@define
class RefusedRequest:
    """A refused request whose caller was told when to return.

    Attributes
    ----------
    rank : int
        Rank of the refused call; repetitions that come too early keep it.
    may_return_at, expires_at : float
        Time span in seconds in which the caller may return.
    has_returned : bool
        Whether a caller has returned. Other callers with the same request are then
        treated as new ones until the record expires.
    """

    rank: int
    may_return_at: float
    expires_at: float
    has_returned: bool = False


class ReturningCallers:
    """Bounded table of the refused requests, by fingerprint, in order of refusal."""

    def __init__(self, rng: Random):
        self._rng = rng
        self._refused: OrderedDict[int, RefusedRequest] = OrderedDict()
        self._floor_credit = dict.fromkeys(Importance, 1.0)

    def __len__(self):
        return len(self._refused)

    def record_refusal(
        self, fingerprint: int, rank: int, wait_s: float, now: float
    ) -> None:
        """Record that a caller was told to return after a time in seconds.

        The time is not moved by repetitions that come too early. Otherwise a request
        that many callers send would stay refused for all of them.
        """
        refused = self._refused.get(fingerprint)
        if refused is not None and now < refused.expires_at:
            if refused.has_returned:
                refused.expires_at = now + wait_s + RETURN_GRACE_S
                return
            if now < refused.may_return_at:
                return
        may_return_at = now + wait_s - RETURN_TOLERANCE_S
        self._refused[fingerprint] = RefusedRequest(
            rank, may_return_at, may_return_at + RETURN_GRACE_S
        )
        self._refused.move_to_end(fingerprint)
        self._forget(now)

    def _forget(self, now):
        while self._refused:
            first = next(iter(self._refused))
            is_full = len(self._refused) > MAX_RETURNING
            if not is_full and self._refused[first].expires_at > now:
                return
            del self._refused[first]

    def derive_rank(
        self, fingerprint: int, request_id: str, importance: Importance, now: float
    ) -> tuple[int, bool]:
        """Return the rank of a call and whether its caller returns as told.

        The ranks that keep a part of each class go to returning callers first. One that
        comes back too early keeps at most its former rank.
        """
        rank = derive_rank(request_id)
        refused = self._refused.get(fingerprint)
        if refused is None or now >= refused.expires_at:
            self._floor_credit[importance] = min(
                self._floor_credit[importance] + FLOOR_SHARE, MAX_FLOOR_CREDIT
            )
            return self._limit_rank(rank, importance), False
        if refused.has_returned:
            return self._limit_rank(rank, importance), False
        if now < refused.may_return_at:
            return min(rank, refused.rank), False
        refused.has_returned = True
        refused.expires_at = min(refused.expires_at, now + OPEN_S)
        rank = self._limit_rank(TOP_RANK, importance)
        return (rank if rank == TOP_RANK else self._rng.randrange(FLOOR_RANK)), True

    def _limit_rank(self, rank, importance):
        """Return the rank, or a lower one if there is no credit for a high one."""
        if rank < FLOOR_RANK:
            return rank
        if self._floor_credit[importance] < 1:
            return rank % FLOOR_RANK
        self._floor_credit[importance] -= 1
        return rank
