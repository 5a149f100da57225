"""Benchmark of the cost of a call: added latency, CPU time and memory.

A backend server on the second of two hosts is called directly, through the node
on its own host, and through the node on the other host, at the same rate in the
same run.
"""

from contextlib import ExitStack
from socket import create_connection
from tempfile import TemporaryDirectory

from attrs import define, frozen
from fire import Fire

from monsoonmill.load.demo import make_note, make_secret
from monsoonmill.load.driver import run_load
from monsoonmill.load.launcher import HOST, wait_for
from monsoonmill.load.local_fleet import HostPlan, LocalFleet
from monsoonmill.load.plan import LoadPlan
from monsoonmill.load.process_usage import ProcessUsage
from monsoonmill.load.result import LoadResult

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
class CallPath:
    """A path to the backend server, and the nodes that a call passes."""

    name: str
    port: int
    service: str
    node_pids: tuple[int, ...]


@define
class Measurement:
    """Latency and CPU time of the calls over one path."""

    call_path: CallPath
    result: LoadResult
    cpu_ms_per_call: tuple[float, ...]

    def __str__(self):
        stream = next(iter(self.result.streams.values()))
        latency = stream.latency
        cpu_times = " + ".join(f"{ms:.2f}" for ms in self.cpu_ms_per_call) or "-"
        return (
            f"{self.call_path.name:<22} {latency.p50_ms:7.2f} {latency.p99_ms:8.2f}"
            f" {latency.count:>7} {self.result.late_starts:>6}   {cpu_times}"
        )


def make_plan(call_path: CallPath, rate: float, duration_s: float) -> LoadPlan:
    """Return a load plan with lookups over one path."""
    return LoadPlan.from_file(
        None,
        addresses=[f"{HOST}:{call_path.port}"],
        duration_s=duration_s,
        random_seed=SEED,
        streams=[
            {
                "name": "lookups",
                "organisation": ORGANISATION,
                "key": make_secret(ORGANISATION),
                "service": call_path.service,
                "path": "/lookup",
                "rate_per_s": rate,
            }
        ],
    )


def measure(call_path: CallPath, rate: float, duration_s: float) -> Measurement:
    """Send calls over one path and measure their latency and CPU time."""
    run_load(make_plan(call_path, rate, WARM_UP_S))
    before = [ProcessUsage.of(pid) for pid in call_path.node_pids]
    result = run_load(make_plan(call_path, rate, duration_s))
    after = [ProcessUsage.of(pid) for pid in call_path.node_pids]
    cpu_ms_per_call = tuple(
        (end.cpu_s - start.cpu_s) * 1000 / max(result.offered, 1)
        for start, end in zip(before, after, strict=True)
    )
    return Measurement(call_path, result, cpu_ms_per_call)


def raise_rate_limits(note: str) -> str:
    """Return the release note with rate limits above any benchmark rate."""
    lines = note.splitlines()
    limits = {"rate": "rate = 100000.0", "burst": "burst = 100000.0"}
    return "\n".join(limits.get(line.partition(" =")[0], line) for line in lines)


def measure_idle(fleet: LocalFleet) -> None:
    """Print CPU time and memory of an idle node, without and with connections."""
    pid = fleet.hosts[0].node.popen.pid
    print(f"idle node: {_describe_idle(pid)}")
    port = fleet.hosts[0].ports["call_port"]
    with ExitStack() as stack:
        for _ in range(IDLE_CONNECTIONS):
            stack.enter_context(create_connection((HOST, port)))
        print(f"with {IDLE_CONNECTIONS} idle connections: {_describe_idle(pid)}")


def _describe_idle(pid):
    before = ProcessUsage.of(pid)
    _sleep(IDLE_S)
    after = ProcessUsage.of(pid)
    cpu_share = (after.cpu_s - before.cpu_s) / IDLE_S
    return f"{after.resident_mib:.1f} MiB, {cpu_share:.2%} of a core"


def _sleep(seconds):
    results = iter([False] * int(seconds / 0.05))
    wait_for(lambda: next(results, True), seconds * 2, "end of the idle period")


def bench(rate: float = 385.0, duration_s: float = 10.0, policy: str = "") -> None:
    """Print added latency, CPU time per call and memory.

    Parameters
    ----------
    rate : float
        Calls per second.
    duration_s : float
        Duration of each run in seconds.
    policy : str
        "baseline" turns off quotas, claims and admission control.
    """
    plans = [
        HostPlan("first", "north", "north-1", "none", BACKEND),
        HostPlan("second", "north", "north-2", SERVICE, BACKEND),
    ]
    tables = {}
    if policy == "baseline":
        tables["policy"] = {"quota": "unlimited", "claims": "none", "admission": "all"}
    with TemporaryDirectory() as directory, LocalFleet(directory, tables) as fleet:
        fleet.start(plans)
        fleet.submit_note(raise_rate_limits(make_note()))
        measure_idle(fleet)
        first, second = fleet.hosts
        first_pid, second_pid = first.node.popen.pid, second.node.popen.pid
        call_paths = (
            CallPath("direct", second.backend.port, "lookup", ()),
            CallPath(
                "through its own node",
                second.ports["call_port"],
                SERVICE,
                (second_pid,),
            ),
            CallPath(
                "through two nodes",
                first.ports["call_port"],
                SERVICE,
                (first_pid, second_pid),
            ),
        )
        print(f"{rate:.0f} calls/s for {duration_s:.0f} s, seed {SEED}")
        print("path                    p50 ms   p99 ms  valid   late   CPU ms/call")
        for call_path in call_paths:
            print(measure(call_path, rate, duration_s), flush=True)


if __name__ == "__main__":
    Fire(bench)
