"""Fake fleet with an oracle that checks at-most-once execution."""

from collections import defaultdict

from attrs import frozen

from monsoonmill.decisions.calls.signals import Answer, RunFailure, RunFinished
from monsoonmill.decisions.claims.paired import PairedClaims
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Outcome
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet

RETENTION_S = 40
CLAIMS = {
    "partitions": 4,
    "retention_s": RETENTION_S,
    "confirm_s": 30,
    "lost_s": 5,
    "max_entries": 1000,
}


@frozen
class Execution:
    """An execution of a call at a backend server."""

    at: float
    attempt: str
    body: bytes


class ClaimsFleet(FakeFleet):
    """Fleet that sends calls with idempotency keys and records violations.

    Attributes
    ----------
    failure : RunFailure or None
        Failure of each request at the backend servers; None for success.
    delay_s : float
        Time that a request takes at its backend server.
    executions : dict
        Executions by key.
    violations : list of str
        Descriptions of the guarantees that were broken.
    """

    def __init__(self, size=4, policy="paired", claims=None, **options):
        sections = {
            "policy": {"claims": policy},
            "claims": {**CLAIMS, **(claims or {})},
            "call": {"max_timeout_ms": 5000},
            "members": {"suspect_ms": 2000},
        }
        super().__init__(run=self._run_request, **sections, **options)
        self.failure = None
        self.delay_s = 0.01
        self.executions = defaultdict(list)
        self.key_by_call: dict[str, str] = {}
        self.call_by_attempt: dict[str, str] = {}
        self.violations: list[str] = []
        self.install(small_config(rate=1e5, burst=1e5))
        for _ in range(size):
            self.add_host()

    def add_host(self, port=0, data_centre=""):
        number = len(self.nodes)
        location = data_centre or f"dc-{number % 2 + 1}"
        return self.add(service="donkeys", data_centre=location, port=port)

    def send_call(self, node, key, body=None, timeout_ms=3000):
        """Send a call with an idempotency key and return its name."""
        name = self.call(
            node,
            "donkeys",
            "/pledges",
            "POST",
            body=(body or key).encode(),
            bearer=SECRET,
            idempotency_key=key,
            timeout_ms=timeout_ms,
        )
        self.key_by_call[name] = key
        return name

    def wait_until_settled(self, limit_s=30.0):
        """Advance until all partitions are served and all nodes agree on the map."""
        return self.advance_until(self.is_settled, limit_s)

    def is_settled(self):
        decisions = [node.core.claims for node in self.nodes.values()]
        serving = sum(
            replica.is_serving
            for decision in decisions
            for replica in decision.server.replicas.values()
        )
        versions = {decision.map_cache.version for decision in decisions}
        members = (len(list(node.core.members.live())) for node in self.nodes.values())
        is_agreed = len(versions) == 1 and set(members) == {len(self.nodes)}
        return serving == self.sections["claims"]["partitions"] and is_agreed

    def record_of(self, key):
        """Return the newest record of a key's partition that any node knows."""
        map_caches = [
            node.core.claims.map_cache
            for node in self.nodes.values()
            if isinstance(node.core.claims, PairedClaims)
        ]
        newest = max(map_caches, key=lambda map_cache: map_cache.version, default=None)
        if newest is None or newest.claim_map is None:
            return None
        partition = newest.claim_map.partition("branch", key)
        return newest.claim_map.records[partition]

    def answer(self, name):
        """Return the answer to a call at any node, live or not."""
        for node in self.all_nodes:
            if name in node.answers:
                return node.answers[name]
        return None

    @property
    def all_nodes(self):
        return self._all_nodes

    def add(self, **options):
        node = super().add(**options)
        self._all_nodes = [*getattr(self, "_all_nodes", []), node]
        return node

    # Oracle.
    def _carry_out(self, node, signal):
        for attempt, call in node.core.calls._attempts.items():
            self.call_by_attempt[attempt] = call.name
        if isinstance(signal, Answer):
            self._check_answer(signal)
        super()._carry_out(node, signal)

    def _run_request(self, node, call):
        key = call.request.body.decode()
        body = b"%s run %d" % (call.request.body, len(self.executed))
        for earlier in self.executions[key]:
            if self.now <= earlier.at + RETENTION_S:
                self.violations.append(f"{key} ran twice: {call.attempt}")
        self.executions[key].append(Execution(self.now, call.attempt, body))
        if self.failure is not None:
            if self.failure is RunFailure.NOT_SENT:
                self.executions[key].pop()
            return self.delay_s, RunFinished(call.attempt, None, self.failure)
        response = HttpResponse(200, (), body)
        return self.delay_s, RunFinished(call.attempt, response, None)

    def _check_answer(self, answer):
        key = self.key_by_call.get(answer.call)
        if key is None:
            return
        own_executions = [
            execution
            for execution in self.executions[key]
            if self.call_by_attempt.get(execution.attempt) == answer.call
        ]
        if answer.outcome is Outcome.NOT_RUN and own_executions:
            self.violations.append(f"{answer.call} ran but was answered not-run")
        if answer.response is not None:
            bodies = {execution.body for execution in self.executions[key]}
            if answer.response.body not in bodies:
                self.violations.append(f"{answer.call} got the response of another key")

    def assert_no_violations(self):
        """Fail if a guarantee was broken."""
        assert self.violations == []


def key_in_partition(fleet, partition):
    """Return a key of a partition."""
    claim_map = next(iter(fleet.nodes.values())).core.claims.map_cache.claim_map
    keys = (f"in-{partition}-{number}" for number in range(10_000))
    return next(key for key in keys if claim_map.partition("branch", key) == partition)


def wait_until_prepared(fleet):
    """Drain a backup until its primary is ready to propose another record."""
    backup = fleet.record_of("k").backup
    fleet.inject(fleet.nodes[backup.node], DrainRequested())
    found = []

    def is_prepared():
        found[:] = [
            replica
            for node in fleet.nodes.values()
            for replica in node.core.claims.server.replicas.values()
            if replica.chart.is_in("prepared") and replica.is_primary
        ]
        return bool(found)

    assert fleet.advance_until(is_prepared, step_s=0.001)
    return found[0]
