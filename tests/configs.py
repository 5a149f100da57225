"""Configurations shared by the tests."""

from monsoonmill.model import Config, Key, Organisation, Route, Service
from monsoonmill.notes import digest_key
from monsoonmill.reasons import Importance

SECRET = "secret-of-branch"
PLATFORM_POLICY = {
    "placing": "data-centre",
    "claims": "none",
    "admission": "slots",
    "front_door": "open",
    "contexts": "none",
    "quota": "unlimited",
}
"""The platform's policies, except that rates are not limited."""


def small_config(rate=1000.0, burst=1000.0, revision=1):
    """Return a configuration with one organisation, one service and four routes."""
    routes = (
        Route("lookup", "donkeys", "/lookup", idempotent=True),
        Route("open", "donkeys", "/open", idempotent=True, open=True),
        Route("background", "donkeys", "/bg", (), Importance.BACKGROUND, True),
        Route(
            "pledge",
            "donkeys",
            "/pledges",
            ("POST",),
            Importance.CRITICAL,
            at_most_once=True,
        ),
    )
    return Config(
        revision=revision,
        organisations={"branch": Organisation("branch", rate, burst)},
        keys={"k1": Key("k1", "branch", digest_key(SECRET))},
        services={"donkeys": Service("donkeys")},
        routes={route.name: route for route in routes},
    )
