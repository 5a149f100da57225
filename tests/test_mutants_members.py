"""Mutation tests: each deliberately broken class must fail one of the tests."""

import pytest
from attrs import evolve
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from monsoonmill.decisions import core, policies
from monsoonmill.decisions.configuration import configuration
from monsoonmill.decisions.configuration.configuration import ConfigRegister
from monsoonmill.decisions.configuration.pending_note import PendingNote
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.health.passive import PassiveHealth
from monsoonmill.decisions.lifecycle.backend_identity import BackendIdentity
from monsoonmill.decisions.lifecycle.departure_store import DepartureStore
from monsoonmill.decisions.lifecycle.departures import Departures
from monsoonmill.decisions.lifecycle.signals import DeparturesStored
from monsoonmill.decisions.members import failure_detection, watchers
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.table import MemberTable
from monsoonmill.decisions.members.watchers import WatcherRanking
from monsoonmill.decisions.poison.guard import FleetPoisonGuard
from monsoonmill.notes import apply_note
from tests import (
    test_departures,
    test_health,
    test_membership,
    test_poison,
    test_release_notes,
    test_watchers,
)
from tests.test_membership_fuzz import SETTINGS as MEMBERSHIP_SETTINGS
from tests.test_membership_fuzz import MembershipMachine
from tests.test_release_notes_fuzz import SETTINGS as NOTE_SETTINGS
from tests.test_release_notes_fuzz import ReleaseNoteMachine


def run_state_machine(machine, machine_settings):
    generate_only = settings(
        machine_settings,
        phases=(Phase.generate,),
        report_multiple_bugs=False,
        max_examples=200,
    )
    run_state_machine_as_test(machine, settings=generate_only)


def fuzz_membership():
    run_state_machine(MembershipMachine, MEMBERSHIP_SETTINGS)


def fuzz_release_notes():
    run_state_machine(ReleaseNoteMachine, NOTE_SETTINGS)


def run_popular_lookups():
    test_poison.test_popular_lookups_in_flight_at_crashes_are_not_refused(1)


class AdoptsOlderRevisions(ConfigRegister):
    """Adopts every configuration, even one with a lower revision."""

    def adopt(self, config, source="", stored_version=0):
        old, self.view.config = self.view.config, config
        yield ConfigChanged(old, config)


class IgnoresConfigInForce(ConfigRegister):
    """Applies notes to an older stored configuration, not to the one in force."""

    def choose_newer(self, stored):
        return self.decode(stored)


class IgnoresAcceptedNotes(PendingNote):
    """Does not check whether the note was accepted already after a lost answer."""

    def _apply(self, current):
        self.accepted_revision = None
        self.changed = apply_note(current, self.note)
        self.value = self.register.codec.encode(self.changed)


class IgnoresBaseRevision(PendingNote):
    """Applies the note to any stored revision."""

    def _apply(self, current):
        self.note = evolve(self.note, base=current.revision)
        super()._apply(current)


class RaisesForeignVersions(Membership):
    """Raises the version of another node's entry when it suspects that node."""

    def set_state(self, remote, state):
        version = remote.member.version + 1
        self._table.replace(remote, evolve(remote.member, version=version))
        super().set_state(remote, state)


class AcceptsCallsWhileLeaving(Membership):
    """Accepts calls again at the next announcement while the node is leaving."""

    def on_backend_announced(self, signal, now):
        yield from super().on_backend_announced(signal, now)
        self.update_own(accepts_calls=True)


class NeverRefutes(Membership):
    """Does not refute a suspicion about the local node."""

    def _refute(self, member):
        return


class NoIndirectProbes(Membership):
    """Sends no requests for indirect probes."""

    def request_indirect_probes(self, remote, now):
        return


class IgnoresOwnIsolation(Membership):
    """Suspects all other nodes when the local node is isolated."""

    def has_contact_excluding(self, remote, now):
        return True


class TrustsReportedDeath(Membership):
    """Marks a node dead as soon as another node reports it dead."""

    def _replace_entry(self, remote, member, now):
        self._table.replace(remote, member)
        remote.chart.send(f"reported_{member.state.value}", now)
        self._record_change(member, now)


class DigestsNamesOnly(MemberTable):
    """Computes the digest from the nodes' names only."""

    digest = property(
        lambda self: hash(frozenset(member.node for member in self.entries()))
    )


class ChoosesAnyLivingNode(WatcherRanking):
    """Chooses watchers by being alive, whether the store serves them or not."""

    @property
    def watchers(self):
        return list(self.candidates)[: self.count]


class AcknowledgesAtOnce(Departures):
    """Acknowledges departures that no other node has confirmed."""

    def _is_kept(self, pending):
        return True


class NeverLearnsDepartures(Membership):
    """Ignores what other nodes kept for the local node's earlier processes."""

    def _learn_departures(self, member):
        return


class BelievesAtOnce(BackendIdentity):
    """Believes heartbeats before anybody has told departures."""

    def start(self, now):
        super().start(now)
        self._chart.send("others_answered", now)
        return ()


