"""A fake fleet that wants tokens, and the oracle that counts them."""

from itertools import count
from random import Random

from attrs import evolve

from monsoonmill.decisions.quota.signals import (
    TokenDenied,
    TokenGranted,
    TokenRequested,
)
from monsoonmill.model import Config, Organisation
from tests.fleet import FakeFleet

FAST_TERMS = {
    "slices": 8,
    "slice_lease_s": 20,
    "loan_term_ms": 2000,
    "grant_term_ms": 400,
    "park_ms": 250,
}
LEEWAY = 1e-6
IN_FLIGHT_S = 0.5
"""Longest time that tokens granted under an older configuration live."""


class OverRateError(AssertionError):
    """An organisation got more than its rate and burst."""


class Oracle:
    """One bucket for the whole fleet: it must never lack a token that was given."""

    def __init__(self, rate, burst, now):
        self.limits = [(rate, burst, float("inf"))]
        self.level = burst
        self.at = now
        self.given = 0

    def fill(self, now):
        rate = max(one[0] for one in self.limits)
        burst = max(one[1] for one in self.limits)
        self.level = min(self.level + rate * (now - self.at), burst)
        self.at = now
        self.limits = [one for one in self.limits if one[2] > now]

    def change(self, rate, burst, now):
        self.fill(now)
        self.limits.append((rate, burst, float("inf")))

    def settle(self, now):
        """Let all limits but the newest end once nobody can act on them."""
        old = [(one[0], one[1], now + IN_FLIGHT_S) for one in self.limits[:-1]]
        keep = [one for one in self.limits[:-1] if one[2] < float("inf")]
        self.limits = [*(keep or old), self.limits[-1]]

    def take(self, now):
        self.fill(now)
        self.level -= 1
        self.given += 1
        if self.level < -LEEWAY:
            raise OverRateError(f"{-self.level:.3f} tokens too many at {now:.3f}")

    def has_token(self, now):
        self.fill(now)
        return self.level >= 1


class QuotaFleet(FakeFleet):
    """Fleet whose calls are mere wishes for tokens; nodes can be paused."""

    def __init__(self, rate=20.0, burst=10.0, names=("branch",), seed=1, **sections):
        super().__init__(seed=seed, **sections)
        self.rng = Random(seed)
        self.paused = {}
        self.calls = count(1)
        self.organisation_of = {}
        self.given = dict.fromkeys(names, 0)
        self.denied = dict.fromkeys(names, 0)
        self.unjust = dict.fromkeys(names, 0)
        self.oracles = {name: Oracle(rate, burst, self.now) for name in names}
        self.config = Config(
            revision=1,
            organisations={name: Organisation(name, rate, burst) for name in names},
        )
        self.install(self.config)

    def add(self, *args, **fields):
        node = super().add(*args, **fields)
        handlers = node.core._bus._handlers
        # No calls stand behind these wishes, so the node's calls hear of no ends.
        handlers[TokenGranted] = [self.on_given]
        handlers[TokenDenied] = [self.on_denied]
        return node

    def want(self, node, organisation="branch", calls=1, timeout_s=10.0):
        for _ in range(calls):
            name = f"call-{next(self.calls)}"
            self.organisation_of[name] = organisation
            wanted = TokenRequested(name, organisation, self.now + timeout_s)
            self.inject(node, wanted)

    def on_given(self, signal, now):
        name = self.organisation_of.pop(signal.call)
        self.given[name] += 1
        self.settle_limits()
        self.oracles[name].take(self.now)
        return ()

    def on_denied(self, signal, now):
        name = self.organisation_of.pop(signal.call)
        self.denied[name] += 1
        self.unjust[name] += self.oracles[name].has_token(self.now)
        return ()

    def change_rate(self, rate, burst, organisation="branch"):
        changed = Organisation(organisation, rate, burst)
        self.config = evolve(
            self.config,
            revision=self.config.revision + 1,
            organisations={**self.config.organisations, organisation: changed},
        )
        self.install(self.config)
        self.oracles[organisation].change(rate, burst, self.now)

    def settle_limits(self):
        nodes = [*self.nodes.values(), *self.paused.values()]
        revisions = [node.core.view.config.revision for node in nodes]
        if all(revision in (0, self.config.revision) for revision in revisions):
            for oracle in self.oracles.values():
                oracle.settle(self.now)

    # A paused node is kept apart, so that no rule picks it.
    def pause(self, node):
        super().pause(node)
        self.paused[node.name] = self.nodes.pop(node.name)

    def resume(self, node):
        self.nodes[node.name] = self.paused.pop(node.name)
        super().resume(node)

    def kill(self, node):
        if node.name in self.paused:
            self.nodes[node.name] = self.paused.pop(node.name)
        super().kill(node)

    def restart(self, node):
        self.kill(node)
        self.now += 0.01
        own = node.core.members.own
        return self.add(own.region, own.data_centre, port=node.address.port)

    def _send(self, node, signal):
        paused = self.paused.get(signal.node)
        if paused is not None:
            self.nodes[signal.node] = paused
        super()._send(node, signal)
        if paused is not None:
            del self.nodes[signal.node]

    def cut_off(self, node):
        """Cut all links of a node."""
        for other in self.nodes.values():
            if other is not node:
                self.cut_links.add(frozenset((node.name, other.name)))

    def owned(self):
        return sum(
            node.core.quota.slices.owned_count(self.now) for node in self.nodes.values()
        )

    def drive(self, seconds, rate, choose, organisation="branch", step_s=0.01):
        """Let calls come at a rate, each to the node that ``choose`` returns."""
        end = self.now + seconds
        while self.now < end:
            wanted = rate * step_s
            calls = int(wanted) + (self.rng.random() < wanted % 1)
            for _ in range(calls):
                self.want(choose(self.now), organisation)
            self.advance(step_s)


def make_quota_fleet(size=4, policy="escrow", quota=None, **options):
    """Return a fleet that owns all its slices, with full buckets."""
    sections = {"policy": {"quota": policy}, "quota": quota or FAST_TERMS}
    fleet = QuotaFleet(**{**sections, **options})
    nodes = [fleet.add() for _ in range(size)]
    fleet.advance(3)
    return fleet, nodes
