"""Requests that were at backend servers when these crashed."""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.settings import PoisonSettings

POISON_FOUND = "poison-found"
SUSPECTS_DROPPED = "suspects-dropped"


@define(eq=False)
class Suspect:
    """One suspected or refused request; owner of its chart.

    Attributes
    ----------
    crashes : dict
        By crash, the number of requests that were lost in it.
    seen_at : float
        When the request was last reported as lost or as refused.
    """

    fingerprint: int
    table: "SuspectTable"
    chart: ChartInstance | None = None
    crashes: dict[str, int] = field(factory=dict)
    seen_at: float = 0.0

    @property
    def is_poison(self) -> bool:
        """Whether the request is refused."""
        return self.chart.is_in("poison")

    def is_crash_cause(self, arg):
        """Return whether it crashed often enough to be the cause of the crashes.

        One more crash is needed if other requests were lost in each of them.
        """
        was_alone = any(lost == 1 for lost in self.crashes.values())
        min_crashes = self.table.limits.crashes + (0 if was_alone else 1)
        return len(self.crashes) >= min_crashes

    def count_poison(self, arg):
        """Count that a request was classified as poison."""
        self.table.counters.add(POISON_FOUND)


SUSPECT_CHART = bind_methods("suspect_request", Suspect)


class SuspectTable:
    """Suspects by fingerprint, least recently seen first.

    When the table is full, the least recently seen suspect is evicted; requests
    that are refused are evicted only if there is no other.
    """

    def __init__(self, limits: PoisonSettings, counters: Counters):
        self.limits = limits
        self.counters = counters
        self._suspects: OrderedDict[int, Suspect] = OrderedDict()

    def __len__(self):
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        """Iterate over the suspects, least recently seen first."""
        return iter(self._suspects.values())

    def find(self, fingerprint: int) -> Suspect | None:
        """Return a suspect; None if the request is not in the table."""
        return self._suspects.get(fingerprint)

    def record_crash(self, fingerprint: int, crash: str, lost: int, now: float) -> None:
        """Record that a request was lost in a crash; later counts replace earlier."""
        suspect = self._touch(fingerprint, now)
        suspect.crashes[crash] = lost
        suspect.chart.send("crashed")

    def mark_as_poison(self, fingerprint: int, now: float) -> None:
        """Record that other nodes refuse a request."""
        self._touch(fingerprint, now).chart.send("reported_as_poison")

    def _touch(self, fingerprint, now):
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            if len(self._suspects) >= self.limits.max_suspects:
                self._evict_one()
            suspect = Suspect(fingerprint, self)
            suspect.chart = SUSPECT_CHART.start(suspect)
        suspect.seen_at = now
        self._suspects[fingerprint] = suspect
        return suspect

    def _evict_one(self):
        not_refused = (suspect for suspect in self if not suspect.is_poison)
        evicted = next(not_refused, None) or next(iter(self))
        del self._suspects[evicted.fingerprint]
        self.counters.add(SUSPECTS_DROPPED)

    def clear(self, fingerprint: int) -> bool:
        """Remove a suspect; return whether it was in the table."""
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is not None:
            suspect.chart.send("answered")
        return suspect is not None

    def next_expiry(self) -> float | None:
        """Return when the least recently seen suspect expires."""
        first = next(iter(self), None)
        return None if first is None else first.seen_at + self.limits.memory_s

    def expire(self, now: float) -> None:
        """Remove the suspects that have expired."""
        while (due := self.next_expiry()) is not None and due <= now:
            _, suspect = self._suspects.popitem(last=False)
            suspect.chart.send("expired")
