"""Decoder of the configuration that operators store on the platform."""

from collections.abc import Iterator
from hashlib import sha256
from json import loads

from monsoonmill.claim_records import ClaimMap
from monsoonmill.codec import ConfigCodec
from monsoonmill.errors import MalformedMessageError
from monsoonmill.model import (
    Config,
    Key,
    Organisation,
    Route,
    Service,
    ServiceShare,
)
from monsoonmill.notes import digest_key
from monsoonmill.platform.durations import parse_ms
from monsoonmill.reasons import Importance

IDEMPOTENT_ROUTE_TYPES = ("idempotent", "download")
NON_IDEMPOTENT_ROUTE_TYPES = ("non_idempotent",)
KEY_NAME_CHARS = 16


class StoredConfigCodec(ConfigCodec):
    """Decodes the operators' configuration; nodes never write it."""

    def encode(self, config: Config) -> bytes:
        """Raise an error, since only operators write the configuration."""
        raise MalformedMessageError("only operators may write the configuration")

    def decode(self, data: bytes) -> Config:
        """Return the configuration that a stored document describes."""
        try:
            return _build_config(loads(data))
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise MalformedMessageError(f"malformed configuration: {exc!r}") from exc

    def encode_claim_map(self, claim_map: ClaimMap) -> bytes:
        """Raise an error, since requests here carry no keys that need claims."""
        raise MalformedMessageError("claims are not supported on this platform")

    def decode_claim_map(self, data: bytes) -> ClaimMap:
        """Raise an error, since requests here carry no keys that need claims."""
        raise MalformedMessageError("claims are not supported on this platform")


def _build_config(doc) -> Config:
    version = doc["version"]
    if type(version) is not int or version < 1:
        raise MalformedMessageError("the version must be a positive integer")
    services = {
        cluster["name"]: Service(cluster["name"]) for cluster in doc["clusters"]
    }
    organisations, keys = {}, {}
    for tenant in doc.get("tenants", ()):
        organisation = _build_organisation(tenant)
        organisations[organisation.name] = organisation
        keys.update({key.name: key for key in _build_keys(tenant)})
    routes = {route.name: route for route in _build_routes(doc["listeners"])}
    return Config(
        revision=version,
        organisations=organisations,
        keys=keys,
        services=services,
        routes=routes,
    )


def _build_organisation(doc):
    priority = doc.get("priority")
    return Organisation(
        doc["name"],
        float(doc.get("rate_per_s", 0)),
        float(doc.get("burst", 0)),
        None if priority is None else importance_of(priority),
    )


def _build_keys(doc) -> Iterator[Key]:
    for secret in doc.get("api_keys", ()):
        name = sha256(secret.encode()).hexdigest()[:KEY_NAME_CHARS]
        yield Key(name, doc["name"], digest_key(secret))


def _build_routes(listeners) -> Iterator[Route]:
    for listener in listeners:
        for rule in listener["rules"]:
            yield _build_route(listener["host"].lower(), rule)


def _build_route(virtual_host, rule):
    action = rule["action"]
    # "match" has only a path prefix, no pattern.
    path = rule["match"]["path_prefix"]
    route_type = rule["route_type"]
    if route_type not in IDEMPOTENT_ROUTE_TYPES + NON_IDEMPOTENT_ROUTE_TYPES:
        raise MalformedMessageError(f"unknown route type {route_type!r}")
    shares = tuple(
        ServiceShare(share["service"], float(share["weight"]))
        for share in action.get("traffic_split") or ()
    )
    is_public = bool(rule.get("public", False))
    importance = importance_of(rule.get("priority", 0))
    if is_public:
        importance = max(importance, Importance.INTERACTIVE)
    timeout = action.get("timeout")
    return Route(
        name=f"{virtual_host}{path}",
        service=action.get("service") or shares[0].service,
        path=path,
        importance=importance,
        idempotent=route_type in IDEMPOTENT_ROUTE_TYPES,
        at_most_once=route_type in NON_IDEMPOTENT_ROUTE_TYPES,
        open=is_public,
        virtual_host=virtual_host,
        shares=shares,
        timeout_ms=int(parse_ms(timeout)) if timeout else 0,
        max_attempts=int(action.get("max_attempts", 0)),
    )


def importance_of(priority: int) -> Importance:
    """Return the importance of a priority, where 0 is the highest priority."""
    return Importance(max(Importance.CRITICAL - priority, Importance.NORMAL))
