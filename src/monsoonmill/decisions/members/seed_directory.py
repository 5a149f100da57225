"""Addresses of a few nodes in the platform, for nodes that know nobody.

The seeds in the settings may all have been replaced since. The nodes of each
data centre that watch the platform keep their addresses there under a lease;
a node without any other one connects to them.
"""

from random import Random

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.watchers import choose_watchers
from monsoonmill.decisions.signals import (
    Connect,
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformList,
    PlatformSwap,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import PlatformConflictError
from monsoonmill.model import MemberState
from monsoonmill.settings import Settings
from monsoonmill.settings_fields import parse_address

SEED_PREFIX = "seeds/"
SEED_LEASE_S = 60.0
FIRST_CHECK_S = 0.2
LONELY_RETRY_S = 0.5
"""A node that knows nobody looks for others this often."""
LIST_EVERY_RENEWALS = 3
"""A registered node looks for others that it does not know this often."""
LEASE_REQUEST = "seed-lease"
SWAP_REQUEST = "seed-swap"
LIST_REQUEST = "seed-list"
CHECK = "check"


class SeedDirectory(Decision):
    """Registers this node as a seed, or finds the seeds of others."""

    def __init__(self, cfg: Settings, members: Membership, rng: Random):
        self._watchers = cfg.platform.watchers_per_data_centre
        self._renew_s = cfg.members.seed_renew_ms / 1000
        self._members = members
        self._rng = rng
        self._timers = Timers()
        self._renewals = 0
        self._renewed_at = float("-inf")
        self._is_written = False
        self._is_listing = False

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
        }

    def next_due(self):
        """Return when to look or to renew next."""
        return self._timers.next_due()

    def start(self, now):
        """Give the seeds in the settings some time first."""
        self._check_after(FIRST_CHECK_S, now)
        return ()

    def _check_after(self, wait_s, now):
        self._timers.set(CHECK, now + wait_s * self._rng.uniform(0.8, 1.2))

    def tick(self, now):
        """Look for others, or renew the own registration."""
        for _ in self._timers.pop_due(now):
            if self._is_lonely():
                self._check_after(LONELY_RETRY_S, now)
                yield from self._list()
            else:
                self._check_after(self._renew_s, now)
            if self._members.own in choose_watchers(self._members, self._watchers):
                yield from self._renew(now)

    def _is_lonely(self):
        own = self._members.own.node
        return all(one.node == own for one in self._members.live())

    def _renew(self, now):
        if now - self._renewed_at < self._renew_s / 2:
            return
        self._renewals += 1
        yield PlatformLease(LEASE_REQUEST, self._key, SEED_LEASE_S)
        if self._renewals % LIST_EVERY_RENEWALS == 0 and not self._is_lonely():
            yield from self._list()

    def _list(self):
        if not self._is_listing:
            self._is_listing = True
            yield PlatformList(LIST_REQUEST, SEED_PREFIX)

    @property
    def _key(self):
        return f"{SEED_PREFIX}{self._members.own.address}"

    def on_platform_done(self, signal, now):
        """Write the own address after its lease, or connect to what is listed."""
        if signal.request == LEASE_REQUEST:
            if now - self._renewed_at > SEED_LEASE_S:
                self._is_written = False
            self._renewed_at = signal.sent_at
            if not self._is_written:
                yield self._write(0)
        elif signal.request == SWAP_REQUEST:
            self._is_written = True
        elif signal.request == LIST_REQUEST:
            self._is_listing = False
            yield from self._connect(signal.values)

    def on_platform_failed(self, signal, now):
        """Write the own address again, with the present lease."""
        if signal.request == SWAP_REQUEST:
            if isinstance(signal.error, PlatformConflictError):
                # An earlier process wrote it; it goes with that one's lease.
                yield self._write(signal.error.actual)
                return
            self._renewed_at = float("-inf")
        if signal.request == LIST_REQUEST:
            self._is_listing = False
        if signal.request == LEASE_REQUEST:
            self._is_written = False
            self._renewed_at = float("-inf")

    def _write(self, version):
        return PlatformSwap(SWAP_REQUEST, self._key, version, b"", self._key)

    def _connect(self, values):
        known = {one.address for one in self._members.live()}
        for stored in values:
            try:
                address = parse_address(stored.key.removeprefix(SEED_PREFIX))
            except ValueError:
                continue
            if address not in known:
                yield Connect(address)

    def status(self):
        """Return whether this node is registered as a seed."""
        is_leaving = self._members.own.state is MemberState.LEAVING
        return {"renewed": self._renewals, "leaving": is_leaving}
