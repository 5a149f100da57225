"""Random schedules of faults, reproducible from a seed."""

from random import Random

from attrs import frozen

from tests.soak.faults import FAULTS, Fault, FaultTarget

MEAN_GAP_S = 1.2
"""Mean time between the starts of two faults; short enough that faults overlap."""
MIN_DURATION_S = 0.5
MAX_DURATION_S = 6.0
"""Longest duration of a fault; exceeds the time to detect a silent connection."""
BURST_PROBABILITY = 0.3
"""Probability that two more faults of the same kind follow at random hosts."""
BURST_SIZE = 3
FIRST_FAULT_S = 1.0


@frozen
class ScheduledFault:
    """A fault with its start and end, in seconds."""

    start_s: float
    end_s: float
    fault: Fault

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the fault is active at some time of an interval."""
        return self.start_s < end_s and start_s < self.end_s


def make_schedule(seed: int, length_s: float, host_count: int) -> list[ScheduledFault]:
    """Return the faults of a run, ordered by start.

    A host's node, its backend server and its links each have at most one fault at
    a time; faults of different components overlap.
    """
    rng = Random(f"schedule-{seed}")
    schedule: list[ScheduledFault] = []
    time_s = FIRST_FAULT_S
    while time_s < length_s:
        kind = rng.choice(FAULTS)
        count = BURST_SIZE if rng.random() < BURST_PROBABILITY else 1
        for number in range(count):
            start_s = time_s + number * rng.uniform(0.1, MEAN_GAP_S)
            _add_fault(schedule, rng, kind, start_s, host_count)
        time_s += rng.expovariate(1 / MEAN_GAP_S)
    return sorted(schedule, key=lambda scheduled: scheduled.start_s)


def _add_fault(schedule, rng, kind, start_s, host_count):
    end_s = start_s + rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    target = FaultTarget(
        kind.component, rng.randrange(host_count) if kind.is_per_host else None
    )
    is_taken = any(
        scheduled.fault.target == target and scheduled.overlaps(start_s, end_s)
        for scheduled in schedule
    )
    if not is_taken:
        schedule.append(ScheduledFault(start_s, end_s, kind.make_random(rng, target)))
