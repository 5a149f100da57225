"""Chains and direct calls that share a scarce service, through a simulated fleet."""

from random import Random

from attrs import define, frozen

from monsoonmill.decisions.calls.signals import Answer, CallArrived, RunFinished
from monsoonmill.model import (
    Config,
    HttpRequest,
    HttpResponse,
    Key,
    Organisation,
    Route,
    Service,
)
from monsoonmill.notes import digest_key
from monsoonmill.reasons import Importance, Outcome
from tests.fleet import FakeFleet

OK = HttpResponse(200, (), b"ok")
FAILED = HttpResponse(500, (), b"a lookup failed")
ORGANISATIONS = {"hot": 0.7, "north": 0.15, "south": 0.1, "small": 0.05}
LOOKUP_S, DIRECT_S = 0.021, 0.057
CROWDED_SHARE, CROWDED_FACTOR = 0.95, 1.1
SERVERS, SLOTS = 6, 8
CAPACITY = SERVERS * SLOTS / LOOKUP_S
"""Lookups per second of the scarce service. A third of the deployment's slots keeps the
simulation short."""


@frozen
class Kind:
    """A kind of call: its lookups, one after another in each concurrent group."""

    name: str
    importance: Importance
    aim_ms: int
    timeout_ms: int
    load: float
    lookups: int = 0
    groups: int = 1

    @property
    def rate(self):
        """Calls per second that use the kind's part of the capacity."""
        return self.load * CAPACITY / (self.lookups or DIRECT_S / LOOKUP_S)

    @property
    def service(self):
        return "shop" if self.lookups else "stock"


def make_config(kinds):
    routes = [
        Route(
            kind.name,
            kind.service,
            f"/{kind.name}",
            importance=kind.importance,
            idempotent=True,
            aim_ms=kind.aim_ms,
        )
        for kind in kinds
    ]
    lowest = Importance.BACKGROUND
    routes.append(Route("lookup", "stock", "/lookup", (), lowest, True, open=True))
    return Config(
        revision=1,
        organisations={name: Organisation(name, 0, 0) for name in ORGANISATIONS},
        keys={name: Key(name, name, digest_key(name)) for name in ORGANISATIONS},
        services={name: Service(name) for name in ("shop", "stock")},
        routes={route.name: route for route in routes},
    )


@define
class Caller:
    """A call with its repetitions; an eager caller repeats at once and often."""

    kind: Kind
    organisation: str
    path: str
    started_at: float
    is_eager: bool = False
    tries: int = 0
    served_at: float = 0.0


class ChainLoad(FakeFleet):
    """Callers, two nodes with a shop each, and the servers of the scarce stock."""

    def __init__(self, entry, kinds, max_tries=1, eager_share=0.0, seed=1):
        super().__init__(
            run=self._run,
            seed=seed,
            policy={
                "contexts": "none",
                "entry": entry,
                "claims": "none",
                "quota": "unlimited",
                "admission": "slots",
                "front_door": "open",
            },
            call={"tries": 1, "placements": 3, "retry_ratio": 0.1, "retry_burst": 3.0},
            admission={"queue_ms": 600, "queue_length": 400, "background_share": 1.0},
            health={"eject_ms": 1000},
        )
        self.rng = Random(seed)
        self.kinds = {kind.name: kind for kind in kinds}
        self.max_tries, self.eager_share = max_tries, eager_share
        self.callers, self.refusals, self._chains, self._pending = [], [], {}, {}
        self.install(make_config(kinds))
        self.shops = [self.add(service="shop", slots=500) for _ in range(2)]
        self.stocks = [self.add(service="stock", slots=SLOTS) for _ in range(SERVERS)]
        self.advance(4)

    def _run(self, node, call):
        name = call.request.path.split("/")[1]
        kind = self.kinds.get(name)
        if kind is None or not kind.lookups:
            is_crowded = node.core.admission.load().running > CROWDED_SHARE * SLOTS
            latency_s = DIRECT_S if kind else LOOKUP_S
            latency_s *= CROWDED_FACTOR if is_crowded else 1.0
            return latency_s, RunFinished(call.attempt, OK, None)
        chain = [kind.groups, OK]
        for _ in range(kind.groups):
            self._look_up(node, call, chain, kind.lookups // kind.groups)
        return None

    def _look_up(self, node, call, chain, left):
        name = f"lookup-{next(self._numbers)}"
        self._chains[name] = (node, call, chain, left - 1)
        parent_id = dict(call.request.headers)["id"]
        self._arrive(node, name, "stock", f"/lookup/{name}", 700, parent_id=parent_id)

    def _arrive(self, node, name, service, path, timeout_ms, **fields):
        req = HttpRequest("GET", path, (("id", name),))
        arrival = CallArrived(
            name, service, req, timeout_ms=timeout_ms, request_id=name, **fields
        )
        self.inject(node, arrival)

    def _carry_out(self, node, signal):
        super()._carry_out(node, signal)
        if isinstance(signal, Answer):
            if signal.call in self._chains:
                self._continue_chain(signal, *self._chains.pop(signal.call))
            else:
                self._handle_answer(node, self._pending.pop(signal.call), signal)

    def _continue_chain(self, answer, node, call, chain, left):
        if answer.outcome is not Outcome.DONE:
            chain[1] = FAILED
        elif left and chain[1] is OK:
            self.schedule(0.001, lambda: self._look_up(node, call, chain, left))
            return
        chain[0] -= 1
        if not chain[0]:
            finished = RunFinished(call.attempt, chain[1], None)
            self.schedule(0.001, lambda: self.inject(node, finished))

    def _handle_answer(self, node, caller, answer):
        if answer.outcome is Outcome.DONE and answer.response.status == OK.status:
            caller.served_at = self.now
        elif answer.outcome is Outcome.NOT_RUN:
            self.refusals.append((caller, answer))
            wait_s = 0.02 if caller.is_eager else answer.retry_after_s
            if caller.tries < (10 if caller.is_eager else self.max_tries) and wait_s:
                self.schedule(wait_s, lambda: self._send_call(node, caller))

    def _send_call(self, node, caller):
        caller.tries += 1
        name = f"call-{next(self._numbers)}"
        self._pending[name] = caller
        kind, bearer = caller.kind, caller.organisation
        self._arrive(
            node, name, kind.service, caller.path, kind.timeout_ms, bearer=bearer
        )

    def drive(self, seconds, load, step_s=0.01):
        """Send calls that use a multiple of the scarce service's capacity."""
        end = self.now + seconds
        names, weights = list(ORGANISATIONS), list(ORGANISATIONS.values())
        while self.now < end:
            for kind in self.kinds.values():
                expected = kind.rate * load * step_s
                for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                    organisation = self.rng.choices(names, weights)[0]
                    path = f"/{kind.name}/{next(self._numbers)}"
                    is_eager = self.rng.random() < self.eager_share
                    caller = Caller(kind, organisation, path, self.now, is_eager)
                    self.callers.append(caller)
                    self._send_call(self.rng.choice(self.shops), caller)
            self.advance(step_s)

    def served(self, since, until, kind=None, **properties):
        """Return the share of callers that were served, by kind and properties."""
        served = [
            caller.served_at > 0
            for caller in self.callers
            if since <= caller.started_at < until
            and kind in (None, caller.kind.name)
            and all(getattr(caller, key) == value for key, value in properties.items())
        ]
        return sum(served) / max(len(served), 1)

    @property
    def threshold(self):
        """Highest threshold of the scarce service."""
        return max(node.core.admission.threshold(self.now) for node in self.stocks)
