"""Stand-in for the platform's metadata store, written from PROTOCOL.md.

It keeps its whole history and executes each call at once. It uses only the standard
library and runs in threads of the script.
"""

from base64 import b64decode, b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from json import dumps, loads
from threading import Condition, Thread
from time import monotonic
from urllib.parse import parse_qs, urlsplit

PAGE = 500
OPERATOR_PREFIXES = ("op/", "servers/")


def duration_s(text):
    """Return the seconds of a time such as ``1500ms`` or ``2.5s``."""
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class Store:
    """The items, their history and the leases."""

    def __init__(self):
        self.changed = Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self._lease_ids = 100

    def _expire(self):
        now = monotonic()
        ended = [lease for lease, (due, _) in self.leases.items() if due <= now]
        for lease in ended:
            self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease_id"] == lease]
        if keys:
            self._apply([], keys)

    def _apply(self, writes, deletes):
        self.revision += 1
        for key, value, lease in writes:
            known = self.items.get(key)
            self.items[key] = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created_rev": known["created_rev"] if known else self.revision,
                "lease_id": lease,
            }
            self.history.append((self.revision, self.items[key]))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append((self.revision, gone))
        self.changed.notify_all()

    def put(self, key, value):
        """Write a key as the operator does; the return is the acknowledgement."""
        with self.changed:
            self._apply([(key, b64encode(value).decode(), 0)], [])

    def read(self, key):
        """Answer ``kv-key``."""
        with self.changed:
            self._expire()
            item = self.items.get(key)
            if item is None:
                return 404, {"at_rev": self.revision}
            return 200, {**item, "at_rev": self.revision}

    def list(self, prefix, after):
        """Answer ``kv-range``."""
        with self.changed:
            self._expire()
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:PAGE]]
            answer = {"items": page, "has_more": len(keys) > PAGE}
            return 200, {**answer, "at_rev": self.revision}

    def watch(self, prefix, after, wait_s):
        """Answer ``kv-watch``."""
        due = monotonic() + wait_s
        with self.changed:
            while True:
                self._expire()
                events = [
                    item
                    for revision, item in self.history
                    if revision > after and item["key"].startswith(prefix)
                ]
                left = due - monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at_rev": self.revision}
                self.changed.wait(min(left, 0.5))

    def transact(self, doc):
        """Answer ``kv-txn``."""
        with self.changed:
            self._expire()
            writes = doc.get("writes") or []
            deletes = doc.get("deletes") or []
            keys = [write["key"] for write in writes] + deletes
            if any(key.startswith(OPERATOR_PREFIXES) for key in keys):
                return 403, {}
            expected = doc.get("expected") or []
            for row in expected:
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    known = [self.items.get(row["key"]) for row in expected]
                    return 412, {"items": [item for item in known if item]}
            leases = {write.get("lease_id", 0) for write in writes} - {0}
            if not leases <= set(self.leases):
                return 404, {}
            rows = [(w["key"], w["value"], w.get("lease_id", 0)) for w in writes]
            self._apply(rows, deletes)
            return 200, {"revision": self.revision}

    def grant(self, doc):
        """Answer ``kv-lease``."""
        with self.changed:
            self._lease_ids += 1
            ttl_s = max(1.0, min(duration_s(doc["ttl_time"]), 600.0))
            self.leases[self._lease_ids] = (monotonic() + ttl_s, ttl_s)
            ttl = f"{int(ttl_s * 1000)}ms"
            return 200, {"lease_id": self._lease_ids, "ttl_time": ttl}

    def keep(self, lease):
        """Answer ``kv-keep``."""
        with self.changed:
            self._expire()
            if lease not in self.leases:
                return 404, {}
            _, ttl_s = self.leases[lease]
            self.leases[lease] = (monotonic() + ttl_s, ttl_s)
            return 200, {"lease_id": lease, "ttl_time": f"{int(ttl_s * 1000)}ms"}

    def end(self, lease):
        """Answer ``kv-lease-end``."""
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            self._end(lease)
            return 200, {}

    def value(self, key):
        """Return the bytes of a key, for the script."""
        with self.changed:
            return b64decode(self.items[key]["value"])


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    store = None

    def _answer(self, status, doc):
        body = dumps(doc).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _body(self):
        size = int(self.headers.get("Content-Length") or 0)
        return loads(self.rfile.read(size) or b"{}")

    def _handle(self):
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        call, _, name = url.path.removeprefix("/monsoonmill/").partition("/")
        doc = self._body()
        store = self.store
        if call == "kv-key":
            return store.read(query["key"])
        if call == "kv-range":
            return store.list(query.get("path_prefix", ""), query.get("after", ""))
        if call == "kv-watch":
            wait_s = int(query["wait_ms"]) / 1000
            return store.watch(query["path_prefix"], int(query["after"]), wait_s)
        if call == "kv-txn":
            return store.transact(doc)
        if call == "kv-lease":
            return store.grant(doc)
        if call == "kv-keep":
            return store.keep(int(name))
        if call == "kv-lease-end":
            return store.end(int(name))
        return 404, {}

    def _serve(self):
        try:
            self._answer(*self._handle())
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = _serve

    def log_message(self, *args):
        pass


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def serve(store, host):
    """Serve a store on a free port of a loopback address; return the port."""
    handler = type("Handler", (_Handler,), {"store": store})
    server = _Server((host, 0), handler)
    Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]
