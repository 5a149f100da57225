"""Measures claims on a fleet of decisions without sockets.

Run with ``python -m tests.trials.claims_trial``; times are virtual.
"""

from collections import Counter
from random import Random

from attrs import define, field
from fire import Fire

from monsoonmill import claim_messages
from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.signals import PlatformRead, PlatformSwap, Send
from monsoonmill.reasons import Outcome
from tests.claims_fleet import ClaimsFleet

CLAIM_TYPES = tuple(
    value
    for value in vars(claim_messages).values()
    if isinstance(value, type) and value.__module__ == claim_messages.__name__
)
SETTINGS = {
    "partitions": 64,
    "retention_s": 900,
    "confirm_s": 1800,
    "lost_s": 60,
    "max_entries": 200_000,
}
RESEND_S = 1.0
TRIES = 12
ANSWER_LIMIT_S = 4.0
LOST_SHARE = 0.2
"""Share of the good answers that don't reach their caller, which sends again."""


@define
class Pledge:
    """One key and what its caller has heard so far."""

    key: str
    sent_at: float
    tries: int = 0
    done_at: float | None = None
    answers: list = field(factory=list)


class TrialFleet(ClaimsFleet):
    """Sends each key again until its caller hears that it is done."""

    def __init__(self, size, policy, seed):
        self.messages = Counter()
        self.platform_calls = Counter()
        self.pledges = []
        self.waiting = {}
        self.rng = Random(seed)
        super().__init__(size, policy, SETTINGS, seed=seed)

    def begin(self, count, per_s):
        """Hand in new keys at a steady rate."""
        for number in range(count):
            pledge = Pledge(f"p{len(self.pledges)}", self.now + number / per_s)
            self.pledges.append(pledge)
            self.schedule(number / per_s, lambda one=pledge: self.send(one))

    def send(self, pledge):
        pledge.tries += 1
        open_nodes = [one for one in self.nodes.values() if not self.is_closing(one)]
        node = self.rng.choice(open_nodes)
        name = self.pledge(node, pledge.key)
        self.waiting[name] = pledge
        if name in node.answers:
            self.take(node.answers[name])
        # A caller whose node dies sees its connection break.
        self.schedule(ANSWER_LIMIT_S, lambda: self.end(name, "no-answer"))

    def is_closing(self, node):
        return node.core.draining.status()["state"] != "serving"

    def _carry_out(self, node, signal):
        if isinstance(signal, Send) and isinstance(signal.message, CLAIM_TYPES):
            self.messages[type(signal.message).__name__] += 1
        if isinstance(signal, PlatformRead | PlatformSwap) and "claims" in signal.key:
            self.platform_calls[type(signal).__name__] += 1
        super()._carry_out(node, signal)
        if isinstance(signal, Answer):
            self.take(signal)

    def take(self, answer):
        is_done = answer.outcome is Outcome.DONE
        reason = answer.reason.value if answer.reason else ""
        self.end(answer.call, "done" if is_done else f"{reason}/{answer.outcome.value}")

    def end(self, name, why):
        pledge = self.waiting.pop(name, None)
        if pledge is None:
            return
        pledge.answers.append(why)
        is_lost = why == "done" and self.rng.random() < LOST_SHARE
        if why == "done" and not is_lost:
            pledge.done_at = self.now
        elif pledge.tries < TRIES:
            self.schedule(RESEND_S, lambda: self.send(pledge))

    def report(self):
        """Return what became of all keys."""
        answers = Counter(why for one in self.pledges for why in one.answers)
        late = sorted(one.done_at - one.sent_at for one in self.pledges if one.done_at)
        twice = sum(len(runs) > 1 for runs in self.runs.values())
        return {
            "keys": len(self.pledges),
            "done": len(late),
            "ran_twice": twice,
            "never_ran": sum(not self.runs[one.key] for one in self.pledges),
            "slower_than_1s": sum(one > 1 for one in late),
            "p99_ms": round(late[int(len(late) * 0.99)] * 1000) if late else None,
            "max_s": round(late[-1], 2) if late else None,
            "messages_per_key": round(
                sum(self.messages.values()) / max(len(self.pledges), 1), 2
            ),
            "answers": dict(answers.most_common()),
        }


