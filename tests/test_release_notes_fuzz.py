"""Stateful property-based tests of the configuration register."""

from os import environ

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.decisions.configuration.signals import NoteAccepted, NoteSubmitted
from monsoonmill.errors import PlatformUnavailableError, StaleNoteError
from monsoonmill.model import Config
from tests.fleet import FakeFleet
from tests.test_release_notes import make_note

EXAMPLES = int(environ.get("MONSOON_FUZZ_EXAMPLES", "40"))
MAX_NODES = 6
ORGANISATION_COUNT = 3
SETTINGS_SECTIONS = {"members": {"forget_s": 30}}


class ReleaseNoteMachine(RuleBasedStateMachine):
    """Submits concurrent release notes while the platform, links and nodes fail."""

    @initialize(size=st.integers(2, 4), seed=st.integers(1, 1000))
    def start_fleet(self, size, seed):
        self.fleet = FakeFleet(seed=seed, **SETTINGS_SECTIONS)
        self.submitted = {}
        self.accepted_revisions = {}
        self.highest_revisions = {}
        self.configs_by_revision = {}
        for _ in range(size):
            self.fleet.add()
        self.fleet.advance(2)

    def pick(self, index):
        nodes = list(self.fleet.nodes.values())
        return nodes[index % len(nodes)]

    @rule(index=st.integers(0, 5), behind=st.integers(0, 1), entry=st.integers(0, 99))
    def submit(self, index, behind, entry):
        node = self.pick(index)
        base = max(node.core.view.config.revision - behind, 0)
        name = f"organisation-{entry % ORGANISATION_COUNT}"
        known = name in node.core.view.config.organisations
        identifier = f"id-{len(self.submitted)}"
        action = "changed" if known else "added"
        note = make_note(identifier, base, name, 1.0 + entry, action)
        self.submit_note(node, note)

    @rule(index=st.integers(0, 5), choice=st.integers(0, 20))
    def resubmit(self, index, choice):
        if self.submitted:
            notes = [note for _, note in self.submitted.values()]
            self.submit_note(self.pick(index), notes[choice % len(notes)])

    def submit_note(self, node, note):
        request = f"note-{len(self.submitted)}"
        self.submitted[request] = (node, note)
        self.fleet.inject(node, NoteSubmitted(request, note))

    @rule(is_down=st.booleans(), drops=st.booleans(), delay_ms=st.integers(1, 1500))
    def change_platform(self, is_down, drops, delay_ms):
        self.fleet.platform.is_down = is_down
        self.fleet.platform.drops_answers = drops
        self.fleet.platform.delay_s = delay_ms / 1000

    @rule(first=st.integers(0, 5), second=st.integers(0, 5))
    def cut_link(self, first, second):
        names = frozenset((self.pick(first).name, self.pick(second).name))
        if len(names) == 2:
            self.fleet.cut_links.add(names)

    @rule()
    def heal_links(self):
        self.fleet.cut_links.clear()

    @rule(index=st.integers(0, 5))
    def kill(self, index):
        if len(self.fleet.nodes) > 2:
            self.fleet.kill(self.pick(index))

    @rule()
    def add(self):
        if len(self.fleet.nodes) < MAX_NODES:
            self.fleet.add()

    @rule(seconds=st.sampled_from((0.01, 0.1, 1.0, 5.0)))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @invariant()
    def revisions_grow_and_identify_one_configuration(self):
        for node in self.fleet.nodes.values():
            config = node.core.view.config
            assert config.revision >= self.highest_revisions.get(node.name, 0)
            self.highest_revisions[node.name] = config.revision
            seen = self.configs_by_revision.setdefault(config.revision, config)
            assert seen == config

    @invariant()
    def accepted_notes_have_distinct_revisions(self):
        for request, (node, note) in self.submitted.items():
            report = node.reports.get(request)
            if isinstance(report, NoteAccepted):
                revision = self.accepted_revisions.setdefault(
                    note.identifier, report.revision
                )
                assert revision == report.revision
        assert len(set(self.accepted_revisions.values())) == len(
            self.accepted_revisions
        )

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        self.change_platform(False, False, 1)
        self.heal_links()
        assert fleet.advance_until(self.is_converged, 90, 0.5), (
            self.describe_revisions()
        )
        self.accepted_notes_have_distinct_revisions()
        self.revisions_grow_and_identify_one_configuration()
        self.check_accepted_notes()

    def read_stored(self):
        value = self.fleet.platform.store.read("config", self.fleet.now).value
        return Config() if value is None else JsonConfigCodec().decode(value)

    def is_converged(self):
        revision = self.read_stored().revision
        nodes = self.fleet.nodes.values()
        pending = [
            request
            for request, (node, _) in self.submitted.items()
            if node.is_up and request not in node.reports
        ]
        return not pending and all(
            node.core.view.config.revision == revision for node in nodes
        )

    def describe_revisions(self):
        revisions = {
            name: node.core.report("") for name, node in self.fleet.nodes.items()
        }
        return self.read_stored().revision, revisions

    def check_accepted_notes(self):
        stored = self.read_stored()
        order = [item.split(":", 2) for item in stored.notes]
        assert [int(item[0]) for item in order] == list(range(1, len(order) + 1))
        identifiers = [item[2] for item in order]
        assert len(set(identifiers)) == len(identifiers)
        for identifier, revision in self.accepted_revisions.items():
            assert identifiers[revision - 1] == identifier
        bases = {note.identifier: note.base for _, note in self.submitted.values()}
        assert [bases[identifier] + 1 for identifier in identifiers] == [
            int(item[0]) for item in order
        ]
        unknown = set()
        for request, (node, note) in self.submitted.items():
            report = node.reports.get(request)
            error = getattr(report, "error", None)
            if report is None or isinstance(error, PlatformUnavailableError):
                unknown.add(note.identifier)
            if isinstance(error, StaleNoteError):
                assert note.identifier not in identifiers
        assert set(identifiers) <= set(self.accepted_revisions) | unknown


SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
)


def test_fuzz_release_notes():
    run_state_machine_as_test(ReleaseNoteMachine, settings=SETTINGS)
