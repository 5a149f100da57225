"""Choice of the variant of each part of the decisions, by settings."""

from random import Random

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission import Admission, AdmitAll
from monsoonmill.decisions.admission_queued import QueuedAdmission
from monsoonmill.decisions.claims import Claims, NoClaims
from monsoonmill.decisions.configuration import ConfigView
from monsoonmill.decisions.front_door import FrontDoor, OpenDoor, ThreadDoor
from monsoonmill.decisions.health import AllHealthy, Health
from monsoonmill.decisions.membership import Membership
from monsoonmill.decisions.poison import NoPoison, PoisonGuard
from monsoonmill.decisions.quota import Quota, UnlimitedQuota
from monsoonmill.settings import Settings


def make_quota(
    cfg: Settings,
    members: Membership,
    view: ConfigView,
    rng: Random,
    counters: Counters,
) -> Quota:
    """Return the part that gives out tokens."""
    return UnlimitedQuota()


def make_claims(
    cfg: Settings, members: Membership, rng: Random, counters: Counters
) -> Claims:
    """Return the part that gives out claims."""
    return NoClaims()


def make_admission(cfg: Settings) -> Admission:
    """Return the part that gives out slots."""
    if cfg.policy.admission == "all":
        return AdmitAll()
    if cfg.policy.admission == "fixed":
        return QueuedAdmission.fixed(cfg.admission)
    return QueuedAdmission.adaptive(cfg.admission)


def make_front_door(cfg: Settings) -> FrontDoor:
    """Return the bound on the calls in progress at this node."""
    if cfg.policy.front_door == "open":
        return OpenDoor()
    return ThreadDoor(cfg.http)


def make_health(cfg: Settings) -> Health:
    """Return the part that judges other nodes by their answers."""
    return AllHealthy()


def make_poison(cfg: Settings, members: Membership, counters: Counters) -> PoisonGuard:
    """Return the part that recognises requests that crash backend servers."""
    return NoPoison()
