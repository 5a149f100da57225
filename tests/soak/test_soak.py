"""A short soak run, regression seeds, and unit tests of the soak's parts."""

import pytest

from tests.integration.load import SentRequest
from tests.soak.faults import FAULTS
from tests.soak.invariants import check_rate_limit
from tests.soak.run import SoakRun
from tests.soak.schedule import make_schedule

SHORT_RUN_S = 8.0
FULL_RUN_S = 20.0
REGRESSION_SEEDS = {
    # After the last fault, a lookup of an organisation far below its rate limit is
    # refused as over-rate; open, see docs/FINDINGS.md.
    4: FULL_RUN_S,
    # A draining node did not exit while a release note waited for the platform.
    33: FULL_RUN_S,
}


@pytest.mark.integration
def test_short_run_violates_no_invariant(tmp_path):
    assert SoakRun(tmp_path, 1, SHORT_RUN_S).execute() == []


@pytest.mark.integration
@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_regression_seed_violates_no_invariant(tmp_path, seed):
    assert SoakRun(tmp_path, seed, REGRESSION_SEEDS[seed]).execute() == []


def test_schedule_is_determined_by_its_seed():
    assert make_schedule(7, FULL_RUN_S, 4) == make_schedule(7, FULL_RUN_S, 4)
    assert make_schedule(7, FULL_RUN_S, 4) != make_schedule(8, FULL_RUN_S, 4)


def test_schedules_contain_all_kinds_of_faults_and_overlap():
    schedule = [
        scheduled
        for seed in range(50)
        for scheduled in make_schedule(seed, FULL_RUN_S, 4)
    ]
    assert {type(scheduled.fault) for scheduled in schedule} == set(FAULTS)
    schedule = make_schedule(1, FULL_RUN_S, 4)
    assert any(
        earlier.overlaps(later.start_s, later.end_s)
        for number, earlier in enumerate(schedule)
        for later in schedule[number + 1 :]
    )


def test_component_has_one_fault_at_a_time():
    for seed in range(50):
        schedule = make_schedule(seed, FULL_RUN_S, 4)
        for number, earlier in enumerate(schedule):
            for later in schedule[number + 1 :]:
                same_target = earlier.fault.target == later.fault.target
                assert not (
                    same_target and earlier.overlaps(later.start_s, later.end_s)
                )


def calls_in_one_second(count):
    return [
        SentRequest(f"c{i}", "lookup", "host-0", 10.0, 11.0, 0, 200, "done", "", True)
        for i in range(count)
    ]


def test_calls_above_the_rate_limit_are_reported():
    assert list(check_rate_limit(calls_in_one_second(120), 20, 20)) == []
    (violation,) = check_rate_limit(calls_in_one_second(121), 20, 20)
    assert violation.invariant == "rate limit exceeded"
