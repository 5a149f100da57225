"""Tracking of the current process of the local backend server."""

from monsoonmill.decisions.lifecycle.backend_identity import (
    MAX_LEAVING_PROCESSES,
    BackendIdentity,
)
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendAnnounced, BackendDeregistered
from monsoonmill.model import Address

ADDRESS = Address("10.0.0.1", 8080)


def heartbeat(instance="i-1", started=100, sequence=1, leaves=False):
    return BackendHeartbeat(instance, started, sequence, "s", ADDRESS, 4, leaves)


def deregistration(instance="i-1", received_ms=250):
    return BackendDeregistered(instance, received_ms)


def handle(identity, *signals, now=0.0):
    out = []
    for signal in signals:
        handler = identity.handlers()[type(signal)]
        out.extend(handler(signal, now))
    announced = [signal for signal in out if isinstance(signal, BackendAnnounced)]
    return [(signal.instance, signal.draining) for signal in announced]


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
    announced = handle(identity, heartbeat(), deregistration(), heartbeat(sequence=2))
    assert announced == [("i-1", False), ("i-1", True), ("i-1", True)]


def test_restarted_process_with_the_same_identity_is_announced_again():
    identity = BackendIdentity()
    handle(identity, heartbeat(sequence=9), deregistration())
    assert handle(identity, heartbeat(started=300, sequence=1)) == [("i-1", False)]


def test_deregistration_of_another_process_is_ignored():
    identity = BackendIdentity()
    handle(identity, heartbeat("i-2", started=200))
    assert handle(identity, deregistration()) == []


# A node that had just been started acknowledged a deregistration and forgot it; an
# earlier heartbeat that came late brought the backend server back.
def test_late_heartbeat_after_an_unknown_deregistration_is_announced_as_leaving():
    identity = BackendIdentity()
    assert handle(identity, deregistration()) == []
    assert handle(identity, heartbeat(sequence=4)) == [("i-1", True)]
    assert handle(identity, heartbeat(sequence=5), now=30.0) == [("i-1", True)]


def test_late_heartbeat_of_a_deregistered_server_does_not_replace_the_current_one():
    identity = BackendIdentity()
    handle(identity, heartbeat("i-2", started=200), deregistration())
    assert handle(identity, heartbeat("i-1", started=240)) == []
    assert handle(identity, heartbeat("i-2", started=200, sequence=2)) == [
        ("i-2", False)
    ]


def test_process_started_after_an_unknown_deregistration_is_announced():
    identity = BackendIdentity()
    announced = handle(identity, deregistration(), heartbeat(started=251))
    assert announced == [("i-1", False)]


def test_deregistration_of_one_instance_does_not_concern_another():
    identity = BackendIdentity()
    announced = handle(identity, deregistration(), heartbeat("i-2", started=100))
    assert announced == [("i-2", False)]


def test_unknown_deregistration_expires_for_a_server_with_a_wrong_clock():
    identity = BackendIdentity()
    handle(identity, deregistration())
    assert handle(identity, heartbeat(sequence=1), now=59.0) == [("i-1", True)]
    assert handle(identity, heartbeat(sequence=2), now=60.0) == [("i-1", False)]


def test_number_of_remembered_deregistrations_is_limited():
    identity = BackendIdentity()
    for number in range(2 * MAX_LEAVING_PROCESSES):
        handle(identity, deregistration(f"i-{number}"))
    assert len(identity._departed) == MAX_LEAVING_PROCESSES
