"""Release notes: races, lost answers, platform outages and older configurations."""

from itertools import count

from attrs import evolve

from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.config_delta import apply_delta, make_delta
from monsoonmill.decisions.configuration import pending_note
from monsoonmill.decisions.configuration.signals import (
    NoteAccepted,
    NoteRefused,
    NoteSubmitted,
)
from monsoonmill.decisions.signals import Received
from monsoonmill.errors import (
    ConfigTooLargeError,
    NoteError,
    PlatformUnavailableError,
    StaleNoteError,
)
from monsoonmill.messages import ConfigDelta, ConfigReply
from monsoonmill.model import Config
from monsoonmill.notes import apply_note, digest_key, parse_note
from tests.fleet import FakeFleet

REQUEST_NUMBERS = count(1)


def make_note(identifier, base, name=None, rate=10.0, action="added"):
    values = {"rate": rate, "burst": 10.0}
    name = name or f"organisation-{identifier}"
    tables = {"organisations": {name: values}}
    return parse_note({"note": {"id": identifier, "base": base}, action: tables})


def submit(fleet, node, note):
    request = f"note-{next(REQUEST_NUMBERS)}"
    fleet.inject(node, NoteSubmitted(request, note))
    return request


def await_answer(fleet, node, request, limit_s=60):
    assert fleet.advance_until(lambda: request in node.reports, limit_s)
    return node.reports[request]


def make_fleet(size=4):
    fleet = FakeFleet()
    nodes = [fleet.add() for _ in range(size)]
    fleet.advance(5)
    return fleet, nodes


def revisions(nodes):
    return {node.core.view.config.revision for node in nodes}


def test_one_of_two_concurrent_notes_is_accepted_and_the_other_names_the_conflict():
    fleet, nodes = make_fleet()
    notes = [make_note(name, 0, "branch", rate) for name, rate in (("a", 1), ("b", 2))]
    requests = [submit(fleet, nodes[i], note) for i, note in enumerate(notes)]
    answers = [
        await_answer(fleet, nodes[i], request) for i, request in enumerate(requests)
    ]
    refused = [report for report in answers if isinstance(report, NoteRefused)]
    assert len(refused) == 1
    assert isinstance(refused[0].error, StaleNoteError)
    assert refused[0].error.conflicts == ("organisations/branch",)
    assert fleet.advance_until(lambda: revisions(nodes) == {1})
    assert len({node.core.view.config.organisations["branch"] for node in nodes}) == 1


def test_note_with_a_lost_answer_is_found_by_its_id():
    fleet, nodes = make_fleet()
    fleet.platform.drops_answers = True
    request = submit(fleet, nodes[0], make_note("a", 0))
    fleet.advance(0.2)
    fleet.platform.drops_answers = False
    assert await_answer(fleet, nodes[0], request) == NoteAccepted(request, 1)
    assert nodes[0].core.view.config.revision == 1


def test_resubmitted_note_gets_the_same_revision_from_any_node():
    fleet, nodes = make_fleet()
    first = submit(fleet, nodes[0], make_note("a", 0))
    assert await_answer(fleet, nodes[0], first).revision == 1
    await_answer(fleet, nodes[1], submit(fleet, nodes[1], make_note("b", 1)))
    resubmitted = submit(fleet, nodes[2], make_note("a", 0))
    assert await_answer(fleet, nodes[2], resubmitted).revision == 1
    assert fleet.advance_until(lambda: revisions(nodes) == {2})


def test_different_note_with_an_accepted_id_is_refused():
    fleet, nodes = make_fleet()
    await_answer(fleet, nodes[0], submit(fleet, nodes[0], make_note("a", 0)))
    request = submit(fleet, nodes[0], make_note("a", 1, "branch"))
    assert isinstance(await_answer(fleet, nodes[0], request).error, NoteError)


def test_note_in_an_outage_is_refused_in_time_with_unknown_outcome():
    fleet, nodes = make_fleet()
    fleet.platform.is_down = True
    started = fleet.now
    error = await_answer(
        fleet, nodes[0], submit(fleet, nodes[0], make_note("a", 0))
    ).error
    assert fleet.now - started < 25
    assert isinstance(error, PlatformUnavailableError)
    assert "may or may not" in str(error)


def test_new_node_in_an_outage_gets_the_highest_revision_from_its_peers():
    fleet, nodes = make_fleet()
    await_answer(fleet, nodes[0], submit(fleet, nodes[0], make_note("a", 0)))
    fleet.platform.is_down = True
    newcomer = fleet.add()
    assert fleet.advance_until(lambda: revisions([newcomer]) == {1}, 5)


