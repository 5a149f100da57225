"""Command line: plays deployments whose links, store and clients are disturbed.

``python -m tests.deployment.wide_run --site=NAME --group=GROUP --first=SEED``
"""

import sys
from collections import Counter
from pathlib import Path
from pickle import dump
from random import Random
from tempfile import mkdtemp
from threading import Lock

from attrs import define, field
from fire import Fire

from tests.deployment.checks import Violation
from tests.deployment.disruptions import Stage
from tests.deployment.linked_fleet import LinkedFleet
from tests.deployment.run import (
    CLIENTS_PER_MACHINE,
    LENGTH_S,
    MEAN_GAP_S,
    await_ready,
    await_served,
    observe,
    play,
)
from tests.deployment.sites import SITES, Site
from tests.deployment.wide_checks import (
    WideObservations,
    find_wide_violations,
    measure,
)
from tests.deployment.wide_schedule import GROUPS, make_wide_schedule

MOST_SHOWN = 12


@define
class WideStage(Stage):
    """What the disruptions share; one key is taken away at a time."""

    withdrawing: Lock = field(factory=Lock)


@define
class WideResult:
    """Outcome of a run.

    Attributes
    ----------
    directory : Path
        Logs of the node processes, and what was seen.
    """

    directory: Path
    violations: list[Violation]
    figures: dict[str, object]
    peak_memory_mb: float


def run_wide(
    site: Site,
    group: str,
    seed: int,
    length_s: float = LENGTH_S,
    clients: int = CLIENTS_PER_MACHINE,
) -> WideResult:
    """Start a deployment, disturb it, and check what was seen."""
    directory = Path(mkdtemp(prefix=f"wide-{site.name}-{group}-{seed}-"))
    fleet = LinkedFleet(directory, site, seed)
    stage = WideStage(fleet, Random(f"wide-stage-{seed}"))
    with fleet:
        fleet.change_config()
        fleet.start()
        await_served(fleet)
        fleet.start_clients(clients, MEAN_GAP_S)
        play(stage, make_wide_schedule(group, seed, length_s), length_s)
        unready = await_ready(fleet)
        fleet.stop_clients()
        arrivals = fleet.arrivals()
    plain = observe(fleet, stage, unready)
    seen = WideObservations(
        plain, fleet.special, arrivals, fleet.withdrawals, fleet.peak_memory_mb
    )
    with open(directory / "seen.pickle", "wb") as file:
        dump(seen, file)
    violations = list(find_wide_violations(seen))
    return WideResult(directory, violations, measure(seen), fleet.peak_memory_mb)


def main(
    site: str,
    group: str,
    first: int = 1,
    count: int = 1,
    length_s: float = LENGTH_S,
    clients: int = CLIENTS_PER_MACHINE,
) -> None:
    """Play seeds one after the other; end with status 1 if a rule was broken.

    Parameters
    ----------
    site : str
        Name of the deployment.
    group : str
        Group of disruptions.
    first : int
        First seed.
    count : int
        Number of seeds.
    length_s : float
        Time in seconds in which disruptions start.
    clients : int
        Clients of each machine.
    """
    assert group in GROUPS, f"group: must be one of {sorted(GROUPS)}"
    is_broken = False
    for seed in range(first, first + count):
        result = run_wide(SITES[site], group, seed, length_s, clients)
        rules = Counter(violation.rule for violation in result.violations)
        print(
            f"{group} {seed}: violations {dict(rules)}, {result.figures}, "
            f"{result.peak_memory_mb:.0f} MB, {result.directory}",
            flush=True,
        )
        for violation in result.violations[:MOST_SHOWN]:
            print(f"  {violation.rule}: {violation.detail}", flush=True)
        is_broken |= bool(result.violations)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    Fire(main)
