"""Demonstration: a local fleet under mixed load, with a fault and a result table.

One organisation exceeds its rate several times, and one backend server is killed
during the run. The exit status is 1 if a check failed.
"""

import sys
from collections import Counter
from tempfile import TemporaryDirectory
from threading import Timer

from attrs import frozen

from monsoonmill.load.added_latency import AddedLatency, measure_added_latency
from monsoonmill.load.driver import run_load
from monsoonmill.load.local_fleet import LocalFleet, plan_hosts
from monsoonmill.load.plan import LoadPlan
from monsoonmill.load.result import LoadResult
from monsoonmill.notes import digest_key

DURATION_S = 30
KILL_AFTER_S = 12
SEED = 7
RATE = 20.0
"""Rate limit of each organisation in calls per second."""
BURST = 40.0
"""Calls that each organisation may make at once after a period without any."""
EXCESS_RATE_FACTOR = 4
"""Offered rate of ``OVER_RATE_ORGANISATION`` as a multiple of its rate limit."""
ORGANISATIONS = ("branch-a", "branch-b", "branch-c", "clinics")
OVER_RATE_ORGANISATION = "branch-c"
PLEDGE_PATH = "/pledges"
MIN_WORST_SHARE = 0.95
"""Least valid responses of any organisation per call within its rate and burst."""
QUOTA_TOLERANCE = 1.02
"""Factor that allows for differences between the clocks of callers and nodes."""
BACKEND_TABLES = {
    "work": {
        "slots": 16,
        "routes": [
            {"path": "/lookup", "mean_ms": 15, "jitter_ms": 5, "answer_bytes": 1024},
            {"path": PLEDGE_PATH, "mean_ms": 30, "jitter_ms": 10, "answer_bytes": 256},
        ],
    }
}


@frozen
class Check:
    """An expected property of the run, its value and whether it held."""

    name: str
    value: str
    passed: bool


def make_secret(organisation: str) -> str:
    """Return the secret of an organisation's API key in the demonstration."""
    return f"secret-of-{organisation}"


def make_note() -> str:
    """Return the release note of the demonstration."""
    lines = ["[note]", 'id = "demo"', "base = 0"]
    for name in ORGANISATIONS:
        lines += [
            f"[added.organisations.{name}]",
            f"rate = {RATE}",
            f"burst = {BURST}",
            f"[added.keys.key-of-{name}]",
            f'organisation = "{name}"',
            f'digest = "{digest_key(make_secret(name))}"',
        ]
    lines += [
        "[added.services.donkeys]",
        "timeout_ms = 5000",
        "[added.routes.lookup]",
        'service = "donkeys"',
        'path = "/lookup"',
        'class = "interactive"',
        "idempotent = true",
        "[added.routes.pledge]",
        'service = "donkeys"',
        f'path = "{PLEDGE_PATH}"',
        'class = "critical"',
        "at_most_once = true",
    ]
    return "\n".join(lines)


def make_plan(fleet: LocalFleet) -> LoadPlan:
    """Return the load plan: lookups and pledges of all organisations."""
    return LoadPlan.from_file(
        None,
        addresses=[str(host.call_address) for host in fleet.hosts],
        duration_s=DURATION_S,
        random_seed=SEED,
        organisations=[
            {"name": name, "rate": RATE, "burst": BURST} for name in ORGANISATIONS
        ],
        streams=[stream for name in ORGANISATIONS for stream in make_streams(name)],
    )


def make_streams(organisation: str):
    """Yield the streams of one organisation."""
    rate_factor = EXCESS_RATE_FACTOR if organisation == OVER_RATE_ORGANISATION else 0.75
    common = {
        "organisation": organisation,
        "key": make_secret(organisation),
        "service": "donkeys",
        "timeout_ms": 5000,
    }
    yield {
        **common,
        "name": f"{organisation} lookups",
        "path": "/lookup",
        "rate_per_s": rate_factor * RATE * 0.8,
        "importance": "interactive",
    }
    yield {
        **common,
        "name": f"{organisation} pledges",
        "path": PLEDGE_PATH,
        "method": "POST",
        "rate_per_s": rate_factor * RATE * 0.2,
        "importance": "critical",
        "idempotency": "per-call",
        "retries": {"max": 2, "backoff_ms": 200},
    }


def check_run(fleet: LocalFleet, result: LoadResult) -> list[Check]:
    """Check whether the run kept the guarantees of the fleet."""
    executions = fleet.executions()
    pledges = Counter(
        record["id"] for record in executions if record["path"].startswith(PLEDGE_PATH)
    )
    duplicates = sum(1 for count in pledges.values() if count > 1)
    leaked = sum(1 for record in executions if record["has_authorization"])
    over_rate = result.organisations[OVER_RATE_ORGANISATION]
    allowed = BURST + RATE * DURATION_S
    worst = result.worst_share
    others = [
        organisation
        for name, organisation in result.organisations.items()
        if name != OVER_RATE_ORGANISATION
    ]
    wrong_refusals = sum(organisation.unjust_refusals for organisation in others)
    return [
        Check("pledges executed more than once", str(duplicates), duplicates == 0),
        Check("executions that received an API key", str(leaked), leaked == 0),
        Check(
            f"valid responses to {OVER_RATE_ORGANISATION} (limit {allowed:.0f})",
            str(over_rate.whole),
            over_rate.whole <= allowed * QUOTA_TOLERANCE,
        ),
        Check(
            f"worst-served organisation ({result.worst_organisation})",
            f"{worst:.1%} of its calls within rate and burst",
            worst >= MIN_WORST_SHARE,
        ),
        Check(
            "refusals within rate and burst, other organisations",
            str(wrong_refusals),
            wrong_refusals == 0,
        ),
    ]


def print_table(
    result: LoadResult, checks: list[Check], added_latency: AddedLatency, counters: dict
) -> None:
    """Print the measurements and the checks of the run."""
    rows = [
        ("offered calls", str(result.offered)),
        ("goodput", f"{result.goodput_per_s:.1f} valid responses per second"),
    ]
    rows += [(f"refused: {name}", str(count)) for name, count in result.reasons.items()]
    rows += [
        (name, str(value))
        for name, value in counters.items()
        if name.startswith(("retry-", "no-retry-"))
    ]
    rows.append(("added latency, idle fleet", str(added_latency)))
    rows += [
        (check.name, check.value if check.passed else f"{check.value}  FAILED")
        for check in checks
    ]
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"{name:<{width}}  {value}")


def run_demo() -> bool:
    """Run the demonstration and return whether all checks passed."""
    with TemporaryDirectory() as directory, LocalFleet(directory) as fleet:
        print("starting 8 nodes and 8 backend servers in 2 regions", flush=True)
        fleet.start(plan_hosts("donkeys", 8, BACKEND_TABLES))
        revision = fleet.submit_note(make_note())
        print(f"release note accepted as revision {revision}", flush=True)
        added_latency = measure_added_latency(fleet, make_secret("clinics"))
        print(f"sending load for {DURATION_S} s", flush=True)
        backend_to_kill = fleet.hosts[3].backend
        kill_timer = Timer(KILL_AFTER_S, backend_to_kill.kill)
        kill_timer.start()
        result = run_load(make_plan(fleet))
        kill_timer.join()
        checks = check_run(fleet, result)
        print_table(result, checks, added_latency, fleet.counters())
        return all(check.passed for check in checks)


if __name__ == "__main__":
    sys.exit(0 if run_demo() else 1)