def test_older_configuration_of_a_peer_or_a_restored_platform_is_not_adopted():
    fleet, nodes = make_fleet()
    for number in range(3):
        note = make_note(f"n{number}", number)
        await_answer(fleet, nodes[0], submit(fleet, nodes[0], note))
    fleet.advance(2)
    fleet.install(Config(revision=1))
    fleet.advance(5)
    assert revisions(nodes) == {3}
    older = ConfigReply(Config(revision=2))
    fleet.inject(nodes[0], Received(nodes[1].name, older))
    fleet.advance(1)
    assert revisions(nodes) == {3}
    stored = fleet.platform.store.read("config", fleet.now)
    assert JsonConfigCodec().decode(stored.value).revision == 3


def test_note_on_a_restored_platform_is_applied_to_the_configuration_in_force():
    fleet, nodes = make_fleet()
    for number in range(2):
        note = make_note(f"n{number}", number)
        await_answer(fleet, nodes[0], submit(fleet, nodes[0], note))
    fleet.advance(1)
    fleet.install(Config(revision=1))
    request = submit(fleet, nodes[0], make_note("n2", 2))
    assert await_answer(fleet, nodes[0], request) == NoteAccepted(request, 3)
    assert fleet.advance_until(lambda: revisions(nodes) == {3})
    assert len(nodes[3].core.view.config.organisations) == 3


def test_malformed_stored_value_keeps_the_configuration_in_force():
    fleet, nodes = make_fleet()
    await_answer(fleet, nodes[0], submit(fleet, nodes[0], make_note("a", 0)))
    fleet.advance(1)
    version = fleet.platform.store.read("config", fleet.now).version
    fleet.platform.store.swap("config", version, b"{", "", fleet.now)
    fleet.advance(5)
    assert revisions(nodes) == {1}
    request = submit(fleet, nodes[0], make_note("b", 1))
    assert isinstance(await_answer(fleet, nodes[0], request), NoteRefused)


def test_note_that_makes_the_configuration_too_large_is_refused(monkeypatch):
    fleet, nodes = make_fleet(2)
    await_answer(fleet, nodes[0], submit(fleet, nodes[0], make_note("a", 0)))
    limit_bytes = len(fleet.platform.store.read("config", fleet.now).value) + 1
    monkeypatch.setattr(pending_note, "MAX_CONFIG_BYTES", limit_bytes)
    error = await_answer(
        fleet, nodes[0], submit(fleet, nodes[0], make_note("b", 1))
    ).error
    assert isinstance(error, ConfigTooLargeError)
    assert error.size_bytes > limit_bytes
    assert revisions(nodes) == {1}


def test_node_a_few_revisions_behind_receives_only_the_changes():
    fleet, nodes = make_fleet(2)
    await_answer(fleet, nodes[0], submit(fleet, nodes[0], make_note("a", 0)))
    fleet.advance(2)
    sent = record_messages(fleet, (ConfigReply, ConfigDelta))
    await_answer(fleet, nodes[0], submit(fleet, nodes[0], make_note("b", 1)))
    fleet.advance(2)
    assert revisions(nodes) == {2}
    assert {type(message) for message in sent} <= {ConfigDelta}


def record_messages(fleet, types):
    sent, original = [], fleet._send

    def record(node, signal):
        if isinstance(signal.message, types):
            sent.append(signal.message)
        original(node, signal)

    fleet._send = record
    return sent


def test_applied_delta_equals_the_configuration_built_from_notes():
    configs = [Config()]
    for number, (action, tables) in enumerate(_note_tables()):
        header = {"id": f"n{number}", "base": number}
        note = parse_note({"note": header, action: tables})
        configs.append(apply_note(configs[-1], note))
    last = configs[-1]
    assert make_delta(last, 0) is None
    for config in configs[1:-1]:
        delta = make_delta(last, config.revision)
        assert apply_delta(config, delta) == last
        shortened = evolve(delta, base=config.revision)
        assert apply_delta(config, shortened) == last


def _note_tables():
    rate = {"rate": 1.0, "burst": 2.0}
    yield "added", {"organisations": {"o": rate, "p": rate}}
    first, second = digest_key("one"), digest_key("two")
    yield "added", {"keys": {"k": {"organisation": "o", "digest": first}}}
    yield "changed", {"keys": {"k": {"digest": second}}}
    yield "added", {"keys": {"l": {"organisation": "p", "digest": first}}}
    yield "withdrawn", {"keys": ["k"]}
    yield "withdrawn", {"keys": ["l"], "organisations": ["o"]}
    yield "added", {"organisations": {"o": rate}}
