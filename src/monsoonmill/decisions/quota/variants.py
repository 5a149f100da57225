"""Simpler quotas, for comparison with the escrow quota."""

from attrs import define

from monsoonmill.decisions.quota.holder_tokens import BorrowedLoan
from monsoonmill.decisions.quota.rate_limiting import QuotaDependencies
from monsoonmill.decisions.quota.sliced import SlicedQuota
from monsoonmill.decisions.quota.slices import CLOCK_RATE_MARGIN
from monsoonmill.decisions.quota.token_holder import HolderEntry, TokenHolderQuota
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformSwap,
)

HOLDER_PREFIX = "token-holders/"
HOLDER_LEASE_S = 10.0
HOLDER_RETRY_S = 1.0
"""Delay after which a failed lease request, or the claim of a key, is repeated."""
LEASE = "token-holder-lease"
WHOLE_RATE_LENDER = "platform"
"""Lender of an organisation's whole rate."""


class FixedSlicesQuota(SlicedQuota):
    """Every node spends from its own slices only."""


@define
class HolderKey:
    """A holder's key in the platform for one organisation.

    Attributes
    ----------
    request : str
        Name of the write in progress; empty for none.
    is_owned : bool
        Whether this node owns the key as long as its lease lasts.
    """

    request: str = ""
    is_owned: bool = False
    retry_at: float = float("-inf")


class SingleHolderQuota(TokenHolderQuota):
    """One holder per organisation owns the whole rate by a lease."""

    def __init__(self, dependencies: QuotaDependencies):
        super().__init__(dependencies)
        own = self.members.own
        self._lease = f"holders/{own.address}/{own.incarnation}"
        self._owner = str(own.address).encode()
        self._leased_until = float("-inf")
        self._keys: dict[str, HolderKey] = {}

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
        }

    def start(self, now):
        """Request the lease to which all keys of this node are bound."""
        yield from super().start(now)
        yield PlatformLease(LEASE, self._lease, HOLDER_LEASE_S)

    def wait_s(self, demand, now):
        """Return infinity, since all tokens come by messages."""
        return float("inf")

    def request_capacity(self, entry: HolderEntry, now: float):
        """Claim the key of the organisation."""
        name = entry.tokens.organisation.name
        key = self._keys.setdefault(name, HolderKey())
        self._expire_keys(now)
        if key.is_owned or key.request or now < key.retry_at:
            return
        if now >= self._leased_until:
            return
        key.retry_at = now + HOLDER_RETRY_S
        key.request = f"{HOLDER_PREFIX}{name}/{next(self.sequences)}"
        yield PlatformSwap(
            key.request, f"{HOLDER_PREFIX}{name}", 0, self._owner, self._lease
        )

    def is_capacity_pending(self, entry, now):
        """Return whether the claim of the key is in progress."""
        key = self._keys.get(entry.tokens.organisation.name)
        return key is not None and key.request != ""

    def release_capacity(self, entry, now):
        """Keep the key; it is removed when the lease expires."""
        return ()

    def on_platform_done(self, signal, now):
        """Process the grant of the lease or of a key."""
        self._expire_keys(now)
        if signal.request == LEASE:
            term_s = HOLDER_LEASE_S * (1 - CLOCK_RATE_MARGIN)
            self._leased_until = signal.sent_at + term_s
            self.timers.set(LEASE, now + HOLDER_LEASE_S / 3)
            owned = [name for name, key in self._keys.items() if key.is_owned]
        else:
            owned = [
                name
                for name, key in self._keys.items()
                if key.request == signal.request
            ]
        for name in self.holder_entries.keys() & owned:
            self._keys[name].request = ""
            self._keys[name].is_owned = True
            yield from self._use_whole_rate(self.holder_entries[name], now)

    def _use_whole_rate(self, entry, now):
        ends_at = self._leased_until - self.cfg.grant_term_ms / 1000
        loan = BorrowedLoan(self.cfg.slices, ends_at, 0)
        entry.tokens.add_loan(WHOLE_RATE_LENDER, loan, 0.0, now)
        yield from self.serve_pending(entry, now)

    def on_platform_failed(self, signal, now):
        """Schedule a retry."""
        self._expire_keys(now)
        if signal.request == LEASE:
            self.timers.set(LEASE, now + HOLDER_RETRY_S)
        for name, key in self._keys.items():
            if key.request and key.request == signal.request:
                key.request = ""
                if name in self.holder_entries:
                    yield from self.serve_pending(self.holder_entries[name], now)

    def on_timer(self, key, now):
        """Process one timer that is due."""
        if key == LEASE:
            self._expire_keys(now)
            yield PlatformLease(LEASE, self._lease, HOLDER_LEASE_S)
        else:
            yield from super().on_timer(key, now)

    def _expire_keys(self, now):
        if now >= self._leased_until:
            self._keys.clear()
