"""One run of the soak: a fleet, its callers, a schedule of faults, and the checks."""

from threading import Event

from attrs import define, evolve, field

from monsoonmill.load.launcher import NotReadyError
from monsoonmill.task import Inbox
from tests.integration.conftest import BACKEND_TABLES, GO_ON_S, NODE_TABLES
from tests.integration.load import CLOCK, Load, Plan
from tests.integration.release_notes import (
    LARGE_RATE,
    SECRETS,
    SERVICES,
    key_table,
    note_head,
    organisation_table,
)
from tests.process_fleet import Fleet
from tests.soak.config_tasks import (
    CHANGED,
    Accepted,
    OperatorTask,
    Regressed,
    WatchTask,
)
from tests.soak.faults import LateStopError
from tests.soak.invariants import (
    BrokenPromise,
    check_answers,
    check_ends,
    check_planned_stops,
    check_rate,
    check_refusals,
)
from tests.soak.schedule import make_schedule

HOSTS = 4
CLINIC_RATE = 20
"""Calls a second of the organisation that asks for more."""
RECOVERED_S = 15.0
"""Time after the last fault within which all nodes know one another again."""
CONTACT_S = 6.0
"""A planned stop cuts nothing off if nothing else was wrong for so long before."""
CALL_LIMIT_S = 9.0
"""Time limit of a call, 8 s, and a second for its answer."""
SETTLED_CALLS = 100
MIXED = Plan(callers=6, resends=2, again_share=0.2)
GREEDY = Plan(callers=3, weights={"lookup": 1}, organisation="clinic")


def soak_note():
    """Return the first release note: one organisation has a small rate."""
    rates = {"branch": LARGE_RATE, "clinic": CLINIC_RATE, CHANGED: 1000}
    tables = [note_head("first", 0)]
    tables += [organisation_table(name, rate) for name, rate in rates.items()]
    tables += [key_table(f"key-of-{one}", one, key) for one, key in SECRETS.items()]
    return "\n".join((*tables, SERVICES))


@define(eq=False)
class SoakRun:
    """A seeded run; ``play`` returns the promises that it broke."""

    directory: object
    seed: int
    length_s: float
    fleet: Fleet | None = None
    steps: list = field(factory=list)
    broken: list = field(factory=list)
    accepted: list = field(factory=list)
    _reports: Inbox = field(factory=Inbox)
    _loads: list = field(factory=list)

    def play(self) -> list[BrokenPromise]:
        """Start everything, inject the faults, and check what came of them."""
        options = {"node_tables": NODE_TABLES, "backend_tables": BACKEND_TABLES}
        with Fleet(self.directory, **options) as self.fleet:
            self.fleet.start(HOSTS, proxied=True)
            assert self.fleet.hosts[0].admin.accept_note(soak_note()) == 1
            self.fleet.await_revision(1)
            try:
                self._play_faults()
            finally:
                for load in self._loads:
                    load.ask_to_stop()
        return self.broken

    def _play_faults(self):
        self._loads = [
            Load(self.fleet, MIXED, self.seed),
            Load(self.fleet, GREEDY, self.seed, "greedy-"),
        ]
        operator = OperatorTask(self.fleet, self.seed, self._reports.post).start()
        watch = WatchTask(self.fleet, self._reports.post).start()
        self._inject(make_schedule(self.seed, self.length_s, HOSTS))
        operator.stop()
        assert operator.join(CALL_LIMIT_S * 2)
        self._collect()
        self._check_recovery()
        watch.stop()
        assert watch.join(CALL_LIMIT_S * 2)
        self._collect()
        self._check_all()

    def _inject(self, schedule):
        """Begin and end each fault in its turn; note the true times."""
        began_at = CLOCK.now()
        events = [(step.begins_s, 0, step) for step in schedule]
        events += [(step.ends_s, 1, step) for step in schedule]
        begun = {}
        for at_s, is_end, step in sorted(events, key=lambda one: one[:2]):
            Event().wait(max(began_at + at_s - CLOCK.now(), 0.0))
            if is_end:
                self._end(step.fault)
                begins_s = begun[id(step)]
                self.steps.append(evolve(step, begins_s=begins_s, ends_s=CLOCK.now()))
            else:
                begun[id(step)] = CLOCK.now()
                step.fault.begin(self.fleet)
            self._check_meanwhile()

    def _end(self, fault):
        try:
            fault.end(self.fleet)
        except LateStopError as exc:
            self.broken.append(BrokenPromise("a stop took too long", repr(exc)))

    def _check_meanwhile(self):
        """Check what can be checked before the run is over."""
        executions = self.fleet.executions()
        known = {one["id"] for one in executions}
        sent = [one for load in self._loads for one in load.collect()]
        # An execution is on record before its answer, so this order is safe.
        sent = [one for one in sent if not one.is_done or one.id in known]
        self._note(check_answers(sent, executions))

    def _note(self, broken):
        known = {one.promise for one in self.broken}
        self.broken.extend(one for one in broken if one.promise not in known)

    def _check_recovery(self):
        """See that all works again once the faults are over."""
        settled_at = CLOCK.now()
        try:
            self.fleet.await_known(RECOVERED_S)
            if self.accepted:
                newest = max(one.revision for one in self.accepted)
                self.fleet.await_revision(newest, RECOVERED_S)
            since = max(CLOCK.now(), settled_at + GO_ON_S)
            self._loads[0].await_more(
                SETTLED_CALLS, 30.0, lambda one: one.is_done and one.sent_at >= since
            )
        except NotReadyError as exc:
            self.broken.append(BrokenPromise("did not recover", str(exc)))
            return
        late = [one for one in self._loads[0].sent if one.sent_at >= since]
        lost = [one for one in late if one.kind == "lookup" and not one.is_done]
        if lost:
            self.broken.append(BrokenPromise("lookups fail afterwards", repr(lost)))

    def _collect(self):
        """Sort what the operator and the watch have reported."""
        reports = iter(lambda: self._reports.take(0), None)
        for report in reports:
            if isinstance(report, Accepted):
                self.accepted.append(report)
            elif isinstance(report, Regressed):
                self.broken.append(BrokenPromise("configuration reverted", str(report)))

    def _check_all(self):
        mixed, greedy = (load.stop() for load in self._loads)
        executions = self.fleet.executions()
        self._note(check_answers(mixed + greedy, executions))
        self._note(check_refusals(mixed + greedy, executions))
        self._note(check_rate(greedy, CLINIC_RATE, CLINIC_RATE))
        self._note(check_planned_stops(mixed, executions, self.steps, CONTACT_S))
        self._note(check_ends(mixed + greedy, self.steps, CALL_LIMIT_S))
        self._check_configuration()

    def _check_configuration(self):
        """See that the newest accepted change is in force, or a later one."""
        if not self.accepted:
            return
        newest = max(self.accepted, key=lambda one: one.revision)
        config = self.fleet.hosts[0].admin.config()
        rate = config.organisations[CHANGED].rate
        is_lost = config.revision < newest.revision or rate < newest.rate
        if is_lost:
            text = f"{newest} against revision {config.revision}, rate {rate}"
            self.broken.append(BrokenPromise("accepted change was lost", text))
