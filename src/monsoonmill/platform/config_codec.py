"""Decoder of the configuration that operators store on the platform.

Each entry is decoded on its own: an entry that cannot be used is logged and left out,
and an odd field of an entry gets the strictest value where there is one.
"""

from collections.abc import Callable, Iterable, Iterator
from hashlib import sha256
from typing import Annotated, TypeVar

from msgspec import Meta, Raw

from monsoonmill.claim_records import ClaimMap
from monsoonmill.codec import ConfigCodec
from monsoonmill.errors import MalformedMessageError
from monsoonmill.eventlog import get_logger
from monsoonmill.model import (
    Config,
    Key,
    Organisation,
    Route,
    Service,
    ServiceShare,
)
from monsoonmill.notes import digest_key
from monsoonmill.outside_data import MAX_INTEGER, Name, RawObject
from monsoonmill.platform.durations import parse_ms
from monsoonmill.reasons import Importance

IDEMPOTENT_ROUTE_TYPES = ("idempotent", "download")
NON_IDEMPOTENT_ROUTE_TYPES = ("non_idempotent", "upload")
KEY_NAME_CHARS = 16
NO_REGIONS = ("(none)",)
"""Allowed regions that no host is in."""
LOWEST_PRIORITY = int(Importance.CRITICAL)
MAX_ATTEMPTS = 1000
MAX_RATE = 1e9
"""Upper bound of rates, bursts and weights; keeps sums of them finite."""

Version = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Attempts = Annotated[int, Meta(ge=0, le=MAX_ATTEMPTS)]
PathPrefix = Annotated[str, Meta(pattern="^/(.*/)?$", max_length=4096)]

Built = TypeVar("Built")

log = get_logger("config")


class StoredConfigCodec(ConfigCodec):
    """Decodes the operators' configuration; nodes never write it."""

    is_read_only = True

    def encode(self, config: Config) -> bytes:
        """Raise an error, since only operators write the configuration."""
        raise MalformedMessageError("only operators may write the configuration")

    def decode(self, data: bytes) -> Config:
        """Return the configuration that a stored document describes."""
        return _build_config(RawObject(data, "configuration"))

    def encode_claim_map(self, claim_map: ClaimMap) -> bytes:
        """Raise an error, since requests here carry no keys that need claims."""
        raise MalformedMessageError("claims are not supported on this platform")

    def decode_claim_map(self, data: bytes) -> ClaimMap:
        """Raise an error, since requests here carry no keys that need claims."""
        raise MalformedMessageError("claims are not supported on this platform")


def _build_config(doc: RawObject) -> Config:
    version = doc.require("version", Version)
    listeners = doc.require("listeners", list[Raw])
    clusters = doc.require("clusters", list[Raw])
    # Without its tenants a configuration would refuse all their callers.
    tenants = doc.require("tenants", list[Raw]) if doc.has("tenants") else []
    services = _build_usable("service", _build_service, clusters)
    routes = _build_usable("listener", _build_routes, listeners)
    organisations, keys = {}, {}
    ambiguous_keys = set()
    for organisation, own_keys in _build_usable("tenant", _build_tenant, tenants):
        organisations[organisation.name] = organisation
        for key in own_keys:
            if keys.setdefault(key.name, key).organisation != organisation.name:
                ambiguous_keys.add(key.name)
    for name in ambiguous_keys:
        log.warning("entry_left_out", entry="key", error="two tenants have the key")
        del keys[name]
    return Config(
        revision=version,
        organisations=organisations,
        keys=keys,
        services={service.name: service for service in services},
        routes={route.name: route for built in routes for route in built},
    )


def _build_usable(
    label: str, build: Callable[[RawObject], Built], entries: Iterable[Raw]
) -> Iterator[Built]:
    """Yield what the usable entries of a list describe; log the others."""
    for index, raw in enumerate(entries):
        try:
            yield build(RawObject(raw, f"{label} {index}"))
        except MalformedMessageError as exc:
            log.warning("entry_left_out", entry=f"{label} {index}", error=str(exc))


