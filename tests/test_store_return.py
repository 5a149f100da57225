"""A store that returns from an older copy: versions, watches, writes and leases."""

from collections import Counter
from itertools import chain
from json import dumps
from random import Random
from urllib.parse import urlencode

import pytest

from monsoonmill.clock import ManualClock
from monsoonmill.counters import Counters
from monsoonmill.decisions.configuration.configuration import ConfigRegister, ConfigView
from monsoonmill.decisions.configuration.evacuations import EVACUATION_PREFIX
from monsoonmill.decisions.configuration.pending_note import CONFIG_KEY
from monsoonmill.decisions.members.seed_directory import (
    MAX_RETURN_DELAY_S,
    STORE_RETURNS,
    SeedDirectory,
)
from monsoonmill.decisions.signals import (
    Connect,
    PlatformDone,
    PlatformFailed,
    PlatformRead,
    PlatformWatch,
    StoredValue,
    StoreReturned,
)
from monsoonmill.errors import (
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.platform.config_codec import StoredConfigCodec
from monsoonmill.platform.store_client import KvClient
from monsoonmill.settings import Settings
from monsoonmill.standin.kv_store import KvApp, KvStore, PendingWatch, StoreFaults
from monsoonmill.store.client import PlatformTask
from monsoonmill.store.versions import make_version
from tests.platform_fleet import configuration, rule, tenant
from tests.test_control_cost import FakeMembers, make_members

FLEET_SIZE = 84
CONFIG_APPLY_S = 2.5
STEP_S = 0.1
MAX_CALLS_PER_STEP = 1200 * STEP_S
"""The store takes 1,200 writes a second from the whole fleet."""


class DirectClient(KvClient):
    """A client that calls the stand-in's store without a network.

    Attributes
    ----------
    on_wait : callable
        Called while a watch waits.
    era_header : str or None
        Replaces the store's era in the responses.
    watch_answer : HttpResponse or None
        Answer to all watches.
    """

    def __init__(self, app):
        super().__init__(Address("127.0.0.1", 1), 1.0, "monsoonmill/")
        self.app = app
        self.on_wait = lambda: None
        self.era_header = None
        self.watch_answer = None

    def _request(self, call):
        if self.watch_answer is not None and call.path == "kv-watch":
            return DirectResponse(self.watch_answer, None)
        path = f"/monsoonmill/{call.path}?{urlencode(call.fields)}"
        body = self._encode(call.doc)
        answer = self.app.handle("call", HttpRequest(call.method, path, (), body))
        if isinstance(answer, PendingWatch):
            self.on_wait()
            (ended,) = self.app.due_answers()
            answer = self.app.render(ended)
        return DirectResponse(answer, self.era_header)

    @staticmethod
    def _encode(doc):
        return b"" if doc is None else dumps(doc).encode()


class DirectResponse:
    """What a client reads of a response."""

    def __init__(self, resp, era_header):
        self.status = resp.status
        self.data = resp.body
        self.headers = dict(resp.headers)
        if era_header is not None:
            self.headers["Store-Era"] = era_header


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store():
    store = KvStore(revision=11)
    store.put("op/config", b"v3")
    return store


@pytest.fixture
def client(store, clock):
    return DirectClient(KvApp(store, StoreFaults(), clock))


def put_until(store, revision):
    while store.revision < revision:
        store.put("servers/other", b"")


# A watch of the old revisions skipped what was written under those assigned again.
@pytest.mark.parametrize("last_revision", [13, 30], ids=["410", "assigned again"])
def test_watch_across_a_return_reports_the_next_value(
    store, client, clock, last_revision
):
    copy = store.copy()
    put_until(store, 19)
    store.put("op/config", b"v4")
    old = client.watch(CONFIG_KEY, 0)
    assert (old.version, old.value) == (20, b"v4")

    def return_and_write():
        store.return_from(copy)
        store.put("op/config", b"v5")
        put_until(store, last_revision)
        clock.advance(10.0)

    client.on_wait = return_and_write
    new = client.watch(CONFIG_KEY, old.version)
    assert new == StoredValue(CONFIG_KEY, make_version(1, 13), b"v5")
    assert new.version > old.version
    client.on_wait = lambda: store.put("op/config", b"v6")
    assert client.watch(CONFIG_KEY, new.version).value == b"v6"


# A watch that a lagging part of the store answers with 410 was repeated at once.
def test_every_second_410_fails_the_watch(store, client):
    client.watch(CONFIG_KEY, 0)
    client.on_wait = store.compact
    store.revision += 1
    assert client.watch(CONFIG_KEY, 12) is None
    store.revision += 1
    with pytest.raises(PlatformUnavailableError):
        client.watch(CONFIG_KEY, 12)


REFUSALS = {
    "no history, without an era": HttpResponse(410, (), b'{"at_rev": 13}'),
    "no events, without an era": HttpResponse(200, (), b'{"events": [], "at_rev": 13}'),
    "bad call": HttpResponse(400, (("Store-Era", "1"),), b"{}"),
    "not served": HttpResponse(503, (), b""),
    "unreadable": HttpResponse(200, (("Store-Era", "1"),), b"["),
}


# It was repeated from the same revision for ever, and refused each time.
@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=REFUSALS)
@pytest.mark.parametrize("also", ["", EVACUATION_PREFIX], ids=["alone", "with orders"])
def test_watch_that_was_refused_goes_on_from_a_read(store, client, refusal, also):
    def watch():
        if also:
            return client.watch_with(CONFIG_KEY, also, old.version)
        return (client.watch(CONFIG_KEY, old.version),)

    store.era = 1
    old = client.read(CONFIG_KEY)
    watch()
    store.put("op/config", b"v4")
    store.compact()
    client.watch_answer = refusal
    with pytest.raises(PlatformError):
        watch()
    assert b"v4" in [stored.value for stored in watch() if stored.key == CONFIG_KEY]


