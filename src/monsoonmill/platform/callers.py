"""Requests of callers, and the answers that they get."""

from monsoonmill.decisions.calls.signals import Answer, CallArrived
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.platform.names import (
    ATTEMPT_ID,
    CALLER_SERVICE,
    DEADLINE,
    NOT_FORWARDED,
    NOT_RETURNED,
    RETRY_AFTER,
)
from monsoonmill.reasons import HTTP_STATUS, Outcome, Reason

ATTEMPT_ID_KEY = ATTEMPT_ID.lower()
DEADLINE_KEY = DEADLINE.lower()
BAD_REQUEST_STATUS = 400
NOT_RUN_STATUS = 503
OVER_RATE_STATUS = 429
UNKNOWN_STATUS = 502
TIMED_OUT_STATUS = 504
FINAL_STATUSES = (400, 401, 403, 404, 413)
LEAST_RETRY_S = 0.1
FINAL_REASONS = frozenset(
    reason
    for reason, status in HTTP_STATUS.items()
    if status in FINAL_STATUSES and reason is not Reason.POISON
)
"""Refusals of requests that no configuration allows."""


class CallerApp(WebApp):
    """Callers on this host, and the own backend server's nested calls.

    Parameters
    ----------
    service : str
        Service of the backend server on this host.
    """

    def __init__(self, service: str):
        self._service = service

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | CallArrived:
        """Return the call that a request is, or the refusal of a bad one."""
        headers, forwarded = self._sort_headers(req.headers)
        request_id = headers.get(ATTEMPT_ID_KEY, "")
        virtual_host = headers.get("host", "").partition(":")[0].lower()
        if not request_id or not virtual_host:
            return HttpResponse(BAD_REQUEST_STATUS, (), b"no id or no host\n")
        return CallArrived(
            call=name,
            service="",
            request=HttpRequest(req.method, req.path, forwarded, req.body),
            bearer=_bearer(headers.get("authorization", "")),
            timeout_ms=_whole(headers.get(DEADLINE_KEY, "")),
            virtual_host=virtual_host,
            request_id=request_id,
            # Nothing promises it, but ids of nested calls have been seen to
            # begin with the id of the request that made them, and a dot.
            parent_id=request_id.rpartition(".")[0],
        )

    def _sort_headers(self, lines):
        """Return the first value of each header, and the lines to forward."""
        found = {}
        kept = []
        for line in lines:
            key = line[0].lower()
            if key not in found:
                found[key] = line[1]
            if key not in NOT_FORWARDED:
                kept.append(line)
        kept.append((CALLER_SERVICE, self._service))
        return found, tuple(kept)

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer."""
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
            wait_s = max(answer.retry_after_s, LEAST_RETRY_S)
            headers.append((RETRY_AFTER, f"{wait_s:.2f}"))
        return HttpResponse(status, tuple(headers), f"{answer.reason.value}\n".encode())


def refusal_status(answer: Answer) -> int:
    """Return the status of a refusal; only one that never ran may say so."""
    if answer.outcome is not Outcome.NOT_RUN:
        is_late = answer.reason is Reason.DEADLINE
        return TIMED_OUT_STATUS if is_late else UNKNOWN_STATUS
    if answer.reason in FINAL_REASONS:
        return HTTP_STATUS[answer.reason]
    if answer.reason is Reason.OVER_RATE:
        return OVER_RATE_STATUS
    return NOT_RUN_STATUS


def _bearer(value):
    scheme, _, secret = value.partition(" ")
    return secret.strip() if scheme.lower() == "bearer" else ""


def _whole(text):
    return int(text) if text.isdigit() else None
