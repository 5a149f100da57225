"""Command line: hunts for nodes that don't have the newest configuration in time.

``python -m tests.deployment.config_run --first=SEED --count=N``
"""

import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from threading import Lock, Thread

from attrs import define, field
from fire import Fire
from urllib3.exceptions import HTTPError

from tests.deployment.checks import CONTACT_S, Violation
from tests.deployment.disruptions import Freeze, Kill, RollingStop, Stage
from tests.deployment.linked_fleet import LinkedFleet
from tests.deployment.run import START_TIMEOUT_S
from tests.deployment.schedule import Scheduled
from tests.deployment.sites import SEGNALI_CT, Site
from tests.deployment.store_disruptions import (
    MODES,
    StoreForgetsUnheard,
    StoreLosesWrites,
    StoreResets,
    StoreReturns,
    StoreTurnsAway,
)
from tests.deployment.wide_checks import CONFIG_APPLY_S
from tests.platform_fleet import configuration, rule, tenant, wait_until

ROUNDS = 3
ROUND_S = 7.0
"""Time in which the disruptions of a round start."""
MEAN_GAP_S = 1.5
SAMPLE_S = 0.3
MOST_SHOWN = 8
CHECK_PREFIX = "/check/"
STATUSES_WITHOUT_ERA = ((), (), (410,), (400, 404, 410, 412, 429, 503))
KINDS = (
    lambda rng: StoreReturns(rng.uniform(1.0, 4.0), rng.uniform(0.0, 2.0)),
    lambda rng: StoreReturns(rng.uniform(1.0, 4.0), rng.uniform(0.0, 2.0)),
    lambda rng: StoreForgetsUnheard(rng.randrange(1, 4), rng.uniform(0.5, 3.0)),
    lambda rng: StoreForgetsUnheard(rng.randrange(1, 4), rng.uniform(0.5, 3.0)),
    lambda rng: StoreResets(),
    lambda rng: StoreTurnsAway(
        rng.choice(MODES), rng.choice((0.1, 0.5, 1.0)), rng.uniform(0.5, 5.0)
    ),
    lambda rng: StoreLosesWrites(rng.randrange(1, 8)),
    lambda rng: ConfigQuickly(rng.randrange(2, 8), rng.uniform(0.02, 0.3)),
    lambda rng: Kill(rng.choice((0.0, 0.3, 1.0)), rng.uniform(0.0, 2.0)),
    lambda rng: RollingStop(rng.uniform(0.2, 0.6), rng.uniform(0.0, 1.0)),
    lambda rng: Freeze(rng.uniform(0.5, 4.0)),
)


class ConfigQuickly(StoreResets):
    """Configurations come in quick succession."""

    def __init__(self, count: int, gap_s: float):
        self.count = count
        self.gap_s = gap_s

    def run(self, stage: Stage) -> None:
        """Write the configurations."""
        for _ in range(self.count):
            stage.fleet.change_config()
            stage.ending.wait(self.gap_s)


class VersionedFleet(LinkedFleet):
    """A deployment in which the service of a route tells the version in force.

    Each version moves the route to the next service, changes its time-out and splits,
    adds a route of its own and removes that of the version before.
    """

    def __init__(self, directory, site, seed):
        self.newest = b""
        self._writing = Lock()
        super().__init__(directory, site, seed)

    def service_of(self, version: int) -> str:
        """Return the service that runs the checked route in a version."""
        services = list(self.site.machines)
        return services[version % len(services)]

    def change_config(self, prefixes=()) -> int:
        """Write the next version of the configuration, and return it."""
        with self._writing:
            version = self.next_version()
            self.newest = self._describe(version)
            self.put_config(self.newest)
            return version

    def write_again(self) -> None:
        """Write the newest version again, as operators do after a loss."""
        with self._writing:
            self.put_config(self.newest)

    def _describe(self, version):
        service = self.service_of(version)
        other = self.service_of(version + 1)
        shares = [{"service": service, "weight": 1}, {"service": other, "weight": 0}]
        rules = [
            rule(CHECK_PREFIX, service, timeout=f"{1000 + version % 900}ms"),
            rule(f"/added-{version}/", service),
            rule("/split/", service, traffic_split=shares),
        ]
        tenants = [tenant("t", "secret"), tenant("changing", f"key-{version}")]
        return configuration(version, rules, self.site.machines, tenants)

    def handled_as(self, number: int, newest: int) -> str:
        """Return what a machine doesn't handle as the newest version says."""
        host = self.hosts[number]
        service = self.service_of(newest)
        requests = (
            (f"{CHECK_PREFIX}x", "secret", 200),
            (f"/added-{newest}/x", "secret", 200),
            ("/split/x", "secret", 200),
            (f"/added-{newest}/y", f"key-{newest}", 200),
            ("/added-1/x", "secret", 404),
            (f"{CHECK_PREFIX}y", "key-1", 401),
        )
        for path, key, expected in requests:
            request_id = f"check-{number}-{newest}-{path}-{key}"
            resp = host.call(path, key=key, request_id=request_id)
            if resp.status != expected and resp.status < 429:
                return f"{path} with {key}: status {resp.status}"
            ran_by = {run.service for run in self.runs_of(request_id)}
            if not ran_by <= {service}:
                return f"{path} ran by {ran_by}, not {service}"
        return ""

    def runs_of(self, request_id: str):
        """Yield the backend servers that ran a request."""
        for _, app in self.apps:
            if any(run.request_id == request_id for run in app.runs):
                yield app


