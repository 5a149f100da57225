"""Tests of the inbox of the main thread."""

import os
from signal import SIGHUP, SIGTERM
from threading import Thread

import pytest

from monsoonmill.process import READ_BYTES, ProcessInbox


@pytest.fixture
def inbox():
    return ProcessInbox()


def receive(inbox, *numbers):
    os.write(inbox._writer, bytes(numbers))


def test_signals_that_come_together_are_taken_once_each(inbox):
    receive(inbox, SIGHUP, SIGTERM, SIGHUP, SIGHUP)
    assert [inbox.take(1.0), inbox.take(1.0)] == [SIGHUP, SIGTERM]
    assert inbox.take(0.0) is None


def test_message_of_a_task_wakes_the_main_thread(inbox):
    Thread(target=inbox.post, args=("ended",)).start()
    assert inbox.take(5.0) == "ended"


def test_message_is_kept_while_the_pipe_is_full(inbox):
    with pytest.raises(BlockingIOError):
        while True:
            receive(inbox, *[SIGHUP] * READ_BYTES)
    inbox.post("ended")
    assert inbox.take(1.0) == "ended"


def test_stop_signal_is_seen_before_it_is_taken(inbox):
    assert not inbox.has_stop_signal()
    receive(inbox, SIGHUP, SIGTERM)
    assert inbox.has_stop_signal()
    assert inbox.take(1.0) == SIGHUP
