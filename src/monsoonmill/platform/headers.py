"""HTTP headers of the platform."""

from monsoonmill.node.headers import HOP_BY_HOP

ATTEMPT_ID = "X-Monsoonmill-Attempt-Id"
"""Identifies a client's request, not one of the node's attempts at it."""
DEADLINE = "X-Monsoonmill-Request-Deadline"
"""Remaining time in milliseconds, not a point in time."""
SIGNATURE = "X-Monsoonmill-Response-Signature"
TENANT = "X-Monsoonmill-Tenant-Id"
EXPECTED_INSTANCE = "X-Monsoonmill-Expected-Instance"
NOT_EXECUTED = "X-Monsoonmill-Not-Executed"
CALLER_SERVICE = "X-Monsoonmill-Caller-Service"
"""Service of the host at which the request entered, whichever client sent it."""
INSTANCE = "X-Monsoonmill-Instance-Id"
RETRY_AFTER = "Retry-After"

SET_BY_NODE = frozenset(
    name.lower()
    for name in (DEADLINE, TENANT, EXPECTED_INSTANCE, CALLER_SERVICE, "Authorization")
)
NOT_FORWARDED = HOP_BY_HOP | SET_BY_NODE | {"content-length", "expect"}
"""Request headers that are replaced or removed before a backend server gets them."""
NOT_RETURNED = HOP_BY_HOP | {"content-length"}
"""Response headers of a backend server that are not returned to a caller."""


def find_header(headers, name: str) -> str:
    """Return a header's value; empty if it is missing."""
    lower_name = name.lower()
    for key, value in headers:
        if key.lower() == lower_name:
            return value
    return ""


def index_headers(headers) -> dict[str, str]:
    """Return the first value of each header, by its lower-case name."""
    values: dict[str, str] = {}
    for key, value in headers:
        values.setdefault(key.lower(), value)
    return values
