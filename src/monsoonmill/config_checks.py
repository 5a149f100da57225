"""Validation of configurations."""

from hashlib import sha256

from monsoonmill.errors import NoteError
from monsoonmill.model import OPEN_ORGANISATION, Config

DIGEST_PREFIX = "sha256:"


def check_config(config: Config) -> None:
    """Check that a configuration's entries are valid and consistent.

    Raises
    ------
    NoteError
        An entry is invalid; the error names the first one.
    """
    for organisation in config.organisations.values():
        _check_organisation(organisation)
    digests = set()
    for key in config.keys.values():
        _check_key(config, key, digests)
        digests.add(key.digest)
    for service in config.services.values():
        if service.timeout_ms <= 0:
            raise NoteError(f"services/{service.name}", "timeout_ms must be positive")
    for route in config.routes.values():
        _check_route(config, route)


def _check_organisation(organisation):
    entry = f"organisations/{organisation.name}"
    if organisation.name == OPEN_ORGANISATION:
        raise NoteError(entry, "name is reserved")
    if not 0 < organisation.rate < float("inf"):
        raise NoteError(entry, "rate must be positive and finite")
    if not 1 <= organisation.burst < float("inf"):
        raise NoteError(entry, "burst must be at least 1 and finite")


def _check_key(config, key, digests):
    entry = f"keys/{key.name}"
    if key.organisation not in config.organisations:
        raise NoteError(entry, f"unknown organisation {key.organisation!r}")
    hex_digits = key.digest.removeprefix(DIGEST_PREFIX)
    if key.digest == hex_digits or len(hex_digits) != 2 * sha256().digest_size:
        raise NoteError(
            entry, "digest must be sha256: followed by 64 hexadecimal digits"
        )
    if key.digest in digests:
        raise NoteError(entry, "another key has the same digest")


def _check_route(config, route):
    entry = f"routes/{route.name}"
    if route.service not in config.services:
        raise NoteError(entry, f"unknown service {route.service!r}")
    if not route.path.startswith("/"):
        raise NoteError(entry, "path must begin with a slash")
    if route.idempotent and route.at_most_once:
        raise NoteError(entry, "cannot be both idempotent and at_most_once")
    for name in route.organisations:
        if name not in config.organisations:
            raise NoteError(entry, f"unknown organisation {name!r}")
