"""HTTP headers that the node reads, sets or removes."""

AUTHORIZATION = "authorization"
IDEMPOTENCY_KEY = "idempotency-key"
TIMEOUT = "monsoon-timeout-ms"
CONTEXT = "monsoon-context"
OUTCOME = "Monsoon-Outcome"
REASON = "Monsoon-Reason"
RETRY_AFTER = "Retry-After"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
NOT_FORWARDED = HOP_BY_HOP | {
    AUTHORIZATION,
    CONTEXT,
    TIMEOUT,
    "host",
    "content-length",
    "expect",
}
"""Request headers that are not forwarded to a backend server."""
CONNECTION_SPECIFIC = HOP_BY_HOP | {"content-length"}
"""Response headers that apply to a single connection."""
NOT_RETURNED = CONNECTION_SPECIFIC | {"monsoon-outcome", "monsoon-reason"}
"""Response headers of a backend server that are not returned to a caller."""


def forwarded_headers(headers):
    """Yield the request headers that are forwarded to a backend server."""
    for name, value in headers:
        if name.lower() not in NOT_FORWARDED:
            yield name, value


def end_to_end_headers(headers):
    """Yield the headers of a backend server's response that are not hop-by-hop.

    They include those that state whether the backend server ran the request, which
    the decisions read.
    """
    for name, value in headers:
        if name.lower() not in CONNECTION_SPECIFIC:
            yield name, value


def returned_headers(headers):
    """Yield the response headers that are returned to a caller."""
    for name, value in headers:
        if name.lower() not in NOT_RETURNED:
            yield name, value
