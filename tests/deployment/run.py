"""One run of a deployment."""

from collections import Counter
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from threading import Event, Thread

from attrs import define

from tests.deployment.checks import (
    Observations,
    Violation,
    crossed,
    find_violations,
)
from tests.deployment.clients import CLOCK
from tests.deployment.disruptions import Stage
from tests.deployment.fleet import START_TIMEOUT_S, DeploymentFleet
from tests.deployment.schedule import Scheduled, make_schedule
from tests.deployment.sites import Site

LENGTH_S = 30.0
CLIENTS_PER_MACHINE = 6
MEAN_GAP_S = 0.5
"""Mean time between the answer to a client's request and its next request."""
OWN_END_CHECK_S = 0.2
SETTLE_S = 8.0
"""Time after the last disruption within which each node is ready."""


@define
class Result:
    """Outcome of a run.

    Attributes
    ----------
    directory : Path
        Logs of the node processes.
    """

    seed: int
    directory: Path
    violations: list[Violation]
    ends: Counter
    crossed: int
    peak_memory_mb: float

    def summary(self) -> str:
        """Return the result in one line."""
        rules = Counter(violation.rule for violation in self.violations)
        return (
            f"seed {self.seed}: violations {dict(rules)}, ends {dict(self.ends)}, "
            f"crossed {self.crossed}, {self.peak_memory_mb:.0f} MB, {self.directory}"
        )


def run(site: Site, seed: int, length_s: float = LENGTH_S) -> Result:
    """Start a deployment, disturb it, and check what was seen."""
    directory = Path(mkdtemp(prefix=f"deployment-{site.name}-{seed}-"))
    fleet = DeploymentFleet(directory, site, seed)
    stage = Stage(fleet, Random(f"deployment-stage-{seed}"))
    with fleet:
        fleet.put_config(fleet.routes_config(3))
        fleet.start()
        await_served(fleet)
        fleet.start_clients(CLIENTS_PER_MACHINE, MEAN_GAP_S)
        play(stage, make_schedule(seed, length_s), length_s)
        unready = await_ready(fleet)
        fleet.stop_clients()
    seen = observe(fleet, stage, unready)
    ends = Counter(f"{exchange.end} {exchange.status}" for exchange in fleet.exchanges)
    ends["calls"] = len(seen.calls)
    return Result(
        seed,
        directory,
        list(find_violations(seen)),
        ends,
        crossed(seen),
        fleet.peak_memory_mb,
    )


def observe(
    fleet: DeploymentFleet, stage: Stage, unready: tuple[int, ...]
) -> Observations:
    """Return what a run has shown.

    Parameters
    ----------
    unready : tuple of int
        Machines whose nodes are not ready at the end.
    """
    return Observations(
        fleet.site,
        fleet.exchanges,
        fleet.runs(),
        fleet.ends,
        stage.spans,
        unready,
        fleet.leaves,
        {call.request_id: call for _, app in fleet.apps for call in app.calls.values()},
        fleet.call_exchanges(),
        fleet.services,
    )


def await_served(fleet: DeploymentFleet) -> None:
    """Wait until a request to each route is answered."""
    deadline = CLOCK.now() + START_TIMEOUT_S
    for route in fleet.site.routes:
        if route.is_called:
            continue
        while fleet.hosts[0].call(f"{route.prefix}first", key="secret").status != 200:
            assert CLOCK.now() < deadline, f"{route.prefix} is not served"


def play(stage: Stage, schedule: list[Scheduled], length_s: float) -> None:
    """Run the scheduled disruptions, each in a thread of its own."""
    started_at = CLOCK.now()
    threads = []
    for scheduled in schedule:
        _watch(stage, started_at + scheduled.at_s)
        thread = Thread(target=scheduled.disruption.run, args=(stage,))
        thread.start()
        threads.append(thread)
    _watch(stage, started_at + length_s)
    for thread in threads:
        while thread.is_alive():
            thread.join(OWN_END_CHECK_S)
            stage.fleet.collect_own_ends(stage.is_busy)


def _watch(stage, until):
    """Wait until a time, and look for processes that end by themselves."""
    pace = Event()
    while (left_s := until - CLOCK.now()) > 0:
        pace.wait(min(left_s, OWN_END_CHECK_S))
        stage.fleet.collect_own_ends(stage.is_busy)


def await_ready(fleet: DeploymentFleet) -> tuple[int, ...]:
    """Return the machines whose nodes are not ready some time after all is over."""
    deadline = CLOCK.now() + SETTLE_S
    unready = set(range(len(fleet.hosts)))
    pace = Event()
    while unready and CLOCK.now() < deadline:
        fleet.collect_own_ends(lambda number: False)
        unready -= {number for number in unready if fleet.hosts[number].is_ready()}
        pace.wait(OWN_END_CHECK_S)
    return tuple(sorted(unready))
