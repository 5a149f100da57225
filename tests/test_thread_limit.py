"""Bound on the calls in progress at one node."""

import pytest

from monsoonmill.decisions.admission.thread_limit import ReservedThreadLimit
from monsoonmill.errors import RefusedError
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import Settings

CFG = Settings.from_dict({"http": {"crew_threads": 20, "reserved_threads": 4}}).http


def fill(door, importance, is_nested=False):
    entered = 0
    with pytest.raises(RefusedError) as caught:
        while entered <= 20:
            door.acquire(importance, is_nested)
            entered += 1
    assert caught.value.reason is Reason.QUEUE_FULL
    return entered


def test_lookups_leave_threads_to_crews_and_pledges():
    door = ReservedThreadLimit(CFG)
    assert fill(door, Importance.BACKGROUND) == 8
    assert fill(door, Importance.NORMAL) == 8
    assert fill(door, Importance.INTERACTIVE) == 2
    assert fill(door, Importance.CRITICAL) == 2


def test_nested_calls_and_calls_from_outside_are_counted_apart():
    door = ReservedThreadLimit(CFG)
    fill(door, Importance.CRITICAL, is_nested=True)
    door.acquire(Importance.BACKGROUND, is_nested=False)


def test_thread_of_an_answered_call_is_free_again():
    door = ReservedThreadLimit(CFG)
    fill(door, Importance.NORMAL)
    door.release(Importance.NORMAL, is_nested=False)
    door.acquire(Importance.NORMAL, is_nested=False)
