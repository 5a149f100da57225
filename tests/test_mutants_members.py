"""Deliberately broken variants: each must be caught by an oracle."""

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
from monsoonmill.decisions.members import failure_detection
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.table import MemberTable
from monsoonmill.decisions.poison.guard import FleetPoisonGuard
from monsoonmill.notes import apply_note
from tests import test_health, test_membership, test_poison, test_release_notes
from tests.test_membership_fuzz import SETTINGS as MEMBERSHIP_SETTINGS
from tests.test_membership_fuzz import MembershipMachine
from tests.test_release_notes_fuzz import SETTINGS as NOTE_SETTINGS
from tests.test_release_notes_fuzz import ReleaseNoteMachine


def run_fuzz(machine, chosen):
    quick = settings(
        chosen, phases=(Phase.generate,), report_multiple_bugs=False, max_examples=200
    )
    run_state_machine_as_test(machine, settings=quick)


def fuzz_membership():
    run_fuzz(MembershipMachine, MEMBERSHIP_SETTINGS)


def fuzz_release_notes():
    run_fuzz(ReleaseNoteMachine, NOTE_SETTINGS)


def popular_lookups():
    test_poison.test_popular_lookups_in_flight_at_crashes_are_not_refused(1)


class AnyRevision(ConfigRegister):
    """Adopts whatever comes, also an older revision."""

    def adopt(self, config, source=""):
        old, self.view.config = self.view.config, config
        yield ConfigChanged(old, config)


class StoredFirst(ConfigRegister):
    """Builds on a platform that was set back, not on what is in force."""

    def choose_newer(self, stored):
        return self.decode(stored)


class ForgetfulNote(PendingNote):
    """Does not look for its identifier after a lost answer."""

    def _apply(self, current):
        self.accepted_revision = None
        self.changed = apply_note(current, self.note)
        self.value = self.register.codec.encode(self.changed)


class RebasedNote(PendingNote):
    """Applies to whatever is stored."""

    def _apply(self, current):
        self.note = evolve(self.note, base=current.revision)
        super()._apply(current)


class VersionRaiser(Membership):
    """Raises the version of another node's entry with its doubt."""

    def set_state(self, remote, state):
        version = remote.member.version + 1
        self._table.replace(remote, evolve(remote.member, version=version))
        super().set_state(remote, state)


class Returner(Membership):
    """Takes calls again at the next announcement after it began to leave."""

    def on_backend_announced(self, signal, now):
        yield from super().on_backend_announced(signal, now)
        self.update_own(accepts_calls=True)


class Undefended(Membership):
    """Does not answer a doubt about itself."""

    def _refute(self, member):
        return


class DirectOnly(Membership):
    """Asks nobody else to probe."""

    def request_indirect_probes(self, remote, now):
        return


class SureOfItself(Membership):
    """Takes its own isolation for the failure of all others."""

    def has_contact_besides(self, remote, now):
        return True


class RumourBeliever(Membership):
    """Believes rumours of death at once."""

    def _replace_entry(self, remote, member, now):
        self._table.replace(remote, member)
        remote.chart.send(f"reported_{member.state.value}", now)
        self._record_change(member, now)


class CoarseTable(MemberTable):
    """Digests the names of the nodes only."""

    digest = property(lambda self: hash(frozenset(one.node for one in self.entries())))


class Unforgiving(FleetPoisonGuard):
    """Clears nobody who was answered."""

    def on_suspect_answered(self, signal, now):
        return ()


class Silent(FleetPoisonGuard):
    """Tells nobody of its crashes."""

    def _broadcast(self, message, key):
        return ()


class SlowIsDead(PassiveHealth):
    """Takes a late answer for a failure."""

    def is_answer(self, signal):
        return super().is_answer(signal) and signal.elapsed_s < 2

    def is_failure(self, signal):
        return super().is_failure(signal) or signal.elapsed_s >= 2


class EjectAll(PassiveHealth):
    """Ejects a service's last node, too."""

    def may_eject(self, node):
        return True


class NoRest(PassiveHealth):
    """Ejects nobody for long."""

    def is_ejected(self, node, now):
        return False


older = test_release_notes
REGISTER = "ConfigRegister"
MUTANTS = [
    (
        core,
        REGISTER,
        AnyRevision,
        older.test_older_configuration_of_a_peer_or_a_restored_platform_is_not_adopted,
    ),
    (
        core,
        REGISTER,
        StoredFirst,
        older.test_note_on_a_platform_that_was_set_back_builds_on_what_is_in_force,
    ),
    (configuration, "PendingNote", ForgetfulNote, fuzz_release_notes),
    (configuration, "PendingNote", RebasedNote, fuzz_release_notes),
    (core, "Membership", VersionRaiser, fuzz_membership),
    (core, "Membership", Returner, fuzz_membership),
    (core, "Membership", Undefended, fuzz_membership),
    (
        core,
        "Membership",
        DirectOnly,
        test_membership.test_one_cut_link_raises_no_doubt,
    ),
    (
        core,
        "Membership",
        SureOfItself,
        test_membership.test_isolated_node_doubts_nobody_and_is_believed_dead,
    ),
    (
        core,
        "Membership",
        RumourBeliever,
        test_membership.test_rumour_of_death_about_a_node_that_is_heard_is_refuted,
    ),
    (
        policies,
        "FleetPoisonGuard",
        Unforgiving,
        popular_lookups,
    ),
    (
        policies,
        "FleetPoisonGuard",
        Silent,
        test_poison.test_poison_sent_many_times_at_once_is_refused_afterwards,
    ),
    (
        policies,
        "PassiveHealth",
        SlowIsDead,
        test_health.test_slow_but_healthy_servers_are_not_ejected,
    ),
    (
        policies,
        "PassiveHealth",
        EjectAll,
        test_health.test_never_more_than_half_of_the_servers_are_ejected,
    ),
    (
        policies,
        "PassiveHealth",
        NoRest,
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
    monkeypatch.setattr(failure_detection, "MemberTable", CoarseTable)
    with pytest.raises(AssertionError):
        fuzz_membership()
