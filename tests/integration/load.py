"""Callers that send a seeded mix of calls, and an oracle over the outcomes."""

from collections import Counter, defaultdict
from itertools import count
from random import Random
from threading import Event

from attrs import define, field, frozen
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError, NewConnectionError

from monsoonmill.clock import SystemClock
from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, is_intact
from monsoonmill.task import Inbox, Stop, Task
from tests.integration.release_notes import SECRETS
from tests.process_fleet import HOST, wait_for

CALLER_TIMEOUT_S = 12.0
CALL_TIMEOUT_MS = 8000
TRY_HEADER = "X-Try"
AGAIN_NUMBER = 99
"""Number of the try that follows a clear answer."""
CLOCK = SystemClock()


@frozen
class Plan:
    """What the callers send.

    Attributes
    ----------
    weights : dict
        How often each path is sent.
    pace_s : float
        Wait between an answer and the next call of one caller.
    resends : int
        Times that a pledge without a clear end is sent again under its key.
    again_share : float
        Share of answered pledges that are sent again to another node.
    organisation : str
        Whose key the calls carry.
    """

    weights: dict[str, int] = field(factory=lambda: {"lookup": 7, "pledges": 3})
    callers: int = 8
    pace_s: float = 0.02
    resends: int = 0
    again_share: float = 0.0
    organisation: str = "branch"


@frozen
class Sent:
    """One try of a call and its end, as its caller saw it."""

    id: str
    kind: str
    host: str
    sent_at: float
    ended_at: float
    number: int
    status: int = 0
    outcome: str = ""
    reason: str = ""
    whole: bool = False
    refused_connection: bool = False

    @property
    def is_done(self):
        return self.outcome == "done" and self.status == 200


class CallerTask(Task):
    """Sends calls to one node; turns to the next when it drains or is silent."""

    def __init__(self, number, fleet, plan, seed, report, prefix="c"):
        super().__init__(f"caller-{number}")
        self._rng = Random(f"{seed}/{number}")
        self._fleet = fleet
        self._plan = plan
        self._report = report
        self._names = (f"{prefix}{number}-{one}" for one in count())
        self._pools = {}
        self._home = number

    def run(self):
        while not isinstance(self.inbox.take(self._plan.pace_s), Stop):
            kinds = list(self._plan.weights)
            (kind,) = self._rng.choices(kinds, list(self._plan.weights.values()))
            self._send(kind, next(self._names))

    def _send(self, kind, name):
        for number in range(1 + self._plan.resends):
            sent = self._try(kind, name, number)
            self._report(sent)
            self._home += sent.reason == "draining"
            is_clear = sent.is_done or sent.reason == "duplicate"
            if kind != "pledges" or is_clear:
                break
        if kind == "pledges" and self._rng.random() < self._plan.again_share:
            self._home += 1
            self._report(self._try(kind, name, AGAIN_NUMBER))

    def _try(self, kind, name, number):
        host = self._fleet.hosts[self._home % len(self._fleet.hosts)]
        headers = {
            "Authorization": f"Bearer {SECRETS[self._plan.organisation]}",
            "Monsoon-Timeout-Ms": str(CALL_TIMEOUT_MS),
            ID_HEADER: name,
            TRY_HEADER: str(number),
        }
        if self._plan.resends and kind == "pledges":
            headers["Idempotency-Key"] = name
        method = "POST" if kind == "pledges" else "GET"
        body = name.encode() if kind == "pledges" else None
        sent_at = CLOCK.now()
        try:
            response = self._pool(host).request(
                method, f"/donkeys/{kind}/{name}", headers=headers, body=body
            )
        except (HTTPError, OSError) as exc:
            self._home += 1
            refused = isinstance(exc, NewConnectionError)
            return Sent(
                name,
                kind,
                host.name,
                sent_at,
                CLOCK.now(),
                number,
                refused_connection=refused,
            )
        return Sent(
            name,
            kind,
            host.name,
            sent_at,
            CLOCK.now(),
            number,
            response.status,
            response.headers.get("Monsoon-Outcome", ""),
            response.headers.get("Monsoon-Reason", ""),
            is_intact(response.data, response.headers.get(CRC_HEADER), name),
        )

    def _pool(self, host):
        if host.name not in self._pools:
            self._pools[host.name] = HTTPConnectionPool(
                HOST, host.call_port, retries=False, timeout=CALLER_TIMEOUT_S
            )
        return self._pools[host.name]


