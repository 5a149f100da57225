"""Measures the claims policies on a fake fleet without sockets.

Run with ``python -m tests.trials.claims_trial``; times are simulated.
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
RESEND_DELAY_S = 1.0
MAX_TRIES = 12
ANSWER_TIMEOUT_S = 4.0
ANSWER_LOSS_PROBABILITY = 0.2
"""Probability that a successful answer is lost and its caller sends again."""


@define
class KeyedCall:
    """A call with an idempotency key, and the answers that its caller has received."""

    key: str
    sent_at: float
    tries: int = 0
    done_at: float | None = None
    answers: list = field(factory=list)


class TrialFleet(ClaimsFleet):
    """Repeats each call until its caller is told that it is done."""

    def __init__(self, size, policy, seed):
        self.messages = Counter()
        self.platform_calls = Counter()
        self.keyed_calls = []
        self.open_calls = {}
        self.rng = Random(seed)
        super().__init__(size, policy, SETTINGS, seed=seed)

    def start_calls(self, count, per_s):
        """Send calls with new keys at a steady rate."""
        for number in range(count):
            keyed_call = KeyedCall(
                f"p{len(self.keyed_calls)}", self.now + number / per_s
            )
            self.keyed_calls.append(keyed_call)
            self.schedule(number / per_s, lambda call=keyed_call: self.send(call))

    def send(self, keyed_call):
        keyed_call.tries += 1
        serving_nodes = [
            node for node in self.nodes.values() if not self.is_draining(node)
        ]
        node = self.rng.choice(serving_nodes)
        name = self.send_call(node, keyed_call.key)
        self.open_calls[name] = keyed_call
        if name in node.answers:
            self.on_answer(node.answers[name])
        # A caller whose node dies loses its connection.
        self.schedule(ANSWER_TIMEOUT_S, lambda: self.finish_try(name, "no-answer"))

    def is_draining(self, node):
        return node.core.draining.status()["state"] != "serving"

    def _carry_out(self, node, signal):
        if isinstance(signal, Send) and isinstance(signal.message, CLAIM_TYPES):
            self.messages[type(signal.message).__name__] += 1
        if isinstance(signal, PlatformRead | PlatformSwap) and "claims" in signal.key:
            self.platform_calls[type(signal).__name__] += 1
        super()._carry_out(node, signal)
        if isinstance(signal, Answer):
            self.on_answer(signal)

    def on_answer(self, answer):
        is_done = answer.outcome is Outcome.DONE
        reason = answer.reason.value if answer.reason else ""
        self.finish_try(
            answer.call, "done" if is_done else f"{reason}/{answer.outcome.value}"
        )

    def finish_try(self, name, result):
        keyed_call = self.open_calls.pop(name, None)
        if keyed_call is None:
            return
        keyed_call.answers.append(result)
        is_lost = result == "done" and self.rng.random() < ANSWER_LOSS_PROBABILITY
        if result == "done" and not is_lost:
            keyed_call.done_at = self.now
        elif keyed_call.tries < MAX_TRIES:
            self.schedule(RESEND_DELAY_S, lambda: self.send(keyed_call))

    def report(self):
        """Return figures on all keys."""
        answers = Counter(
            result for call in self.keyed_calls for result in call.answers
        )
        latencies = sorted(
            call.done_at - call.sent_at for call in self.keyed_calls if call.done_at
        )
        twice = sum(len(executions) > 1 for executions in self.executions.values())
        return {
            "keys": len(self.keyed_calls),
            "done": len(latencies),
            "ran_twice": twice,
            "never_ran": sum(
                not self.executions[call.key] for call in self.keyed_calls
            ),
            "slower_than_1s": sum(latency > 1 for latency in latencies),
            "p99_ms": round(latencies[int(len(latencies) * 0.99)] * 1000)
            if latencies
            else None,
            "max_s": round(latencies[-1], 2) if latencies else None,
            "messages_per_key": round(
                sum(self.messages.values()) / max(len(self.keyed_calls), 1), 2
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
    fleet.start_calls(2000, 200)
    fleet.advance(20)


def kill_one(fleet):
    fleet.start_calls(4000, 200)
    fleet.advance(5)
    fleet.kill(fleet.rng.choice(list(fleet.nodes.values())))
    fleet.advance(45)


def kill_two_at_once(fleet):
    fleet.start_calls(4000, 200)
    fleet.advance(5)
    for node in fleet.rng.sample(list(fleet.nodes.values()), 2):
        fleet.kill(node)
    fleet.advance(45)


def isolate_one(fleet):
    fleet.start_calls(6000, 200)
    fleet.advance(5)
    isolated = fleet.rng.choice(list(fleet.nodes))
    fleet.cut_links |= {
        frozenset((isolated, node)) for node in fleet.nodes if node != isolated
    }
    fleet.advance(15)
    fleet.cut_links.clear()
    fleet.advance(40)


def rolling(fleet):
    nodes = list(fleet.nodes.values())
    fleet.start_calls(len(nodes) * 200 * 8, 200)
    for number, node in enumerate(nodes):
        fleet.add_host(port=20_000 + number)
        fleet.advance(3)
        fleet.inject(node, DrainRequested())
        fleet.advance_until(lambda node=node: node.drained, 20)
        fleet.kill(node)
    fleet.advance(60)


def outage(fleet):
    fleet.platform.is_down = True
    fleet.start_calls(4000, 200)
    fleet.advance(25)
    fleet.platform.is_down = False
    fleet.advance(20)


def outage_and_kill(fleet):
    fleet.platform.is_down = True
    fleet.start_calls(4000, 200)
    fleet.advance(5)
    fleet.kill(fleet.rng.choice(list(fleet.nodes.values())))
    fleet.advance(30)
    fleet.platform.is_down = False
    fleet.advance(30)


SCENARIOS = (
    steady,
    kill_one,
    kill_two_at_once,
    isolate_one,
    rolling,
    outage,
    outage_and_kill,
)


def outcomes(size=8, seed=1, policies=("paired", "single-home", "none"), only=""):
    """Print the figures of each scenario for each policy."""
    for scenario in SCENARIOS:
        if only and scenario.__name__ not in only:
            continue
        for policy in policies:
            fleet = start(size, policy, seed)
            scenario(fleet)
            print(f"{scenario.__name__} {policy} seed={seed}: {fleet.report()}")


def platform(sizes=(8, 32, 128), seed=1, rest_s=30, quiet_s=60, after_s=20):
    """Print the number of platform calls for claims at several fleet sizes."""
    for size in sizes:
        fleet = TrialFleet(size, "paired", seed)
        is_settled = fleet.advance_until(fleet.is_settled, 120, 1.0)
        at_start = dict(fleet.platform_calls)
        fleet.advance(rest_s)
        fleet.platform_calls.clear()
        fleet.advance(quiet_s)
        quiet = dict(fleet.platform_calls)
        fleet.platform_calls.clear()
        fleet.kill(fleet.rng.choice(list(fleet.nodes.values())))
        fleet.advance(after_s)
        killed = dict(fleet.platform_calls)
        print(
            f"size={size} seed={seed} settled={is_settled} start={at_start} "
            f"quiet_{quiet_s}s={quiet} {after_s}s_after_kill={killed}"
        )


if __name__ == "__main__":
    Fire({"outcomes": outcomes, "platform": platform})
