"""Stand-in for the key-value store of the users' platform, for tests only."""

from base64 import b64decode, b64encode
from json import dumps, loads
from urllib.parse import parse_qs, urlsplit

from attrs import define, evolve, field, frozen

from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.timers import Timers
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.reasons import Outcome

PATH_PREFIX = "/monsoonmill/kv-"
PAGE_SIZE = 500
OPERATOR_PREFIXES = ("op/", "servers/")
ERA_HEADER = "Store-Era"
FIRST_LEASE_ID = 77


@frozen
class Item:
    """State of a key at a revision; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int
    created_rev: int
    lease_id: int = 0

    def document(self) -> dict:
        """Return the item as the platform encodes it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "tombstone": True}
        return {
            "key": self.key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "created_rev": self.created_rev,
            "lease_id": self.lease_id,
        }


@frozen
class PendingWatch:
    """A watch that waits for events, or a call that is never answered.

    Attributes
    ----------
    after : int
        Revision that the caller knows; later events end the watch.
    """

    name: str
    prefix: str
    after: int


@define
class StoreFaults:
    """Faults of the store, which hold until they are changed.

    They apply to all callers, since the store doesn't know the callers' node
    names.

    Attributes
    ----------
    mode : str
        ``"ok"``, ``"busy"`` (status 503), ``"many"`` (status 429) or ``"silent"``
        (no answer).
    lost_answers : int
        Number of further writes that are executed but not answered.
    holds_watches : bool
        Whether watches hear nothing and are not ended.
    statuses_without_era : frozenset of int
        Statuses of the answers that don't tell the store's era.
    """

    mode: str = "ok"
    lost_answers: int = 0
    holds_watches: bool = False
    statuses_without_era: frozenset[int] = frozenset()


@frozen
class StoreCopy:
    """Contents of a store at one time, from which it can return."""

    revision: int
    items: dict[str, Item]
    history: tuple[Item, ...]
    compacted: int
    leases: dict[int, float]
    ttls: dict[int, float]
    next_lease_id: int