class Load:
    """Some callers at work; ``sent`` holds what has ended so far."""

    def __init__(self, fleet, plan, seed, prefix="c"):
        self.sent = []
        tries = 1 + plan.resends + (plan.again_share > 0)
        self._last_call_s = tries * CALLER_TIMEOUT_S + 5
        self._inbox = Inbox()
        self._callers = [
            CallerTask(number, fleet, plan, seed, self._inbox.post, prefix).start()
            for number in range(plan.callers)
        ]

    def collect(self):
        """Return all calls that have ended so far."""
        self.sent.extend(iter(lambda: self._inbox.take(0), None))
        return self.sent

    def await_more(self, calls, timeout_s=20.0, where=lambda sent: True):
        """Wait for the end of further calls."""
        before = sum(map(where, self.collect()))
        wait_for(
            lambda: sum(map(where, self.collect())) >= before + calls,
            timeout_s,
            f"{calls} more calls",
        )

    def go_on(self, seconds):
        """Let the load go on for a time that a target states."""
        Event().wait(seconds)

    def ask_to_stop(self):
        """Let the callers end after their present calls."""
        for caller in self._callers:
            caller.stop()

    def stop(self):
        """End the callers and wait for their last calls."""
        self.ask_to_stop()
        for caller in self._callers:
            assert caller.join(self._last_call_s), caller.name
        return self.collect()


@define
class Oracle:
    """Compares what callers were told with what backend servers ran."""

    sent: list
    executions: list
    runs: dict = field(init=False)

    def __attrs_post_init__(self):
        self.runs = Counter(one["id"] for one in self.executions)

    def cut_off(self):
        """Return tries that ran and whose callers got no answer."""
        ran = {(one["id"], one["headers"].get("x-try")) for one in self.executions}
        return [
            one
            for one in self.sent
            if one.outcome in ("", "unknown") and (one.id, str(one.number)) in ran
        ]

    def unknown(self):
        """Return tries that may have run, but for refused duplicates."""
        unknown = (one for one in self.sent if one.outcome == "unknown")
        return [one for one in unknown if one.reason != "duplicate"]

    def pledges_run_twice(self):
        return {
            one["id"]: self.runs[one["id"]]
            for one in self.executions
            if "/pledges/" in one["path"] and self.runs[one["id"]] > 1
        }

    def wrong_not_run(self):
        """Return calls of which each try was told not to have run, but ran."""
        told = defaultdict(set)
        for one in self.sent:
            told[one.id].add(one.outcome)
        return [
            name
            for name, said in told.items()
            if said == {"not-run"} and self.runs[name]
        ]

    def wrong_done(self):
        return [one for one in self.sent if one.is_done and not self.runs[one.id]]

    def broken_answers(self):
        return [one for one in self.sent if one.is_done and not one.whole]

    def key_leaks(self):
        secrets = tuple(SECRETS.values())
        return [
            one
            for one in self.executions
            if one["has_authorization"] or any(s in str(one) for s in secrets)
        ]

    def check(self):
        """Check what holds whatever happens."""
        assert self.executions
        assert self.pledges_run_twice() == {}
        assert self.wrong_not_run() == []
        assert self.wrong_done() == []
        assert self.broken_answers() == []
        assert self.key_leaks() == []

    def ends(self, since=0.0):
        """Count how the calls ended that were sent at a time or later."""
        return Counter(
            (one.kind, one.outcome or "no-answer", one.reason, one.status)
            for one in self.sent
            if one.sent_at >= since
        )
