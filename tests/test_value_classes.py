"""Guards against values that the program changes, or that differ outside the tests."""

from os import environ
from subprocess import run
from sys import executable

import pytest
from attrs.exceptions import FrozenInstanceError

from monsoonmill.decisions.signals import Send
from monsoonmill.value_classes import CHECK_VARIABLE

CHECK_UNFROZEN_CLASSES = """
from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.decisions.signals import Send
from monsoonmill.messages import PEER_MESSAGES, Hello
from monsoonmill.model import Address
signal = Send("a", 1)
signal.node = "b"
assert signal == Send("b", 1) and hash(signal) == hash(Send("b", 1))
assert len({Address("h", 1), Address("h", 1)}) == 1
assert Address("h", 1) < Address("i", 0)
codec = MsgpackCodec(PEER_MESSAGES)
hello = Hello("a", 1, Address("h", 1))
assert codec.decode(codec.encode(hello)) == hello
"""


def test_assignment_to_a_field_fails_in_the_tests():
    """Without this, no test would notice a handler that changes a signal."""
    with pytest.raises(FrozenInstanceError):
        Send("a", 1).node = "b"


def test_classes_behave_alike_when_they_are_not_frozen():
    """Values are keys of tables and are decoded from frames in either case."""
    env = {name: value for name, value in environ.items() if name != CHECK_VARIABLE}
    run([executable, "-c", CHECK_UNFROZEN_CLASSES], env=env, check=True, timeout=30)
