"""Bound on the requests that reach a cold backend server."""

from types import SimpleNamespace

import pytest

from monsoonmill.decisions.admission.cold_limit import ColdLimit
from monsoonmill.decisions.calls.execution import Execution
from monsoonmill.decisions.calls.running_requests import (
    RunningRequest,
    RunningRequests,
)
from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.messages import Forward
from monsoonmill.model import HttpRequest, HttpResponse, Service
from monsoonmill.reasons import Importance, Reason
from tests.admission_driver import ADDRESS, AdmissionDriver, make_config

PER_S = 50
BOUND = 0.9 * (1.5 * PER_S + 8)
CONFIG = make_config(PER_S, 3000)
MISDIRECTED = {"shed": True, "not_run": True, "misdirected": True}


def flooded(config=CONFIG, per_s=1000, until=12.0):
    driver = AdmissionDriver(config)
    driver.announce()
    driver.flood(until, per_s)
    return driver


def test_flood_of_a_new_process_keeps_the_bound_in_every_second_and_does_not_starve():
    driver = flooded()
    driver.events.schedule_at(4.0, lambda: driver.announce("i-2", 2, 50))
    driver.events.run_until(12.0)
    assert driver.most_in_a_second(4.0, 7.0) <= BOUND
    assert driver.most_in_a_second(8.0) > BOUND, "still cold after 3 s"
    assert driver.count_sent(5.2, 6.2) >= 0.8 * PER_S
    cold_reasons = {why for when, why in driver.refused if 4.0 <= when < 7.0}
    assert cold_reasons == {Reason.SHED}
    assert driver.counters.value("cold-refused") > 1000


def test_requests_are_spread_rather_than_sent_as_a_block():
    driver = AdmissionDriver(CONFIG)
    driver.announce(cold_left_ms=3000)
    driver.flood(3.0, 1000)
    driver.events.run_until(3.0)
    assert max(driver.count_sent(n / 10, (n + 1) / 10) for n in range(30)) <= 9
    assert driver.most_in_a_second() <= PER_S * 1.1


@pytest.mark.parametrize("before_per_s", [1000, 60])
def test_heartbeat_makes_a_warm_server_cold_whose_last_second_counts(before_per_s):
    driver = flooded(per_s=before_per_s, until=4.0)
    driver.events.schedule_at(4.0, lambda: driver.announce(cold_left_ms=2000))
    driver.events.schedule_at(4.0, lambda: driver.flood(9.5, 1000))
    driver.events.schedule_at(8.0, lambda: driver.announce(cold_left_ms=2000))
    driver.events.run_until(9.5)
    assert 0 < driver.most_in_a_second(4.0, 6.0) <= BOUND
    assert 0 < driver.most_in_a_second(8.0, 9.5) <= BOUND


def test_requests_that_the_server_rejects_as_misdirected_do_not_count():
    driver = AdmissionDriver(CONFIG)
    driver.announce(cold_left_ms=5000)
    driver.respond = lambda now: MISDIRECTED if now < 2.5 else {}
    driver.flood(4.0, 1000)
    driver.events.run_until(4.0)
    assert driver.count_sent(1.3, 2.3) > BOUND, "rejected requests were counted"
    assert driver.count_sent(2.5, 2.7) >= 5
    assert driver.most_in_a_second() <= BOUND


def test_process_that_ran_before_the_node_is_not_cold_and_a_young_one_is():
    for age_ms, begins in ((60_000, False), (1000, True), (None, False)):
        limit = ColdLimit(1.5, 8)
        limit.start(0.0)
        limit.configure(CONFIG.services["s"], 0.0)
        announced = BackendAnnounced("s", ADDRESS, 25, False, "i-1", 1, age_ms)
        assert limit.record_announcement(announced, 1.0) is begins
        assert limit.is_cold(2.9) is begins
        assert not limit.is_cold(3.1)


def test_wrong_cold_time_ends_once_the_server_no_longer_states_it():
    limit = ColdLimit(1.5, 8)
    limit.configure(CONFIG.services["s"], 0.0)
    for now, cold_left_ms in ((0.0, 3_600_000.0), (1.0, 0.0), (2.0, 0.0)):
        announced = BackendAnnounced(
            *("s", ADDRESS, 25, False, "i-1", 1), 60_000, cold_left_ms
        )
        limit.record_announcement(announced, now)
    assert limit.is_cold(3.9)
    assert not limit.is_cold(4.1)


def test_without_a_rate_nothing_changes_and_a_rate_takes_effect_at_run_time():
    plain, other = flooded(make_config()), flooded(make_config())
    other.events.schedule_at(
        2.0, lambda: other.announce("i-2", 2, 50, cold_left_ms=9000)
    )
    plain.events.run_until(4.0)
    other.events.run_until(4.0)
    assert other.sent == plain.sent
    other.events.schedule_at(4.0, lambda: other.configure(CONFIG))
    other.events.run_until(9.0)
    assert 0 < other.most_in_a_second(4.0, 9.0) <= BOUND


@pytest.mark.parametrize(
    ("finished", "names"),
    [
        (RunFinished("a", HttpResponse(421), None, True), {"misdirected"}),
        (RunFinished("a", HttpResponse(503), None, True), set()),
        (RunFinished("a", None, RunFailure.NOT_SENT), {"not_sent"}),
        (RunFinished("a", None, RunFailure.CONNECTION_LOST), {"lost"}),
    ],
)
def test_released_slot_tells_what_reached_the_server(finished, names):
    request = HttpRequest("GET", "/")
    forward = Forward("a", "s", "r", request, "o", Importance.NORMAL, *[0] * 5)
    controller = SimpleNamespace(running_requests=RunningRequests())
    execution = Execution("n", forward, 9.0, controller)
    execution.release_slot(finished)
    (released,) = execution.outbox
    flags = ("misdirected", "not_sent", "lost")
    assert {name for name in flags if getattr(released, name)} == names


def test_nested_calls_inherit_that_their_chain_has_left_a_region():
    running = RunningRequests()
    parent = RunningRequest(Importance.NORMAL, has_crossed=True)
    running.add("parent", parent)
    running.add("other", RunningRequest(Importance.NORMAL))
    assert running.find("parent").has_crossed
    assert not running.find("other").has_crossed
    running.remove("parent", RunningRequest(Importance.NORMAL, has_crossed=True))
    assert running.find("parent") is parent
    running.remove("parent", parent)
    assert running.find("parent") is None


def test_start_before_the_configuration_is_known_counts_as_cold():
    # The first heartbeat of a host that has just started came before the configuration.
    limit = ColdLimit(1.5, 8)
    limit.start(0.0)
    limit.record_announcement(BackendAnnounced("s", ADDRESS, 10, age_ms=500), 0.5)
    limit.configure(Service("s", cold_start_ms=3000, cold_per_s=5.0), 0.6)
    assert limit.is_cold(2.9)
    assert not limit.is_cold(3.1)


def test_rate_below_one_request_still_lets_some_through():
    limit = ColdLimit(0.0, 0.0)
    limit.configure(Service("s", cold_start_ms=3000, cold_per_s=0.5), 0.0)
    limit.record_announcement(
        BackendAnnounced("s", ADDRESS, 10, cold_left_ms=60_000), 1.0
    )
    assert limit.next_send(10.0) == 10.0
    limit.record_sent("a", 10.0)
    assert 10.5 < limit.next_send(10.1) < 15.0
