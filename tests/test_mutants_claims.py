"""The oracle of the claims tests notices each deliberate fault."""

import pytest

from monsoonmill.decisions.calls.signals import RunFailure
from monsoonmill.decisions.claims import paired, rules
from monsoonmill.decisions.claims.paired import PairedClaims
from monsoonmill.decisions.claims.replica import Replica
from monsoonmill.decisions.claims.server import ClaimServer
from monsoonmill.reasons import Outcome
from tests.claims_fleet import ClaimsFleet


class GrantsBeforeReceipt(Replica):
    def replicate(self, entry, replies, now):
        yield from super().replicate(entry, [], now)
        yield from replies


class ServesBeforeTransfer(Replica):
    def planned_backup_needs_copy(self, arg):
        return False

    def has_current_copy(self, arg):
        return True


class TakesNoNoteOfLoss(ClaimServer):
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


def send_late(fleet, count=3, gap_s=3.0):
    for number in range(count):
        nodes = list(fleet.nodes.values())
        fleet.pledge(nodes[number % len(nodes)], "k")
        fleet.advance(gap_s)


def lose_primary_before_its_backup_heard(fleet):
    """Kill the primary whose messages to the backup were lost."""
    record = fleet.record_of("k")
    fleet.cut_links.add(frozenset((record.primary.node, record.backup.node)))
    holders = {record.primary.node, record.backup.node}
    asker = next(one for one in fleet.nodes.values() if one.name not in holders)
    fleet.pledge(asker, "k")
    fleet.advance(0.5)
    fleet.kill(fleet.nodes[record.primary.node])
    fleet.advance(4)
    send_late(fleet)


def lose_both_copies(fleet):
    """Kill primary and backup at once."""
    fleet.pledge(next(iter(fleet.nodes.values())), "k")
    fleet.advance(1)
    record = fleet.record_of("k")
    for holder in (record.primary, record.backup):
        fleet.kill(fleet.nodes[holder.node])
    fleet.advance(20)
    send_late(fleet)


def lose_one_copy_after_the_other(fleet):
    """Kill the primary, and the one that took over as soon as it has."""
    fleet.pledge(next(iter(fleet.nodes.values())), "k")
    fleet.advance(1)
    first = fleet.record_of("k").primary
    second = fleet.record_of("k").backup
    fleet.kill(fleet.nodes[first.node])
    assert fleet.advance_until(
        lambda: fleet.record_of("k").primary == second, step_s=0.001
    )
    fleet.cut_links |= {
        frozenset((second.node, other)) for other in fleet.nodes if other != second.node
    }
    fleet.advance(0.2)
    fleet.kill(fleet.nodes[second.node])
    fleet.advance(4)
    send_late(fleet)


def lose_the_answer(fleet):
    """Send again after the backend server broke the connection."""
    fleet.backend = RunFailure.CONNECTION_LOST
    send_late(fleet)


def problems_after(history):
    fleet = ClaimsFleet(6)
    assert fleet.settle_down()
    history(fleet)
    return fleet.problems


@pytest.mark.parametrize(
    ("mutant", "history"),
    [
        (with_replica(GrantsBeforeReceipt), lose_primary_before_its_backup_heard),
        (with_replica(ServesBeforeTransfer), lose_one_copy_after_the_other),
        (with_server(TakesNoNoteOfLoss), lose_both_copies),
    ],
)
def test_mutant_runs_a_pledge_twice(mutant, history, monkeypatch):
    assert problems_after(history) == []
    monkeypatch.setattr(paired, "PairedClaims", mutant)
    assert problems_after(history) != []


def test_mutant_that_releases_unknown_claims_runs_a_pledge_twice(monkeypatch):
    assert problems_after(lose_the_answer) == []
    monkeypatch.setitem(rules.OUTCOME_EVENTS, Outcome.UNKNOWN, "not_run")
    assert problems_after(lose_the_answer) != []
