"""Stand-in of the users' platform's store, for tests and try-out only."""

from base64 import b64decode, b64encode
from itertools import count
from json import dumps, loads
from urllib.parse import parse_qs, urlsplit

from attrs import define, field, frozen

from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.timers import Timers
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.reasons import Outcome

PATH = "/monsoonmill/kv-"
PAGE = 500
OPERATOR_PREFIXES = ("op/", "servers/")


@frozen
class Item:
    """One key's state; ``value`` is None for one that was removed."""

    key: str
    value: bytes | None
    revision: int
    created_rev: int
    lease_id: int = 0

    def document(self) -> dict:
        """Return the item as the platform writes it."""
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
class WaitingWatch:
    """A watch without events so far."""

    name: str
    prefix: str
    after: int


@define
class StoreFaults:
    """What goes wrong, until it is set otherwise.

    Attributes
    ----------
    mode : str
        ``"ok"``, ``"busy"`` (503), ``"many"`` (429) or ``"silent"``.
    refused_hosts : set of str
        Node names are not known to a store, so faults hold for all callers.
    lost_answers : int
        So many further writes are done and not answered.
    """

    mode: str = "ok"
    lost_answers: int = 0


@define(eq=False)
class KvStore:
    """Keys with revisions, leases and a bounded history."""

    revision: int = 1
    items: dict[str, Item] = field(factory=dict)
    history: list[Item] = field(factory=list)
    forgotten: int = 0
    leases: dict[int, float] = field(factory=dict)
    ttls: dict[int, float] = field(factory=dict)
    _lease_ids: object = field(factory=lambda: count(77))

    def write(self, key: str, value: bytes | None, lease_id: int = 0) -> None:
        """Write or remove a key at the present revision."""
        old = self.items.get(key)
        created = self.revision if old is None else old.created_rev
        item = Item(key, value, self.revision, created, lease_id)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append(item)

    def put(self, key: str, value: bytes) -> int:
        """Write a key as the operator does; return the revision."""
        self.revision += 1
        self.write(key, value)
        return self.revision

    def forget_history(self) -> None:
        """Drop what watches could still tell."""
        self.forgotten = self.revision
        self.history.clear()

    def grant(self, ttl_s: float, now: float) -> int:
        """Grant a lease."""
        lease_id = next(self._lease_ids)
        self.leases[lease_id] = now + ttl_s
        self.ttls[lease_id] = ttl_s
        return lease_id

    def expire(self, now: float) -> None:
        """End the leases that were not renewed."""
        for lease_id in [one for one, due in self.leases.items() if due <= now]:
            self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        del self.leases[lease_id]
        keys = [one.key for one in self.items.values() if one.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self.write(key, None)


class KvApp(WebApp):
    """The store's calls."""

    def __init__(self, store: KvStore, faults: StoreFaults, clock):
        self.store = store
        self.faults = faults
        self.calls: list[str] = []
        self._clock = clock
        self._watches: dict[str, WaitingWatch] = {}
        self._timers = Timers()

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Answer a call, or let it wait."""
        parts = urlsplit(req.path)
        call = parts.path.removeprefix(PATH)
        self.calls.append(call)
        if self.faults.mode == "silent":
            return WaitingWatch(name, "", 0)
        if self.faults.mode != "ok":
            return _answer({}, 503 if self.faults.mode == "busy" else 429)
        self.store.expire(self._clock.now())
        fields = {key: values[0] for key, values in parse_qs(parts.query).items()}
        resp = self._perform(name, req, call, fields)
        is_write = call == "txn"
        if is_write and self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return WaitingWatch(name, "", 0)
        return resp

    def _perform(self, name, req, call, fields):
        verb, _, rest = call.partition("/")
        if verb == "key":
            return self._key(fields["key"])
        if verb == "range":
            return self._range(fields)
        if verb == "watch":
            return self._watch(name, fields)
        if verb == "txn":
            return self._txn(loads(req.body))
        if verb == "lease":
            ttl = loads(req.body)["ttl_time"]
            ttl_s = float(ttl.removesuffix("ms")) / 1000
            lease_id = self.store.grant(ttl_s, self._clock.now())
            return _answer({"lease_id": lease_id, "ttl_time": ttl})
        if verb == "keep":
            return self._keep(int(rest))
        return _answer({}, 404)

    def _key(self, key):
        item = self.store.items.get(key)
        at = {"at_rev": self.store.revision}
        return _answer(at, 404) if item is None else _answer({**item.document(), **at})

    def _range(self, fields):
        prefix, after = fields["path_prefix"], fields.get("after", "")
        keys = sorted(
            key for key in self.store.items if key.startswith(prefix) and key > after
        )
        items = [self.store.items[key].document() for key in keys[:PAGE]]
        return _answer(
            {
                "items": items,
                "has_more": len(keys) > PAGE,
                "at_rev": self.store.revision,
            }
        )

    def _watch(self, name, fields):
        after = int(fields["after"])
        if after < self.store.forgotten:
            return _answer({}, 410)
        watch = WaitingWatch(name, fields["path_prefix"], after)
        events = self._events(watch)
        if events:
            return _answer({"events": events, "at_rev": self.store.revision})
        self._watches[name] = watch
        self._timers.set(name, self._clock.now() + int(fields["wait_ms"]) / 1000)
        return watch

    def _events(self, watch):
        return [
            one.document()
            for one in self.store.history
            if one.revision > watch.after and one.key.startswith(watch.prefix)
        ]

    def _txn(self, doc):
        store = self.store
        expected = doc.get("expected", ())
        found = [store.items.get(row["key"]) for row in expected]
        actual = [0 if one is None else one.revision for one in found]
        if actual != [row["revision"] for row in expected]:
            items = [one.document() for one in found if one is not None]
            return _answer({"items": items}, 412)
        writes = doc.get("writes", ())
        keys = [one["key"] for one in writes] + list(doc.get("deletes", ()))
        if any(key.startswith(OPERATOR_PREFIXES) for key in keys):
            return _answer({}, 403)
        leases = {one.get("lease_id", 0) for one in writes} - {0}
        if not leases <= set(store.leases):
            return _answer({}, 404)
        store.revision += 1
        for one in writes:
            store.write(one["key"], b64decode(one["value"]), one.get("lease_id", 0))
        for key in doc.get("deletes", ()):
            store.write(key, None)
        return _answer({"revision": store.revision})

    def _keep(self, lease_id):
        if lease_id not in self.store.leases:
            return _answer({}, 404)
        ttl_s = self.store.ttls[lease_id]
        self.store.leases[lease_id] = self._clock.now() + ttl_s
        return _answer({"ttl_time": f"{int(ttl_s * 1000)}ms"})

    # Watches that wait.
    def due_answers(self):
        """Yield the answers of watches that have events or have waited enough."""
        now = self._clock.now()
        late = set(self._timers.pop_due(now))
        for name, watch in list(self._watches.items()):
            events = self._events(watch)
            if watch.after < self.store.forgotten:
                yield self._finish(name, _answer({}, 410))
            elif events or name in late:
                doc = {"events": events, "at_rev": self.store.revision}
                yield self._finish(name, _answer(doc))

    def _finish(self, name, resp):
        del self._watches[name]
        self._timers.cancel(name)
        return Answer(name, Outcome.DONE, resp)

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer."""
        return answer.response


def _answer(doc, status=200):
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, headers, dumps(doc).encode())
