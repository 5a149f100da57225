"""Compares admission policies under overload, in a discrete-event simulation."""

from random import Random

from attrs import frozen
from fire import Fire

from monsoonmill.load.overload_clients import (
    MEAN_WORK_S,
    Clients,
    ClientSpec,
    Surge,
)
from monsoonmill.load.overload_model import EventQueue, ServerSpec, Slowdown
from monsoonmill.load.overload_nodes import Ingress
from monsoonmill.reasons import Importance
from monsoonmill.settings import Settings

SERVERS = 3
SLOTS = 6
CAPACITY = SERVERS * SLOTS / MEAN_WORK_S
"""Calls per second that the backend servers can execute."""
POLICIES = ("all", "fixed", "adaptive")
WARM_UP_S = 5.0
STEADY_S = 12.0
TRIGGER_START_S = 10.0
TRIGGER_END_S = 20.0
"""End of the surge or slowdown that triggers the overload."""
RECOVERY_END_S = 40.0
BASE_LOAD = 0.7
"""Demand outside a surge as a multiple of the capacity."""
RECOVERED_SUCCESS_RATE = 0.95
RECOVERED_PERIOD_S = 3
"""Seconds in a row with the success rate above that count as recovery."""
COLD_START = Slowdown(0.0, 2.0, 0.25)


@frozen
class Scenario:
    """Demand and faults of a run.

    Attributes
    ----------
    load : float
        Demand as a multiple of the capacity.
    announced_slots : int
        Slots that the backend servers announce.
    """

    name: str
    load: float
    surge: Surge | None = None
    slowdowns: tuple[Slowdown, ...] = (COLD_START,)
    end_s: float = WARM_UP_S + STEADY_S
    announced_slots: int = SLOTS


SLOW_PERIOD = Slowdown(TRIGGER_START_S, TRIGGER_END_S, 0.25)
SCENARIOS = (
    Scenario("load 0.8x", 0.8),
    Scenario("load 1x", 1.0),
    Scenario("load 2x", 2.0),
    Scenario("load 5x", 5.0),
    Scenario("load 10x", 10.0),
    Scenario("load 5x, slots claimed 4x", 5.0, announced_slots=4 * SLOTS),
    Scenario(
        "surge 5x",
        BASE_LOAD,
        surge=Surge(TRIGGER_START_S, TRIGGER_END_S, 5.0 / BASE_LOAD),
        end_s=RECOVERY_END_S,
    ),
    Scenario(
        "slow spell 4x",
        BASE_LOAD,
        slowdowns=(COLD_START, SLOW_PERIOD),
        end_s=RECOVERY_END_S,
    ),
)


@frozen
class ScenarioResult:
    """Measurements of a run.

    Attributes
    ----------
    goodput : float
        Successful requests per second, divided by the capacity.
    worst_share : float
        Successful requests of the worst-served organisation, divided by the
        lesser of its demand and its equal share of the capacity.
    others_failed : float
        Failure rate of all organisations but the first, whose demand is higher.
    critical : float
        Success rate of critical requests.
    attempts : float
        Attempts of the ingress node per request.
    recovery_s : float
        Time from the end of the surge or slowdown until requests succeed again;
        infinite if they do not.
    """

    goodput: float
    worst_share: float
    others_failed: float
    critical: float
    attempts: float
    recovery_s: float


def run_scenario(scenario: Scenario, policy: str, seed: int) -> ScenarioResult:
    """Run one scenario under one admission policy."""
    sections = {
        "node": {"random_seed": seed},
        "policy": {"admission": policy},
        "admission": {"initial_limit": SLOTS if policy == "fixed" else 16},
    }
    cfg = Settings.from_dict(sections)
    events = EventQueue()
    spec = ServerSpec(slots=SLOTS, slowdowns=scenario.slowdowns)
    ingress = Ingress(cfg, spec, SERVERS, scenario.announced_slots, events)
    client_spec = ClientSpec(CAPACITY * scenario.load, surge=scenario.surge)
    clients = Clients(
        client_spec,
        events,
        Random(seed),
        lambda request, deadline: ingress.call(
            request,
            deadline,
            lambda succeeded: clients.on_attempt_ended(request, succeeded),
        ),
    )
    clients.start()
    events.run_until(scenario.end_s)
    return _summarise(scenario, client_spec, clients, ingress)


def _summarise(scenario, client_spec, clients, ingress):
    settle_s = client_spec.timeout_s * 2
    span_s = scenario.end_s - settle_s - WARM_UP_S
    counted = [
        request
        for request in clients.requests
        if WARM_UP_S <= request.created_at < scenario.end_s - settle_s
    ]
    others = [request for request in counted if request.organisation > 0]
    critical = [
        request
        for request in counted
        if request.workload.importance is Importance.CRITICAL
    ]
    return ScenarioResult(
        goodput=_count_succeeded(counted) / span_s / CAPACITY,
        worst_share=_worst_share(counted, client_spec.organisations, span_s),
        others_failed=1 - _count_succeeded(others) / len(others),
        critical=_count_succeeded(critical) / len(critical),
        attempts=ingress.attempts / len(clients.requests),
        recovery_s=_recovery_s(scenario, clients.requests),
    )


def _count_succeeded(requests):
    return sum(request.has_succeeded for request in requests)


def _worst_share(requests, organisations, span_s):
    shares = []
    for number in range(organisations):
        own = [request for request in requests if request.organisation == number]
        entitled = min(len(own), CAPACITY * span_s / organisations)
        shares.append(_count_succeeded(own) / entitled)
    return min(shares)


def _recovery_s(scenario, requests):
    """Return the time until the success rate stays high for several seconds."""
    if scenario.end_s != RECOVERY_END_S:
        return 0.0
    created, succeeded = {}, {}
    for request in requests:
        second = int(request.created_at)
        created[second] = created.get(second, 0) + 1
        succeeded[second] = succeeded.get(second, 0) + request.has_succeeded
    good_seconds = 0
    for second in range(int(TRIGGER_END_S), int(scenario.end_s) - 2):
        is_good = succeeded.get(second, 0) >= RECOVERED_SUCCESS_RATE * created.get(
            second, 1
        )
        good_seconds = good_seconds + 1 if is_good else 0
        if good_seconds == RECOVERED_PERIOD_S:
            return second + 1 - RECOVERED_PERIOD_S - TRIGGER_END_S
    return float("inf")


def compare(seed: int = 1, policies=POLICIES, only: str = "") -> None:
    """Print a table of all scenarios and policies.

    Parameters
    ----------
    seed : int
        Seed of the demand and of routing.
    policies : tuple of str
        Admission policies to run.
    only : str
        Run only scenarios whose names contain this text; empty for all.
    """
    print(f"seed {seed}, capacity {CAPACITY:.0f} calls/s")
    print(
        f"{'scenario':26} {'policy':9} {'goodput':>7} {'worst':>6} {'modest':>7} "
        f"{'critical':>8} {'tries':>6} {'recover':>8}"
    )
    for scenario in SCENARIOS:
        if only not in scenario.name:
            continue
        for policy in policies:
            result = run_scenario(scenario, policy, seed)
            print(
                f"{scenario.name:26} {policy:9} {result.goodput:7.3f} "
                f"{result.worst_share:6.3f} {result.others_failed:7.3f} "
                f"{result.critical:8.3f} {result.attempts:6.2f} "
                f"{result.recovery_s:6.0f} s",
                flush=True,
            )


if __name__ == "__main__":
    Fire(compare)