@define(eq=False)
class KvStore:
    """Keys with revisions, leases and a history of changes.

    Attributes
    ----------
    era : int or None
        Number of times that the store has returned from a copy; None for a store
        that doesn't tell its era.
    compacted : int
        Revision up to which the history was removed; watches from before it fail.
    leases : dict
        Time in seconds at which each lease expires.
    ttls : dict
        Lifetime in seconds of each lease.
    """

    revision: int = 1
    era: int | None = 0
    items: dict[str, Item] = field(factory=dict)
    history: list[Item] = field(factory=list)
    compacted: int = 0
    leases: dict[int, float] = field(factory=dict)
    ttls: dict[int, float] = field(factory=dict)
    _next_lease_id: int = FIRST_LEASE_ID

    def write(self, key: str, value: bytes | None, lease_id: int = 0) -> None:
        """Write or delete a key at the current revision."""
        old = self.items.get(key)
        created = self.revision if old is None else old.created_rev
        item = Item(key, value, self.revision, created, lease_id)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append(item)

    def put(self, key: str, value: bytes) -> int:
        """Write a key as an operator does; return the new revision."""
        self.revision += 1
        self.write(key, value)
        return self.revision

    def compact(self) -> None:
        """Remove the history, so that watches from older revisions fail."""
        self.compacted = self.revision
        self.history.clear()

    def grant(self, ttl_s: float, now: float) -> int:
        """Grant a lease."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self.leases[lease_id] = now + ttl_s
        self.ttls[lease_id] = ttl_s
        return lease_id

    def copy(self) -> StoreCopy:
        """Return a copy of the contents."""
        return StoreCopy(
            self.revision,
            dict(self.items),
            tuple(self.history),
            self.compacted,
            dict(self.leases),
            dict(self.ttls),
            self._next_lease_id,
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Replace the contents by those of a copy and begin the next era.

        All that was written since the copy is lost. Its revisions and lease ids are
        assigned again.
        """
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.compacted = copy.compacted
        self.leases = dict(copy.leases)
        self.ttls = dict(copy.ttls)
        self._next_lease_id = copy.next_lease_id
        if self.era is not None:
            self.era += 1

    def has_history_since(self, revision: int) -> bool:
        """Return whether all changes after a revision are known."""
        return self.compacted <= revision <= self.revision

    def expire(self, now: float) -> None:
        """Remove the expired leases."""
        for lease_id in [
            lease_id for lease_id, due in self.leases.items() if due <= now
        ]:
            self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """Remove a lease and delete its keys."""
        del self.leases[lease_id]
        keys = [item.key for item in self.items.values() if item.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self.write(key, None)


class KvApp(WebApp):
    """HTTP interface of the store."""

    def __init__(self, store: KvStore, faults: StoreFaults, clock):
        self.store = store
        self.faults = faults
        self.calls: list[str] = []
        self._clock = clock
        self._watches: dict[str, PendingWatch] = {}
        self._timers = Timers()

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Answer a call; return a ``PendingWatch`` if it is not answered now."""
        parts = urlsplit(req.path)
        call = parts.path.removeprefix(PATH_PREFIX)
        self.calls.append(call)
        if self.faults.mode == "silent":
            return PendingWatch(name, "", 0)
        if self.faults.mode != "ok":
            status = 503 if self.faults.mode == "busy" else 429
            return self._add_era(_answer({}, status))
        self.store.expire(self._clock.now())
        params = {key: values[0] for key, values in parse_qs(parts.query).items()}
        resp = self._execute(name, req, call, params)
        if isinstance(resp, HttpResponse):
            resp = self._add_era(resp)
        is_write = call == "txn"
        if is_write and self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return PendingWatch(name, "", 0)
        return resp

    def _execute(self, name, req, call, params):
        call_name, _, lease_id = call.partition("/")
        if call_name == "key":
            return self._key(params["key"])
        if call_name == "range":
            return self._range(params)
        if call_name == "watch":
            return self._watch(name, params)
        if call_name == "txn":
            return self._txn(loads(req.body))
        if call_name == "lease":
            ttl = loads(req.body)["ttl_time"]
            ttl_s = float(ttl.removesuffix("ms")) / 1000
            granted_id = self.store.grant(ttl_s, self._clock.now())
            return _answer({"lease_id": granted_id, "ttl_time": ttl})
        if call_name == "keep":
            return self._keep(int(lease_id))
        return _answer({}, 404)

    def _key(self, key):
        item = self.store.items.get(key)
        at = {"at_rev": self.store.revision}
        return _answer(at, 404) if item is None else _answer({**item.document(), **at})

    def _range(self, params):
        prefix, after = params["path_prefix"], params.get("after", "")
        keys = sorted(
            key for key in self.store.items if key.startswith(prefix) and key > after
        )
        items = [self.store.items[key].document() for key in keys[:PAGE_SIZE]]
        return _answer(
            {
                "items": items,
                "has_more": len(keys) > PAGE_SIZE,
                "at_rev": self.store.revision,
            }
        )

    def _watch(self, name, params):
        after = int(params["after"])
        if not self.store.has_history_since(after):
            return _answer({}, 410)
        watch = PendingWatch(name, params["path_prefix"], after)
        events = self._events(watch)
        if events and not self.faults.holds_watches:
            return _answer({"events": events, "at_rev": self.store.revision})
        self._watches[name] = watch
        self._timers.set(name, self._clock.now() + int(params["wait_ms"]) / 1000)
        return watch

    def _events(self, watch):
        return [
            item.document()
            for item in self.store.history
            if item.revision > watch.after and item.key.startswith(watch.prefix)
        ]

    def _txn(self, doc):
        store = self.store
        expected = doc.get("expected", ())
        found = [store.items.get(condition["key"]) for condition in expected]
        actual = [0 if item is None else item.revision for item in found]
        if actual != [condition["revision"] for condition in expected]:
            items = [item.document() for item in found if item is not None]
            return _answer({"items": items}, 412)
        writes = doc.get("writes", ())
        keys = [write["key"] for write in writes] + list(doc.get("deletes", ()))
        if any(key.startswith(OPERATOR_PREFIXES) for key in keys):
            return _answer({}, 403)
        leases = {write.get("lease_id", 0) for write in writes} - {0}
        if not leases <= set(store.leases):
            return _answer({}, 404)
        store.revision += 1
        for write in writes:
            store.write(
                write["key"], b64decode(write["value"]), write.get("lease_id", 0)
            )
        for key in doc.get("deletes", ()):
            store.write(key, None)
        return _answer({"revision": store.revision})

    def _keep(self, lease_id):
        if lease_id not in self.store.leases:
            return _answer({}, 404)
        ttl_s = self.store.ttls[lease_id]
        self.store.leases[lease_id] = self._clock.now() + ttl_s
        return _answer({"ttl_time": f"{int(ttl_s * 1000)}ms"})

    def due_answers(self):
        """Yield the answers of watches that have events or have timed out."""
        if self.faults.holds_watches:
            return
        now = self._clock.now()
        timed_out = set(self._timers.pop_due(now))
        for name, watch in list(self._watches.items()):
            events = self._events(watch)
            if not self.store.has_history_since(watch.after):
                yield self._end_watch(name, _answer({}, 410))
            elif events or name in timed_out:
                doc = {"events": events, "at_rev": self.store.revision}
                yield self._end_watch(name, _answer(doc))

    def _end_watch(self, name, resp):
        del self._watches[name]
        self._timers.cancel(name)
        return Answer(name, Outcome.DONE, self._add_era(resp))

    def _add_era(self, resp):
        is_left_out = resp.status in self.faults.statuses_without_era
        if self.store.era is None or is_left_out:
            return resp
        era = (ERA_HEADER, str(self.store.era))
        return evolve(resp, headers=(*resp.headers, era))

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer."""
        return answer.response


def _answer(doc, status=200):
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, headers, dumps(doc).encode())