@define
class Sampler:
    """Looks for configurations that come back older, at each process of a machine."""

    fleet: VersionedFleet
    violations: list[Violation] = field(factory=list)
    is_running: bool = True

    def run(self, stage: Stage) -> None:
        """Ask the machines in turn until the run is over."""
        seen: dict[tuple[int, int], int] = {}
        while self.is_running:
            for number, host in enumerate(self.fleet.hosts):
                starts, revision = self._revision_in_force(host)
                newest = seen.get((number, starts), 0)
                if revision and revision < newest:
                    detail = f"machine {number}: {revision} after {newest}"
                    self.violations.append(Violation("CONFIG", detail))
                seen[number, starts] = max(revision, newest)
            stage.ending.wait(SAMPLE_S)

    def _revision_in_force(self, host):
        """Return the number of processes so far, and the last one's version."""
        starts, revision = 0, 0
        for line in self.fleet.log(host).splitlines():
            if '"started"' in line:
                starts, revision = starts + 1, 0
            elif '"config_adopted"' in line:
                revision = int(line.split('"revision": ')[1].split(",")[0])
        return starts, revision


def make_round(rng: Random) -> list[Scheduled]:
    """Return the disruptions of a round."""
    schedule, at_s = [], 0.0
    while at_s < ROUND_S:
        schedule.append(Scheduled(at_s, rng.choice(KINDS)(rng)))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return schedule


def play_round(stage: Stage, schedule: list[Scheduled]) -> None:
    """Run the disruptions of a round, each in a thread of its own."""
    threads, passed_s = [], 0.0
    for scheduled in schedule:
        stage.ending.wait(scheduled.at_s - passed_s)
        passed_s = scheduled.at_s
        threads.append(Thread(target=scheduled.disruption.run, args=(stage,)))
        threads[-1].start()
    for thread in threads:
        thread.join()


def check_in_force(fleet: VersionedFleet, version: int, when: str) -> Iterator:
    """Yield the machines that don't handle requests as a version says."""

    def check(number):
        try:
            return fleet.handled_as(number, version)
        except HTTPError as exc:
            return f"no answer: {exc}"

    with ThreadPoolExecutor(len(fleet.hosts)) as pool:
        for number, detail in enumerate(pool.map(check, range(len(fleet.hosts)))):
            if detail:
                text = f"{when}, version {version}, machine {number}: {detail}"
                yield Violation("CONFIG", text)


def run_config(site: Site, seed: int, rounds: int = ROUNDS):
    """Disturb the store and nodes while the configuration changes.

    Returns
    -------
    violations : list of Violation
    directory : Path
        Logs of the node processes.
    """
    rng = Random(f"config-{seed}")
    directory = Path(mkdtemp(prefix=f"config-{site.name}-{seed}-"))
    fleet = VersionedFleet(directory, site, seed)
    stage = Stage(fleet, Random(f"config-stage-{seed}"))
    violations = []
    without_era = frozenset(rng.choice(STATUSES_WITHOUT_ERA))
    for faults in fleet.store_faults:
        faults.statuses_without_era = without_era
    with fleet:
        fleet.change_config()
        for host in fleet.hosts:
            fleet.launch(host)
        for host in fleet.hosts:
            wait_until(host.is_ready, START_TIMEOUT_S)
        sampler = Sampler(fleet)
        sampling = Thread(target=sampler.run, args=(stage,))
        sampling.start()
        for number in range(rounds):
            schedule = make_round(rng)
            play_round(stage, schedule)
            kinds = [type(scheduled.disruption).__name__ for scheduled in schedule]
            label = f"round {number}, {sorted(without_era)} without era, {kinds}"
            # Operators write again whatever the last return may have lost.
            fleet.write_again()
            stage.ending.wait(CONTACT_S + 0.1)
            newest = int(fleet.newest.split(b'"version": ')[1].split(b",")[0])
            violations.extend(check_in_force(fleet, newest, f"{label}, in touch"))
            version = fleet.change_config()
            stage.ending.wait(CONFIG_APPLY_S)
            violations.extend(check_in_force(fleet, version, f"{label}, in calm"))
        sampler.is_running = False
        sampling.join()
    return violations + sampler.violations, directory


def main(first: int = 1, count: int = 1, rounds: int = ROUNDS) -> None:
    """Play seeds one after the other; end with status 1 if a rule was broken."""
    is_broken = False
    for seed in range(first, first + count):
        violations, directory = run_config(SEGNALI_CT, seed, rounds)
        print(f"seed {seed}: {len(violations)} violations, {directory}", flush=True)
        for violation in violations[:MOST_SHOWN]:
            print(f"  {violation.rule}: {violation.detail}", flush=True)
        is_broken |= bool(violations)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    Fire(main)
