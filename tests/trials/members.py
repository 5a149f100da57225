"""Trial: cost and speed of gossip and of the spread of the configuration.

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

SETTLE_S = 30.0
QUIET_S = 30.0
STEP_S = 0.05
FIRST_PORT = 10_000
CODEC = MsgpackCodec(PEER_MESSAGES)


class MeteredFleet(FakeFleet):
    """Counts messages, bytes and pairs of nodes that talk."""

    def __init__(self, **options):
        super().__init__(**options)
        self.reset()

    def reset(self):
        """Begin to count anew."""
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
        place = f"dc-{number % 4}"
        fleet.add(data_centre=place, service="donkeys", port=FIRST_PORT + number)
        if number % 8 == 7:
            fleet.advance(0.2)
    joined = fleet.advance_until(lambda: agree(fleet, size), 120, STEP_S)
    assert joined, "the fleet did not agree"
    fleet.advance(SETTLE_S)
    return fleet


def agree(fleet, size):
    digests = {node.core.members.digest for node in fleet.nodes.values()}
    return len(digests) == 1 and all(
        sum(1 for _ in node.core.members.live()) == size
        for node in fleet.nodes.values()
    )


def states(fleet, name):
    for node in fleet.nodes.values():
        member = node.core.members.find(name)
        if node.name != name:
            yield member.state if member else MemberState.DEAD


def time_until(fleet, condition):
    start = fleet.now
    assert fleet.advance_until(condition, 60, STEP_S), "not within 60 s"
    return fleet.now - start


def measure_quiet(fleet, size):
    fleet.reset()
    fleet.advance(QUIET_S)
    each = size * QUIET_S
    doubted = sum(
        1
        for node in fleet.nodes.values()
        for one in node.core.members.members()
        if one.state is not MemberState.ALIVE
    )
    print(
        f"{size} nodes quiet {QUIET_S:.0f} s: sent per node and second "
        f"{fleet.bytes / each:.0f} B, {sum(fleet.sent.values()) / each:.2f} messages; "
        f"{2 * len(fleet.pairs) / size:.1f} peers a node; "
        f"lists {fleet.sent[MemberListRequest]}; doubted entries {doubted}; "
        f"falsely doubted {raised(fleet)}; CPU of decisions "
        f"{100 * fleet.cpu_s / each:.3f}% of a core a node"
    )


def raised(fleet):
    own = [node.core.members.own.version for node in fleet.nodes.values()]
    return sum(own) - 2 * len(own)


def measure_note(fleet, size):
    fleet.reset()
    node = next(iter(fleet.nodes.values()))
    revision = node.core.view.config.revision
    fleet.inject(node, NoteSubmitted("trial", make_note(f"n{revision}", revision)))
    nodes = list(fleet.nodes.values())
    taken_s = time_until(
        fleet,
        lambda: all(one.core.view.config.revision > revision for one in nodes),
    )
    print(
        f"{size} nodes note in force everywhere after {taken_s:.2f} s "
        f"({taken_s / 0.5:.1f} rounds), {fleet.platform.calls} platform calls, "
        f"{fleet.bytes / size:.0f} B sent a node"
    )


def measure_change(fleet, size):
    victim = list(fleet.nodes.values())[size // 2]
    fleet.reset()
    fleet.inject(victim, DrainRequested())
    taken_s = time_until(
        fleet,
        lambda: all(one is MemberState.LEAVING for one in states(fleet, victim.name)),
    )
    print(f"{size} nodes leaving known everywhere after {taken_s:.2f} s")
    fleet.kill(victim)


def measure_loss(fleet, size, how):
    victim = list(fleet.nodes.values())[size // 3]
    fleet.reset()
    (fleet.kill if how == "killed" else fleet.pause)(victim)
    none_alive = time_until(
        fleet,
        lambda: MemberState.ALIVE not in set(states(fleet, victim.name)),
    )
    gone = time_until(
        fleet, lambda: set(states(fleet, victim.name)) == {MemberState.DEAD}
    )
    print(
        f"{size} nodes, one {how}: doubted by all after {none_alive:.2f} s, dead at "
        f"all after {none_alive + gone:.2f} s, "
        f"{fleet.bytes / size / (none_alive + gone):.0f} B/s sent a node; "
        f"falsely doubted {raised(fleet)}"
    )
    if how == "paused":
        fleet.resume(victim)
        back = time_until(
            fleet, lambda: set(states(fleet, victim.name)) == {MemberState.ALIVE}
        )
        print(f"{size} nodes, resumed one alive at all after {back:.2f} s")


def main(sizes):
    for size in sizes:
        fleet = start_fleet(size)
        measure_quiet(fleet, size)
        measure_note(fleet, size)
        measure_note(fleet, size)
        measure_loss(fleet, size, "paused")
        measure_loss(fleet, size, "killed")
        measure_change(fleet, size)


if __name__ == "__main__":
    main([int(one) for one in argv[1:]] or [8, 32, 128])
