"""Delay of socket polls by event batching."""

import pytest

from monsoonmill.node.event_batching import EventBatcher

INTERVAL_S = 0.003


def test_poll_of_an_idle_task_is_not_delayed():
    batcher = EventBatcher(INTERVAL_S)
    assert batcher.poll_delay_s(10.0) == 0.0
    batcher.record_wake_up(waited_since=10.0, now=10.5)
    assert batcher.poll_delay_s(10.5) == 0.0


def test_poll_of_a_busy_task_is_delayed_until_an_interval_after_its_last_wake_up():
    batcher = EventBatcher(INTERVAL_S)
    batcher.record_wake_up(waited_since=10.0, now=10.001)
    assert batcher.poll_delay_s(10.002) == pytest.approx(0.002)
    assert batcher.poll_delay_s(10.02) == 0.0


def test_task_is_idle_again_after_one_long_wait():
    batcher = EventBatcher(INTERVAL_S)
    batcher.record_wake_up(waited_since=10.0, now=10.001)
    batcher.record_wake_up(waited_since=10.004, now=10.02)
    assert batcher.poll_delay_s(10.021) == 0.0


def test_interval_of_zero_delays_nothing():
    batcher = EventBatcher(0.0)
    batcher.record_wake_up(waited_since=10.0, now=10.0)
    assert batcher.poll_delay_s(10.0) == 0.0