def _build_service(doc):
    return Service(
        doc.require("name", Name),
        cold_start_ms=_parse_duration_ms(doc, "cold_start"),
        cold_per_s=doc.get("cold_per_s", Rate | None, None, None) or 0.0,
    )


def _build_tenant(doc):
    """Return a tenant's organisation and keys.

    A tenant whose rate or burst cannot be read is not usable, since it would have
    no limit.
    """
    name = doc.require("name", Name)
    rate = doc.require("rate_per_s", Rate) if doc.has("rate_per_s") else 0.0
    burst = doc.require("burst", Rate) if doc.has("burst") else 0.0
    priority = doc.get("priority", int | None, None, LOWEST_PRIORITY)
    importance = None if priority is None else importance_of(priority)
    secrets = doc.get_items("api_keys", Name)
    regions = _parse_regions(doc)
    return Organisation(name, rate, burst, importance, regions), tuple(
        Key(_name_key(secret), name, digest_key(secret)) for secret in secrets
    )


def _name_key(secret):
    return sha256(secret.encode()).hexdigest()[:KEY_NAME_CHARS]


def _build_routes(listener: RawObject) -> list[Route]:
    host = listener.require("host", Name).lower()
    rules = listener.require("rules", list[Raw])
    label = f"rule of {host}"
    return list(_build_usable(label, lambda rule: _build_route(host, rule), rules))


def _build_route(virtual_host: str, rule: RawObject) -> Route:
    action = RawObject(rule.require("action", Raw), f"{rule.label}: action")
    match = RawObject(rule.require("match", Raw), f"{rule.label}: match")
    # "match" has only a path prefix, no pattern.
    path = match.require("path_prefix", PathPrefix)
    route_type = rule.get("route_type", str, "", "")
    if route_type not in IDEMPOTENT_ROUTE_TYPES + NON_IDEMPOTENT_ROUTE_TYPES:
        log.warning("unknown_route_type", route=f"{virtual_host}{path}")
    is_idempotent = route_type in IDEMPOTENT_ROUTE_TYPES
    shares = tuple(_build_usable("share", _build_share, _find_shares(action)))
    service = action.get("service", Name | None, None, None)
    if service is None and not shares:
        raise MalformedMessageError("the rule names no service")
    is_public = rule.get("public", bool, False, False)
    importance = importance_of(rule.get("priority", int, 0, LOWEST_PRIORITY))
    if is_public:
        importance = max(importance, Importance.INTERACTIVE)
    return Route(
        name=f"{virtual_host}{path}",
        service=service or shares[0].service,
        path=path,
        importance=importance,
        idempotent=is_idempotent,
        at_most_once=not is_idempotent,
        open=is_public,
        virtual_host=virtual_host,
        shares=shares,
        timeout_ms=_parse_duration_ms(action, "timeout"),
        max_attempts=action.get("max_attempts", Attempts, 0, 1),
        aim_ms=_parse_duration_ms(rule, "aim"),
        allowed_regions=_parse_regions(action),
    )


def _find_shares(action):
    return action.get("traffic_split", list[Raw] | None, None, None) or ()


def _build_share(doc):
    return ServiceShare(doc.require("service", Name), doc.require("weight", Rate))


def _parse_regions(doc: RawObject) -> tuple[str, ...]:
    """Return the regions to which an entry is limited; empty for no limit.

    A list that cannot be read allows no region. Without the entry its calls would match
    a shorter prefix, which may have no limit.
    """
    regions = doc.get("allowed_regions", list[Name] | None, None, list(NO_REGIONS))
    return tuple(regions or ())


def _parse_duration_ms(doc: RawObject, name: str) -> int:
    """Return a duration of an entry; 0 for none."""
    text = doc.get(name, str | None, None, None)
    if not text:
        return 0
    try:
        return int(parse_ms(text))
    except MalformedMessageError as exc:
        log.warning("field_replaced", error=f"{doc.label}: {exc}", value="0")
        return 0


def importance_of(priority: int) -> Importance:
    """Return the importance of a priority, where 0 is the highest priority."""
    return Importance(
        min(max(Importance.CRITICAL - priority, Importance.NORMAL), Importance.CRITICAL)
    )
