"""A line of log for each decision, with what decided it, and the calls' latencies."""

from collections.abc import Callable

from monsoonmill.clock import Clock
from monsoonmill.counters import LatencyHistogram
from monsoonmill.decisions.calls.signals import CallReport, RunReport
from monsoonmill.decisions.configuration.signals import ConfigAdopted
from monsoonmill.decisions.members.signals import MemberChanged
from monsoonmill.decisions.quota.signals import SlicesChanged
from monsoonmill.eventlog import LogRateLimiter, get_logger, request_log
from monsoonmill.reasons import Outcome
from monsoonmill.settings import NodeSettings

SERVER_ERROR = 500
SAMPLED_BURST = 10
"""Lines of answered calls that may come at once."""

log = get_logger("node")


class DecisionLog:
    """Writes what the decisions report; belongs to the node's task.

    Calls that ended well are sampled, all others written, both within the
    process's budget of lines.

    Attributes
    ----------
    latency : LatencyHistogram
        Of all calls that have ended.
    """

    def __init__(self, cfg: NodeSettings, clock: Clock):
        self.latency = LatencyHistogram()
        self._clock = clock
        self._samples = LogRateLimiter(cfg.sampled_lines_per_s, SAMPLED_BURST)
        request_log.set_rate_limit(cfg.log_lines_per_s)

    def writers(self) -> dict[type, Callable[[object], None]]:
        """Return what writes each type of report."""
        return {
            CallReport: self._log_call,
            RunReport: self._log_run,
            ConfigAdopted: self._log_config,
            MemberChanged: self._log_member,
            SlicesChanged: self._log_slices,
        }

    def _log_call(self, report):
        self.latency.record(report.waited_ms / 1000)
        is_plain = report.reason is None and report.status < SERVER_ERROR
        if is_plain and not self._samples.try_acquire(self._clock.now()):
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
        log.info("config_adopted", revision=adopted.revision, source=adopted.source)

    def _log_member(self, changed):
        one = changed.member
        request_log.write(
            "member",
            node=one.node,
            state=one.state.value,
            service=one.service,
            accepts=one.accepts_calls,
            version=one.version,
        )

    def _log_slices(self, changed):
        request_log.write("slices", owned=changed.owned, states=changed.states)
