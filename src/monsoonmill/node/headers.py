"""HTTP headers that the node reads, sets or keeps back."""

KEY = "authorization"
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
    KEY,
    CONTEXT,
    TIMEOUT,
    "host",
    "content-length",
    "expect",
}
"""Request headers that do not reach a backend server as they came."""
NOT_KEPT = HOP_BY_HOP | {"content-length"}
"""Response headers that speak of one connection only."""
NOT_RETURNED = NOT_KEPT | {"monsoon-outcome", "monsoon-reason"}
"""Response headers that do not reach a caller as they came."""


def forwarded_headers(headers):
    """Yield the request headers that go on to a backend server."""
    for name, value in headers:
        if name.lower() not in NOT_FORWARDED:
            yield name, value


def kept_headers(headers):
    """Yield the headers of a backend server's response that a node needs.

    The decisions read in them whether the backend server ran the request.
    """
    for name, value in headers:
        if name.lower() not in NOT_KEPT:
            yield name, value


def returned_headers(headers):
    """Yield the response headers that go back to a caller."""
    for name, value in headers:
        if name.lower() not in NOT_RETURNED:
            yield name, value
