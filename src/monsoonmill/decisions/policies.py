"""Choice of the variant of each part of the decisions, by settings."""

from random import Random

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission import Admission, AdmitAll
from monsoonmill.decisions.claims import Claims, NoClaims
from monsoonmill.decisions.configuration import ConfigView
from monsoonmill.decisions.health import AllHealthy, Health
from monsoonmill.decisions.membership import Membership
from monsoonmill.decisions.poison import NoPoison, PoisonGuard
from monsoonmill.decisions.quota import Quota, UnlimitedQuota
from monsoonmill.decisions.quota_escrow import EscrowQuota
from monsoonmill.decisions.quota_parking import QuotaParts
from monsoonmill.decisions.quota_variants import FixedSlicesQuota, SingleHolderQuota
from monsoonmill.settings import Settings

BOUNDED_QUOTAS = {
    "escrow": EscrowQuota,
    "fixed-slices": FixedSlicesQuota,
    "single-holder": SingleHolderQuota,
}


def make_quota(
    cfg: Settings,
    members: Membership,
    view: ConfigView,
    rng: Random,
    counters: Counters,
) -> Quota:
    """Return the part that gives out tokens."""
    name = cfg.policy.quota
    if name == "unlimited":
        return UnlimitedQuota()
    return BOUNDED_QUOTAS[name](QuotaParts(cfg.quota, members, view, rng, counters))


def make_claims(
    cfg: Settings, members: Membership, rng: Random, counters: Counters
) -> Claims:
    """Return the part that gives out claims."""
    return NoClaims()


def make_admission(cfg: Settings) -> Admission:
    """Return the part that gives out slots."""
    return AdmitAll()


def make_health(cfg: Settings) -> Health:
    """Return the part that judges other nodes by their answers."""
    return AllHealthy()


def make_poison(cfg: Settings, members: Membership, counters: Counters) -> PoisonGuard:
    """Return the part that recognises requests that crash backend servers."""
    return NoPoison()
