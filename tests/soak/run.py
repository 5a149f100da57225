"""One run of the soak test: a fleet, callers, scheduled faults and the checks."""

from threading import Event

from attrs import define, evolve, field

from monsoonmill.load.launcher import NotReadyError
from monsoonmill.task import Inbox
from tests.integration.conftest import BACKEND_SETTINGS, NODE_SETTINGS, RECOVERY_S
from tests.integration.load import CLOCK, LoadGenerator, LoadProfile
from tests.integration.release_notes import (
    LARGE_RATE,
    SECRETS,
    SERVICES,
    key_table,
    note_header,
    organisation_table,
)
from tests.process_fleet import ProcessFleet
from tests.soak.config_tasks import (
    CHANGED_ORGANISATION,
    AcceptedChange,
    OperatorTask,
    RevisionPollTask,
    RevisionRegression,
)
from tests.soak.faults import ShutdownTimeoutError
from tests.soak.invariants import (
    Violation,
    check_deadlines,
    check_planned_shutdowns,
    check_rate_limit,
    check_refusals,
    check_responses,
)
from tests.soak.schedule import make_schedule

HOST_COUNT = 4
CLINIC_RATE = 20
"""Rate limit, in calls per second, of the organisation whose callers exceed it."""
CONVERGENCE_S = 15.0
"""Time after the last fault within which all nodes have the full membership."""
FAULT_EFFECT_S = 6.0
"""Requests sent up to this long after a fault may still be interrupted by it."""
CALL_DEADLINE_S = 9.0
"""Timeout of a call, 8 s, and 1 s for its response."""
RECOVERED_CALLS = 100
"""Successful calls to wait for after the last fault and ``RECOVERY_S``."""
MIXED_PROFILE = LoadProfile(callers=6, max_resends=2, repeat_share=0.2)
OVER_RATE_PROFILE = LoadProfile(callers=3, weights={"lookup": 1}, organisation="clinic")
"""Callers that together send more than ``CLINIC_RATE``."""


def soak_note():
    """Return the initial release note, which gives one organisation a low rate."""
    rates = {"branch": LARGE_RATE, "clinic": CLINIC_RATE, CHANGED_ORGANISATION: 1000}
    tables = [note_header("first", 0)]
    tables += [organisation_table(name, rate) for name, rate in rates.items()]
    tables += [key_table(f"key-of-{name}", name, key) for name, key in SECRETS.items()]
    return "\n".join((*tables, SERVICES))


