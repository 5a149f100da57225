"""The oracle of the claims tests detects deliberate faults in the code."""

import pytest

from monsoonmill.decisions.calls.signals import RunFailure
from monsoonmill.decisions.claims import paired, rules
from monsoonmill.decisions.claims.paired import PairedClaims
from monsoonmill.decisions.claims.replica import Replica
from monsoonmill.decisions.claims.server import ClaimServer
from monsoonmill.reasons import Outcome
from tests.claims_fleet import ClaimsFleet


class GrantsBeforeAcknowledgement(Replica):
    def replicate(self, entry, replies, now):
        yield from super().replicate(entry, [], now)
        yield from replies


class ServesBeforeTransfer(Replica):
    def planned_backup_needs_copy(self, arg):
        return False

    def has_current_copy(self, arg):
        return True


class IgnoresLostClaims(ClaimServer):
    def is_recovered(self, record, partition, now):
        return True


def with_replica(cls):
    class MutantServer(ClaimServer):
        replica_class = cls

    return with_server(MutantServer)


def with_server(cls):
    class Mutant(PairedClaims):
        server_class = cls

    return Mutant


def repeat_call(fleet, count=3, gap_s=3.0):
    for number in range(count):
        nodes = list(fleet.nodes.values())
        fleet.send_call(nodes[number % len(nodes)], "k")
        fleet.advance(gap_s)


def lose_primary_before_replication(fleet):
    """Kill a primary whose replication messages were lost."""
    record = fleet.record_of("k")
    fleet.cut_links.add(frozenset((record.primary.node, record.backup.node)))
    holders = {record.primary.node, record.backup.node}
    caller = next(node for node in fleet.nodes.values() if node.name not in holders)
    fleet.send_call(caller, "k")
    fleet.advance(0.5)
    fleet.kill(fleet.nodes[record.primary.node])
    fleet.advance(4)
    repeat_call(fleet)


def lose_both_replicas(fleet):
    """Kill the primary and the backup at once."""
    fleet.send_call(next(iter(fleet.nodes.values())), "k")
    fleet.advance(1)
    record = fleet.record_of("k")
    for holder in (record.primary, record.backup):
        fleet.kill(fleet.nodes[holder.node])
    fleet.advance(20)
    repeat_call(fleet)


def lose_replicas_in_succession(fleet):
    """Kill the primary, then the backup as soon as it has taken over."""
    fleet.send_call(next(iter(fleet.nodes.values())), "k")
    fleet.advance(1)
    primary = fleet.record_of("k").primary
    backup = fleet.record_of("k").backup
    fleet.kill(fleet.nodes[primary.node])
    assert fleet.advance_until(
        lambda: fleet.record_of("k").primary == backup, step_s=0.001
    )
    fleet.cut_links |= {
        frozenset((backup.node, other)) for other in fleet.nodes if other != backup.node
    }
    fleet.advance(0.2)
    fleet.kill(fleet.nodes[backup.node])
    fleet.advance(4)
    repeat_call(fleet)


def lose_response(fleet):
    """Repeat a call whose connection to the backend server was lost."""
    fleet.failure = RunFailure.CONNECTION_LOST
    repeat_call(fleet)


def violations_after(history):
    fleet = ClaimsFleet(6)
    assert fleet.wait_until_settled()
    history(fleet)
    return fleet.violations


@pytest.mark.parametrize(
    ("mutant", "history"),
    [
        (with_replica(GrantsBeforeAcknowledgement), lose_primary_before_replication),
        (with_replica(ServesBeforeTransfer), lose_replicas_in_succession),
        (with_server(IgnoresLostClaims), lose_both_replicas),
    ],
)
def test_mutant_runs_a_call_twice(mutant, history, monkeypatch):
    assert violations_after(history) == []
    monkeypatch.setattr(paired, "PairedClaims", mutant)
    assert violations_after(history) != []


def test_mutant_that_releases_unknown_claims_runs_a_call_twice(monkeypatch):
    assert violations_after(lose_response) == []
    monkeypatch.setitem(rules.OUTCOME_EVENTS, Outcome.UNKNOWN, "not_run")
    assert violations_after(lose_response) != []
