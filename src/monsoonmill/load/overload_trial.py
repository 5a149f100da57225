"""Compares admission policies under overload, on a virtual clock."""

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
"""Calls a second that the backend servers can do."""
POLICIES = ("all", "fixed", "adaptive")
WARM_UP_S = 5.0
STEADY_S = 12.0
TRIGGER_START_S = 10.0
TRIGGER_END_S = 20.0
RECOVERY_END_S = 40.0
BASE_LOAD = 0.7
RECOVERED_SHARE = 0.95
RECOVERED_FOR_S = 3
COLD = Slowdown(0.0, 2.0, 0.25)


@frozen
class Scenario:
    """What happens in a run.

    Attributes
    ----------
    load : float
        Demand as a multiple of the capacity.
    announced : int
        Slots that the backend servers claim.
    """

    name: str
    load: float
    surge: Surge | None = None
    slowdowns: tuple[Slowdown, ...] = (COLD,)
    end_s: float = WARM_UP_S + STEADY_S
    announced: int = SLOTS


SPELL = Slowdown(TRIGGER_START_S, TRIGGER_END_S, 0.25)
SCENARIOS = (
    Scenario("load 0.8x", 0.8),
    Scenario("load 1x", 1.0),
    Scenario("load 2x", 2.0),
    Scenario("load 5x", 5.0),
    Scenario("load 10x", 10.0),
    Scenario("load 5x, slots claimed 4x", 5.0, announced=4 * SLOTS),
    Scenario(
        "surge 5x",
        BASE_LOAD,
        surge=Surge(TRIGGER_START_S, TRIGGER_END_S, 5.0 / BASE_LOAD),
        end_s=RECOVERY_END_S,
    ),
    Scenario("slow spell 4x", BASE_LOAD, slowdowns=(COLD, SPELL), end_s=RECOVERY_END_S),
)


@frozen
class Report:
    """What a run showed.

    Attributes
    ----------
    goodput : float
        Whole answers a second as a share of the capacity.
    worst_share : float
        Answers of the worst-served organisation as a share of the lesser of
        its demand and its equal share of the capacity.
    modest_failed : float
        Share of failed requests among organisations other than the greedy one.
    critical : float
        Share of critical requests that got their answers.
    recovery_s : float
        Time after the trigger's end until requests succeed again; infinite if
        they did not.
    """

    goodput: float
    worst_share: float
    modest_failed: float
    critical: float
    attempts: float
    recovery_s: float


def run_scenario(scenario: Scenario, policy: str, seed: int) -> Report:
    """Run one scenario under one admission policy."""
    sections = {
        "node": {"random_seed": seed},
        "policy": {"admission": policy},
        "admission": {"initial_limit": SLOTS if policy == "fixed" else 16},
    }
    cfg = Settings.from_dict(sections)
    events = EventQueue()
    spec = ServerSpec(slots=SLOTS, slowdowns=scenario.slowdowns)
    ingress = Ingress(cfg, spec, SERVERS, scenario.announced, events)
    client_spec = ClientSpec(CAPACITY * scenario.load, surge=scenario.surge)
    clients = Clients(
        client_spec,
        events,
        Random(seed),
        lambda request, deadline: ingress.call(
            request, deadline, lambda done: clients.on_answer(request, done)
        ),
    )
    clients.start()
    events.run_until(scenario.end_s)
    return _report(scenario, client_spec, clients, ingress)


def _report(scenario, client_spec, clients, ingress):
    settle_s = client_spec.timeout_s * 2
    span_s = scenario.end_s - settle_s - WARM_UP_S
    counted = [
        one
        for one in clients.requests
        if WARM_UP_S <= one.asked_at < scenario.end_s - settle_s
    ]
    modest = [one for one in counted if one.organisation > 0]
    critical = [
        one for one in counted if one.workload.importance is Importance.CRITICAL
    ]
    return Report(
        goodput=_done(counted) / span_s / CAPACITY,
        worst_share=_worst_share(counted, client_spec.organisations, span_s),
        modest_failed=1 - _done(modest) / len(modest),
        critical=_done(critical) / len(critical),
        attempts=ingress.attempts / len(clients.requests),
        recovery_s=_recovery_s(scenario, clients.requests),
    )


def _done(requests):
    return sum(one.is_done for one in requests)


def _worst_share(requests, organisations, span_s):
    shares = []
    for number in range(organisations):
        own = [one for one in requests if one.organisation == number]
        due = min(len(own), CAPACITY * span_s / organisations)
        shares.append(_done(own) / due)
    return min(shares)


def _recovery_s(scenario, requests):
    """Return the time until a run of seconds in which nearly all succeed."""
    if scenario.end_s != RECOVERY_END_S:
        return 0.0
    asked, done = {}, {}
    for one in requests:
        second = int(one.asked_at)
        asked[second] = asked.get(second, 0) + 1
        done[second] = done.get(second, 0) + one.is_done
    good_for = 0
    for second in range(int(TRIGGER_END_S), int(scenario.end_s) - 2):
        is_good = done.get(second, 0) >= RECOVERED_SHARE * asked.get(second, 1)
        good_for = good_for + 1 if is_good else 0
        if good_for == RECOVERED_FOR_S:
            return second + 1 - RECOVERED_FOR_S - TRIGGER_END_S
    return float("inf")


def compare(seed: int = 1, policies=POLICIES, only: str = "") -> None:
    """Print a table of all scenarios and policies.

    Parameters
    ----------
    seed : int
        Seed of demand and routing.
    policies : tuple of str
        Admission policies to run.
    only : str
        Part of the names of the scenarios to run; empty for all.
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
            report = run_scenario(scenario, policy, seed)
            print(
                f"{scenario.name:26} {policy:9} {report.goodput:7.3f} "
                f"{report.worst_share:6.3f} {report.modest_failed:7.3f} "
                f"{report.critical:8.3f} {report.attempts:6.2f} "
                f"{report.recovery_s:6.0f} s",
                flush=True,
            )


if __name__ == "__main__":
    Fire(compare)
