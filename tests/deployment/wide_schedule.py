"""Schedules of disruptions of one or all groups, reproducible from a seed."""

from random import Random

from tests.deployment.client_disruptions import (
    Burst,
    ConfigChanges,
    GiveUp,
    HotTenant,
    KeyWithdrawal,
    RetryAbuse,
    Shift,
)
from tests.deployment.disruptions import Freeze, Kill, RollingStop, SettingsChange
from tests.deployment.network_disruptions import FAULTS, LinkFault, SilentConnections
from tests.deployment.schedule import FIRST_S, Scheduled
from tests.deployment.stop_disruptions import (
    KillAll,
    KillDuringDrain,
    StopTwice,
    StopWhenReady,
)
from tests.deployment.store_disruptions import (
    MODES,
    StartWithoutStore,
    StoreForgetsAgain,
    StoreLosesWrites,
    StoreTurnsAway,
)

MEAN_GAP_S = 2.0
LINK_KINDS = ("peer", "backend", "store")
STOPS = (
    lambda rng: RollingStop(rng.uniform(0.2, 0.6), rng.uniform(0.0, 1.0)),
    lambda rng: StopWhenReady(rng.randrange(1, 4)),
    lambda rng: StopTwice(rng.randrange(1, 5), rng.uniform(0.0, 3.0)),
)
KILLS = (
    lambda rng: KillDuringDrain(rng.uniform(0.1, 3.5)),
    lambda rng: Kill(0.0, rng.uniform(0.0, 3.0)),
    lambda rng: Freeze(rng.uniform(0.5, 5.0)),
)
STORE = (
    lambda rng: StoreTurnsAway(
        rng.choice(MODES), rng.choice((0.1, 0.3, 0.6, 1.0)), rng.uniform(2.0, 8.0)
    ),
    lambda rng: StoreTurnsAway(
        rng.choice(MODES), rng.choice((0.1, 0.3, 0.6)), rng.uniform(2.0, 8.0)
    ),
    lambda rng: StoreLosesWrites(rng.randrange(1, 8)),
    lambda rng: StoreForgetsAgain(rng.randrange(1, 4), rng.uniform(0.1, 2.0)),
    lambda rng: StartWithoutStore(
        rng.choice(MODES), rng.randrange(1, 4), rng.uniform(1.0, 6.0)
    ),
    lambda rng: ConfigChanges(rng.randrange(1, 8), rng.uniform(0.1, 0.5)),
)
LINKS = (
    lambda rng: LinkFault(
        rng.choice(LINK_KINDS),
        rng.choice(tuple(FAULTS)),
        rng.choice((0.05, 0.3)),
        rng.uniform(0.5, 5.0),
    ),
    lambda rng: SilentConnections(
        rng.choice(LINK_KINDS), rng.choice(("silent", "reset")), rng.uniform(0.1, 1.0)
    ),
)
CLIENTS = (
    lambda rng: Burst(rng.randrange(4, 20), 0.3, rng.uniform(2.0, 5.0)),
    lambda rng: Shift(rng.randrange(10, 40), 0.4, rng.uniform(2.0, 6.0)),
    lambda rng: HotTenant(rng.randrange(2, 8), 0.1, rng.uniform(4.0, 10.0)),
    lambda rng: RetryAbuse(rng.randrange(2, 10), 0.3, rng.uniform(2.0, 5.0)),
    lambda rng: GiveUp(rng.randrange(1, 6), 0.3, rng.uniform(3.0, 8.0)),
    lambda rng: KeyWithdrawal(rng.uniform(1.0, 2.0), 5.0),
    lambda rng: KeyWithdrawal(rng.uniform(1.0, 2.0), 5.0),
    lambda rng: ConfigChanges(rng.randrange(1, 8), rng.uniform(0.1, 0.5)),
    lambda rng: SettingsChange(rng.uniform(0.1, 1.0)),
)
GROUPS = {
    "stops": STOPS,
    "store": STORE + STOPS,
    "links": LINKS,
    "clients": CLIENTS,
    "planned": CLIENTS + STOPS,
    "all": STOPS + KILLS + STORE + LINKS + CLIENTS,
    "kill-all": CLIENTS,
}
"""Kinds of disruptions; ``kill-all`` ends with a kill of all nodes besides."""


def make_wide_schedule(group: str, seed: int, length_s: float) -> list[Scheduled]:
    """Return the disruptions of a run."""
    rng = Random(f"wide-schedule-{group}-{seed}")
    schedule = []
    at_s = FIRST_S
    while at_s < length_s:
        schedule.append(Scheduled(at_s, rng.choice(GROUPS[group])(rng)))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    if group == "kill-all":
        schedule.append(Scheduled(length_s, KillAll(rng.uniform(0.0, 3.0))))
        rush = HotTenant(4, 0.1, 20.0)
        schedule.append(Scheduled(length_s, rush))
    return schedule
