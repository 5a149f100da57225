"""Measures the quota variants in a fake fleet: ``python -m tests.quota_trial``.

``refusals`` prints wrongly denied calls by variant and demand, ``faults`` the same
during a fault, and ``messages`` the quota messages that a node sends, by the size
of the fleet.
"""

from collections import Counter
from random import Random

from fire import Fire

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.decisions.members.rendezvous import first_member
from monsoonmill.messages import PEER_MESSAGES
from monsoonmill.quota_messages import (
    Loan,
    LoanRequest,
    LoanReturn,
    TokenGrant,
    TokenRequest,
    TokenReturn,
)
from tests.quota_fleet import QuotaFleet

ORGANISATIONS = tuple(f"branch-{number}" for number in range(8))
QUOTA_MESSAGES = (TokenRequest, TokenGrant, TokenReturn, LoanRequest, Loan, LoanReturn)
POLICIES = ("escrow", "fixed-slices", "single-holder")
RATE_SHARE = 0.9
STEP_S = 0.01
WARM_UP_S = 8.0
MOVE_INTERVAL_S = 5.0


class CountingFleet(QuotaFleet):
    """Counts the quota messages between nodes."""

    def __init__(self, **options):
        super().__init__(**options)
        self.codec = MsgpackCodec(PEER_MESSAGES)
        self.sent = 0
        self.sent_bytes = 0

    def _send(self, node, signal):
        if isinstance(signal.message, QUOTA_MESSAGES):
            self.sent += 1
            self.sent_bytes += len(self.codec.encode(signal.message))
        super()._send(node, signal)


def choose_random_node(nodes, rng, now):
    return rng.choice(nodes)


def choose_first_node(nodes, rng, now):
    return nodes[0]


def choose_rotating_node(nodes, rng, now):
    return nodes[int(now / MOVE_INTERVAL_S) % len(nodes)]


DEMANDS = {
    "even": (choose_random_node, 1.0),
    "one-node": (choose_first_node, 1.0),
    "moving": (choose_rotating_node, 1.0),
    "one-at-5x": (choose_random_node, 5.0 / RATE_SHARE),
}


def make_fleet(policy, size, rate, burst, seed):
    sections = {"policy": {"quota": policy}}
    fleet = CountingFleet(
        rate=rate, burst=burst, names=ORGANISATIONS, seed=seed, **sections
    )
    nodes = [fleet.add() for _ in range(size)]
    fleet.advance(WARM_UP_S)
    return fleet, nodes


def slow_down_links(fleet, nodes):
    fleet.latency_s = 0.03


def kill_largest_holder(fleet, nodes):
    """Kill the node that is the token holder of most organisations."""

    def kill():
        members = list(nodes[0].core.members.members())
        holders = Counter(first_member(name, members).node for name in ORGANISATIONS)
        node = fleet.nodes[holders.most_common(1)[0][0]]
        nodes.remove(node)
        fleet.kill(node)

    fleet.schedule(5.0, kill)


def restart_one_by_one(fleet, nodes):
    def restart(number):
        nodes[number] = fleet.restart(nodes[number])

    for number in range(len(nodes)):
        fleet.schedule(2.0 * (number + 1), lambda number=number: restart(number))


FAULTS = {
    "30-ms-links": slow_down_links,
    "holder-killed": kill_largest_holder,
    "restarts": restart_one_by_one,
}


def run(fleet, nodes, rate, choose_node, first_factor, seconds, seed):
    """Generate calls of all organisations as Poisson processes."""
    rng = Random(seed)
    for organisation in ORGANISATIONS:
        factor = first_factor if organisation == ORGANISATIONS[0] else 1.0
        mean_s = 1 / (rate * RATE_SHARE * factor)
        schedule_calls(
            fleet, nodes, organisation, mean_s, choose_node, rng, fleet.now + seconds
        )
    fleet.advance(seconds + 0.5)


def schedule_calls(fleet, nodes, organisation, mean_s, choose_node, rng, end):
    def arrive():
        fleet.request_tokens(choose_node(nodes, rng, fleet.now), organisation)
        schedule_next()

    def schedule_next():
        delay_s = rng.expovariate(1 / mean_s)
        if fleet.now + delay_s < end:
            fleet.schedule(delay_s, arrive)

    schedule_next()


def refusals(seconds=20, size=8, rate=50.0, burst=50.0, seed=1, policies=POLICIES):
    print(
        "policy demand calls denied wrong wrong% granted/rate% served-min% msgs/s/node"
    )
    for policy in policies:
        for demand, (choose_node, factor) in DEMANDS.items():
            fleet, nodes = make_fleet(policy, size, rate, burst, seed)
            run(fleet, nodes, rate, choose_node, factor, seconds, seed)
            within_rate = ORGANISATIONS[1:] if factor > 1 else ORGANISATIONS
            calls = {n: fleet.granted[n] + fleet.denied[n] for n in ORGANISATIONS}
            total = sum(calls.values())
            wrongly_denied = sum(fleet.wrongly_denied[name] for name in within_rate)
            wrong_share = wrongly_denied / sum(calls[name] for name in within_rate)
            min_served = min(fleet.granted[n] / calls[n] for n in within_rate)
            granted = fleet.granted[ORGANISATIONS[0]] / (rate * seconds + burst)
            print(
                f"{policy:14} {demand:10} {total:6} {sum(fleet.denied.values()):6} "
                f"{wrongly_denied:6} {wrong_share:8.3%} {granted:8.1%} "
                f"{min_served:8.2%} {fleet.sent / size / seconds:8.1f}",
                flush=True,
            )


def faults(
    seconds=20, size=8, rate=50.0, burst=50.0, share=0.5, seed=1, policies=POLICIES
):
    print(f"even demand at {share:.0%} of the rate")
    print("policy fault calls denied wrong wrong% served-min%")
    for policy in policies:
        for name, fault in FAULTS.items():
            fleet, nodes = make_fleet(policy, size, rate, burst, seed)
            fault(fleet, nodes)
            run(
                fleet,
                nodes,
                rate * share / RATE_SHARE,
                choose_random_node,
                1.0,
                seconds,
                seed,
            )
            calls = {n: fleet.granted[n] + fleet.denied[n] for n in ORGANISATIONS}
            total, wrongly_denied = (
                sum(calls.values()),
                sum(fleet.wrongly_denied.values()),
            )
            min_served = min(fleet.granted[n] / calls[n] for n in ORGANISATIONS)
            print(
                f"{policy:14} {name:13} {total:6} {sum(fleet.denied.values()):6} "
                f"{wrongly_denied:6} {wrongly_denied / total:8.3%} {min_served:8.2%}",
                flush=True,
            )


def messages(sizes=(8, 32, 128), seconds=4, rate_per_node=2.5, seed=1):
    print("nodes msgs/s/node bytes/s/node platform-calls/node denied wrong calls")
    for size in sizes:
        rate = rate_per_node * size
        fleet, nodes = make_fleet("escrow", size, rate, rate, seed)
        fleet.sent = fleet.sent_bytes = 0
        run(fleet, nodes, rate, choose_random_node, 1.0, seconds, seed)
        scale = 1 / size / seconds
        granted, denied = sum(fleet.granted.values()), sum(fleet.denied.values())
        print(
            f"{size:5} {fleet.sent * scale:10.1f} {fleet.sent_bytes * scale:12.0f} "
            f"{fleet.platform.calls / size:10.1f} {denied:6} "
            f"{sum(fleet.wrongly_denied.values()):6} {granted + denied:6}",
            flush=True,
        )


if __name__ == "__main__":
    Fire({"refusals": refusals, "faults": faults, "messages": messages})
