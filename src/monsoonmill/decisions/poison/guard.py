"""Detects requests that crash backend servers and informs the other nodes.

A request that loses its connection becomes a suspect. It is refused once it has
been lost in enough crashes without an answer in between. An answer anywhere
clears it, so that popular requests are not refused merely because they were in
progress during crashes.
"""

from itertools import islice
from math import ceil, log2

from monsoonmill.counters import Counters
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import rank_members
from monsoonmill.decisions.poison.poison import PoisonGuard
from monsoonmill.decisions.poison.signals import BackendCrashed, SuspectAnswered
from monsoonmill.decisions.poison.suspects import SuspectTable
from monsoonmill.decisions.signals import PeerUp, Received, Send
from monsoonmill.messages import PoisonNotice, SuspectClearance, SuspectReport
from monsoonmill.settings import PoisonSettings

FIRST_REPORT_DELAY_S = 0.02
"""A crash is first reported after this time, when its losses may be incomplete."""
MIN_FIRST_REPORT_LOSSES = 2
"""The first report states at least this many losses, since it cannot know that a
request was lost alone."""
FULL_REPORT_DELAY_S = 0.05
"""Connections lost within this time after a crash are reported together."""
MAX_DIRECT_NODES = 256
"""Maximum fleet size for which messages are sent to all nodes directly. In larger
fleets receivers relay them, and each node receives a message about as many times as
a relay sends it."""
EXTRA_FANOUT = 3
MAX_FINGERPRINTS = 256
"""Maximum number of requests in one message."""
MAX_LOST_CONNECTIONS = 1
"""A call is retried after at most this many lost connections."""


class FleetPoisonGuard(PoisonGuard):
    """Shares the requests that were lost in crashes with all nodes."""

    def __init__(self, cfg: PoisonSettings, members: Membership, counters: Counters):
        self._members = members
        self._table = SuspectTable(cfg, counters)
        self._lost: dict[str, set[int]] = {}
        self._report_due: float | None = None
        self._is_first_report = False

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            SuspectAnswered: self.on_suspect_answered,
            SuspectReport: self.on_suspect_report,
            SuspectClearance: self.on_suspect_clearance,
            PoisonNotice: self.on_poison_notice,
            PeerUp: self.on_peer_up,
        }

    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request is refused."""
        suspect = self._table.find(fingerprint)
        return suspect is not None and suspect.is_poison

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request was lost in a crash and not answered since."""
        return self._table.find(fingerprint) is not None

    def may_retry_after_lost_connection(self, lost: int, was_suspect: bool) -> bool:
        """Return whether a call whose connection was lost is retried elsewhere."""
        return lost <= MAX_LOST_CONNECTIONS and not was_suspect

    def next_due(self):
        """Return when the next report is due or the next suspect expires."""
        times = (self._report_due, self._table.next_expiry())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Report lost requests, and remove expired suspects."""
        self._table.expire(now)
        if self._report_due is not None and self._report_due <= now:
            min_lost = MIN_FIRST_REPORT_LOSSES if self._is_first_report else 1
            for crash, fingerprints in self._lost.items():
                yield from self._report(crash, fingerprints, min_lost, now)
            self._schedule_next_report(now)

    def _schedule_next_report(self, now):
        if self._is_first_report:
            self._is_first_report = False
            self._report_due = now + FULL_REPORT_DELAY_S - FIRST_REPORT_DELAY_S
            return
        self._report_due = None
        # The last crash may still break connections.
        self._lost = dict(list(self._lost.items())[-1:])

    def _report(self, crash, fingerprints, min_lost, now):
        lost = max(len(fingerprints), min_lost)
        for fingerprint in fingerprints:
            self._table.record_crash(fingerprint, crash, lost, now)
        reported = tuple(islice(fingerprints, MAX_FINGERPRINTS))
        report = SuspectReport(self._members.own.node, crash, reported, lost)
        yield from self._broadcast(report, crash)

    def on_backend_crashed(self, signal: BackendCrashed, now: float):
        """Collect the requests that are lost in a crash, to report them together.

        Their number shows whether a request was lost alone and so is the likely
        cause of the crash.
        """
        own = self._members.own
        crash = f"{own.node}/{own.incarnation}/{signal.crash}"
        self._lost.setdefault(crash, set()).update(signal.fingerprints)
        if self._report_due is None:
            self._report_due = now + FIRST_REPORT_DELAY_S
            self._is_first_report = True
        return ()

    def on_suspect_report(self, signal: Received, now: float):
        """Record a crash at another node, and relay the report once."""
        report = signal.message
        is_new = False
        for fingerprint in report.fingerprints:
            suspect = self._table.find(fingerprint)
            is_new = is_new or suspect is None or report.crash not in suspect.crashes
            self._table.record_crash(fingerprint, report.crash, report.lost, now)
        if is_new and self._relays_messages():
            yield from self._broadcast(report, report.crash)

    def on_suspect_answered(self, signal: SuspectAnswered, now: float):
        """Clear a suspect that the node's own backend server has answered."""
        self._clear(signal.fingerprint)
        clearance = SuspectClearance((signal.fingerprint,))
        yield from self._broadcast(clearance, str(signal.fingerprint))

    def on_suspect_clearance(self, signal: Received, now: float):
        """Clear suspects that another backend server has answered."""
        cleared = [
            self._clear(fingerprint) for fingerprint in signal.message.fingerprints
        ]
        if any(cleared) and self._relays_messages():
            yield from self._broadcast(signal.message, str(signal.message.fingerprints))

    def _clear(self, fingerprint):
        for lost in self._lost.values():
            lost.discard(fingerprint)
        return self._table.clear(fingerprint)

    def on_poison_notice(self, signal: Received, now: float):
        """Refuse the requests that another node refuses."""
        for fingerprint in signal.message.fingerprints:
            if not self.is_poison(fingerprint):
                self._table.mark_as_poison(fingerprint, now)
        return ()

    def on_peer_up(self, signal, now):
        """Send the refused requests to a node, which may be new."""
        refused = (suspect.fingerprint for suspect in self._table if suspect.is_poison)
        fingerprints = tuple(islice(refused, MAX_FINGERPRINTS))
        if fingerprints:
            yield Send(signal.node, PoisonNotice(fingerprints))

    def _relays_messages(self):
        return sum(1 for _ in self._members.live()) > MAX_DIRECT_NODES

    def _broadcast(self, message, key):
        own = self._members.own
        others = [member for member in self._members.live() if member.node != own.node]
        if self._relays_messages():
            count = ceil(log2(len(others))) + EXTRA_FANOUT
            others = rank_members(f"{own.node}/{key}", others)[:count]
        for member in others:
            yield Send(member.node, message)

    def status(self):
        """Return the number of suspects and the refused requests."""
        refused = [
            f"{suspect.fingerprint:016x}"
            for suspect in self._table
            if suspect.is_poison
        ]
        return {"suspects": len(self._table) - len(refused), "refused": refused}