class NeverStores(DepartureStore):
    """Leaves departures to the memory of nodes."""

    def on_departure_recorded(self, signal, now):
        self._outgoing.clear()
        yield DeparturesStored((signal.departure,))


class NeverClearsSuspects(FleetPoisonGuard):
    """Never clears a suspect request that was answered."""

    def on_suspect_answered(self, signal, now):
        return ()


class NeverReportsCrashes(FleetPoisonGuard):
    """Sends no crash reports to other nodes."""

    def _broadcast(self, message, key):
        return ()


class CountsSlowAnswersAsFailures(PassiveHealth):
    """Counts a slow answer as a failure."""

    def is_answer(self, signal):
        return super().is_answer(signal) and signal.elapsed_s < 2

    def is_failure(self, signal):
        return super().is_failure(signal) or signal.elapsed_s >= 2


class EjectsAllServers(PassiveHealth):
    """Ejects even the last server of a service."""

    def may_eject(self, node):
        return True


class NeverKeepsEjected(PassiveHealth):
    """Never treats a server as ejected."""

    def is_ejected(self, node, now):
        return False


release_notes = test_release_notes
REGISTER = "ConfigRegister"
MUTANTS = [
    (
        core,
        REGISTER,
        AdoptsOlderRevisions,
        release_notes.test_older_configuration_of_a_peer_or_a_restored_platform_is_not_adopted,
    ),
    (
        core,
        REGISTER,
        IgnoresConfigInForce,
        release_notes.test_note_on_a_restored_platform_is_applied_to_the_configuration_in_force,
    ),
    (configuration, "PendingNote", IgnoresAcceptedNotes, fuzz_release_notes),
    (configuration, "PendingNote", IgnoresBaseRevision, fuzz_release_notes),
    (core, "Membership", RaisesForeignVersions, fuzz_membership),
    (core, "Membership", AcceptsCallsWhileLeaving, fuzz_membership),
    (core, "Membership", NeverRefutes, fuzz_membership),
    (
        core,
        "Membership",
        NoIndirectProbes,
        test_membership.test_single_broken_link_causes_no_suspicion,
    ),
    (
        core,
        "Membership",
        IgnoresOwnIsolation,
        test_membership.test_isolated_node_suspects_no_other_and_is_marked_dead,
    ),
    (
        core,
        "Membership",
        TrustsReportedDeath,
        test_membership.test_false_report_of_death_is_refuted,
    ),
    (
        watchers,
        "WatcherRanking",
        ChoosesAnyLivingNode,
        lambda: (
            test_watchers.test_key_is_withdrawn_while_the_store_turns_all_watchers_away(
                1, 0.0
            )
        ),
    ),
    (
        core,
        "Departures",
        AcknowledgesAtOnce,
        lambda: (
            test_departures.test_departure_that_no_other_node_confirms_is_not_acknowledged(
                "deregistered"
            )
        ),
    ),
    (
        core,
        "Membership",
        NeverLearnsDepartures,
        lambda: (
            test_departures.test_acknowledged_departure_outlives_the_node_while_the_store_is_no_help(
                "returns"
            )
        ),
    ),
    (
        core,
        "BackendIdentity",
        BelievesAtOnce,
        test_departures.test_heartbeat_is_believed_once_another_node_has_replied,
    ),
    (
        core,
        "DepartureStore",
        NeverStores,
        lambda: (
            test_departures.test_acknowledged_departure_outlives_a_kill_of_all_nodes(12)
        ),
    ),
    (
        policies,
        "FleetPoisonGuard",
        NeverClearsSuspects,
        run_popular_lookups,
    ),
    (
        policies,
        "FleetPoisonGuard",
        NeverReportsCrashes,
        test_poison.test_poison_sent_many_times_at_once_is_refused_afterwards,
    ),
    (
        policies,
        "PassiveHealth",
        CountsSlowAnswersAsFailures,
        test_health.test_slow_but_healthy_servers_are_not_ejected,
    ),
    (
        policies,
        "PassiveHealth",
        EjectsAllServers,
        test_health.test_never_more_than_half_of_the_servers_are_ejected,
    ),
    (
        policies,
        "PassiveHealth",
        NeverKeepsEjected,
        test_health.test_stalled_server_is_ejected_before_its_calls_time_out,
    ),
]


@pytest.mark.parametrize(
    ("module", "name", "mutant", "oracle"),
    MUTANTS,
    ids=[mutant.__name__ for _, _, mutant, _ in MUTANTS],
)
def test_mutant_is_caught(monkeypatch, module, name, mutant, oracle):
    monkeypatch.setattr(module, name, mutant)
    with pytest.raises(AssertionError):
        oracle()


def test_mutant_digest_is_caught(monkeypatch):
    monkeypatch.setattr(failure_detection, "MemberTable", DigestsNamesOnly)
    with pytest.raises(AssertionError):
        fuzz_membership()
