"""Limit on the calls in progress at one node."""

import pytest

from monsoonmill.decisions.admission.thread_limit import ReservedThreadLimit
from monsoonmill.errors import CallRefusedError
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import Settings

CFG = Settings.from_dict({"http": {"crew_threads": 20, "reserved_threads": 4}}).http


def fill_up(limit, importance, is_nested=False):
    accepted = 0
    with pytest.raises(CallRefusedError) as caught:
        while accepted <= 20:
            limit.acquire(importance, is_nested)
            accepted += 1
    assert caught.value.reason is Reason.QUEUE_FULL
    return accepted


def test_less_important_calls_leave_threads_to_more_important_ones():
    limit = ReservedThreadLimit(CFG)
    assert fill_up(limit, Importance.BACKGROUND) == 8
    assert fill_up(limit, Importance.NORMAL) == 8
    assert fill_up(limit, Importance.INTERACTIVE) == 2
    assert fill_up(limit, Importance.CRITICAL) == 2


def test_nested_and_external_calls_are_counted_separately():
    limit = ReservedThreadLimit(CFG)
    fill_up(limit, Importance.CRITICAL, is_nested=True)
    limit.acquire(Importance.BACKGROUND, is_nested=False)


def test_thread_of_an_answered_call_is_freed():
    limit = ReservedThreadLimit(CFG)
    fill_up(limit, Importance.NORMAL)
    limit.release(Importance.NORMAL, is_nested=False)
    limit.acquire(Importance.NORMAL, is_nested=False)
