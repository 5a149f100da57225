"""Tests of the inbox of the main thread."""

import os
import sys
from signal import SIGHUP, SIGTERM
from subprocess import PIPE, Popen
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


SLOW_START = """
from select import select
from monsoonmill.process import ProcessInbox

inbox = ProcessInbox.install()
with inbox.ending_at_once():
    print("importing", flush=True)
    for _ in range(3000):
        select((), (), (), 0.01)
print("imported", flush=True)
"""


# On a busy host a node that was told to stop during its imports was there at the end of
# its grace period.
def test_stop_signal_during_the_imports_ends_the_process_at_once():
    process = Popen([sys.executable, "-c", SLOW_START], stdout=PIPE)
    assert process.stdout.readline() == b"importing\n"
    process.send_signal(SIGHUP)
    process.send_signal(SIGTERM)
    output, _ = process.communicate(timeout=20)
    assert process.returncode == 0
    assert b"ended_before_start" in output
    assert b"imported" not in output


def test_stop_signal_before_the_imports_ends_the_process_at_once(inbox):
    receive(inbox, SIGTERM)
    child = os.fork()
    if not child:
        with inbox.ending_at_once():
            os._exit(1)
    assert os.waitpid(child, 0)[1] == 0
