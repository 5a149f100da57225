"""The platform's HTTP protocol between a node and its backend server."""

from monsoonmill.decisions.calls.signals import RunCall
from monsoonmill.http1.client import BackendProtocol, ResponseKind
from monsoonmill.http1.messages import encode_request
from monsoonmill.model import OPEN_ORGANISATION, HttpResponse
from monsoonmill.platform.headers import (
    ATTEMPT_ID,
    DEADLINE,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    SIGNATURE,
    TENANT,
    find_header,
    index_headers,
)

MISDIRECTED_STATUS = 421
LOWER_ATTEMPT_ID = ATTEMPT_ID.lower()
LOWER_NOT_EXECUTED = NOT_EXECUTED.lower()
LOWER_SIGNATURE = SIGNATURE.lower()
SINGLE_HEADERS = frozenset((LOWER_ATTEMPT_ID, LOWER_SIGNATURE))


class PlatformBackendProtocol(BackendProtocol):
    """Adds the platform's headers to requests and classifies responses by them."""

    def encode(self, call: RunCall) -> bytes:
        """Return the bytes of a request."""
        req = call.request
        headers = list(req.headers)
        headers.append((DEADLINE, str(max(int(call.timeout_s * 1000), 1))))
        if call.instance:
            headers.append((EXPECTED_INSTANCE, call.instance))
        if call.organisation and call.organisation != OPEN_ORGANISATION:
            headers.append((TENANT, call.organisation))
        return encode_request(req.method, req.path, headers, req.body)

    def classify(self, call: RunCall, resp: HttpResponse) -> ResponseKind:
        """Return how a response relates to the pending request.

        A backend server echoes the request's id, which identifies a late response to
        an earlier request; only a refusal may lack it.
        """
        if _has_conflicting_headers(resp):
            return ResponseKind.INVALID
        headers = index_headers(resp.headers)
        response_id = headers.get(LOWER_ATTEMPT_ID, "")
        is_refusal = resp.status == MISDIRECTED_STATUS or LOWER_NOT_EXECUTED in headers
        if response_id != find_header(call.request.headers, ATTEMPT_ID):
            if response_id or not is_refusal:
                return ResponseKind.UNMATCHED
        if is_refusal:
            return (
                ResponseKind.NOT_RUN if response_id else ResponseKind.NOT_RUN_WITHOUT_ID
            )
        is_success = 200 <= resp.status < 300
        is_signed = bool(headers.get(LOWER_SIGNATURE))
        has_content_encoding = "content-encoding" in headers
        if is_success and (has_content_encoding or not is_signed):
            return ResponseKind.INVALID
        return ResponseKind.ANSWER

    def keep_alive_s(self, resp: HttpResponse) -> float | None:
        """Return the time-out of the Keep-Alive header; None if it is missing."""
        for part in find_header(resp.headers, "keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            seconds = value.strip()
            if name.lower() == "timeout" and seconds.isascii() and seconds.isdigit():
                return float(seconds)
        return None


def _has_conflicting_headers(resp):
    """Return whether a header that occurs once in each response has two values.

    A head that breaks off in a header and the head of the next response on the
    connection form a single head, whose body belongs to the second response.
    """
    values: dict[str, str] = {}
    for name, value in resp.headers:
        key = name.lower()
        if key in SINGLE_HEADERS and values.setdefault(key, value) != value:
            return True
    return False
