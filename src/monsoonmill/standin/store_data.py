"""State of the key-value stand-in: keys, leases and watches."""

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
    """A lease that has not expired, and the keys that are bound to it."""

    expires_at: float
    keys: set[str] = field(factory=set)


@frozen(eq=False)
class Watch:
    """A caller that waits for a change of a key.

    Attributes
    ----------
    after : int
        The last version that the caller saw; 0 if the key was absent.
    due : float
        Time in seconds at which the watch ends without a change.
    token : object
        Opaque value that identifies the waiting caller.
    """

    key: str
    after: int
    due: float
    token: object


@frozen
class EndedWatch:
    """A watch that ended; ``entry`` is None if it timed out without a change."""

    token: object
    entry: Entry | None


class Store:
    """Keys with versions, compare-and-swap, leases and watches.

    Versions come from one counter for all keys, so a key that is removed and
    created again never repeats a version. Each method that takes the time first
    removes what has expired by then.
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
        """Yield the keys that have a prefix, in lexical order."""
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
            Version that the key must have; 0 if it must be absent.
        lease : str
            Name of the lease that the key is bound to; empty for none.

        Raises
        ------
        PlatformConflictError
            The key has another version.
        LeaseNotLiveError
            The lease has expired or was never granted.
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
        """Grant a lease, or renew it if it has not expired."""
        self.expire(now)
        granted = self._leases.setdefault(lease, Lease(now))
        granted.expires_at = now + ttl_s

    def watch(
        self, key: str, after: int, due: float, token: object, now: float
    ) -> None:
        """Watch a key for a change; ``take_ended_watches`` reports the end."""
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
        """Return the watches that ended since the last call, oldest first."""
        ended, self._ended = self._ended, []
        return ended

    def drop_watches(self) -> list[Watch]:
        """Remove all watches and return them."""
        dropped = list(self._all_watches())
        self._watches.clear()
        return dropped

    @property
    def watch_count(self) -> int:
        """Number of watches that have not ended."""
        return sum(map(len, self._watches.values()))

    def next_due(self) -> float | None:
        """Return when the next lease or watch expires; None if there is none."""
        times = [lease.expires_at for lease in self._leases.values()]
        times += [watch.due for watch in self._all_watches()]
        return min(times, default=None)

    def expire(self, now: float) -> None:
        """Remove expired leases with their keys, and end watches that are due."""
        expired = [
            name for name, lease in self._leases.items() if lease.expires_at <= now
        ]
        for name in expired:
            for key in sorted(self._leases.pop(name).keys):
                self._remove(key)
        for key in [watch.key for watch in self._all_watches() if watch.due <= now]:
            self._end_due_watches(key, now)

    def _entry(self, key):
        return self._entries.get(key) or Entry(key)

    def _write(self, key, value, lease):
        self._unbind_from_lease(key)
        self._last_version += 1
        entry = Entry(key, self._last_version, value, lease)
        self._entries[key] = entry
        if lease:
            self._leases[lease].keys.add(key)
        self._notify_watches(entry)
        return entry

    def _remove(self, key):
        self._unbind_from_lease(key)
        self._entries.pop(key, None)
        entry = Entry(key)
        self._notify_watches(entry)
        return entry

    def _unbind_from_lease(self, key):
        lease = self._leases.get(self._entry(key).lease)
        if lease is not None:
            lease.keys.discard(key)

    def _all_watches(self):
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
