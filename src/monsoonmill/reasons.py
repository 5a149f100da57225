"""Outcomes of calls, and the reasons for refusals and retries.

The value of a reason is both the name of its counter and the value of the
``Monsoon-Reason`` header.
"""

from enum import Enum, IntEnum, unique


@unique
class Outcome(Enum):
    """What is known about the execution of a call when its response is sent."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@unique
class Importance(IntEnum):
    """Importance class of calls; under overload, the lowest is shed first."""

    BACKGROUND = 0
    NORMAL = 1
    INTERACTIVE = 2
    CRITICAL = 3


@unique
class Reason(Enum):
    """Why a call was refused or failed.

    ``NO_ALLOWED_REGION``: no region is left in which the call may run, or none of them
    has a backend server. ``REGION_NOT_ALLOWED``: the call may not run in the region of
    the node that received the attempt. ``EVACUATED``: operators have ordered
    to evacuate the data centre of that node.
    """

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    BAD_CONTEXT = "bad-context"
    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    KEY_WITHDRAWN = "key-withdrawn"
    FORBIDDEN = "forbidden"
    NO_SERVICE = "no-service"
    NO_ROUTE = "no-route"
    OVER_RATE = "over-rate"
    SHED = "shed"
    QUEUE_FULL = "queue-full"
    BACKEND_SERVER_SHED = "backend-server-shed"
    NO_BACKEND_SERVER = "no-backend-server"
    NO_ALLOWED_REGION = "no-allowed-region"
    REGION_NOT_ALLOWED = "region-not-allowed"
    EVACUATED = "evacuated"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection-lost"
    BROKEN_ANSWER = "broken-answer"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    DUPLICATE = "duplicate"
    CLAIMS_UNAVAILABLE = "claims-unavailable"
    CLAIMS_LOST = "claims-lost"
    CLAIMS_FULL = "claims-full"
    POISON = "poison"
    DRAINING = "draining"
    TOO_DEEP = "too-deep"
    NO_CONFIGURATION = "no-configuration"
    INTERNAL = "internal"


@unique
class RetryReason(Enum):
    """Why a call was or was not retried at another backend server.

    ``BUDGET_SPENT`` is the budget of the call chain, ``RATIO_SPENT`` that of the
    service. ``SUSPECT``: the request may have crashed a backend server.
    ``CHAIN_BELOW``: the first execution may have made nested calls, and a second one
    would repeat more work than ``call.max_rerun_work``.
    """

    UNREACHABLE = "retry-unreachable"
    SHED = "retry-shed"
    DRAINING = "retry-draining"
    REGION = "retry-region"
    EVACUATED = "retry-evacuated"
    CONNECTION_LOST = "retry-connection-lost"
    BUDGET_SPENT = "no-retry-budget-spent"
    RATIO_SPENT = "no-retry-ratio-spent"
    NOT_IDEMPOTENT = "no-retry-not-idempotent"
    SUSPECT = "no-retry-suspect"
    CHAIN_BELOW = "no-retry-chain-below"


HTTP_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.BAD_CONTEXT: 400,
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_KEY: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.FORBIDDEN: 403,
    Reason.NO_SERVICE: 404,
    Reason.NO_ROUTE: 404,
    Reason.OVER_RATE: 429,
    Reason.SHED: 503,
    Reason.QUEUE_FULL: 503,
    Reason.BACKEND_SERVER_SHED: 503,
    Reason.NO_BACKEND_SERVER: 503,
    Reason.NO_ALLOWED_REGION: 503,
    Reason.REGION_NOT_ALLOWED: 503,
    Reason.EVACUATED: 503,
    Reason.UNREACHABLE: 503,
    Reason.CONNECTION_LOST: 502,
    Reason.BROKEN_ANSWER: 502,
    Reason.DEADLINE: 504,
    Reason.CANCELLED: 499,
    Reason.DUPLICATE: 409,
    Reason.CLAIMS_UNAVAILABLE: 503,
    Reason.CLAIMS_LOST: 503,
    Reason.CLAIMS_FULL: 503,
    Reason.POISON: 400,
    Reason.DRAINING: 503,
    Reason.TOO_DEEP: 400,
    Reason.NO_CONFIGURATION: 503,
    Reason.INTERNAL: 500,
}
"""HTTP status code for each reason."""
