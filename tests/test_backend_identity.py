"""Which process of the own backend server counts."""

from monsoonmill.decisions.lifecycle.backend_identity import BackendIdentity
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendDeregistered
from monsoonmill.model import Address

ADDRESS = Address("10.0.0.1", 8080)


def beat(instance="i-1", started=100, sequence=1, leaves=False):
    return BackendHeartbeat(instance, started, sequence, "s", ADDRESS, 4, leaves)


def feed(identity, *signals):
    out = []
    for signal in signals:
        handler = identity.handlers()[type(signal)]
        out.extend(handler(signal, 0.0))
    return [(one.instance, one.draining) for one in out]


def test_heartbeats_announce_the_process():
    assert feed(BackendIdentity(), beat(), beat(sequence=2)) == [("i-1", False)] * 2


def test_late_heartbeat_of_the_same_process_is_ignored():
    identity = BackendIdentity()
    assert feed(identity, beat(sequence=5, leaves=True), beat(sequence=4)) == [
        ("i-1", True)
    ]


def test_late_heartbeat_of_an_earlier_process_is_ignored():
    identity = BackendIdentity()
    told = feed(
        identity, beat("i-2", started=200), beat("i-1", started=100, sequence=9)
    )
    assert told == [("i-2", False)]


def test_process_that_left_does_not_come_back():
    identity = BackendIdentity()
    told = feed(identity, beat(), BackendDeregistered("i-1"), beat(sequence=2))
    assert told == [("i-1", False), ("i-1", True), ("i-1", True)]


def test_same_identity_after_a_restart_counts_anew():
    identity = BackendIdentity()
    feed(identity, beat(sequence=9), BackendDeregistered("i-1"))
    assert feed(identity, beat(started=300, sequence=1)) == [("i-1", False)]


def test_goodbye_of_another_process_changes_nothing():
    identity = BackendIdentity()
    feed(identity, beat("i-2", started=200))
    assert feed(identity, BackendDeregistered("i-1")) == []
