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
    """One request; owner of its chart.

    Attributes
    ----------
    crashes : dict
        Number of requests that were lost together, by crash.
    seen_at : float
        When the request was last present at a crash.
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

    def crashes_too_often(self, arg):
        """Return whether the request and not its company is to blame."""
        was_alone = any(lost == 1 for lost in self.crashes.values())
        needed = self.table.limits.crashes + (0 if was_alone else 1)
        return len(self.crashes) >= needed

    def count_poison(self, arg):
        """Count that a request has been recognised."""
        self.table.counters.add(POISON_FOUND)


SUSPECT_CHART = bind_methods("suspect_request", Suspect)


class SuspectTable:
    """Suspects by fingerprint, the one longest unseen first.

    At the limit the one longest unseen is forgotten, a mere suspect before a
    request that is refused.
    """

    def __init__(self, limits: PoisonSettings, counters: Counters):
        self.limits = limits
        self.counters = counters
        self._suspects: OrderedDict[int, Suspect] = OrderedDict()

    def __len__(self):
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        """Iterate over the suspects, the one longest unseen first."""
        return iter(self._suspects.values())

    def find(self, fingerprint: int) -> Suspect | None:
        """Return a suspect, if it is known."""
        return self._suspects.get(fingerprint)

    def note_crash(self, fingerprint: int, crash: str, lost: int, now: float) -> None:
        """Note that a request was lost in a crash; the latest number counts."""
        suspect = self._touch(fingerprint, now)
        suspect.crashes[crash] = lost
        suspect.chart.send("crashed")

    def name_poison(self, fingerprint: int, now: float) -> None:
        """Note that other nodes refuse a request."""
        self._touch(fingerprint, now).chart.send("named_poison")

    def _touch(self, fingerprint, now):
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            if len(self._suspects) >= self.limits.max_suspects:
                self._drop_one()
            suspect = Suspect(fingerprint, self)
            suspect.chart = SUSPECT_CHART.start(suspect)
        suspect.seen_at = now
        self._suspects[fingerprint] = suspect
        return suspect

    def _drop_one(self):
        harmless = (one for one in self if not one.is_poison)
        dropped = next(harmless, None) or next(iter(self))
        del self._suspects[dropped.fingerprint]
        self.counters.add(SUSPECTS_DROPPED)

    def clear(self, fingerprint: int) -> bool:
        """Drop the suspicion; return whether there was one."""
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is not None:
            suspect.chart.send("answered")
        return suspect is not None

    def next_expiry(self) -> float | None:
        """Return when the suspect longest unseen is forgotten."""
        first = next(iter(self), None)
        return None if first is None else first.seen_at + self.limits.memory_s

    def expire(self, now: float) -> None:
        """Forget the suspects that have not been seen for long."""
        while (due := self.next_expiry()) is not None and due <= now:
            _, suspect = self._suspects.popitem(last=False)
            suspect.chart.send("expired")
