"""Log lines for decisions with their reasons, and the latencies of calls."""

from collections.abc import Callable

from monsoonmill.clock import Clock
from monsoonmill.counters import LatencyHistogram
from monsoonmill.decisions.calls.signals import CallReport, RunReport
from monsoonmill.decisions.configuration.signals import (
    ConfigAdopted,
    EvacuationsAdopted,
)
from monsoonmill.decisions.members.signals import MemberChanged
from monsoonmill.decisions.quota.signals import SlicesChanged
from monsoonmill.eventlog import LogRateLimiter, get_logger, request_log
from monsoonmill.reasons import Outcome
from monsoonmill.settings import NodeSettings

SERVER_ERROR = 500
SAMPLED_BURST = 10
"""Maximum burst of log lines for successful calls."""

log = get_logger("node")


class DecisionLog:
    """Logs the reports of the decisions; owned by the node's task.

    Successful calls are sampled and all others are logged, both within the line
    budget of the process.

    Attributes
    ----------
    latency : LatencyHistogram
        Latencies of all finished calls.
    """

    def __init__(self, cfg: NodeSettings, clock: Clock):
        self.latency = LatencyHistogram()
        self._clock = clock
        self._sample_limiter = LogRateLimiter(cfg.sampled_lines_per_s, SAMPLED_BURST)
        request_log.set_rate_limit(cfg.log_lines_per_s)

    def writers(self) -> dict[type, Callable[[object], None]]:
        """Return the function that logs each type of report."""
        return {
            CallReport: self._log_call,
            RunReport: self._log_run,
            ConfigAdopted: self._log_config,
            EvacuationsAdopted: self._log_evacuations,
            MemberChanged: self._log_member,
            SlicesChanged: self._log_slices,
        }

    def _log_call(self, report):
        self.latency.record(report.waited_ms / 1000)
        is_success = report.reason is None and report.status < SERVER_ERROR
        if is_success and not self._sample_limiter.try_acquire(self._clock.now()):
            return
        request_log.write(
            "call",
            id=report.request_id,
            call=report.call,
            route=report.route,
            service=report.service,
            organisation=report.organisation,
            outcome=report.outcome.value,
            reason=report.reason.value if report.reason else None,
            detail=report.detail or None,
            status=report.status or None,
            config=report.revision,
            ms=round(report.waited_ms, 1),
            attempts=report.attempts,
        )

    def _log_run(self, report):
        if report.reason is None and report.outcome is not Outcome.NOT_RUN:
            return
        request_log.write(
            "run",
            attempt=report.attempt,
            sender=report.sender,
            route=report.route,
            outcome=report.outcome.value,
            reason=report.reason.value if report.reason else None,
            waited_ms=round(report.waited_ms, 1),
            ran_ms=round(report.ran_ms, 1),
            running=report.running,
            waiting=report.waiting,
            limit=report.limit,
        )

    def _log_config(self, adopted):
        log.info(
            "config_adopted",
            revision=adopted.revision,
            source=adopted.source,
            stored_version=adopted.stored_version,
        )

    def _log_evacuations(self, adopted):
        log.info(
            "evacuations_adopted",
            data_centres=adopted.data_centres,
            version=adopted.version,
            source=adopted.source,
        )

    def _log_member(self, changed):
        member = changed.member
        request_log.write(
            "member",
            node=member.node,
            state=member.state.value,
            service=member.service,
            accepts=member.accepts_calls,
            reaches_store=member.reaches_store,
            version=member.version,
        )

    def _log_slices(self, changed):
        request_log.write("slices", owned=changed.owned, states=changed.states)
