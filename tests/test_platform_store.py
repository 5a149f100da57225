"""The stand-in's store against a plain dictionary, its limits and its modes."""

import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from monsoonmill.chart import load_chart
from monsoonmill.errors import PlatformConflictError
from monsoonmill.standin.store_calls import PutCall, ReadCall
from monsoonmill.standin.store_data import EndedWatch, Store
from monsoonmill.standin.store_faults import FaultSwitch
from monsoonmill.standin.store_settings import FaultSettings, StoreServerSettings
from monsoonmill.store.errors import LeaseNotLiveError, ValueTooLargeError
from monsoonmill.store.limits import MAX_VALUE_BYTES, CallLimit

KEYS = st.sampled_from(("a", "a/1", "a/2", "b"))
LEASES = st.sampled_from(("", "east", "west"))
FUZZ_EXAMPLES = int(os.environ.get("MONSOON_FUZZ_EXAMPLES", "60"))


class StoreFuzz(RuleBasedStateMachine):
    """The oracle keeps key -> (version, value, lease) and lease -> expiry."""

    @initialize()
    def prepare(self):
        self.now = 0.0
        self.store = Store()
        self.oracle = {}
        self.leases = {}
        self.watches = {}
        self.versions = [0]
        self.next_token = 0
        self.woken = {}

    def version(self, key):
        return self.oracle.get(key, (0, None, ""))[0]

    @rule(key=KEYS, value=st.binary(max_size=3), lease=LEASES, stale=st.booleans())
    def put(self, key, value, lease, stale):
        actual = self.version(key)
        expected = actual + 1 if stale else actual
        live = not lease or lease in self.leases
        if live and not stale:
            entry = self.store.swap(key, expected, value, lease, self.now)
            assert entry.version > self.versions[-1]
            self.versions.append(entry.version)
            self.oracle[key] = (entry.version, value, lease)
            return
        error = PlatformConflictError if live else LeaseNotLiveError
        with pytest.raises(error):
            self.store.swap(key, expected, value, lease, self.now)

    @rule(key=KEYS, stale=st.booleans())
    def delete(self, key, stale):
        actual = self.version(key)
        if stale:
            with pytest.raises(PlatformConflictError) as caught:
                self.store.swap(key, actual + 1, None, "", self.now)
            assert caught.value.actual == actual
            return
        assert self.store.swap(key, actual, None, "", self.now).version == 0
        self.oracle.pop(key, None)

    @rule(lease=st.sampled_from(("east", "west")), ttl_s=st.integers(1, 5))
    def grant(self, lease, ttl_s):
        self.store.grant_lease(lease, ttl_s, self.now)
        self.leases[lease] = self.now + ttl_s

    @rule(key=KEYS, behind=st.integers(0, 2), wait_s=st.integers(0, 5))
    def watch(self, key, behind, wait_s):
        after = max(self.version(key) - behind, 0)
        self.next_token += 1
        self.watches[self.next_token] = (key, after, self.now + wait_s)
        self.store.watch(key, after, self.now + wait_s, self.next_token, self.now)

    @rule(seconds=st.integers(1, 3))
    def advance(self, seconds):
        self.now += seconds
        self.leases = {n: due for n, due in self.leases.items() if due > self.now}
        gone = [k for k, v in self.oracle.items() if v[2] and v[2] not in self.leases]
        for key in gone:
            del self.oracle[key]
        self.store.expire(self.now)

    @invariant()
    def keys_agree(self):
        found = {e.key: (e.version, e.value, e.lease) for e in self._listed("")}
        assert found == self.oracle
        below = [entry.key for entry in self._listed("a/")]
        assert below == sorted(key for key in self.oracle if key.startswith("a/"))

    @invariant()
    def watches_end_exactly_when_due_or_changed_and_timer_is_set(self):
        ended = {watch.token: watch.entry for watch in self.store.take_ended_watches()}
        expected = {}
        for token, (key, after, due) in self.watches.items():
            version = self.version(key)
            if version > after or (version == 0 and after > 0):
                expected[token] = version
            elif due <= self.now:
                expected[token] = None
        got = {t: entry and entry.version for t, entry in ended.items()}
        assert got == expected
        for token in ended:
            del self.watches[token]
        assert self.store.watch_count == len(self.watches)
        dues = [*self.leases.values(), *(due for _, _, due in self.watches.values())]
        assert self.store.next_due() == min(dues, default=None)

    def _listed(self, prefix):
        return self.store.list_keys(prefix, self.now)


StoreFuzz.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=FUZZ_EXAMPLES,
)
TestStoreFuzz = StoreFuzz.TestCase


def test_a_recreated_key_never_repeats_a_version():
    store = Store()
    first = store.swap("k", 0, b"1", "", 0.0)
    store.swap("k", first.version, None, "", 0.0)
    assert store.swap("k", 0, b"2", "", 0.0).version > first.version


def test_a_rebound_key_outlives_its_first_lease():
    store = Store()
    store.grant_lease("short", 1, 0.0)
    first = store.swap("k", 0, b"1", "short", 0.0)
    store.swap("k", first.version, b"2", "", 0.0)
    assert store.read("k", 2.0).value == b"2"


def test_lapse_of_a_lease_wakes_its_watches():
    store = Store()
    store.grant_lease("short", 1, 0.0)
    version = store.swap("k", 0, b"1", "short", 0.0).version
    store.watch("k", version, 60.0, "token", 0.0)
    assert store.next_due() == 1.0
    store.expire(1.0)
    assert store.take_ended_watches() == [EndedWatch("token", store.read("k", 1.0))]


def test_value_size_limit():
    store = Store()
    store.swap("k", 0, bytes(MAX_VALUE_BYTES), "", 0.0)
    with pytest.raises(ValueTooLargeError):
        store.swap("other", 0, bytes(MAX_VALUE_BYTES + 1), "", 0.0)


def test_call_limit_holds_over_any_second():
    limit = CallLimit.from_rate(10, burst_s=0.5)
    taken = [tick / 100 for tick in range(500) if limit.take(tick / 100)]
    assert 50 <= len(taken) <= 55
    assert all(CallLimit.from_rate(0, 1.0).take(0.0) for _ in range(1000))


def mode(name):
    return FaultSettings(mode=name, delay_ms=20, lost_percent=50, seed=7)


def test_modes_follow_the_chart():
    switch = FaultSwitch.from_settings(mode("down"))
    call = PutCall("k", 0, b"")
    assert not switch.behaviour.effect_on(call).runs
    switch.set_mode(mode("slow"))
    assert switch.behaviour.effect_on(call).delay_s == 0.01
    switch.set_mode(mode("lost-answers"))
    lost = [not switch.behaviour.effect_on(call).answers for _ in range(100)]
    assert 30 < sum(lost) < 70
    assert switch.behaviour.effect_on(ReadCall("k")).answers
    switch.set_mode(mode("lost-answers"))
    assert lost == [not switch.behaviour.effect_on(call).answers for _ in range(100)]
    switch.shut_down()
    switch.set_mode(mode("up"))
    assert not switch.behaviour.effect_on(call).runs
    assert load_chart("platform_mode").states["ended"].final


def test_shipped_settings_are_valid():
    assert StoreServerSettings.from_file(None).server.port == 7100
