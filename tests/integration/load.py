"""Load generator with seeded callers, and a test oracle for the results."""

from collections import Counter, defaultdict
from itertools import count
from random import Random
from threading import Event

from attrs import define, field, frozen
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError, NewConnectionError

from monsoonmill.clock import SystemClock
from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, is_intact
from monsoonmill.task import Inbox, Stop, Task
from tests.integration.release_notes import SECRETS
from tests.process_fleet import HOST, wait_for

CALLER_TIMEOUT_S = 12.0
CALL_TIMEOUT_MS = 8000
SEND_NUMBER_HEADER = "X-Try"
REPEAT_NUMBER = 99
"""``send_number`` of a request that repeats an answered call."""
CLOCK = SystemClock()


@frozen
class LoadProfile:
    """Kinds and rate of the calls that the callers make.

    Attributes
    ----------
    weights : dict
        Relative frequency of each kind of call.
    callers : int
        Number of callers.
    think_time_s : float
        Pause of a caller between a response and its next call.
    max_resends : int
        Maximum number of times that a pledge without a conclusive result is sent
        again with the same idempotency key.
    repeat_share : float
        Probability that a pledge that is no longer resent is repeated at another node.
    organisation : str
        Organisation whose key the calls carry.
    """

    weights: dict[str, int] = field(factory=lambda: {"lookup": 7, "pledges": 3})
    callers: int = 8
    think_time_s: float = 0.02
    max_resends: int = 0
    repeat_share: float = 0.0
    organisation: str = "branch"


@frozen
class SentRequest:
    """One request of a call and its result as the caller saw it.

    Attributes
    ----------
    id : str
        Identifier of the call, common to all its requests.
    kind : str
        Path component that selects the route.
    send_number : int
        Number of the request among those of its call.
    is_intact : bool
        Whether the body is complete and belongs to the call.
    """

    id: str
    kind: str
    host: str
    sent_at: float
    ended_at: float
    send_number: int
    status: int = 0
    outcome: str = ""
    reason: str = ""
    is_intact: bool = False
    connection_refused: bool = False

    @property
    def is_done(self):
        return self.outcome == "done" and self.status == 200


class CallerTask(Task):
    """Sends calls to one node; moves on to the next if it drains or does not answer."""

    def __init__(self, number, fleet, profile, seed, report, prefix="c"):
        super().__init__(f"caller-{number}")
        self._rng = Random(f"{seed}/{number}")
        self._fleet = fleet
        self._profile = profile
        self._report = report
        self._call_ids = (f"{prefix}{number}-{call}" for call in count())
        self._pools = {}
        self._host_index = number

    def run(self):
        while not isinstance(self.inbox.take(self._profile.think_time_s), Stop):
            kinds = list(self._profile.weights)
            (kind,) = self._rng.choices(kinds, list(self._profile.weights.values()))
            self._make_call(kind, next(self._call_ids))

    def _make_call(self, kind, call_id):
        for send_number in range(1 + self._profile.max_resends):
            request = self._send_request(kind, call_id, send_number)
            self._report(request)
            self._host_index += request.reason == "draining"
            is_conclusive = request.is_done or request.reason == "duplicate"
            if kind != "pledges" or is_conclusive:
                break
        if kind == "pledges" and self._rng.random() < self._profile.repeat_share:
            self._host_index += 1
            self._report(self._send_request(kind, call_id, REPEAT_NUMBER))

    def _send_request(self, kind, call_id, send_number):
        host = self._fleet.hosts[self._host_index % len(self._fleet.hosts)]
        headers = {
            "Authorization": f"Bearer {SECRETS[self._profile.organisation]}",
            "Monsoon-Timeout-Ms": str(CALL_TIMEOUT_MS),
            ID_HEADER: call_id,
            SEND_NUMBER_HEADER: str(send_number),
        }
        if self._profile.max_resends and kind == "pledges":
            headers["Idempotency-Key"] = call_id
        method = "POST" if kind == "pledges" else "GET"
        body = call_id.encode() if kind == "pledges" else None
        sent_at = CLOCK.now()
        try:
            response = self._connection_pool(host).request(
                method, f"/donkeys/{kind}/{call_id}", headers=headers, body=body
            )
        except (HTTPError, OSError) as exc:
            self._host_index += 1
            connection_refused = isinstance(exc, NewConnectionError)
            return SentRequest(
                call_id,
                kind,
                host.name,
                sent_at,
                CLOCK.now(),
                send_number,
                connection_refused=connection_refused,
            )
        return SentRequest(
            call_id,
            kind,
            host.name,
            sent_at,
            CLOCK.now(),
            send_number,
            response.status,
            response.headers.get("Monsoon-Outcome", ""),
            response.headers.get("Monsoon-Reason", ""),
            is_intact(response.data, response.headers.get(CRC_HEADER), call_id),
        )

    def _connection_pool(self, host):
        if host.name not in self._pools:
            self._pools[host.name] = HTTPConnectionPool(
                HOST, host.call_port, retries=False, timeout=CALLER_TIMEOUT_S
            )
        return self._pools[host.name]


