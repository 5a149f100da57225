"""Random schedules of disruptions, reproducible from a seed."""

from collections.abc import Callable
from random import Random
from signal import SIGHUP, SIGTERM

from attrs import frozen

from tests.deployment.disruptions import (
    MAX_START_S,
    ConfigStorm,
    Disruption,
    Freeze,
    Kill,
    RollingStop,
    SettingsChange,
    StopDuringStart,
    StoreForgets,
    StoreOutage,
    TakenPort,
)

MEAN_GAP_S = 2.0
FIRST_S = 1.0
LISTENING = ("callers", "ready", "control", "peer", "metrics")
KINDS: tuple[Callable[[Random], Disruption], ...] = (
    lambda rng: RollingStop(rng.uniform(0.2, 0.6), rng.uniform(0.2, 1.5)),
    lambda rng: RollingStop(rng.uniform(0.2, 0.6), rng.uniform(0.2, 1.5)),
    lambda rng: StopDuringStart(SIGTERM, rng.uniform(0.0, MAX_START_S)),
    lambda rng: StopDuringStart(SIGHUP, rng.uniform(0.0, MAX_START_S)),
    lambda rng: Kill(0.0, rng.uniform(0.0, 3.0)),
    lambda rng: Kill(rng.uniform(0.3, 0.6), rng.uniform(0.0, 2.0)),
    lambda rng: Freeze(rng.uniform(0.5, 5.0)),
    lambda rng: TakenPort(rng.choice(LISTENING), rng.uniform(0.5, 2.5)),
    lambda rng: SettingsChange(rng.uniform(0.1, 1.0)),
    lambda rng: StoreOutage(
        rng.choice(("busy", "many", "silent")), rng.uniform(1.0, 6.0)
    ),
    lambda rng: StoreForgets(rng.randrange(4)),
    lambda rng: ConfigStorm(rng.randrange(1, 12), rng.uniform(0.1, 0.5)),
)
PLANNED_KINDS = (KINDS[0], KINDS[8], KINDS[11])
"""Kinds of planned work only; with these no request may be cut off."""


@frozen
class Scheduled:
    """A disruption with its start, in seconds from the start of the traffic."""

    at_s: float
    disruption: Disruption


def make_schedule(seed: int, length_s: float) -> list[Scheduled]:
    """Return the disruptions of a run.

    Every other seed has planned work only.
    """
    rng = Random(f"deployment-schedule-{seed}")
    kinds = PLANNED_KINDS if seed % 2 else KINDS
    schedule = []
    at_s = FIRST_S
    while at_s < length_s:
        schedule.append(Scheduled(at_s, rng.choice(kinds)(rng)))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return schedule
