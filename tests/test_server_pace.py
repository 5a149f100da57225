"""Ramp-up of a backend server that has just started or recovered."""

import pytest

from monsoonmill.decisions.admission.concurrency_limit import (
    RunResult,
    RunSample,
    ServerEvent,
)
from monsoonmill.decisions.admission.server_pace import PacedLimit
from monsoonmill.decisions.admission.slots_limit import SlotsLimit
from tests.admission_driver import SLOTS, USABLE_SLOTS, AdmissionDriver, make_config

LATENCY_S = 0.057
MIXED = make_config(aims=(300, 1500))


def steady(driver):
    """Respond equally fast with any number of calls."""
    return LATENCY_S


def cold_for_3_s(start):
    """Respond at half the speed after a start, and worse with more than 4 calls."""

    def latency_s(driver):
        if start <= driver.now < start + 3.0:
            return LATENCY_S * max(2.0, driver.running / 2)
        return LATENCY_S

    return latency_s


def run(latency_s, until, config=MIXED, actions=(), respond=None, age_ms=60_000):
    driver = AdmissionDriver(config, latency_s)
    driver.respond = respond or driver.respond
    driver.announce(age_ms=age_ms)
    for when, action in actions:
        driver.events.schedule_at(when, lambda action=action: action(driver))
    driver.flood(until, 400)
    driver.events.run_until(until)
    return driver


def restart(driver):
    driver.announce("i-2", 2, 50)


def say_cold(driver):
    driver.announce(cold_left_ms=3000)


def time_to_full(driver, since):
    return next(
        at for at, limit in driver.limits if at > since and limit == USABLE_SLOTS
    )


def test_node_that_restarts_beside_a_running_server_neither_floods_nor_starves_it():
    driver = run(steady, 4.0)
    assert driver.limit_at(0.1) <= 5
    assert time_to_full(driver, 0.0) <= 2.5
    assert driver.counters.value("pace-limited") > 0


@pytest.mark.parametrize("action", [restart, say_cold])
def test_cold_server_is_not_flooded_and_is_full_soon_after(action):
    driver = run(cold_for_3_s(6.0), 12.0, actions=[(6.0, action)])
    assert driver.limit_at(5.9) == USABLE_SLOTS
    cold = [limit for at, limit in driver.limits if 6.0 < at < 9.0]
    # More than 4 calls slow it further; half of its slots are a flood.
    assert max(cold) <= SLOTS / 2
    assert driver.count_sent(6.5, 9.0) >= 0.4 * 2.5 * 2 / LATENCY_S
    assert time_to_full(driver, 9.0) <= 12.0


def test_responses_decide_if_a_server_says_falsely_that_it_is_cold():
    actions = [(6.0 + n, say_cold) for n in range(8)]
    driver = run(steady, 14.0, actions=actions)
    assert driver.limit_at(6.1) < USABLE_SLOTS
    assert time_to_full(driver, 6.0) <= 8.5
    assert driver.limit_at(13.9) == USABLE_SLOTS


def test_responses_decide_if_a_server_never_says_that_it_is_cold():
    driver = run(cold_for_3_s(0.0), 9.0, age_ms=10)
    assert max(limit for at, limit in driver.limits if at < 2.0) <= SLOTS / 2
    assert time_to_full(driver, 3.0) <= 7.0


def test_server_that_sheds_gets_fewer_calls_but_never_none():
    driver = AdmissionDriver(MIXED, steady)
    full = {"shed": True, "not_run": True}
    driver.respond = lambda now: full if driver.running > 6 else {}
    driver.announce()
    driver.flood(8.0, 400)
    driver.events.run_until(8.0)
    late = [limit for at, limit in driver.limits if at > 4.0]
    # The limit comes down to what the server takes, and is raised by a step at most.
    assert 2 <= min(late) <= 7
    assert max(late) <= 12


@pytest.mark.parametrize(
    "failure", [{"not_sent": True, "failed": True}, {"lost": True, "timed_out": True}]
)
def test_server_that_was_away_is_ramped_up_when_it_is_back(failure):
    driver = run(steady, 11.0, respond=lambda now: failure if 6.0 <= now < 8.0 else {})
    assert driver.limit_at(5.9) == USABLE_SLOTS
    assert driver.limit_at(8.15) <= SLOTS / 2
    assert time_to_full(driver, 8.15) <= 11.0


def test_server_that_is_slow_for_another_reason_still_gets_all_its_slots():
    driver = run(
        lambda driver: LATENCY_S * (2.5 if driver.now > 7.4 else 1.0),
        16.0,
        actions=[(7.0, restart)],
    )
    assert driver.limit_at(7.1) <= 5
    assert time_to_full(driver, 7.0) <= 13.0


def test_other_configurations_use_all_slots_at_once():
    driver = run(steady, 2.0, config=make_config(aims=(300, 600)))
    assert {limit for at, limit in driver.limits if at > 0} == {SLOTS}


def test_refusals_that_fewer_calls_do_not_lower_do_not_hold_a_server_back():
    # A server that answered 1 of 10 runs with 503 stayed at 2 calls for good.
    limit = PacedLimit(SlotsLimit(SLOTS))
    limit.set_announced_slots(SLOTS)
    limit.paces_starts = True
    limit.record_event(ServerEvent.STARTED, 0.0)
    now = 0.0
    while limit.is_reduced and now < 60.0:
        for number in range(20):
            result = RunResult.ANSWERED if number % 10 else RunResult.SHED
            sample = RunSample("r", now, LATENCY_S, limit.limit, result)
            limit.record_run(sample, now + LATENCY_S)
        now += 0.2
    assert limit.limit == SLOTS
    assert now < 20.0
