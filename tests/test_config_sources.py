"""Logs and status that show which configuration is in force, and why."""

from random import Random

import pytest

from monsoonmill.clock import ManualClock
from monsoonmill.decisions.calls.signals import CallReport
from monsoonmill.decisions.configuration.configuration import ConfigRegister, ConfigView
from monsoonmill.decisions.configuration.pending_note import CONFIG_KEY
from monsoonmill.decisions.signals import PlatformDone, PlatformWatch
from monsoonmill.platform.config_codec import StoredConfigCodec
from monsoonmill.settings import Settings
from monsoonmill.standin.kv_store import KvApp, KvStore, StoreFaults
from monsoonmill.store.client import PlatformTask
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet, answer_ok
from tests.test_key_withdrawal import withdraw_key
from tests.test_store_return import DirectClient, stored_config


class RecordingLog:
    """Records the lines that are logged."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = info

    def events(self, name):
        return [fields for event, fields in self.lines if event == name]


@pytest.fixture
def log(monkeypatch):
    recorder = RecordingLog()
    for module in (
        "monsoonmill.platform.store_client",
        "monsoonmill.store.client",
        "monsoonmill.decisions.configuration.configuration",
    ):
        monkeypatch.setattr(f"{module}.log", recorder)
    return recorder


def make_register():
    settings = Settings.from_dict({})
    return ConfigRegister(settings, ConfigView(), StoredConfigCodec(), Random(1))


def read(register, stored, sent_at):
    return list(
        register.on_platform_done(PlatformDone("config-read", (stored,), sent_at), 9.0)
    )


def test_adoption_tells_the_version_in_the_store_and_when_it_was_confirmed():
    register = make_register()
    stored = stored_config(1, 20, 4)
    adopted = read(register, stored, 3.0)[0]
    assert (adopted.revision, adopted.stored_version) == (4, stored.version)
    read(register, stored, 7.0)
    status = register.status()
    assert (status["source"], status["confirmed_at"]) == ("platform", 7.0)


def test_stored_configuration_that_is_not_adopted_is_logged(log):
    register = make_register()
    read(register, stored_config(0, 20, 4), 1.0)
    read(register, stored_config(1, 12, 3), 2.0)
    (line,) = log.events("config_not_adopted")
    assert (line["revision"], line["in_force"]) == (3, 4)


def test_each_change_of_the_cause_of_an_outage_is_logged(log):
    store = KvStore(revision=11)
    store.put("op/config", b"v3")
    faults = StoreFaults()
    clock = ManualClock()
    client = DirectClient(KvApp(store, faults, clock))
    task = PlatformTask("watch", client, clock, lambda reply: None)
    watch = PlatformWatch("config-watch", CONFIG_KEY, 0, "")

    def make_call(mode, era_header):
        faults.mode, client.era_header = mode, era_header
        task.handle(watch)

    make_call("ok", "1")
    (started,) = log.events("watch_started")
    assert (started["after"], started["era"]) == (12, 1)
    client.on_wait = lambda: clock.advance(10.0)
    make_call("busy", "1")
    make_call("busy", "1")
    make_call("ok", "0")
    make_call("ok", "1")
    errors = [str(line["error"]) for line in log.events("store_lost")]
    assert len(errors) == 2
    assert "status 503" in errors[0]
    assert "era 0 after one of era 1" in errors[1]
    assert len(log.events("store_regained")) == 1


class ReportingFleet(FakeFleet):
    """Keeps the reports of calls."""

    def __init__(self, **options):
        super().__init__(**options)
        self.call_reports = []

    def _carry_out(self, node, signal):
        if isinstance(signal, CallReport):
            self.call_reports.append(signal)
        super()._carry_out(node, signal)


def test_report_of_a_call_tells_the_revision_that_routed_it():
    fleet = ReportingFleet(run=lambda node, call: answer_ok(node, call, 3.0))
    fleet.install(small_config())
    node = fleet.add(service="donkeys")
    fleet.advance(3.0)
    fleet.call(node, "donkeys", "/lookup/1", bearer=SECRET)
    fleet.install(withdraw_key(small_config()))
    fleet.advance(6.0)
    assert node.core.view.config.revision == 2
    assert [report.revision for report in fleet.call_reports] == [1]
