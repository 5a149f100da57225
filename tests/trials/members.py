"""Trial: traffic and CPU time of gossip, and time until changes are known everywhere.

Run with ``python -m tests.trials.members 8 32 128``.
"""

from collections import Counter
from sys import argv
from time import process_time

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.decisions.configuration.signals import NoteSubmitted
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.messages import PEER_MESSAGES, MemberListRequest
from monsoonmill.model import MemberState
from tests.fleet import FakeFleet
from tests.test_release_notes import make_note

WARM_UP_S = 30.0
IDLE_S = 30.0
STEP_S = 0.05
FIRST_PORT = 10_000
CODEC = MsgpackCodec(PEER_MESSAGES)


class MeteredFleet(FakeFleet):
    """Counts messages, bytes, CPU time and pairs of nodes that exchange messages."""

    def __init__(self, **options):
        super().__init__(**options)
        self.reset()

    def reset(self):
        """Set all counts to zero."""
        self.bytes = 0
        self.sent = Counter()
        self.pairs = set()
        self.cpu_s = 0.0
        self.platform.calls = 0

    def _process(self, node, produced):
        started = process_time()
        signals = list(produced)
        self.cpu_s += process_time() - started
        super()._process(node, signals)

    def _send(self, node, signal):
        self.bytes += len(CODEC.encode(signal.message))
        self.sent[type(signal.message)] += 1
        self.pairs.add(frozenset((node.name, signal.node)))
        super()._send(node, signal)


def start_fleet(size):
    fleet = MeteredFleet(seed=size)
    for number in range(size):
        data_centre = f"dc-{number % 4}"
        fleet.add(data_centre=data_centre, service="donkeys", port=FIRST_PORT + number)
        if number % 8 == 7:
            fleet.advance(0.2)
    joined = fleet.advance_until(lambda: is_converged(fleet, size), 120, STEP_S)
    assert joined, "the membership lists did not converge"
    fleet.advance(WARM_UP_S)
    return fleet


def is_converged(fleet, size):
    digests = {node.core.members.digest for node in fleet.nodes.values()}
    return len(digests) == 1 and all(
        sum(1 for _ in node.core.members.live()) == size
        for node in fleet.nodes.values()
    )


def remote_states(fleet, name):
    for node in fleet.nodes.values():
        member = node.core.members.find(name)
        if node.name != name:
            yield member.state if member else MemberState.DEAD


def measure_until(fleet, condition):
    start = fleet.now
    assert fleet.advance_until(condition, 60, STEP_S), "condition not met within 60 s"
    return fleet.now - start


def measure_idle(fleet, size):
    fleet.reset()
    fleet.advance(IDLE_S)
    node_seconds = size * IDLE_S
    not_alive = sum(
        1
        for node in fleet.nodes.values()
        for member in node.core.members.members()
        if member.state is not MemberState.ALIVE
    )
    print(
        f"{size} nodes idle {IDLE_S:.0f} s: sent per node and second "
        f"{fleet.bytes / node_seconds:.0f} B, "
        f"{sum(fleet.sent.values()) / node_seconds:.2f} messages; "
        f"{2 * len(fleet.pairs) / size:.1f} peers a node; "
        f"lists {fleet.sent[MemberListRequest]}; entries not alive {not_alive}; "
        f"refutations {count_refutations(fleet)}; CPU of decisions "
        f"{100 * fleet.cpu_s / node_seconds:.3f}% of a core a node"
    )


def count_refutations(fleet):
    versions = [node.core.members.own.version for node in fleet.nodes.values()]
    return sum(versions) - 2 * len(versions)


def measure_release_note(fleet, size):
    fleet.reset()
    node = next(iter(fleet.nodes.values()))
    revision = node.core.view.config.revision
    fleet.inject(node, NoteSubmitted("trial", make_note(f"n{revision}", revision)))
    nodes = list(fleet.nodes.values())
    elapsed_s = measure_until(
        fleet,
        lambda: all(node.core.view.config.revision > revision for node in nodes),
    )
    print(
        f"{size} nodes, release note in force everywhere after {elapsed_s:.2f} s "
        f"({elapsed_s / 0.5:.1f} rounds), {fleet.platform.calls} platform calls, "
        f"{fleet.bytes / size:.0f} B sent a node"
    )


def measure_leaving(fleet, size):
    victim = list(fleet.nodes.values())[size // 2]
    fleet.reset()
    fleet.inject(victim, DrainRequested())
    elapsed_s = measure_until(
        fleet,
        lambda: all(
            state is MemberState.LEAVING for state in remote_states(fleet, victim.name)
        ),
    )
    print(f"{size} nodes, leaving node known everywhere after {elapsed_s:.2f} s")
    fleet.kill(victim)


def measure_loss(fleet, size, failure):
    victim = list(fleet.nodes.values())[size // 3]
    fleet.reset()
    (fleet.kill if failure == "killed" else fleet.pause)(victim)
    suspected_s = measure_until(
        fleet,
        lambda: MemberState.ALIVE not in set(remote_states(fleet, victim.name)),
    )
    dead_s = measure_until(
        fleet, lambda: set(remote_states(fleet, victim.name)) == {MemberState.DEAD}
    )
    print(
        f"{size} nodes, one {failure}: suspected by all after {suspected_s:.2f} s, "
        f"dead everywhere after {suspected_s + dead_s:.2f} s, "
        f"{fleet.bytes / size / (suspected_s + dead_s):.0f} B/s sent a node; "
        f"refutations {count_refutations(fleet)}"
    )
    if failure == "paused":
        fleet.resume(victim)
        recovered_s = measure_until(
            fleet, lambda: set(remote_states(fleet, victim.name)) == {MemberState.ALIVE}
        )
        print(f"{size} nodes, resumed node alive everywhere after {recovered_s:.2f} s")


def main(sizes):
    for size in sizes:
        fleet = start_fleet(size)
        measure_idle(fleet, size)
        measure_release_note(fleet, size)
        measure_release_note(fleet, size)
        measure_loss(fleet, size, "paused")
        measure_loss(fleet, size, "killed")
        measure_leaving(fleet, size)


if __name__ == "__main__":
    main([int(size) for size in argv[1:]] or [8, 32, 128])
