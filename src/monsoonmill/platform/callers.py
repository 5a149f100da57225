"""The platform's HTTP protocol between callers and a node."""

from math import floor

from monsoonmill.decisions.calls.signals import Answer, CallArrived
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.platform.headers import (
    ATTEMPT_ID,
    CALLER_SERVICE,
    DEADLINE,
    NOT_FORWARDED,
    NOT_RETURNED,
    RETRY_AFTER,
)
from monsoonmill.reasons import HTTP_STATUS, Outcome, Reason

LOWER_ATTEMPT_ID = ATTEMPT_ID.lower()
LOWER_DEADLINE = DEADLINE.lower()
BAD_REQUEST_STATUS = 400
NOT_RUN_STATUS = 503
OVER_RATE_STATUS = 429
UNKNOWN_OUTCOME_STATUS = 502
TIMED_OUT_STATUS = 504
FINAL_STATUSES = (400, 401, 403, 404, 413)
MIN_RETRY_AFTER_S = 0.1
MAX_NUMBER_DIGITS = 9
"""Longer numbers in headers are ignored; as milliseconds they exceed a week."""
FINAL_REASONS = frozenset(
    reason
    for reason, status in HTTP_STATUS.items()
    if status in FINAL_STATUSES and reason is not Reason.POISON
)
"""Reasons for which a repeat of the request would be refused too."""


class CallerApp(WebApp):
    """Handles calls of callers on this host and nested calls of its backend server.

    Parameters
    ----------
    service : str
        Service of the backend server on this host.
    """

    def __init__(self, service: str):
        self._service = service

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | CallArrived:
        """Return the call that a request makes, or an error response."""
        headers, forwarded = self._split_headers(req.headers)
        request_id = headers.get(LOWER_ATTEMPT_ID, "")
        virtual_host = headers.get("host", "").partition(":")[0].lower()
        if not request_id or not virtual_host:
            return HttpResponse(BAD_REQUEST_STATUS, (), b"no id or no host\n")
        return CallArrived(
            call=name,
            service="",
            request=HttpRequest(req.method, req.path, forwarded, req.body),
            bearer=_parse_bearer(headers.get("authorization", "")),
            timeout_ms=_parse_number(headers.get(LOWER_DEADLINE, "")),
            virtual_host=virtual_host,
            request_id=request_id,
            # The id of a nested call has been observed to be the id of the request
            # that makes the call, a dot and a suffix; this is not guaranteed.
            parent_id=request_id.rpartition(".")[0],
        )

    def _split_headers(self, lines):
        """Return the first value of each header, and the headers to forward."""
        values = {}
        forwarded = []
        for line in lines:
            key = line[0].lower()
            if key not in values:
                values[key] = line[1]
            if key not in NOT_FORWARDED:
                forwarded.append(line)
        forwarded.append((CALLER_SERVICE, self._service))
        return values, tuple(forwarded)

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response for an answer."""
        resp = answer.response
        if resp is not None:
            headers = tuple(
                (name, value)
                for name, value in resp.headers
                if name.lower() not in NOT_RETURNED
            )
            return HttpResponse(resp.status, headers, resp.body)
        status = refusal_status(answer)
        headers = [("Content-Type", "text/plain")]
        if status in (NOT_RUN_STATUS, OVER_RATE_STATUS):
            headers.append((RETRY_AFTER, _format_wait(answer)))
        return HttpResponse(status, tuple(headers), f"{answer.reason.value}\n".encode())


def refusal_status(answer: Answer) -> int:
    """Return the status of a call without a response.

    Statuses that state that a call did not run are used only if it did not.
    """
    if answer.outcome is not Outcome.NOT_RUN:
        is_timed_out = answer.reason is Reason.DEADLINE
        return TIMED_OUT_STATUS if is_timed_out else UNKNOWN_OUTCOME_STATUS
    if answer.reason in FINAL_REASONS:
        return HTTP_STATUS[answer.reason]
    if answer.reason is Reason.OVER_RATE:
        return OVER_RATE_STATUS
    return NOT_RUN_STATUS


def _format_wait(answer):
    """Return the wait in seconds, rounded down if it is the longest possible."""
    wait_s = max(answer.retry_after_s, MIN_RETRY_AFTER_S)
    longest_s = answer.max_retry_after_s
    return f"{wait_s:.2f}" if wait_s < longest_s else f"{floor(longest_s * 100) / 100}"


def _parse_bearer(value):
    scheme, _, secret = value.partition(" ")
    return secret.strip() if scheme.lower() == "bearer" else ""


def _parse_number(text):
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else None
