"""Benchmark of one call's cost: added latency, CPU time and memory.

A backend server beside the second of two nodes is called directly, through
its own node, and through the other node, at the same rate in the same run.
"""

from contextlib import ExitStack
from socket import create_connection
from tempfile import TemporaryDirectory

from attrs import define, frozen
from fire import Fire

from monsoonmill.load.demo import secret_of, write_note
from monsoonmill.load.driver import run_load
from monsoonmill.load.launcher import HOST, wait_for
from monsoonmill.load.plan import LoadPlan
from monsoonmill.load.process_usage import ProcessUsage
from monsoonmill.load.result import LoadResult
from monsoonmill.load.small_fleet import HostPlan, SmallFleet

SERVICE = "donkeys"
ORGANISATION = "clinics"
IDLE_CONNECTIONS = 900
IDLE_S = 5.0
WARM_UP_S = 3
SEED = 11
BACKEND = {
    "work": {
        "slots": 64,
        "routes": [
            {"path": "/", "mean_ms": 2, "jitter_ms": 0, "answer_bytes": 512},
        ],
    }
}


@frozen
class Way:
    """A way to the backend server, and the processes that a call crosses."""

    name: str
    port: int
    path_service: str
    pids: tuple[int, ...]


@define
class Row:
    """What was measured on one way."""

    way: Way
    result: LoadResult
    node_ms_per_call: tuple[float, ...]

    def __str__(self):
        stream = next(iter(self.result.streams.values()))
        latency = stream.latency
        costs = " + ".join(f"{one:.2f}" for one in self.node_ms_per_call) or "-"
        return (
            f"{self.way.name:<22} {latency.p50_ms:7.2f} {latency.p99_ms:8.2f}"
            f" {latency.count:>7} {self.result.late_starts:>6}   {costs}"
        )


def make_plan(way: Way, rate: float, duration_s: float) -> LoadPlan:
    """Return a load of lookups over one way."""
    return LoadPlan.from_file(
        None,
        addresses=[f"{HOST}:{way.port}"],
        duration_s=duration_s,
        random_seed=SEED,
        streams=[
            {
                "name": "lookups",
                "organisation": ORGANISATION,
                "key": secret_of(ORGANISATION),
                "service": way.path_service,
                "path": "/lookup",
                "rate_per_s": rate,
            }
        ],
    )


def measure(way: Way, rate: float, duration_s: float) -> Row:
    """Send a load over one way and return what it cost."""
    run_load(make_plan(way, rate, WARM_UP_S))
    before = [ProcessUsage.of(pid) for pid in way.pids]
    result = run_load(make_plan(way, rate, duration_s))
    after = [ProcessUsage.of(pid) for pid in way.pids]
    costs = tuple(
        (end.cpu_s - start.cpu_s) * 1000 / max(result.offered, 1)
        for start, end in zip(before, after, strict=True)
    )
    return Row(way, result, costs)


def raise_rate(note: str) -> str:
    """Return the demonstration's note with rates that no run exceeds."""
    lines = note.splitlines()
    limits = {"rate": "rate = 100000.0", "burst": "burst = 100000.0"}
    return "\n".join(limits.get(line.partition(" =")[0], line) for line in lines)


def measure_idle(fleet: SmallFleet) -> None:
    """Print what an idle node uses, without and with idle connections."""
    pid = fleet.hosts[0].node.popen.pid
    print(f"idle node: {_describe_idle(pid)}")
    port = fleet.hosts[0].ports["call_port"]
    with ExitStack() as stack:
        for _ in range(IDLE_CONNECTIONS):
            stack.enter_context(create_connection((HOST, port)))
        print(f"with {IDLE_CONNECTIONS} idle connections: {_describe_idle(pid)}")


def _describe_idle(pid):
    before = ProcessUsage.of(pid)
    _wait(IDLE_S)
    after = ProcessUsage.of(pid)
    share = (after.cpu_s - before.cpu_s) / IDLE_S
    return f"{after.resident_mib:.1f} MiB, {share:.2%} of a core"


def _wait(seconds):
    ends = iter([False] * int(seconds / 0.05))
    wait_for(lambda: next(ends, True), seconds * 2, "idle time")


def bench(rate: float = 385.0, duration_s: float = 10.0, policy: str = "") -> None:
    """Print added latency, processor time a call and memory.

    Parameters
    ----------
    rate : float
        Calls a second.
    duration_s : float
        Length of each run in seconds.
    policy : str
        "baseline" switches quota, claims and admission off.
    """
    plans = [
        HostPlan("first", "north", "north-1", "none", BACKEND),
        HostPlan("second", "north", "north-2", SERVICE, BACKEND),
    ]
    tables = {}
    if policy == "baseline":
        tables["policy"] = {"quota": "unlimited", "claims": "none", "admission": "all"}
    with TemporaryDirectory() as directory, SmallFleet(directory, tables) as fleet:
        fleet.start(plans)
        fleet.accept_note(raise_rate(write_note()))
        measure_idle(fleet)
        first, second = fleet.hosts
        first_pid, second_pid = first.node.popen.pid, second.node.popen.pid
        ways = (
            Way("direct", second.backend.port, "lookup", ()),
            Way(
                "through its own node",
                second.ports["call_port"],
                SERVICE,
                (second_pid,),
            ),
            Way(
                "through two nodes",
                first.ports["call_port"],
                SERVICE,
                (first_pid, second_pid),
            ),
        )
        print(f"{rate:.0f} calls/s for {duration_s:.0f} s, seed {SEED}")
        print("way                     p50 ms   p99 ms  whole   late   node ms/call")
        for way in ways:
            print(measure(way, rate, duration_s), flush=True)


if __name__ == "__main__":
    Fire(bench)
