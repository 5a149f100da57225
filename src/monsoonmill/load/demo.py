"""Demonstration: a small fleet under mixed load with faults, and one table.

One organisation sends several times its rate and one backend server is
killed. The exit status is 1 if a promise was broken.
"""

import sys
from collections import Counter
from tempfile import TemporaryDirectory
from threading import Timer

from attrs import frozen

from monsoonmill.load.added_latency import AddedLatency, measure_added_latency
from monsoonmill.load.driver import run_load
from monsoonmill.load.plan import LoadPlan
from monsoonmill.load.result import LoadResult
from monsoonmill.load.small_fleet import SmallFleet, lay_out
from monsoonmill.notes import digest_key

DURATION_S = 30
KILL_AFTER_S = 12
SEED = 7
RATE = 20.0
BURST = 40.0
GREEDY_FACTOR = 4
ORGANISATIONS = ("branch-a", "branch-b", "branch-c", "clinics")
GREEDY = "branch-c"
PLEDGE_PATH = "/pledges"
LEAST_WORST_SHARE = 0.95
QUOTA_SLACK = 1.02
"""Callers' clocks and the fleet's differ a little."""
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
    """One promise, and whether it held."""

    name: str
    value: str
    holds: bool


def secret_of(organisation: str) -> str:
    """Return the secret of an organisation's key in the demonstration."""
    return f"secret-of-{organisation}"


def write_note() -> str:
    """Return the release note of the demonstration."""
    lines = ["[note]", 'id = "demo"', "base = 0"]
    for name in ORGANISATIONS:
        lines += [
            f"[added.organisations.{name}]",
            f"rate = {RATE}",
            f"burst = {BURST}",
            f"[added.keys.key-of-{name}]",
            f'organisation = "{name}"',
            f'digest = "{digest_key(secret_of(name))}"',
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


def make_plan(fleet: SmallFleet) -> LoadPlan:
    """Return the load: lookups and pledges of all organisations."""
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
    """Yield the load of one organisation."""
    factor = GREEDY_FACTOR if organisation == GREEDY else 0.75
    common = {
        "organisation": organisation,
        "key": secret_of(organisation),
        "service": "donkeys",
        "timeout_ms": 5000,
    }
    yield {
        **common,
        "name": f"{organisation} lookups",
        "path": "/lookup",
        "rate_per_s": factor * RATE * 0.8,
        "importance": "interactive",
    }
    yield {
        **common,
        "name": f"{organisation} pledges",
        "path": PLEDGE_PATH,
        "method": "POST",
        "rate_per_s": factor * RATE * 0.2,
        "importance": "critical",
        "idempotency": "per-call",
        "retries": {"max": 2, "backoff_ms": 200},
    }


def check_run(fleet: SmallFleet, result: LoadResult) -> list[Check]:
    """Return the promises that the run could break, and how they fared."""
    executions = fleet.executions()
    pledges = Counter(
        one["id"] for one in executions if one["path"].startswith(PLEDGE_PATH)
    )
    doubled = sum(1 for times in pledges.values() if times > 1)
    leaked = sum(1 for one in executions if one["has_authorization"])
    greedy = result.organisations[GREEDY]
    allowed = BURST + RATE * DURATION_S
    worst = result.worst_share
    others = [one for name, one in result.organisations.items() if name != GREEDY]
    unjust = sum(one.unjust_refusals for one in others)
    return [
        Check("pledges run twice", str(doubled), doubled == 0),
        Check("executions that saw a key", str(leaked), leaked == 0),
        Check(
            f"whole answers of {GREEDY} (allowed {allowed:.0f})",
            str(greedy.whole),
            greedy.whole <= allowed * QUOTA_SLACK,
        ),
        Check(
            f"worst-served organisation ({result.worst_organisation})",
            f"{worst:.1%} of what it is owed",
            worst >= LEAST_WORST_SHARE,
        ),
        Check("unjust refusals of the others", str(unjust), unjust == 0),
    ]


def print_table(
    result: LoadResult, checks: list[Check], added: AddedLatency, counters: dict
) -> None:
    """Print the table of the run."""
    rows = [
        ("offered calls", str(result.offered)),
        ("goodput", f"{result.goodput_per_s:.1f} whole answers a second"),
    ]
    rows += [(f"refused: {name}", str(n)) for name, n in result.reasons.items()]
    rows += [
        (name, str(value))
        for name, value in counters.items()
        if name.startswith(("retry-", "no-retry-"))
    ]
    rows.append(("added latency, idle fleet", str(added)))
    rows += [
        (one.name, one.value if one.holds else f"{one.value}  BROKEN") for one in checks
    ]
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"{name:<{width}}  {value}")


def run_demo() -> bool:
    """Run the demonstration; return whether all promises held."""
    with TemporaryDirectory() as directory, SmallFleet(directory) as fleet:
        print("starting 8 nodes and 8 backend servers in 2 regions", flush=True)
        fleet.start(lay_out("donkeys", 8, BACKEND_TABLES))
        revision = fleet.accept_note(write_note())
        print(f"release note accepted as revision {revision}", flush=True)
        added = measure_added_latency(fleet, secret_of("clinics"))
        print(f"sending load for {DURATION_S} s", flush=True)
        victim = fleet.hosts[3].backend
        killer = Timer(KILL_AFTER_S, victim.kill)
        killer.start()
        result = run_load(make_plan(fleet))
        killer.join()
        checks = check_run(fleet, result)
        print_table(result, checks, added, fleet.counters())
        return all(one.holds for one in checks)


if __name__ == "__main__":
    sys.exit(0 if run_demo() else 1)
