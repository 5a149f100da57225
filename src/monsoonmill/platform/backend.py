"""Requests to the own backend server, and what its responses mean."""

from monsoonmill.decisions.calls.signals import RunCall
from monsoonmill.http1.client import BackendProtocol, ResponseKind
from monsoonmill.http1.messages import encode_request
from monsoonmill.model import OPEN_ORGANISATION, HttpResponse
from monsoonmill.platform.names import (
    ATTEMPT_ID,
    DEADLINE,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    SIGNATURE,
    TENANT,
    find_header,
    index_headers,
)

MISDIRECTED = 421
ATTEMPT_ID_KEY = ATTEMPT_ID.lower()
NOT_EXECUTED_KEY = NOT_EXECUTED.lower()
SIGNATURE_KEY = SIGNATURE.lower()


class TargetProtocol(BackendProtocol):
    """The platform's headers towards backend servers."""

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
        """Return what a response is to a request.

        A backend server echoes the request's id, so that a second response to
        an earlier request is known; only a refusal may come without it.
        """
        headers = index_headers(resp.headers)
        echoed = headers.get(ATTEMPT_ID_KEY, "")
        is_refusal = resp.status == MISDIRECTED or NOT_EXECUTED_KEY in headers
        if echoed != find_header(call.request.headers, ATTEMPT_ID):
            if echoed or not is_refusal:
                return ResponseKind.UNMATCHED
        if is_refusal:
            return ResponseKind.NOT_RUN
        is_success = 200 <= resp.status < 300
        is_signed = bool(headers.get(SIGNATURE_KEY))
        is_encoded = "content-encoding" in headers
        if is_success and (is_encoded or not is_signed):
            return ResponseKind.INVALID
        return ResponseKind.ANSWER

    def keep_alive_s(self, resp: HttpResponse) -> float | None:
        """Return how long the other end keeps the connection; None if unsaid."""
        for part in find_header(resp.headers, "keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                return float(value)
        return None