@define(eq=False)
class SoakRun:
    """A seeded run of the soak test.

    Attributes
    ----------
    injected : list of ScheduledFault
        Faults that have ended, with their actual times.
    violations : list of Violation
        Violated invariants.
    accepted_changes : list of AcceptedChange
        Changes of the configuration that a node accepted.
    """

    directory: object
    seed: int
    length_s: float
    fleet: ProcessFleet | None = None
    injected: list = field(factory=list)
    violations: list = field(factory=list)
    accepted_changes: list = field(factory=list)
    _reports: Inbox = field(factory=Inbox)
    _loads: list = field(factory=list)

    def execute(self) -> list[Violation]:
        """Start the fleet, inject the faults and return the violated invariants."""
        options = {"node_settings": NODE_SETTINGS, "backend_settings": BACKEND_SETTINGS}
        with ProcessFleet(self.directory, **options) as self.fleet:
            self.fleet.start(HOST_COUNT, proxied=True)
            assert self.fleet.hosts[0].admin.accept_note(soak_note()) == 1
            self.fleet.await_revision(1)
            try:
                self._run_faults()
            finally:
                for load in self._loads:
                    load.request_stop()
        return self.violations

    def _run_faults(self):
        self._loads = [
            LoadGenerator(self.fleet, MIXED_PROFILE, self.seed),
            LoadGenerator(self.fleet, OVER_RATE_PROFILE, self.seed, "over-rate-"),
        ]
        operator = OperatorTask(self.fleet, self.seed, self._reports.post).start()
        poller = RevisionPollTask(self.fleet, self._reports.post).start()
        self._inject(make_schedule(self.seed, self.length_s, HOST_COUNT))
        operator.stop()
        assert operator.join(CALL_DEADLINE_S * 2)
        self._collect()
        self._check_recovery()
        poller.stop()
        assert poller.join(CALL_DEADLINE_S * 2)
        self._collect()
        self._check_all()

    def _inject(self, schedule):
        """Inject and remove each fault when due; record the actual times."""
        run_started_at = CLOCK.now()
        events = [(scheduled.start_s, 0, scheduled) for scheduled in schedule]
        events += [(scheduled.end_s, 1, scheduled) for scheduled in schedule]
        started_at = {}
        for at_s, is_end, scheduled in sorted(events, key=lambda event: event[:2]):
            Event().wait(max(run_started_at + at_s - CLOCK.now(), 0.0))
            if is_end:
                self._remove(scheduled.fault)
                start_s = started_at[id(scheduled)]
                self.injected.append(
                    evolve(scheduled, start_s=start_s, end_s=CLOCK.now())
                )
            else:
                started_at[id(scheduled)] = CLOCK.now()
                scheduled.fault.inject(self.fleet)
            self._check_during_run()

    def _remove(self, fault):
        try:
            fault.remove(self.fleet)
        except ShutdownTimeoutError as exc:
            self.violations.append(Violation("shutdown took too long", repr(exc)))

    def _check_during_run(self):
        """Check the invariants that do not depend on the end of the run."""
        executions = self.fleet.executions()
        executed = {execution["id"] for execution in executions}
        requests = [request for load in self._loads for request in load.collect()]
        # An execution is recorded before its response is sent. The executions were read
        # first, so requests answered since then are left out.
        requests = [
            request
            for request in requests
            if not request.is_done or request.id in executed
        ]
        self._add_violations(check_responses(requests, executions))

    def _add_violations(self, violations):
        known = {violation.invariant for violation in self.violations}
        self.violations.extend(
            violation for violation in violations if violation.invariant not in known
        )

    def _check_recovery(self):
        """Check that the fleet serves calls again after the last fault."""
        faults_ended_at = CLOCK.now()
        try:
            self.fleet.await_membership(CONVERGENCE_S)
            if self.accepted_changes:
                newest = max(change.revision for change in self.accepted_changes)
                self.fleet.await_revision(newest, CONVERGENCE_S)
            since = max(CLOCK.now(), faults_ended_at + RECOVERY_S)
            self._loads[0].await_results(
                RECOVERED_CALLS,
                30.0,
                lambda request: request.is_done and request.sent_at >= since,
            )
        except NotReadyError as exc:
            self.violations.append(Violation("did not recover", str(exc)))
            return
        later = [
            request for request in self._loads[0].requests if request.sent_at >= since
        ]
        failed = [
            request
            for request in later
            if request.kind == "lookup" and not request.is_done
        ]
        if failed:
            self.violations.append(
                Violation("lookups fail after the faults", repr(failed))
            )

    def _collect(self):
        """Process the reports of the operator and poll tasks."""
        reports = iter(lambda: self._reports.take(0), None)
        for report in reports:
            if isinstance(report, AcceptedChange):
                self.accepted_changes.append(report)
            elif isinstance(report, RevisionRegression):
                self.violations.append(Violation("configuration reverted", str(report)))

    def _check_all(self):
        mixed, over_rate = (load.stop() for load in self._loads)
        executions = self.fleet.executions()
        self._add_violations(check_responses(mixed + over_rate, executions))
        self._add_violations(check_refusals(mixed + over_rate, executions))
        self._add_violations(check_rate_limit(over_rate, CLINIC_RATE, CLINIC_RATE))
        self._add_violations(
            check_planned_shutdowns(mixed, executions, self.injected, FAULT_EFFECT_S)
        )
        self._add_violations(
            check_deadlines(mixed + over_rate, self.injected, CALL_DEADLINE_S)
        )
        self._check_configuration()

    def _check_configuration(self):
        """Check that the newest accepted change or a later one is in force."""
        if not self.accepted_changes:
            return
        newest = max(self.accepted_changes, key=lambda change: change.revision)
        config = self.fleet.hosts[0].admin.config()
        rate = config.organisations[CHANGED_ORGANISATION].rate
        is_lost = config.revision < newest.revision or rate < newest.rate
        if is_lost:
            text = f"{newest} against revision {config.revision}, rate {rate}"
            self.violations.append(Violation("accepted change lost", text))
