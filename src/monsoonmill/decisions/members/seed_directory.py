"""Discovery of other nodes through seed addresses stored in the platform.

All nodes named as seeds in the settings may have been replaced since. So the
nodes of each data centre that watch the platform also store their addresses
there under a lease, and a node that knows no other node connects to them.

A store that returns from an older copy has lost the leases. Its registered nodes then
register anew, each after a random delay.
"""

from random import Random

from monsoonmill.counters import Counters
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.watchers import choose_watchers
from monsoonmill.decisions.signals import (
    Connect,
    PlatformDone,
    PlatformEra,
    PlatformFailed,
    PlatformLease,
    PlatformList,
    PlatformSwap,
    StoreReturned,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import PlatformConflictError
from monsoonmill.model import MemberState
from monsoonmill.settings import Settings
from monsoonmill.settings_fields import parse_address

SEED_PREFIX = "seeds/"
SEED_LEASE_S = 60.0
FIRST_CHECK_DELAY_S = 0.2
REGISTRATION_DELAY_S = 1.0
"""Time after the start from which a node registers. Before that it knows few others,
so that it would count itself among the watchers of its data centre."""
ISOLATED_RETRY_S = 0.5
"""Interval at which a node that knows no other node lists the seeds."""
RENEWALS_PER_LIST = 3
"""A registered node lists the seeds once in this number of lease renewals."""
MAX_RETURN_DELAY_S = 3.0
"""Largest delay of a new registration after the store has returned. A registration
takes at most 4 calls, so that 900 nodes stay within 1,200 writes a second."""
STORE_RETURNS = "store-returns"
"""Counter of the times that the store has returned from an older copy."""
LEASE_REQUEST = "seed-lease"
SWAP_REQUEST = "seed-swap"
LIST_REQUEST = "seed-list"
CHECK = "check"


class SeedDirectory(Decision):
    """Registers the local node as a seed and finds the seeds of the fleet."""

    def __init__(
        self, cfg: Settings, members: Membership, rng: Random, counters: Counters
    ):
        self._cfg = cfg.platform
        self._renew_s = cfg.members.seed_renew_ms / 1000
        self._members = members
        self._rng = rng
        self._counters = counters
        self._timers = Timers()
        self._started_at = 0.0
        self._renewals = 0
        self._renewed_at = float("-inf")
        self._is_registered = False
        self._is_listing = False
        self._store_era = 0

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
            StoreReturned: self.on_store_returned,
        }

    def next_due(self):
        """Return when the next listing or renewal is due."""
        return self._timers.next_due()

    def start(self, now):
        """Schedule the first check, leaving time to connect to the configured seeds."""
        self._started_at = now
        self._schedule_check(FIRST_CHECK_DELAY_S, now)
        return ()

    def _schedule_check(self, delay_s, now):
        self._timers.set(CHECK, now + delay_s * self._rng.uniform(0.8, 1.2))

    def tick(self, now):
        """List the seeds if no other node is known, and renew the registration."""
        for _ in self._timers.pop_due(now):
            if self._is_isolated():
                self._schedule_check(ISOLATED_RETRY_S, now)
                yield from self._request_list()
            else:
                self._schedule_check(self._next_check_s(now), now)
            if now - self._started_at < REGISTRATION_DELAY_S:
                continue
            if self._members.own in choose_watchers(self._members, self._cfg):
                yield from self._renew(now)

    def _next_check_s(self, now):
        if now - self._started_at < REGISTRATION_DELAY_S:
            return REGISTRATION_DELAY_S
        return self._renew_s

    def _is_isolated(self):
        own = self._members.own.node
        return all(member.node == own for member in self._members.live())

    def _renew(self, now):
        if now - self._renewed_at < self._renew_s / 2:
            return
        self._renewals += 1
        yield PlatformLease(LEASE_REQUEST, self._key, SEED_LEASE_S)
        if self._renewals % RENEWALS_PER_LIST == 0 and not self._is_isolated():
            yield from self._request_list()

    def _request_list(self):
        if not self._is_listing:
            self._is_listing = True
            yield PlatformList(LIST_REQUEST, SEED_PREFIX)

    @property
    def _key(self):
        return f"{SEED_PREFIX}{self._members.own.address}"

    def on_platform_done(self, signal, now):
        """Store the local address under its lease, or connect to the listed seeds."""
        if signal.request == LEASE_REQUEST:
            if now - self._renewed_at > SEED_LEASE_S:
                self._is_registered = False
            self._renewed_at = signal.sent_at
            if not self._is_registered:
                yield self._write(0)
        elif signal.request == SWAP_REQUEST:
            self._is_registered = True
        elif signal.request == LIST_REQUEST:
            self._is_listing = False
            yield from self._connect(signal.values)

    def on_platform_failed(self, signal, now):
        """Overwrite an earlier process's registration, or renew the lease again."""
        if signal.request == SWAP_REQUEST:
            if isinstance(signal.error, PlatformConflictError):
                # An earlier process stored the key; without this write the key
                # would be removed together with that process's lease.
                yield self._write(signal.error.actual)
                return
            self._renewed_at = float("-inf")
        if signal.request == LIST_REQUEST:
            self._is_listing = False
        if signal.request == LEASE_REQUEST:
            self._is_registered = False
            self._renewed_at = float("-inf")

    def on_store_returned(self, signal, now):
        """Register anew after a random delay; each return is reported by two tasks."""
        if signal.era <= self._store_era:
            return
        self._store_era = signal.era
        self._counters.add(STORE_RETURNS)
        self._is_registered = False
        self._renewed_at = float("-inf")
        if not self._is_isolated():
            delay_s = self._rng.uniform(0.0, MAX_RETURN_DELAY_S)
            self._timers.set(CHECK, now + delay_s)
        # The other client must not use lease ids and versions of the earlier era.
        yield PlatformEra(signal.era)

    def _write(self, version):
        return PlatformSwap(SWAP_REQUEST, self._key, version, b"", self._key)

    def _connect(self, values):
        known_addresses = {member.address for member in self._members.live()}
        for stored in values:
            try:
                address = parse_address(stored.key.removeprefix(SEED_PREFIX))
            except ValueError:
                continue
            if address not in known_addresses:
                yield Connect(address)

    def status(self):
        """Return the number of renewals, and whether the node is leaving."""
        is_leaving = self._members.own.state is MemberState.LEAVING
        return {"renewed": self._renewals, "leaving": is_leaving}
