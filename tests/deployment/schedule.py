"""Random schedules of disruptions, reproducible from a seed."""

from collections.abc import Callable
from random import Random
from signal import SIGHUP, SIGTERM

from attrs import frozen

from monsoonmill.standin.platform_answers import (
    CutAnswer,
    ExtraAnswer,
    LateExtraAnswer,
    LostAnswer,
    OtherBytes,
)
from tests.deployment.disruptions import (
    MAX_START_S,
    BackendCrash,
    BadAnswers,
    ConfigStorm,
    Disruption,
    FailingBackends,
    Freeze,
    Kill,
    LongWork,
    Release,
    RollingStop,
    SettingsChange,
    SlowBackends,
    StopAfterStart,
    StopDuringStart,
    StopInTurn,
    StoreForgets,
    StoreOutage,
    TakenPort,
)

MEAN_GAP_S = 2.0
FIRST_S = 1.0
LISTENING = ("callers", "ready", "control", "peer", "metrics")
BAD_ANSWERS = (
    LostAnswer,
    OtherBytes,
    ExtraAnswer,
    LateExtraAnswer,
    lambda: CutAnswer(0.1),
    lambda: CutAnswer(0.9),
)
Kind = Callable[[Random], Disruption]
PLANNED_KINDS: tuple[Kind, ...] = (
    lambda rng: RollingStop(rng.uniform(0.2, 0.6), rng.uniform(0.2, 1.5)),
    lambda rng: RollingStop(1.0, rng.uniform(0.1, 0.5)),
    lambda rng: StopInTurn(rng.randrange(1, 5), rng.uniform(0.0, 2.0)),
    lambda rng: StopAfterStart(rng.uniform(MAX_START_S, 3.0)),
    lambda rng: LongWork(rng.uniform(2.0, 20.0), rng.uniform(0.0, 4.0), 4),
    lambda rng: Release(rng.randrange(1, 4), rng.uniform(0.3, 1.5)),
    lambda rng: Release(rng.randrange(1, 4), rng.uniform(0.3, 1.5), stops_node=False),
    lambda rng: Release(rng.randrange(1, 3), rng.uniform(0.3, 1.5), deregisters=True),
    lambda rng: Release(1, rng.uniform(0.3, 1.5), changes_service=True),
    lambda rng: SettingsChange(rng.uniform(0.1, 1.0)),
    lambda rng: ConfigStorm(rng.randrange(1, 12), rng.uniform(0.1, 0.5)),
)
"""Kinds of planned work; with these no request may be cut off."""
UNPLANNED_KINDS: tuple[Kind, ...] = (
    lambda rng: StopDuringStart(SIGTERM, rng.uniform(0.0, MAX_START_S)),
    lambda rng: StopDuringStart(SIGHUP, rng.uniform(0.0, MAX_START_S)),
    lambda rng: Kill(0.0, rng.uniform(0.0, 3.0)),
    lambda rng: Kill(rng.uniform(0.3, 0.6), rng.uniform(0.0, 2.0)),
    lambda rng: Freeze(rng.uniform(0.5, 5.0)),
    lambda rng: TakenPort(rng.choice(LISTENING), rng.uniform(0.5, 2.5)),
    lambda rng: StoreOutage(
        rng.choice(("busy", "many", "silent")), rng.uniform(1.0, 6.0)
    ),
    lambda rng: StoreForgets(rng.randrange(4)),
    lambda rng: BackendCrash(
        rng.uniform(0.0, 0.3), rng.uniform(0.0, 4.0), rng.random() < 0.3
    ),
    lambda rng: SlowBackends(rng.uniform(0.1, 0.4), rng.uniform(1.0, 6.0), 8.0),
    lambda rng: FailingBackends(rng.uniform(0.1, 0.4), rng.uniform(1.0, 6.0), 0.4),
    lambda rng: BadAnswers(
        rng.uniform(0.1, 1.0), rng.uniform(1.0, 6.0), rng.choice(BAD_ANSWERS)
    ),
    lambda rng: BadAnswers(
        rng.uniform(0.1, 1.0), rng.uniform(1.0, 6.0), rng.choice(BAD_ANSWERS)
    ),
)
KINDS = PLANNED_KINDS + UNPLANNED_KINDS


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