class LoadGenerator:
    """Runs callers; ``requests`` holds those that have ended and were collected."""

    def __init__(self, fleet, profile, seed, prefix="c"):
        self.requests = []
        max_requests = 1 + profile.max_resends + (profile.repeat_share > 0)
        self._stop_timeout_s = max_requests * CALLER_TIMEOUT_S + 5
        self._inbox = Inbox()
        self._callers = [
            CallerTask(number, fleet, profile, seed, self._inbox.post, prefix).start()
            for number in range(profile.callers)
        ]

    def collect(self):
        """Return all requests that have ended so far."""
        self.requests.extend(iter(lambda: self._inbox.take(0), None))
        return self.requests

    def await_results(self, additional, timeout_s=20.0, where=lambda request: True):
        """Wait until a number of further requests that match have ended."""
        before = sum(map(where, self.collect()))
        wait_for(
            lambda: sum(map(where, self.collect())) >= before + additional,
            timeout_s,
            f"{additional} more requests ended",
        )

    def run_for(self, duration_s):
        """Let the callers run for a time."""
        Event().wait(duration_s)

    def request_stop(self):
        """Ask the callers to end after their current calls."""
        for caller in self._callers:
            caller.stop()

    def stop(self):
        """End the callers, wait for their last calls and return all requests."""
        self.request_stop()
        for caller in self._callers:
            assert caller.join(self._stop_timeout_s), caller.name
        return self.collect()


@define
class Oracle:
    """Compares the results that callers saw with the backend servers' executions."""

    requests: list
    executions: list
    execution_counts: dict = field(init=False)

    def __attrs_post_init__(self):
        self.execution_counts = Counter(
            execution["id"] for execution in self.executions
        )

    def cut_off_requests(self):
        """Return requests that ran, but whose outcome their callers did not learn."""
        executed = {
            (execution["id"], execution["headers"].get("x-try"))
            for execution in self.executions
        }
        return [
            request
            for request in self.requests
            if request.outcome in ("", "unknown")
            and (request.id, str(request.send_number)) in executed
        ]

    def unknown_outcomes(self):
        """Return requests that may have run, other than refused duplicates."""
        unknown = (request for request in self.requests if request.outcome == "unknown")
        return [request for request in unknown if request.reason != "duplicate"]

    def pledges_run_twice(self):
        """Return the numbers of executions of pledges that ran more than once."""
        return {
            execution["id"]: self.execution_counts[execution["id"]]
            for execution in self.executions
            if "/pledges/" in execution["path"]
            and self.execution_counts[execution["id"]] > 1
        }

    def wrongly_reported_not_run(self):
        """Return calls that ran although all their requests reported ``not-run``."""
        outcomes = defaultdict(set)
        for request in self.requests:
            outcomes[request.id].add(request.outcome)
        return [
            call_id
            for call_id, reported in outcomes.items()
            if reported == {"not-run"} and self.execution_counts[call_id]
        ]

    def wrongly_reported_done(self):
        """Return requests with the outcome ``done`` whose call never ran."""
        return [
            request
            for request in self.requests
            if request.is_done and not self.execution_counts[request.id]
        ]

    def corrupt_responses(self):
        """Return successful requests whose body is incomplete or another call's."""
        return [
            request
            for request in self.requests
            if request.is_done and not request.is_intact
        ]

    def key_leaks(self):
        """Return executions whose request carried a caller's key."""
        secrets = tuple(SECRETS.values())
        return [
            execution
            for execution in self.executions
            if execution["has_authorization"]
            or any(secret in str(execution) for secret in secrets)
        ]

    def check(self):
        """Assert what must hold under every fault."""
        assert self.executions
        assert self.pledges_run_twice() == {}
        assert self.wrongly_reported_not_run() == []
        assert self.wrongly_reported_done() == []
        assert self.corrupt_responses() == []
        assert self.key_leaks() == []

    def count_outcomes(self, since=0.0):
        """Count the results of the requests sent at a time or later."""
        return Counter(
            (
                request.kind,
                request.outcome or "no-answer",
                request.reason,
                request.status,
            )
            for request in self.requests
            if request.sent_at >= since
        )