# Each failed watch put the read off, which follows it at another random time.
def test_failing_watches_do_not_put_off_the_read_of_the_configuration():
    cfg = Settings.from_dict({"platform": {"poll_floor_ms": 300}})
    longest_s = 0.0
    for seed in range(200):
        register = ConfigRegister(cfg, ConfigView(), StoredConfigCodec(), Random(seed))
        signals, now = list(register.set_watching(True, 0.0)), 0.0
        while not any(isinstance(signal, PlatformRead) for signal in signals):
            if any(isinstance(signal, PlatformWatch) for signal in signals):
                error = PlatformUnavailableError("refused")
                failed = PlatformFailed("config-watch", error)
                list(register.on_platform_failed(failed, now))
            now = register.next_due()
            signals = list(register.tick(now))
        longest_s = max(longest_s, now)
    assert longest_s <= CONFIG_APPLY_S


# The write replaced a value that another node had stored under the same revision.
def test_write_based_on_an_earlier_era_is_a_conflict(store, client):
    copy = store.copy()
    old = client.swap("k", 0, b"old")
    store.return_from(copy)
    store.put("monsoonmill/k", b"other")
    assert store.items["monsoonmill/k"].revision == old.version
    client.read(CONFIG_KEY)
    count = len(client.app.calls)
    with pytest.raises(PlatformConflictError):
        client.swap("k", old.version, b"new")
    assert len(client.app.calls) == count
    current = client.read("k")
    assert client.swap("k", current.version, b"new").version > current.version


# The write and its lease were those of other nodes, and it was reported as done.
def test_write_that_meets_a_new_era_is_not_reported_as_done(store, client, clock):
    copy = store.copy()
    client.lease("own", 60.0)
    store.return_from(copy)
    other_id = store.grant(60.0, clock.now())
    with pytest.raises(PlatformUnavailableError):
        client.swap("k", 0, b"", "own")
    assert store.items["monsoonmill/k"].lease_id == other_id
    client.lease("own", 60.0)
    with pytest.raises(PlatformConflictError) as caught:
        client.swap("k", 0, b"", "own")
    client.swap("k", caught.value.actual, b"", "own")
    assert store.items["monsoonmill/k"].lease_id != other_id


def test_renewal_after_a_return_grants_a_new_lease(store, client, clock):
    copy = store.copy()
    client.lease("own", 60.0)
    store.return_from(copy)
    other_id = store.grant(60.0, clock.now())
    client.lease("own", 60.0)
    assert len(store.leases) == 2
    client.swap("k", 0, b"", "own")
    assert store.items["monsoonmill/k"].lease_id != other_id


