"""Recognises requests that crash backend servers and tells the fleet.

A request that loses its connection becomes a suspect. It is refused once it
was lost in enough crashes without an answer in between; an answer anywhere
clears it, so that popular requests are not refused for having been there.
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

EARLY_S = 0.02
"""A crash is first reported after this time, when its losses may be incomplete."""
LEAST_EARLY_LOSSES = 2
"""An early report never says that a request was alone."""
COLLECT_S = 0.05
"""Connections that break within this time are reported together."""
TELL_ALL_NODES = 256
"""Up to so many nodes are told directly; in larger fleets others pass it on, and each
node hears of it about as often as a node tells others."""
EXTRA_FANOUT = 3
MAX_NAMED = 256
"""Requests that one message names at most."""
MAX_LOST_TRIES = 1
"""A call is tried again after so many lost connections."""


class FleetPoisonGuard(PoisonGuard):
    """Shares what was lost in crashes with all nodes."""

    def __init__(self, cfg: PoisonSettings, members: Membership, counters: Counters):
        self._members = members
        self._table = SuspectTable(cfg, counters)
        self._lost: dict[str, set[int]] = {}
        self._report_due: float | None = None
        self._is_early = False

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
        """Return whether a call whose connection broke is tried elsewhere."""
        return lost <= MAX_LOST_TRIES and not was_suspect

    def next_due(self):
        """Return when to report, or to forget a suspect."""
        times = (self._report_due, self._table.next_expiry())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Report what was lost; forget what was long unseen."""
        self._table.expire(now)
        if self._report_due is not None and self._report_due <= now:
            least = LEAST_EARLY_LOSSES if self._is_early else 1
            for crash, fingerprints in self._lost.items():
                yield from self._report(crash, fingerprints, least, now)
            self._await_more(now)

    def _await_more(self, now):
        if self._is_early:
            self._is_early = False
            self._report_due = now + COLLECT_S - EARLY_S
            return
        self._report_due = None
        # Connections of the last crash may still break.
        self._lost = dict(list(self._lost.items())[-1:])

    def _report(self, crash, fingerprints, least, now):
        lost = max(len(fingerprints), least)
        for fingerprint in fingerprints:
            self._table.note_crash(fingerprint, crash, lost, now)
        names = tuple(islice(fingerprints, MAX_NAMED))
        report = SuspectReport(self._members.own.node, crash, names, lost)
        yield from self._broadcast(report, crash)

    def on_backend_crashed(self, signal: BackendCrashed, now: float):
        """Collect what is lost in a crash, since its number tells of the guilt."""
        own = self._members.own
        crash = f"{own.node}/{own.incarnation}/{signal.crash}"
        self._lost.setdefault(crash, set()).update(signal.fingerprints)
        if self._report_due is None:
            self._report_due = now + EARLY_S
            self._is_early = True
        return ()

    def on_suspect_report(self, signal: Received, now: float):
        """Take another node's crash into account, and pass it on once."""
        report = signal.message
        is_news = False
        for fingerprint in report.fingerprints:
            known = self._table.find(fingerprint)
            is_news = is_news or known is None or report.crash not in known.crashes
            self._table.note_crash(fingerprint, report.crash, report.lost, now)
        if is_news and self._passes_on():
            yield from self._broadcast(report, report.crash)

    def on_suspect_answered(self, signal: SuspectAnswered, now: float):
        """Clear a suspect that the own backend server has answered."""
        self._clear(signal.fingerprint)
        clearance = SuspectClearance((signal.fingerprint,))
        yield from self._broadcast(clearance, str(signal.fingerprint))

    def on_suspect_clearance(self, signal: Received, now: float):
        """Clear suspects that another backend server has answered."""
        cleared = [self._clear(one) for one in signal.message.fingerprints]
        if any(cleared) and self._passes_on():
            yield from self._broadcast(signal.message, str(signal.message.fingerprints))

    def _clear(self, fingerprint):
        for lost in self._lost.values():
            lost.discard(fingerprint)
        return self._table.clear(fingerprint)

    def on_poison_notice(self, signal: Received, now: float):
        """Refuse what another node refuses."""
        for fingerprint in signal.message.fingerprints:
            if not self.is_poison(fingerprint):
                self._table.name_poison(fingerprint, now)
        return ()

    def on_peer_up(self, signal, now):
        """Tell a node that may be new what is refused."""
        refused = (one.fingerprint for one in self._table if one.is_poison)
        names = tuple(islice(refused, MAX_NAMED))
        if names:
            yield Send(signal.node, PoisonNotice(names))

    def _passes_on(self):
        return sum(1 for _ in self._members.live()) > TELL_ALL_NODES

    def _broadcast(self, message, key):
        own = self._members.own
        others = [one for one in self._members.live() if one.node != own.node]
        if self._passes_on():
            count = ceil(log2(len(others))) + EXTRA_FANOUT
            others = rank_members(f"{own.node}/{key}", others)[:count]
        for one in others:
            yield Send(one.node, message)

    def status(self):
        """Return the requests that are suspected, and those refused."""
        refused = [f"{one.fingerprint:016x}" for one in self._table if one.is_poison]
        return {"suspects": len(self._table) - len(refused), "refused": refused}