def start(size, policy, seed):
    fleet = TrialFleet(size, policy, seed)
    if policy == "paired":
        fleet.advance_until(fleet.is_settled, 120)
    fleet.advance(15)
    fleet.messages.clear()
    return fleet


def steady(fleet):
    fleet.begin(2000, 200)
    fleet.advance(20)


def kill_one(fleet):
    fleet.begin(4000, 200)
    fleet.advance(5)
    fleet.kill(fleet.rng.choice(list(fleet.nodes.values())))
    fleet.advance(45)


def kill_two_at_once(fleet):
    fleet.begin(4000, 200)
    fleet.advance(5)
    for node in fleet.rng.sample(list(fleet.nodes.values()), 2):
        fleet.kill(node)
    fleet.advance(45)


def isolate_one(fleet):
    fleet.begin(6000, 200)
    fleet.advance(5)
    lone = fleet.rng.choice(list(fleet.nodes))
    fleet.cut_links |= {frozenset((lone, one)) for one in fleet.nodes if one != lone}
    fleet.advance(15)
    fleet.cut_links.clear()
    fleet.advance(40)


def rolling(fleet):
    nodes = list(fleet.nodes.values())
    fleet.begin(len(nodes) * 200 * 8, 200)
    for number, node in enumerate(nodes):
        fleet.add_server(port=20_000 + number)
        fleet.advance(3)
        fleet.inject(node, DrainRequested())
        fleet.advance_until(lambda node=node: node.drained, 20)
        fleet.kill(node)
    fleet.advance(60)


def outage(fleet):
    fleet.platform.is_down = True
    fleet.begin(4000, 200)
    fleet.advance(25)
    fleet.platform.is_down = False
    fleet.advance(20)


def outage_and_kill(fleet):
    fleet.platform.is_down = True
    fleet.begin(4000, 200)
    fleet.advance(5)
    fleet.kill(fleet.rng.choice(list(fleet.nodes.values())))
    fleet.advance(30)
    fleet.platform.is_down = False
    fleet.advance(30)


HISTORIES = (
    steady,
    kill_one,
    kill_two_at_once,
    isolate_one,
    rolling,
    outage,
    outage_and_kill,
)


def outcomes(size=8, seed=1, policies=("paired", "single-home", "none"), only=""):
    """Print what callers hear in each history, for each variant."""
    for history in HISTORIES:
        if only and history.__name__ not in only:
            continue
        for policy in policies:
            fleet = start(size, policy, seed)
            history(fleet)
            print(f"{history.__name__} {policy} seed={seed}: {fleet.report()}")


def platform(sizes=(8, 32, 128), seed=1, rest_s=30, quiet_s=60, after_s=20):
    """Print the platform calls for claims as the fleet grows."""
    for size in sizes:
        fleet = TrialFleet(size, "paired", seed)
        is_settled = fleet.advance_until(fleet.is_settled, 120, 1.0)
        begin = dict(fleet.platform_calls)
        fleet.advance(rest_s)
        fleet.platform_calls.clear()
        fleet.advance(quiet_s)
        quiet = dict(fleet.platform_calls)
        fleet.platform_calls.clear()
        fleet.kill(fleet.rng.choice(list(fleet.nodes.values())))
        fleet.advance(after_s)
        killed = dict(fleet.platform_calls)
        print(
            f"size={size} seed={seed} settled={is_settled} start={begin} "
            f"quiet_{quiet_s}s={quiet} {after_s}s_after_kill={killed}"
        )


if __name__ == "__main__":
    Fire({"outcomes": outcomes, "platform": platform})
