"""The concurrency limit follows the measured delay."""

from monsoonmill.decisions.admission.concurrency_limit import (
    AdaptiveLimit,
    RunResult,
    RunSample,
)
from monsoonmill.decisions.admission.route_latency import RouteLatencies
from monsoonmill.settings import Settings

CFG = Settings.from_dict({}).admission


class LimitDriver:
    """Feeds a limit with runs of a server; its latency is a function of concurrency."""

    def __init__(self, latency, announced=0):
        self.limit = AdaptiveLimit(CFG)
        self.limit.set_announced_slots(announced)
        self.latency = latency
        self.now = 100.0

    def run(self, seconds, result=RunResult.ANSWERED, route="r", share=1.0):
        limits = []
        end = self.now + seconds
        while self.now < end:
            running = max(int(self.limit.limit * share), 1)
            latency_s = self.latency(running)
            started, self.now = self.now, self.now + latency_s
            for _ in range(running):
                if share == 1.0:
                    self.limit.record_full()
                sample = RunSample(route, started, latency_s, running, result)
                self.limit.record_run(sample, self.now)
            limits.append(self.limit.limit)
        return limits


def server_with_slots(slots, base_s=0.05):
    return lambda running: base_s * max(1.0, running / slots)


def test_limit_converges_to_the_slots_whatever_was_announced():
    for announced in (0, 10, 40, 400):
        driver = LimitDriver(server_with_slots(40), announced)
        driver.run(30)
        limits = driver.run(30)
        assert 40 <= sum(limits) / len(limits) <= 100, announced


def test_limit_shrinks_when_the_backend_server_loses_slots():
    driver = LimitDriver(server_with_slots(60))
    driver.run(20)
    driver.latency = server_with_slots(10)
    driver.run(10)
    assert driver.limit.limit <= 30


def test_latency_independent_of_the_limit_does_not_starve_the_server():
    driver = LimitDriver(server_with_slots(40))
    before = driver.run(20)[-1]
    driver.latency = lambda running: server_with_slots(40)(running) * 4
    limits = driver.run(20)
    assert limits[-1] >= before / 3
    assert min(limits) >= 8


def test_slow_route_is_not_treated_as_overload():
    driver = LimitDriver(server_with_slots(40))
    driver.run(10, share=0.5)
    before = driver.limit.limit
    driver.latency = lambda running: 1.0
    driver.run(20, route="download", share=0.5)
    assert driver.limit.limit >= before


def test_refusals_by_the_backend_server_shrink_the_limit():
    driver = LimitDriver(server_with_slots(40))
    before = driver.run(10)[-1]
    driver.run(2, result=RunResult.SHED)
    assert driver.limit.limit < before / 2


def test_fast_errors_do_not_lower_the_baseline():
    driver = LimitDriver(server_with_slots(40))
    before = driver.run(10)[-1]
    driver.latency = lambda running: 0.001
    driver.run(1, result=RunResult.FAILED)
    driver.latency = server_with_slots(40)
    driver.run(10)
    assert driver.limit.limit >= before / 2


def test_cold_start_has_no_lasting_effect():
    driver = LimitDriver(lambda running: server_with_slots(40)(running) * 20)
    driver.run(5)
    driver.latency = server_with_slots(40)
    driver.run(40)
    limits = driver.run(20)
    assert 40 <= sum(limits) / len(limits) <= 100


def test_limit_recovers_within_seconds_after_a_cold_start():
    driver = LimitDriver(lambda running: server_with_slots(5)(running) * 4)
    driver.run(2)
    driver.latency = server_with_slots(5)
    driver.run(8)
    assert max(driver.run(1)) <= 15


def test_fast_first_run_of_a_slow_route_sets_no_lasting_baseline():
    latencies = RouteLatencies()
    latencies.record("download", 0.03, False, 0.0)
    for number in range(40):
        latencies.record("download", 0.3, False, number / 10)
    assert latencies.get("download").baseline_s > 0.25


def test_short_timeouts_of_callers_do_not_shrink_the_limit():
    driver = LimitDriver(server_with_slots(40))
    before = driver.run(10)[-1]
    driver.latency = lambda running: 0.01
    driver.run(5, result=RunResult.CUT_OFF)
    assert driver.limit.limit >= before
