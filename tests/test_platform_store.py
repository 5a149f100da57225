"""The store of the key-value stand-in: a fuzz test, limits and fault modes."""

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
    """Compares the store with a model of its keys, leases and watches.

    The model maps each key to its version, value and lease, and each lease to its
    expiry.
    """

    @initialize()
    def prepare(self):
        self.now = 0.0
        self.store = Store()
        self.model = {}
        self.leases = {}
        self.watches = {}
        self.versions = [0]
        self.next_token = 0
        self.woken = {}

    def version(self, key):
        return self.model.get(key, (0, None, ""))[0]

    @rule(key=KEYS, value=st.binary(max_size=3), lease=LEASES, stale=st.booleans())
    def put(self, key, value, lease, stale):
        actual = self.version(key)
        expected = actual + 1 if stale else actual
        is_live = not lease or lease in self.leases
        if is_live and not stale:
            entry = self.store.swap(key, expected, value, lease, self.now)
            assert entry.version > self.versions[-1]
            self.versions.append(entry.version)
            self.model[key] = (entry.version, value, lease)
            return
        error = PlatformConflictError if is_live else LeaseNotLiveError
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
        self.model.pop(key, None)

    @rule(lease=st.sampled_from(("east", "west")), ttl_s=st.integers(1, 5))
    def grant(self, lease, ttl_s):
        self.store.grant_lease(lease, ttl_s, self.now)
        self.leases[lease] = self.now + ttl_s

    @rule(key=KEYS, lag=st.integers(0, 2), wait_s=st.integers(0, 5))
    def watch(self, key, lag, wait_s):
        after = max(self.version(key) - lag, 0)
        self.next_token += 1
        self.watches[self.next_token] = (key, after, self.now + wait_s)
        self.store.watch(key, after, self.now + wait_s, self.next_token, self.now)

    @rule(seconds=st.integers(1, 3))
    def advance(self, seconds):
        self.now += seconds
        self.leases = {
            name: due_at for name, due_at in self.leases.items() if due_at > self.now
        }
        expired_keys = [
            key
            for key, state in self.model.items()
            if state[2] and state[2] not in self.leases
        ]
        for key in expired_keys:
            del self.model[key]
        self.store.expire(self.now)

    @invariant()
    def keys_match_the_model(self):
        stored = {
            entry.key: (entry.version, entry.value, entry.lease)
            for entry in self._list_entries("")
        }
        assert stored == self.model
        prefixed_keys = [entry.key for entry in self._list_entries("a/")]
        assert prefixed_keys == sorted(
            key for key in self.model if key.startswith("a/")
        )

    @invariant()
    def watches_end_when_due_or_changed_and_next_due_is_earliest(self):
        ended_watches = {
            watch.token: watch.entry for watch in self.store.take_ended_watches()
        }
        expected = {}
        for token, (key, after, due_at) in self.watches.items():
            version = self.version(key)
            if version > after or (version == 0 and after > 0):
                expected[token] = version
            elif due_at <= self.now:
                expected[token] = None
        found_versions = {
            token: entry and entry.version for token, entry in ended_watches.items()
        }
        assert found_versions == expected
        for token in ended_watches:
            del self.watches[token]
        assert self.store.watch_count == len(self.watches)
        due_times = [
            *self.leases.values(),
            *(due_at for _, _, due_at in self.watches.values()),
        ]
        assert self.store.next_due() == min(due_times, default=None)

    def _list_entries(self, prefix):
        return self.store.list_keys(prefix, self.now)


StoreFuzz.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=FUZZ_EXAMPLES,
)
TestStoreFuzz = StoreFuzz.TestCase


def test_recreated_key_has_a_higher_version():
    store = Store()
    first = store.swap("k", 0, b"1", "", 0.0)
    store.swap("k", first.version, None, "", 0.0)
    assert store.swap("k", 0, b"2", "", 0.0).version > first.version


def test_key_rewritten_without_a_lease_outlives_its_first_lease():
    store = Store()
    store.grant_lease("short", 1, 0.0)
    first = store.swap("k", 0, b"1", "short", 0.0)
    store.swap("k", first.version, b"2", "", 0.0)
    assert store.read("k", 2.0).value == b"2"


def test_lease_expiry_wakes_watches_of_its_keys():
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


def test_call_limit_bounds_calls_over_time():
    limit = CallLimit.from_rate(10, burst_s=0.5)
    permitted_at = [tick / 100 for tick in range(500) if limit.take(tick / 100)]
    assert 50 <= len(permitted_at) <= 55
    assert all(CallLimit.from_rate(0, 1.0).take(0.0) for _ in range(1000))


def fault_settings(name):
    return FaultSettings(mode=name, delay_ms=20, lost_percent=50, seed=7)


def test_fault_modes_treat_calls_as_configured():
    switch = FaultSwitch.from_settings(fault_settings("down"))
    call = PutCall("k", 0, b"")
    assert not switch.behaviour.effect_on(call).runs
    switch.set_mode(fault_settings("slow"))
    assert switch.behaviour.effect_on(call).delay_s == 0.01
    switch.set_mode(fault_settings("lost-answers"))
    lost = [not switch.behaviour.effect_on(call).answers for _ in range(100)]
    assert 30 < sum(lost) < 70
    assert switch.behaviour.effect_on(ReadCall("k")).answers
    switch.set_mode(fault_settings("lost-answers"))
    assert lost == [not switch.behaviour.effect_on(call).answers for _ in range(100)]
    switch.shut_down()
    switch.set_mode(fault_settings("up"))
    assert not switch.behaviour.effect_on(call).runs
    assert load_chart("platform_mode").states["ended"].final


def test_shipped_settings_are_valid():
    assert StoreServerSettings.from_file(None).server.port == 7100
