"""Tracking of the current process of the local backend server."""

from monsoonmill.decisions.lifecycle.backend_identity import BackendIdentity
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendDeregistered
from monsoonmill.model import Address

ADDRESS = Address("10.0.0.1", 8080)


def heartbeat(instance="i-1", started=100, sequence=1, leaves=False):
    return BackendHeartbeat(instance, started, sequence, "s", ADDRESS, 4, leaves)


def handle(identity, *signals):
    out = []
    for signal in signals:
        handler = identity.handlers()[type(signal)]
        out.extend(handler(signal, 0.0))
    return [(announced.instance, announced.draining) for announced in out]


def test_heartbeats_announce_the_process():
    assert (
        handle(BackendIdentity(), heartbeat(), heartbeat(sequence=2))
        == [("i-1", False)] * 2
    )


def test_late_heartbeat_of_the_same_process_is_ignored():
    identity = BackendIdentity()
    assert handle(
        identity, heartbeat(sequence=5, leaves=True), heartbeat(sequence=4)
    ) == [("i-1", True)]


def test_late_heartbeat_of_an_earlier_process_is_ignored():
    identity = BackendIdentity()
    announced = handle(
        identity,
        heartbeat("i-2", started=200),
        heartbeat("i-1", started=100, sequence=9),
    )
    assert announced == [("i-2", False)]


def test_leaving_process_stays_draining_in_later_heartbeats():
    identity = BackendIdentity()
    announced = handle(
        identity, heartbeat(), BackendDeregistered("i-1"), heartbeat(sequence=2)
    )
    assert announced == [("i-1", False), ("i-1", True), ("i-1", True)]


def test_restarted_process_with_the_same_identity_is_announced_again():
    identity = BackendIdentity()
    handle(identity, heartbeat(sequence=9), BackendDeregistered("i-1"))
    assert handle(identity, heartbeat(started=300, sequence=1)) == [("i-1", False)]


def test_deregistration_of_another_process_is_ignored():
    identity = BackendIdentity()
    handle(identity, heartbeat("i-2", started=200))
    assert handle(identity, BackendDeregistered("i-1")) == []
