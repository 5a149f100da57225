"""Tests of ``monsoonctl`` against a node's administration API."""

from json import loads
from threading import Thread
from tomllib import loads as loads_toml

import pytest

from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.counters import Counters
from monsoonmill.ctl import Monsoonctl
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import NoteAccepted, NoteRefused
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.errors import UserError
from monsoonmill.node.admin import AdminApp
from monsoonmill.node.web import AppServer
from monsoonmill.notes import apply_note, digest_key, parse_note
from monsoonmill.program import run_program
from monsoonmill.settings import Settings

NOTE = """
[note]
id = "{name}"
base = {base}

[added.organisations.{entry}]
rate = 5
burst = 10
"""


class FakeTaskClient:
    """Applies notes immediately and records the signals posted to it."""

    def __init__(self, view):
        self.view = view
        self.posted = []

    def status(self, topic):
        return {"topic": topic}

    def explain(self, query):
        return {"path": query.path, "organisation": query.organisation}

    def submit_note(self, note):
        try:
            self.view.config = apply_note(self.view.config, note)
        except UserError as exc:
            return NoteRefused("1", exc)
        return NoteAccepted("1", self.view.config.revision)

    def post(self, signal):
        self.posted.append(signal)


@pytest.fixture(scope="module")
def server():
    view = ConfigView()
    app = AdminApp(FakeTaskClient(view), view, JsonConfigCodec())
    http = Settings.from_dict({}).http
    server = AppServer("127.0.0.1", 0, app, 2, http, Counters())
    server.prepare()
    Thread(target=server.serve, daemon=True).start()
    server.view, server.task_client = view, app._task_client
    yield server
    server.stop()


@pytest.fixture
def run(server, capsys):
    def run_ctl(*arguments, status=0):
        code = 0
        try:
            command = [*map(str, arguments), "--node", f"127.0.0.1:{server.port}"]
            run_program(Monsoonctl, "monsoonctl", command)
        except SystemExit as exc:
            code = exc.code
        output = capsys.readouterr()
        assert code == status, output
        return output.err if status else output.out

    return run_ctl


@pytest.fixture
def write(tmp_path):
    def write_note(base, name="n1", entry="branch"):
        path = tmp_path / f"{name}.toml"
        path.write_text(NOTE.format(name=name, base=base, entry=entry))
        return path

    return write_note


def test_check_accept_and_show_a_note(server, run, write):
    base = server.view.config.revision
    note = write(base, "first", "office")
    assert f"revision {base + 1}" in run("note", "check", note)
    assert server.view.config.revision == base
    assert f"revision {base + 1}" in run("note", "accept", note)
    assert "accepted already" in run("note", "check", note)
    assert run("note", "show", "--revision").strip() == str(base + 1)
    assert loads(run("note", "show"))["organisations"]["office"]["burst"] == 10


def test_stale_note_error_is_one_line_with_the_conflicts(server, run, write):
    base = server.view.config.revision
    run("note", "accept", write(base, "winner", "shared"))
    loser = write(base, "loser", "shared")
    for command in ("check", "accept"):
        output = run("note", command, loser, status=2)
        assert "organisations/shared" in output
        assert f"base revision {base} is stale, current is {base + 1}" in output
        assert len(output.splitlines()) == 1


@pytest.mark.parametrize("text", ["", "x = ", "[note]\nid = 1\nbase = 0\n", "\x00"])
def test_malformed_note_error_is_one_line(run, tmp_path, text):
    path = tmp_path / "bad.toml"
    path.write_text(text)
    for command in (("check", path, "--offline"), ("accept", path)):
        assert len(run("note", *command, status=2).splitlines()) == 1
    missing = run("note", "check", tmp_path / "none.toml", status=2)
    assert "none.toml" in missing


def test_new_key_is_valid_in_a_note_and_its_digest_matches_the_secret(run):
    output = run("key", "make", "branch-1", 'the "office"')
    secret = output.splitlines()[0].rpartition(" ")[2]
    header = '[note]\nid = "k"\nbase = 0\n'
    (edit,) = parse_note(loads_toml(header + output)).edits
    assert edit.entry == "keys/branch-1"
    assert edit.values["digest"] == digest_key(secret)
    assert edit.values["organisation"] == 'the "office"'
    assert run("key", "make", "branch-1", "office").splitlines()[0] != output


def test_status_commands_and_drain(server, run):
    for topic in ("status", "members", "counters"):
        assert loads(run(topic)) == {"topic": topic}
    assert "draining" in run("drain")
    assert server.task_client.posted == [DrainRequested()]


def test_explain_passes_the_request_on_and_reports_bad_input_in_one_line(server, run):
    arguments = ("--service", "donkeys", "--path", "/a b?c=1&path=/d")
    expected = {"path": "/a b?c=1&path=/d", "organisation": ""}
    assert loads(run("explain", *arguments)) == expected
    for bad, problem in (
        ((), "service"),
        (("--service", "donkeys"), "path"),
        ((*arguments, "--method", "A B"), "method"),
        # A key given by mistake must not be shown.
        ((*arguments, "--organisation", "secret"), "organisation: not in"),
    ):
        output = run("explain", *bad, status=2)
        assert problem in output and "secret" not in output
        assert len(output.splitlines()) == 1


def test_unreachable_node_and_invalid_settings_errors_are_one_line(tmp_path, capsys):
    config = tmp_path / "ctl.toml"
    config.write_text("[ctl]\ntimeout_ms = 0\n")
    for arguments, expected in (
        (["status", "--node", "127.0.0.1:1"], "127.0.0.1:1"),
        (["status", "--node", "nowhere"], "ctl.node"),
        (["status", "--config", str(config)], "ctl.timeout_ms"),
    ):
        with pytest.raises(SystemExit) as exited:
            run_program(Monsoonctl, "monsoonctl", arguments)
        output = capsys.readouterr().err
        assert exited.value.code == 2
        assert expected in output and len(output.splitlines()) == 1
