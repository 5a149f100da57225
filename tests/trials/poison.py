"""Trial: backend servers that one poison request crashes.

Its caller sends it 20 times to random nodes, each time after the previous answer
and a pause.
Run with ``python -m tests.trials.poison``.
"""

from random import Random

from monsoonmill.reasons import Reason
from tests.configs import SECRET, small_config
from tests.crashing_servers import POISON, CrashingServers
from tests.fleet import FakeFleet

RESENDS = 20
POPULAR_PATHS = 10
STEP_S = 0.005


def run_trial(policy, size, method, path, calls_per_s, pause_s, seed):
    """Return the numbers of crashes, refused poison requests and lost other calls."""
    servers = CrashingServers()
    sections = {"policy": {"poison": policy}}
    fleet = servers.fleet = FakeFleet(run=servers.run, seed=seed, **sections)
    fleet.install(small_config(1e6, 1e6))
    nodes = [fleet.add(service="donkeys") for _ in range(size)]
    fleet.advance(8)
    rng = Random(seed)
    popular_calls = []
    refused = 0
    for _ in range(RESENDS):
        node = rng.choice(nodes)
        fields = {"bearer": SECRET, "body": POISON}
        name = fleet.call(node, "donkeys", path, method, **fields)
        due = fleet.now + pause_s
        while fleet.now < due or name not in node.answers:
            if rng.random() < calls_per_s * STEP_S:
                caller_node = rng.choice(nodes)
                popular_path = f"/lookup/{rng.randrange(POPULAR_PATHS)}"
                popular_calls.append(
                    (
                        caller_node,
                        fleet.call(caller_node, "donkeys", popular_path, bearer=SECRET),
                    )
                )
            fleet.advance(STEP_S)
        refused += node.answers[name].reason is Reason.POISON
    fleet.advance(12)
    reasons = [node.answers[name].reason for node, name in popular_calls]
    wrongly_refused = sum(1 for reason in reasons if reason is Reason.POISON)
    lost = sum(1 for reason in reasons if reason is not None)
    return len(servers.crashes), refused, len(reasons), lost, wrongly_refused


def main():
    for size, pause_s in ((4, 0.5), (4, 0.0), (16, 0.5), (16, 0.0)):
        for method, path in (("GET", "/lookup/x"), ("POST", "/pledges")):
            for policy in ("on", "none"):
                for calls_per_s in (0, 100):
                    rows = [
                        run_trial(
                            policy, size, method, path, calls_per_s, pause_s, seed
                        )
                        for seed in (1, 2, 3)
                    ]
                    crashes = [row[0] for row in rows]
                    refused = [row[1] for row in rows]
                    calls, lost, wrongly_refused = (
                        sum(row[index] for row in rows) for index in (2, 3, 4)
                    )
                    print(
                        f"{size} servers, {method}, {pause_s} s apart, "
                        f"{calls_per_s} others/s, guard {policy}: crashes {crashes}, "
                        f"refused {refused} of {RESENDS}; others {calls}, "
                        f"lost {lost}, wrongly refused {wrongly_refused}"
                    )


if __name__ == "__main__":
    main()
