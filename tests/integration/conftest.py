"""Steps and fixtures shared by the scenarios."""

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, then, when

from tests.integration.load import CLOCK, LoadGenerator, LoadProfile, Oracle
from tests.integration.release_notes import SECRETS, initial_note
from tests.process_fleet import NodeHost, ProcessFleet

WARM_UP_CALLS = 150
"""Number of results that show that calls are served."""
CALL_DEADLINE_S = 9.0
"""Timeout of a call, 8 s, and 1 s for its response to reach the caller."""
MAX_LATENCY_S = 1.0
RECOVERY_S = 5.0
"""Time after a fault within which calls are served again."""
NODE_SETTINGS = {"drain": {"settle_ms": 1500, "limit_s": 20}}
BACKEND_SETTINGS = {
    "work": {
        "slots": 16,
        "routes": [
            {"path": "/", "mean_ms": 20, "jitter_ms": 10, "answer_bytes": 2000},
            {"path": "/browse", "mean_ms": 50, "answer_bytes": 60_000},
        ],
    },
}


@define
class ScenarioContext:
    """State shared by the steps of one scenario.

    Attributes
    ----------
    faulty_host : NodeHost or None
        Host that the fault affects; None if it affects all.
    fault_changed_at : float
        When a fault last began or ended.
    results : list
        What a step obtained for a later step to check.
    """

    directory: object
    fleet: ProcessFleet | None = None
    load: LoadGenerator | None = None
    seed: int = 1
    faulty_host: NodeHost | None = None
    fault_changed_at: float = 0.0
    results: list = field(factory=list)

    def auth_headers(self, organisation="branch"):
        """Return the headers that carry an organisation's key."""
        return {"Authorization": f"Bearer {SECRETS[organisation]}"}

    def diagnostic_counters(self):
        """Return each node's counters, by host, without those of served calls."""
        served = ("calls", "answered")
        return {
            host.name: {
                name: count
                for name, count in (host.try_query("counters") or {}).items()
                if name not in served
            }
            for host in self.fleet.hosts
        }

    def mark_fault_change(self, host=None):
        """Record that a fault begins or ends now, and the host that it affects."""
        self.fault_changed_at = CLOCK.now()
        if host is not None:
            self.faulty_host = host

    def close(self):
        """End the callers and the fleet, also after a failed step."""
        if self.load is not None:
            self.load.request_stop()
        if self.fleet is not None:
            self.fleet.__exit__()
        if self.load is not None:
            self.load.stop()

    def oracle(self):
        """Stop the load and return an oracle over its results."""
        return Oracle(self.load.stop(), self.fleet.executions())


@pytest.fixture
def context(tmp_path):
    context = ScenarioContext(tmp_path)
    yield context
    context.close()


def start_fleet(context, size, proxied=False, **options):
    options = {
        "node_settings": NODE_SETTINGS,
        "backend_settings": BACKEND_SETTINGS,
        **options,
    }
    services = options.pop("services", ("donkeys",))
    context.fleet = ProcessFleet(context.directory, **options)
    context.fleet.start(size, proxied=proxied, services=services)
    assert context.fleet.hosts[0].admin.accept_note(initial_note()) == 1
    context.fleet.await_revision(1)


@given(parsers.parse("a fleet of {size:d} hosts under the initial release note"))
def running_fleet(context, size):
    start_fleet(context, size)


@given(parsers.parse("a fleet of {size:d} hosts with a fault proxy between the nodes"))
def proxied_fleet(context, size):
    start_fleet(context, size, proxied=True)


@given(parsers.parse("branches send lookups and pledges, seed {seed:d}"))
def mixed_load(context, seed):
    start_load(context, LoadProfile(), seed)


@given(
    parsers.parse("branches resend pledges until they know the result, seed {seed:d}")
)
def load_with_resends(context, seed):
    start_load(context, LoadProfile(max_resends=4, repeat_share=0.3), seed)


def start_load(context, profile, seed):
    context.seed = seed
    context.load = LoadGenerator(context.fleet, profile, seed)
    context.load.await_results(WARM_UP_CALLS)


@when(parsers.parse("{count:d} more calls have ended"))
def wait_for_calls(context, count):
    context.load.await_results(count)


@then("from 5 seconds after the fault, lookups at other nodes succeed within 1 second")
def lookups_recover(context):
    since = context.fault_changed_at + RECOVERY_S
    context.load.run_for(max(since - CLOCK.now(), 0.0))

    def is_relevant(request):
        is_elsewhere = (
            context.faulty_host is None or request.host != context.faulty_host.name
        )
        return is_elsewhere and request.kind == "lookup" and request.sent_at >= since

    context.load.await_results(WARM_UP_CALLS, where=is_relevant)
    failed = [
        request
        for request in filter(is_relevant, context.load.requests)
        if not request.is_done or request.ended_at - request.sent_at > MAX_LATENCY_S
    ]
    assert failed == []


@then("every call ends within its deadline")
@then("every call to another node ends within its deadline")
def calls_end_in_time(context):
    stopped_host = (
        context.faulty_host.name
        if context.faulty_host and context.faulty_host.is_down
        else ""
    )
    late = [
        request
        for request in context.load.stop()
        if request.ended_at - request.sent_at > CALL_DEADLINE_S
        and request.host != stopped_host
    ]
    assert late == []


@then("no pledge ran twice and no result was wrong")
def results_match_executions(context):
    oracle = context.oracle()
    print(sorted(oracle.count_outcomes(context.fault_changed_at).items()))
    oracle.check()


@then("every response is intact and no backend server received a key")
def responses_intact_without_key_leaks(context):
    oracle = context.oracle()
    assert oracle.corrupt_responses() == []
    assert oracle.key_leaks() == []
    assert any(request.is_done for request in oracle.requests)
