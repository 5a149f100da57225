"""Factories that choose the variant of each decision by the settings."""

from collections.abc import Callable
from importlib import import_module
from random import Random

from monsoonmill.codec import ConfigCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.admission import Admission, AdmitAll
from monsoonmill.decisions.admission.entry_limit import (
    AdaptiveEntryLimit,
    ChainEntryLimit,
    EntryLimit,
    NoEntryLimit,
    ObjectivesEntryLimit,
)
from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.decisions.admission.thread_limit import (
    ReservedThreadLimit,
    ThreadLimit,
    UnlimitedThreads,
)
from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.calls.contexts import Contexts, ContextTable, NoContexts
from monsoonmill.decisions.claims.claims import Claims, NoClaims
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.health.health import AllHealthy, Health
from monsoonmill.decisions.health.passive import PassiveHealth
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.poison.guard import FleetPoisonGuard
from monsoonmill.decisions.poison.poison import NoPoison, PoisonGuard
from monsoonmill.decisions.quota.quota import Quota, UnlimitedQuota
from monsoonmill.decisions.routing.pace_placement import ObjectivesPlacement
from monsoonmill.decisions.routing.router import PlacementPolicy, RegionPlacement
from monsoonmill.settings import Settings

BOUNDED_QUOTAS = {
    "escrow": ("quota.escrow", "EscrowQuota"),
    "fixed-slices": ("quota.variants", "FixedSlicesQuota"),
    "single-holder": ("quota.variants", "SingleHolderQuota"),
}
"""Module and class of each quota variant that divides rates into slices."""


def load_variant(module: str, name: str) -> type:
    """Import a variant and return its class.

    Variants are imported on demand, so that those that a node does not use cost
    neither start-up time nor memory.
    """
    return getattr(import_module(f"monsoonmill.decisions.{module}"), name)


def make_quota(
    cfg: Settings,
    members: Membership,
    view: ConfigView,
    rng: Random,
    counters: Counters,
) -> Quota:
    """Return the decision that grants rate-limit tokens."""
    name = cfg.policy.quota
    if name == "unlimited":
        return UnlimitedQuota()
    if name == "replicated":
        variant = load_variant("quota.replicated", "ReplicatedQuota")
        exchange = load_variant("quota.report_exchange", "ReportExchange")
        return variant(cfg.quota, members, view, counters, exchange(cfg.quota, members))
    dependencies = load_variant("quota.rate_limiting", "QuotaDependencies")
    variant = load_variant(*BOUNDED_QUOTAS[name])
    return variant(dependencies(cfg.quota, members, view, rng, counters))


def make_claims(
    cfg: Settings,
    members: Membership,
    codec: ConfigCodec,
    rng: Random,
    counters: Counters,
) -> Claims:
    """Return the decision that grants claims."""
    if cfg.policy.claims == "paired":
        variant = load_variant("claims.paired", "PairedClaims")
        return variant(cfg, members, codec, rng, counters)
    if cfg.policy.claims == "single-home":
        variant = load_variant("claims.single", "SingleHomeClaims")
        return variant(cfg, members, rng, counters)
    return NoClaims()


def make_admission(cfg: Settings, counters: Counters | None = None) -> Admission:
    """Return the decision that grants slots."""
    if cfg.policy.admission == "all":
        return AdmitAll()
    if cfg.policy.admission == "slots":
        return QueuedAdmission.with_announced_slots(cfg.admission, counters)
    if cfg.policy.admission == "fixed":
        return QueuedAdmission.fixed(cfg.admission, counters)
    return QueuedAdmission.adaptive(cfg.admission, counters)


def make_placement(cfg: Settings) -> PlacementPolicy:
    """Return the policy that chooses among the nodes that would admit a call."""
    if cfg.policy.placing == "data-centre":
        return ObjectivesPlacement()
    return RegionPlacement()


def make_contexts(cfg: Settings, make_token: Callable[[], str]) -> Contexts:
    """Return the contexts that link nested calls to the calls that make them."""
    if cfg.policy.contexts == "none":
        return NoContexts()
    return ContextTable(make_token)


def make_entry_limit(
    cfg: Settings, rng: Random, authorization: Authorization, counters: Counters
) -> EntryLimit:
    """Return the limit on the calls that begin a chain."""
    if cfg.policy.entry == "none":
        return NoEntryLimit()
    adaptive = AdaptiveEntryLimit(rng)
    if cfg.policy.entry == "adaptive":
        return adaptive
    return ObjectivesEntryLimit(
        adaptive,
        ChainEntryLimit(rng, counters),
        lambda: authorization.has_mixed_objectives,
    )


def make_thread_limit(cfg: Settings) -> ThreadLimit:
    """Return the bound on the calls in progress at this node."""
    if cfg.policy.front_door == "open":
        return UnlimitedThreads()
    return ReservedThreadLimit(cfg.http)


def make_health(cfg: Settings, members: Membership, counters: Counters) -> Health:
    """Return the decision that tracks the health of other nodes."""
    if cfg.policy.health == "none":
        return AllHealthy()
    return PassiveHealth(cfg.health, members, counters)


def make_poison(cfg: Settings, members: Membership, counters: Counters) -> PoisonGuard:
    """Return the decision that detects requests that crash backend servers."""
    if cfg.policy.poison == "none":
        return NoPoison()
    return FleetPoisonGuard(cfg.poison, members, counters)