# A store of which one part has not returned led back to the values from before.
@pytest.mark.parametrize("header", ["0", "", "x", "-1", "\u00b2", "9" * 5000])
def test_response_of_an_earlier_era_is_refused(client, header):
    client.era_header = "1"
    newer = client.read(CONFIG_KEY)
    client.era_header = header
    with pytest.raises(PlatformUnavailableError):
        client.read(CONFIG_KEY)
    assert client.era == 1
    client.era_header = "1"
    assert client.read(CONFIG_KEY) == newer


def test_store_without_the_header_has_era_0(store, client):
    store.era = None
    assert client.read(CONFIG_KEY).version == store.revision
    assert client.era == 0


def stored_config(era, revision, version):
    rules = (rule("/look/", "profiles"),)
    doc = configuration(version, rules, ("profiles",), [tenant()])
    return StoredValue(CONFIG_KEY, make_version(era, revision), doc)


def handle(register, request, *values):
    return list(register.on_platform_done(PlatformDone(request, values, 0.0), 0.0))


# The register tried to write its newer configuration, failed, and watched no longer.
def test_older_configuration_of_a_new_era_is_neither_adopted_nor_repaired():
    view = ConfigView()
    register = ConfigRegister(
        Settings.from_dict({}), view, StoredConfigCodec(), Random(1)
    )
    list(register.set_watching(True, 0.0))
    handle(register, "config-read", stored_config(0, 20, 4))
    signals = handle(register, "config-watch", stored_config(1, 12, 3))
    assert view.config.revision == 4
    assert [type(signal) for signal in signals] == [PlatformWatch]
    assert signals[0].after == make_version(1, 12)
    assert handle(register, "config-watch", stored_config(0, 21, 9)) == []
    handle(register, "config-watch", stored_config(1, 13, 5))
    assert view.config.revision == 5


class SeedNode:
    """The seed directory of a node and its client of the store."""

    def __init__(self, cfg, members, app, clock, seed):
        self.counters = Counters()
        self.seeds = SeedDirectory(cfg, members, Random(seed), self.counters)
        self.app = app
        self.clock = clock
        self.replies = []
        self.calls_at = []
        client = DirectClient(app)
        self.task = PlatformTask("platform", client, clock, self.replies.append)

    def execute(self, signals):
        """Execute the decision's requests, and what follows from their replies."""
        for signal in list(signals):
            count = len(self.app.calls)
            self.task.handle(signal)
            now = self.clock.now()
            self.calls_at += [now] * (len(self.app.calls) - count)
            while self.replies:
                self.receive(self.replies.pop(0))

    def receive(self, signal):
        handler = self.seeds.handlers()[type(signal)]
        signals = handler(signal, self.clock.now())
        self.execute(signal for signal in signals if not isinstance(signal, Connect))


# All nodes learned of the return and wrote at the same moment.
def test_lost_seed_entries_are_written_again_over_some_time(store, clock):
    app = KvApp(store, StoreFaults(), clock)
    size = {"watchers": FLEET_SIZE * 8, "max_watchers_per_data_centre": FLEET_SIZE}
    cfg = Settings.from_dict({"platform": size})
    members = make_members(FLEET_SIZE)
    nodes = [
        SeedNode(cfg, FakeMembers([own, *members]), app, clock, number)
        for number, own in enumerate(members)
    ]

    def advance(seconds):
        for _ in range(round(seconds / STEP_S)):
            clock.advance(STEP_S)
            for node in nodes:
                node.execute(node.seeds.tick(clock.now()))

    copy = store.copy()
    for node in nodes:
        node.seeds.start(clock.now())
    advance(20.0)
    assert len(store.leases) == FLEET_SIZE
    store.return_from(copy)
    returned_at, known_calls = clock.now(), len(app.calls)
    for node in nodes:
        node.receive(StoreReturned(store.era))
    advance(MAX_RETURN_DELAY_S + STEP_S)
    keys = [key for key in store.items if key.startswith("monsoonmill/seeds/")]
    assert len(keys) == FLEET_SIZE
    calls = [[at for at in node.calls_at if at > returned_at] for node in nodes]
    assert max(map(len, calls)) <= 3
    assert max(Counter(chain(*calls)).values()) <= MAX_CALLS_PER_STEP
    # The ids of the leases of before are other nodes' now.
    assert not any(call.startswith("keep") for call in app.calls[known_calls:])
    assert {node.counters.value(STORE_RETURNS) for node in nodes} == {1}
