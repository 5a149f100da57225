"""Base class of the quotas in which nodes own slices of all rates."""

from monsoonmill.decisions.quota.loans import OwnedRates
from monsoonmill.decisions.quota.rate_limiting import (
    QuotaDependencies,
    RateLimitingQuota,
)
from monsoonmill.decisions.quota.signals import SlicesChanged
from monsoonmill.decisions.quota.slices import SliceTable
from monsoonmill.decisions.signals import PlatformDone, PlatformFailed


class SlicedQuota(RateLimitingQuota):
    """Owns slices, and spends from those that are not lent."""

    def __init__(self, dependencies: QuotaDependencies):
        super().__init__(dependencies)
        self.slices = SliceTable(self.cfg, self.members, self.rng)
        self.owned_rates = OwnedRates(self.cfg, self.slices)
        self._leaving = False

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
        }

    @property
    def in_progress(self):
        """Number of slices that a leaving node has not released yet."""
        return self.slices.unreleased_count if self._leaving else 0

    def start(self, now):
        """Start to claim slices."""
        yield from super().start(now)
        yield from self.slices.start(now)

    def take_token(self, demand, now):
        """Spend a token of this node's slices."""
        return self.owned_rates.take(demand.organisation, now)

    def wait_s(self, demand, now):
        """Return the time until this node's slices have a token."""
        return self.owned_rates.wait_s(demand.organisation, now)

    def on_platform_done(self, signal, now):
        """Process the result of a platform call for slices."""
        yield from self.slices.on_platform_done(signal, now)
        yield from self._update_rates(now)

    def on_platform_failed(self, signal, now):
        """Process the failure of a platform call for slices."""
        yield from self.slices.on_platform_failed(signal, now)
        yield from self._update_rates(now)

    def on_members_changed(self, signal, now):
        """Rebalance the slices."""
        yield from super().on_members_changed(signal, now)
        yield from self.slices.on_members_changed(now)

    def on_self_leaving(self, signal, now):
        """Release the slices."""
        self._leaving = True
        yield from super().on_self_leaving(signal, now)
        yield from self.slices.release_all(now)
        yield from self._update_rates(now)

    def on_config_changed(self, signal, now):
        """Apply changed rates and bursts."""
        self.owned_rates.update(signal.new.organisations, now)
        yield from super().on_config_changed(signal, now)

    def next_due(self):
        """Return when the next timer is due."""
        times = (super().next_due(), self.slices.next_due())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Run the timers of slices and calls."""
        yield from self.slices.tick(now)
        yield from self._update_rates(now)
        yield from super().tick(now)

    def _update_rates(self, now):
        if self.owned_rates.has_changed(now):
            self.owned_rates.update(self.view.config.organisations, now)
            yield SlicesChanged(self.slices.owned_count(now), self.slices.status())

    def status(self):
        """Return the slices and loans beside the parked calls."""
        return {
            **super().status(),
            "slices": self.slices.status(),
            "loans": self.owned_rates.status(),
        }
