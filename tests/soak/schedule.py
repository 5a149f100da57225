"""Which fault begins when, where and for how long; all of it follows from a seed."""

from random import Random

from attrs import frozen

from tests.soak.faults import FAULTS, Fault, Place

MEAN_GAP_S = 1.2
"""Mean time between the begins of two faults, so that they overlap."""
SHORTEST_S = 0.5
LONGEST_S = 6.0
"""Length of a fault, longer than silent connections take to be noticed."""
SERIES_SHARE = 0.3
"""How often a fault is followed by two more of its kind, at other hosts."""
SERIES = 3
FIRST_S = 1.0


@frozen
class Step:
    """One fault of a run."""

    begins_s: float
    ends_s: float
    fault: Fault

    def overlaps(self, begins_s: float, ends_s: float) -> bool:
        """Return whether the fault was there at some time of a span."""
        return self.begins_s < ends_s and begins_s < self.ends_s


def make_schedule(seed: int, length_s: float, hosts: int) -> list[Step]:
    """Return the faults of a run, in the order of their begins.

    A host's process, its backend server and its links each have one fault at a
    time; those of different kinds overlap.
    """
    rng = Random(f"schedule-{seed}")
    steps: list[Step] = []
    at = FIRST_S
    while at < length_s:
        kind = rng.choice(FAULTS)
        count = SERIES if rng.random() < SERIES_SHARE else 1
        for number in range(count):
            begins_s = at + number * rng.uniform(0.1, MEAN_GAP_S)
            _add(steps, rng, kind, begins_s, hosts)
        at += rng.expovariate(1 / MEAN_GAP_S)
    return sorted(steps, key=lambda one: one.begins_s)


def _add(steps, rng, kind, begins_s, hosts):
    ends_s = begins_s + rng.uniform(SHORTEST_S, LONGEST_S)
    place = Place(kind.part, rng.randrange(hosts) if kind.has_host else None)
    is_taken = any(
        one.fault.place == place and one.overlaps(begins_s, ends_s) for one in steps
    )
    if not is_taken:
        steps.append(Step(begins_s, ends_s, kind.draw(rng, place)))
