"""Simpler variants of the quota, to compare with."""

from attrs import define

from monsoonmill.decisions.quota.held import HeldOrganisation, HeldQuota
from monsoonmill.decisions.quota.held_tokens import HeldLoan
from monsoonmill.decisions.quota.rate_limiting import QuotaDependencies
from monsoonmill.decisions.quota.sliced import SlicedQuota
from monsoonmill.decisions.quota.slices import CLOCK_RATE_MARGIN
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformSwap,
)

HOLDER_PREFIX = "token-holders/"
HOLDER_LEASE_S = 10.0
HOLDER_RETRY_S = 1.0
LEASE = "token-holder-lease"
WHOLE = "platform"
"""Lender of the whole rate."""


class FixedSlicesQuota(SlicedQuota):
    """Every node spends from its own slices alone."""


@define
class HolderKey:
    """A holder's key in the platform for one organisation.

    Attributes
    ----------
    request : str
        Name of the write under way; empty for none.
    is_owned : bool
        Whether the key is this node's while its lease lasts.
    """

    request: str = ""
    is_owned: bool = False
    ask_after: float = float("-inf")


class SingleHolderQuota(HeldQuota):
    """One holder per organisation has the whole rate by a lease."""

    def __init__(self, parts: QuotaDependencies):
        super().__init__(parts)
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
        """Get the lease that all keys of this node go with."""
        yield from super().start(now)
        yield PlatformLease(LEASE, self._lease, HOLDER_LEASE_S)

    def wait_s(self, demand, now):
        """Return infinity, for tokens come by messages alone."""
        return float("inf")

    def get_capacity(self, held: HeldOrganisation, now: float):
        """Claim the key of the organisation."""
        name = held.tokens.organisation.name
        key = self._keys.setdefault(name, HolderKey())
        self._lapse(now)
        if key.is_owned or key.request or now < key.ask_after:
            return
        if now >= self._leased_until:
            return
        key.ask_after = now + HOLDER_RETRY_S
        key.request = f"{HOLDER_PREFIX}{name}/{next(self.sequences)}"
        yield PlatformSwap(
            key.request, f"{HOLDER_PREFIX}{name}", 0, self._owner, self._lease
        )

    def is_on_its_way(self, held, now):
        """Return whether the key is being claimed."""
        key = self._keys.get(held.tokens.organisation.name)
        return key is not None and key.request != ""

    def give_up_capacity(self, held, now):
        """Keep the key; it goes when the lease is not renewed."""
        return ()

    def on_platform_done(self, signal, now):
        """Take the lease or a key."""
        self._lapse(now)
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
        for name in self.held.keys() & owned:
            self._keys[name].request = ""
            self._keys[name].is_owned = True
            yield from self._use(self.held[name], now)

    def _use(self, held, now):
        ends_at = self._leased_until - self.cfg.grant_term_ms / 1000
        loan = HeldLoan(self.cfg.slices, ends_at, 0)
        held.tokens.add_loan(WHOLE, loan, 0.0, now)
        yield from self.serve_pending(held, now)

    def on_platform_failed(self, signal, now):
        """Try again later."""
        self._lapse(now)
        if signal.request == LEASE:
            self.timers.set(LEASE, now + HOLDER_RETRY_S)
        for name, key in self._keys.items():
            if key.request and key.request == signal.request:
                key.request = ""
                if name in self.held:
                    yield from self.serve_pending(self.held[name], now)

    def on_timer(self, key, now):
        """Act on one timer."""
        if key == LEASE:
            self._lapse(now)
            yield PlatformLease(LEASE, self._lease, HOLDER_LEASE_S)
        else:
            yield from super().on_timer(key, now)

    def _lapse(self, now):
        if now >= self._leased_until:
            self._keys.clear()
