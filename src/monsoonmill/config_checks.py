"""Checks that the entries of a configuration fit together."""

from hashlib import sha256

from monsoonmill.errors import NoteError
from monsoonmill.model import OPEN_ORGANISATION, Config

DIGEST_PREFIX = "sha256:"


def check_config(config: Config) -> None:
    """Check that a configuration's entries fit together.

    Raises
    ------
    NoteError
        Names the first entry that does not fit.
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
    place = f"organisations/{organisation.name}"
    if organisation.name == OPEN_ORGANISATION:
        raise NoteError(place, "the name is reserved")
    if not 0 < organisation.rate < float("inf"):
        raise NoteError(place, "rate must be positive")
    if not 1 <= organisation.burst < float("inf"):
        raise NoteError(place, "burst must be at least 1")


def _check_key(config, key, digests):
    place = f"keys/{key.name}"
    if key.organisation not in config.organisations:
        raise NoteError(place, f"no organisation {key.organisation!r}")
    hexadecimal = key.digest.removeprefix(DIGEST_PREFIX)
    if key.digest == hexadecimal or len(hexadecimal) != 2 * sha256().digest_size:
        raise NoteError(place, "digest must be sha256: and 64 hexadecimal digits")
    if key.digest in digests:
        raise NoteError(place, "another key has this digest")


def _check_route(config, route):
    place = f"routes/{route.name}"
    if route.service not in config.services:
        raise NoteError(place, f"no service {route.service!r}")
    if not route.path.startswith("/"):
        raise NoteError(place, "path must begin with a slash")
    if route.idempotent and route.at_most_once:
        raise NoteError(place, "is either idempotent or at_most_once")
    for name in route.organisations:
        if name not in config.organisations:
            raise NoteError(place, f"no organisation {name!r}")
