"""A fake fleet that requests tokens, and the oracle that checks the rates."""

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
TOLERANCE_TOKENS = 1e-6
MAX_GRANT_AGE_S = 0.5
"""Longest time until tokens granted under an older configuration expire."""


class OverRateError(AssertionError):
    """An organisation got more than its rate and burst."""


class Oracle:
    """Reference token bucket of the whole fleet; raises if it lacks a granted token."""

    def __init__(self, rate, burst, now):
        # Tuples of rate, burst and time of expiry; the newest limits don't expire.
        self.limits = [(rate, burst, float("inf"))]
        self.level = burst
        self.updated_at = now
        self.granted = 0

    def refill(self, now):
        rate = max(limit[0] for limit in self.limits)
        burst = max(limit[1] for limit in self.limits)
        self.level = min(self.level + rate * (now - self.updated_at), burst)
        self.updated_at = now
        self.limits = [limit for limit in self.limits if limit[2] > now]

    def change_limits(self, rate, burst, now):
        self.refill(now)
        self.limits.append((rate, burst, float("inf")))

    def expire_old_limits(self, now):
        """Let the older limits expire, once no node applies them any more."""
        expiring = [
            (limit[0], limit[1], now + MAX_GRANT_AGE_S) for limit in self.limits[:-1]
        ]
        already_expiring = [
            limit for limit in self.limits[:-1] if limit[2] < float("inf")
        ]
        self.limits = [*(already_expiring or expiring), self.limits[-1]]

    def take(self, now):
        self.refill(now)
        self.level -= 1
        self.granted += 1
        if self.level < -TOLERANCE_TOKENS:
            raise OverRateError(f"{-self.level:.3f} tokens over the limit at {now:.3f}")

    def has_token(self, now):
        self.refill(now)
        return self.level >= 1


class QuotaFleet(FakeFleet):
    """Fleet whose calls only request tokens; nodes can be paused."""

    def __init__(self, rate=20.0, burst=10.0, names=("branch",), seed=1, **sections):
        super().__init__(seed=seed, **sections)
        self.rng = Random(seed)
        self.paused = {}
        self.call_numbers = count(1)
        self.organisation_of = {}
        self.granted = dict.fromkeys(names, 0)
        self.denied = dict.fromkeys(names, 0)
        self.wrongly_denied = dict.fromkeys(names, 0)
        self.oracles = {name: Oracle(rate, burst, self.now) for name in names}
        self.config = Config(
            revision=1,
            organisations={name: Organisation(name, rate, burst) for name in names},
        )
        self.install(self.config)

    def add(self, *args, **fields):
        node = super().add(*args, **fields)
        handlers = node.core._bus._handlers
        # The tokens are requested without calls, so the node's call flow must not
        # get the answers.
        handlers[TokenGranted] = [self.on_granted]
        handlers[TokenDenied] = [self.on_denied]
        return node

    def request_tokens(self, node, organisation="branch", calls=1, timeout_s=10.0):
        for _ in range(calls):
            name = f"call-{next(self.call_numbers)}"
            self.organisation_of[name] = organisation
            requested = TokenRequested(name, organisation, self.now + timeout_s)
            self.inject(node, requested)

    def on_granted(self, signal, now):
        name = self.organisation_of.pop(signal.call)
        self.granted[name] += 1
        self.expire_old_limits()
        self.oracles[name].take(self.now)
        return ()

    def on_denied(self, signal, now):
        name = self.organisation_of.pop(signal.call)
        self.denied[name] += 1
        self.wrongly_denied[name] += self.oracles[name].has_token(self.now)
        return ()

    def change_rate(self, rate, burst, organisation="branch"):
        changed = Organisation(organisation, rate, burst)
        self.config = evolve(
            self.config,
            revision=self.config.revision + 1,
            organisations={**self.config.organisations, organisation: changed},
        )
        self.install(self.config)
        self.oracles[organisation].change_limits(rate, burst, self.now)

    def expire_old_limits(self):
        nodes = [*self.nodes.values(), *self.paused.values()]
        revisions = [node.core.view.config.revision for node in nodes]
        if all(revision in (0, self.config.revision) for revision in revisions):
            for oracle in self.oracles.values():
                oracle.expire_old_limits(self.now)

    # Paused nodes are kept in a separate dict, so that tests don't choose them.
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
        # A paused node's signals are queued, so it must be found as a recipient.
        paused = self.paused.get(signal.node)
        if paused is not None:
            self.nodes[signal.node] = paused
        super()._send(node, signal)
        if paused is not None:
            del self.nodes[signal.node]

    def isolate(self, node):
        """Cut all links of a node."""
        for peer in self.nodes.values():
            if peer is not node:
                self.cut_links.add(frozenset((node.name, peer.name)))

    def owned_count(self):
        return sum(
            node.core.quota.slices.owned_count(self.now) for node in self.nodes.values()
        )

    def drive(self, seconds, rate, choose_node, organisation="branch", step_s=0.01):
        """Request tokens at a rate, each at the node that ``choose_node`` returns."""
        end = self.now + seconds
        while self.now < end:
            expected = rate * step_s
            calls = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(calls):
                self.request_tokens(choose_node(self.now), organisation)
            self.advance(step_s)


def make_quota_fleet(size=4, policy="escrow", quota=None, **options):
    """Return a fleet that owns all its slices, with full buckets."""
    sections = {"policy": {"quota": policy}, "quota": quota or FAST_TERMS}
    fleet = QuotaFleet(**{**sections, **options})
    nodes = [fleet.add() for _ in range(size)]
    fleet.advance(3)
    return fleet, nodes
