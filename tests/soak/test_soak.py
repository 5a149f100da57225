"""A short seeded soak, the seeds that once failed, and the soak's own parts."""

import pytest

from tests.integration.load import Sent
from tests.soak.faults import FAULTS
from tests.soak.invariants import check_rate
from tests.soak.run import SoakRun
from tests.soak.schedule import make_schedule

SHORT_S = 8.0
WHOLE_S = 20.0
REGRESSIONS = {
    # One lookup of an organisation far below its rate is refused as over rate
    # after all faults are over; open, see docs/FINDINGS.md.
    4: WHOLE_S,
    # A node that drained did not end: a release note waited for the platform.
    33: WHOLE_S,
}


@pytest.mark.integration
def test_short_run_breaks_no_promise(tmp_path):
    assert SoakRun(tmp_path, 1, SHORT_S).play() == []


@pytest.mark.integration
@pytest.mark.parametrize("seed", REGRESSIONS)
def test_seed_that_once_failed_breaks_no_promise(tmp_path, seed):
    assert SoakRun(tmp_path, seed, REGRESSIONS[seed]).play() == []


def test_schedule_follows_from_its_seed():
    assert make_schedule(7, WHOLE_S, 4) == make_schedule(7, WHOLE_S, 4)
    assert make_schedule(7, WHOLE_S, 4) != make_schedule(8, WHOLE_S, 4)


def test_schedules_overlap_and_have_every_kind_of_fault():
    steps = [step for seed in range(50) for step in make_schedule(seed, WHOLE_S, 4)]
    assert {type(step.fault) for step in steps} == set(FAULTS)
    one = make_schedule(1, WHOLE_S, 4)
    assert any(
        early.overlaps(late.begins_s, late.ends_s)
        for number, early in enumerate(one)
        for late in one[number + 1 :]
    )


def test_a_place_has_one_fault_at_a_time():
    for seed in range(50):
        steps = make_schedule(seed, WHOLE_S, 4)
        for number, early in enumerate(steps):
            for late in steps[number + 1 :]:
                is_same = early.fault.place == late.fault.place
                assert not (is_same and early.overlaps(late.begins_s, late.ends_s))


def calls_in_one_second(count):
    return [
        Sent(f"c{i}", "lookup", "host-0", 10.0, 11.0, 0, 200, "done", "", True)
        for i in range(count)
    ]


def test_calls_beyond_a_windows_rate_are_noticed():
    assert list(check_rate(calls_in_one_second(120), 20, 20)) == []
    (broken,) = check_rate(calls_in_one_second(121), 20, 20)
    assert broken.promise == "over the rate"
