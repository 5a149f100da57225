"""A fleet whose pledges are counted by an oracle."""

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
    """A run of a pledge at a backend server."""

    at: float
    attempt: str
    body: bytes


class ClaimsFleet(FakeFleet):
    """Fleet that sends pledges and checks what became of them.

    Attributes
    ----------
    backend : RunFailure or None
        How requests end; None for well.
    """

    def __init__(self, size=4, policy="paired", claims=None, **options):
        sections = {
            "policy": {"claims": policy},
            "claims": {**CLAIMS, **(claims or {})},
            "call": {"max_timeout_ms": 5000},
            "members": {"suspect_ms": 2000},
        }
        super().__init__(run=self._run_pledge, **sections, **options)
        self.backend = None
        self.delay_s = 0.01
        self.runs = defaultdict(list)
        self.sends: dict[str, str] = {}
        self.by_attempt: dict[str, str] = {}
        self.problems: list[str] = []
        self.install(small_config(rate=1e5, burst=1e5))
        for _ in range(size):
            self.add_server()

    def add_server(self, port=0, data_centre=""):
        number = len(self.nodes)
        place = data_centre or f"dc-{number % 2 + 1}"
        return self.add(service="donkeys", data_centre=place, port=port)

    def pledge(self, node, key, body=None, timeout_ms=3000):
        """Send a pledge and return the call's name."""
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
        self.sends[name] = key
        return name

    def settle_down(self, limit_s=30.0):
        """Let time pass until all partitions are served by a pair."""
        return self.advance_until(self.is_settled, limit_s)

    def is_settled(self):
        pairs = [node.core.claims for node in self.nodes.values()]
        serving = sum(
            replica.is_serving
            for one in pairs
            for replica in one.server.replicas.values()
        )
        versions = {one.map_cache.version for one in pairs}
        members = (len(list(one.core.members.live())) for one in self.nodes.values())
        is_known = len(versions) == 1 and set(members) == {len(self.nodes)}
        return serving == self.sections["claims"]["partitions"] and is_known

    def record_of(self, key):
        """Return the newest record of a key's partition that any node knows."""
        keepers = [
            node.core.claims.map_cache
            for node in self.nodes.values()
            if isinstance(node.core.claims, PairedClaims)
        ]
        newest = max(keepers, key=lambda map_cache: map_cache.version, default=None)
        if newest is None or newest.claim_map is None:
            return None
        partition = newest.claim_map.partition("branch", key)
        return newest.claim_map.records[partition]

    def answer(self, name):
        """Return a call's answer, whichever node it came to."""
        for node in self.all_nodes:
            if name in node.answers:
                return node.answers[name]
        return None

    @property
    def all_nodes(self):
        return self._everyone

    def add(self, **options):
        node = super().add(**options)
        self._everyone = [*getattr(self, "_everyone", []), node]
        return node

    # The oracle.
    def _carry_out(self, node, signal):
        for attempt, call in node.core.calls._attempts.items():
            self.by_attempt[attempt] = call.name
        if isinstance(signal, Answer):
            self._check_answer(signal)
        super()._carry_out(node, signal)

    def _run_pledge(self, node, call):
        key = call.request.body.decode()
        body = b"%s run %d" % (call.request.body, len(self.executed))
        for earlier in self.runs[key]:
            if self.now <= earlier.at + RETENTION_S:
                self.problems.append(f"{key} ran twice: {call.attempt}")
        self.runs[key].append(Execution(self.now, call.attempt, body))
        if self.backend is not None:
            if self.backend is RunFailure.NOT_SENT:
                self.runs[key].pop()
            return self.delay_s, RunFinished(call.attempt, None, self.backend)
        response = HttpResponse(200, (), body)
        return self.delay_s, RunFinished(call.attempt, response, None)

    def _check_answer(self, answer):
        key = self.sends.get(answer.call)
        if key is None:
            return
        own_runs = [
            one
            for one in self.runs[key]
            if self.by_attempt.get(one.attempt) == answer.call
        ]
        if answer.outcome is Outcome.NOT_RUN and own_runs:
            self.problems.append(f"{answer.call} ran but was answered not-run")
        if answer.response is not None:
            bodies = {one.body for one in self.runs[key]}
            if answer.response.body not in bodies:
                self.problems.append(f"{answer.call} got a foreign answer")

    def check(self):
        """Fail if a promise was broken."""
        assert self.problems == []


def key_in(fleet, partition):
    """Return a key of a partition."""
    claim_map = next(iter(fleet.nodes.values())).core.claims.map_cache.claim_map
    keys = (f"in-{partition}-{number}" for number in range(10_000))
    return next(key for key in keys if claim_map.partition("branch", key) == partition)


def wait_until_prepared(fleet):
    """Drain a backup until its primary is ready to propose another record."""
    backup = fleet.record_of("k").backup
    fleet.inject(fleet.nodes[backup.node], DrainRequested())
    found = []

    def find():
        found[:] = [
            replica
            for node in fleet.nodes.values()
            for replica in node.core.claims.server.replicas.values()
            if replica.chart.is_in("prepared") and replica.is_primary
        ]
        return bool(found)

    assert fleet.advance_until(find, step_s=0.001)
    return found[0]
