"""State of the key-value stand-in: keys, leases and waiting watches."""

from collections.abc import Iterator

from attrs import define, field, frozen
from sortedcontainers import SortedDict

from monsoonmill.errors import PlatformConflictError
from monsoonmill.store.errors import LeaseNotLiveError, ValueTooLargeError
from monsoonmill.store.limits import MAX_VALUE_BYTES


@frozen
class Entry:
    """A key's state; version 0 and no value if it is absent."""

    key: str
    version: int = 0
    value: bytes | None = None
    lease: str = ""


@define
class Lease:
    """A live lease and the keys that go with it."""

    expires_at: float
    keys: set[str] = field(factory=set)


@frozen(eq=False)
class Watch:
    """A caller that waits for a change of a key.

    Attributes
    ----------
    after : int
        The version that the caller knows; 0 if it knows the key as absent.
    due : float
        Time in seconds at which the wait ends without a change.
    token : object
        Whatever names the waiting caller.
    """

    key: str
    after: int
    due: float
    token: object


@frozen
class EndedWatch:
    """Ends a watch; the entry is None when its time was up."""

    token: object
    entry: Entry | None


class Store:
    """Keys with versions, compare-and-swap, leases and watches.

    Versions come from one counter, so a key that was removed and made anew
    never repeats one. Each method that takes the time first removes what
    lapsed by then.
    """

    def __init__(self):
        self._entries: SortedDict[str, Entry] = SortedDict()
        self._leases: dict[str, Lease] = {}
        self._watches: dict[str, list[Watch]] = {}
        self._ended: list[EndedWatch] = []
        self._last_version = 0

    def read(self, key: str, now: float) -> Entry:
        """Return the state of a key."""
        self.expire(now)
        return self._entry(key)

    def list_keys(self, prefix: str, now: float) -> Iterator[Entry]:
        """Yield the keys with a prefix in their order."""
        self.expire(now)
        for key in self._entries.irange(minimum=prefix):
            if not key.startswith(prefix):
                return
            yield self._entries[key]

    def swap(
        self, key: str, expected: int, value: bytes | None, lease: str, now: float
    ) -> Entry:
        """Write or, without a value, remove a key that has the expected version.

        Parameters
        ----------
        expected : int
            Version that the key must have; 0 means absent.
        lease : str
            Name of the lease that the key goes with; empty for none.

        Raises
        ------
        PlatformConflictError
            The key has another version.
        LeaseNotLiveError
            The lease lapsed or was never granted.
        ValueTooLargeError
            The value exceeds ``MAX_VALUE_BYTES``.
        """
        self.expire(now)
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(key, MAX_VALUE_BYTES)
        if lease and lease not in self._leases:
            raise LeaseNotLiveError(lease)
        actual = self._entry(key).version
        if actual != expected:
            raise PlatformConflictError(key, expected, actual)
        if value is None:
            return self._remove(key)
        return self._write(key, value, lease)

    def grant_lease(self, lease: str, ttl_s: float, now: float) -> None:
        """Grant a lease, or renew it if it is live."""
        self.expire(now)
        held = self._leases.setdefault(lease, Lease(now))
        held.expires_at = now + ttl_s

    def watch(
        self, key: str, after: int, due: float, token: object, now: float
    ) -> None:
        """Wait for a change of a key; ``take_ended_watches`` tells of its end."""
        self.expire(now)
        watch = Watch(key, after, due, token)
        entry = self._entry(key)
        if _has_changed(watch, entry):
            self._ended.append(EndedWatch(token, entry))
        elif due <= now:
            self._ended.append(EndedWatch(token, None))
        else:
            self._watches.setdefault(key, []).append(watch)

    def take_ended_watches(self) -> list[EndedWatch]:
        """Return the watches that ended since the last time, oldest first."""
        ended, self._ended = self._ended, []
        return ended

    def drop_watches(self) -> list[Watch]:
        """Forget all waiting watches and return them."""
        dropped = list(self._waiting())
        self._watches.clear()
        return dropped

    @property
    def watch_count(self) -> int:
        """Number of waiting watches."""
        return sum(map(len, self._watches.values()))

    def next_due(self) -> float | None:
        """Return when the next lease or watch lapses; None for never."""
        times = [lease.expires_at for lease in self._leases.values()]
        times += [watch.due for watch in self._waiting()]
        return min(times, default=None)

    def expire(self, now: float) -> None:
        """Remove the leases that lapsed, their keys, and watches that are due."""
        lapsed = [
            name for name, lease in self._leases.items() if lease.expires_at <= now
        ]
        for name in lapsed:
            for key in sorted(self._leases.pop(name).keys):
                self._remove(key)
        for key in [watch.key for watch in self._waiting() if watch.due <= now]:
            self._end_due_watches(key, now)

    def _entry(self, key):
        return self._entries.get(key) or Entry(key)

    def _write(self, key, value, lease):
        self._unbind(key)
        self._last_version += 1
        entry = Entry(key, self._last_version, value, lease)
        self._entries[key] = entry
        if lease:
            self._leases[lease].keys.add(key)
        self._notify_watches(entry)
        return entry

    def _remove(self, key):
        self._unbind(key)
        self._entries.pop(key, None)
        entry = Entry(key)
        self._notify_watches(entry)
        return entry

    def _unbind(self, key):
        lease = self._leases.get(self._entry(key).lease)
        if lease is not None:
            lease.keys.discard(key)

    def _waiting(self):
        for watches in self._watches.values():
            yield from watches

    def _notify_watches(self, entry):
        waiting = self._watches.pop(entry.key, [])
        kept = [watch for watch in waiting if not _has_changed(watch, entry)]
        changed = (watch for watch in waiting if _has_changed(watch, entry))
        self._ended += (EndedWatch(watch.token, entry) for watch in changed)
        if kept:
            self._watches[entry.key] = kept

    def _end_due_watches(self, key, now):
        waiting = self._watches.pop(key, [])
        self._ended += (
            EndedWatch(watch.token, None) for watch in waiting if watch.due <= now
        )
        kept = [watch for watch in waiting if watch.due > now]
        if kept:
            self._watches[key] = kept


def _has_changed(watch, entry):
    if entry.value is None:
        return watch.after > 0
    return entry.version > watch.after
