"""Trial: calls lost on a stalled backend server, by health policy.

Run with ``python -m tests.trials.health``.
"""

from monsoonmill.decisions.health.passive import PassiveHealth
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet, answer_ok

SERVERS = 4
DURATION_S = 60
STALL_AT_S = 5
CALLS_PER_S = 40
TIMEOUT_MS = 10_000


class FixedTimeout(PassiveHealth):
    """Counts attempts that exceed a fixed time as failures, like a probe."""

    def is_answer(self, signal):
        return super().is_answer(signal) and not self.is_late(signal)

    def is_failure(self, signal):
        return super().is_failure(signal) or self.is_late(signal)

    def is_late(self, signal):
        return signal.elapsed_s * 1000 > self.limits.stall_floor_ms

    def may_eject(self, node):
        return True


def run_trial(policy, latency_s, floor_ms, stalls):
    """Return the numbers of calls, lost calls, and ejections by health of the node."""
    stalled = set()

    def run(node, call):
        if node.name in stalled:
            return None
        return answer_ok(
            node, call, latency_s * (0.5 + (len(fleet.executed) % 100) / 100)
        )

    sections = {
        "policy": {"health": "none" if policy == "none" else "passive"},
        "health": {"stall_floor_ms": floor_ms},
    }
    fleet = FakeFleet(run=run, seed=1, **sections)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(SERVERS)]
    fleet.advance(5)
    if policy == "fixed timeout":
        for node in nodes:
            node.core.health.__class__ = FixedTimeout
    names, ejected = [], set()
    for tick in range(DURATION_S * CALLS_PER_S):
        if stalls and tick == STALL_AT_S * CALLS_PER_S:
            stalled.add(nodes[-1].name)
        node = nodes[tick % SERVERS]
        fields = {"bearer": SECRET, "timeout_ms": TIMEOUT_MS}
        names.append((node, fleet.call(node, "donkeys", f"/lookup/{tick}", **fields)))
        fleet.advance(1 / CALLS_PER_S)
        for sender in nodes:
            for peer, state in sender.core.health.status().items():
                if state == "ejected":
                    ejected.add((sender.name, peer))
    fleet.advance(TIMEOUT_MS / 1000 + 1)
    lost = sum(1 for node, name in names if node.answers[name].reason is not None)
    healthy = {pair for pair in ejected if pair[1] not in stalled}
    return len(names), lost, len(healthy), len(ejected - healthy)


def main():
    for latency_s, floor_ms, stalls in (
        (0.02, 2000, True),
        (3.0, 2000, False),
        (3.0, 2000, True),
    ):
        for policy in ("passive", "none", "fixed timeout"):
            calls, lost, healthy, unhealthy = run_trial(
                policy, latency_s, floor_ms, stalls
            )
            print(
                f"latency {latency_s} s, "
                f"{'one' if stalls else 'none'} stalled, {policy}: "
                f"{lost} of {calls} calls lost, ejections of healthy nodes seen "
                f"{healthy} of 16, of the stalled one {unhealthy} of 4"
            )


if __name__ == "__main__":
    main()
