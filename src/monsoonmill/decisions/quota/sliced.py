"""Base of the variants in which nodes own slices of all rates."""

from monsoonmill.decisions.quota.loans import OwnRates
from monsoonmill.decisions.quota.rate_limiting import (
    QuotaDependencies,
    RateLimitingQuota,
)
from monsoonmill.decisions.quota.signals import SlicesChanged
from monsoonmill.decisions.quota.slices import SliceTable
from monsoonmill.decisions.signals import PlatformDone, PlatformFailed


class SlicedQuota(RateLimitingQuota):
    """Owns slices, and spends from those that are not lent."""

    def __init__(self, parts: QuotaDependencies):
        super().__init__(parts)
        self.slices = SliceTable(self.cfg, self.members, self.rng)
        self.own = OwnRates(self.cfg, self.slices)
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
        """Number of slices that a leaving node has yet to give back."""
        return self.slices.held if self._leaving else 0

    def start(self, now):
        """Begin to claim slices."""
        yield from super().start(now)
        yield from self.slices.start(now)

    def take(self, demand, now):
        """Spend a token of the own slices."""
        return self.own.take(demand.organisation, now)

    def wait_s(self, demand, now):
        """Return how long until the own slices have a token."""
        return self.own.wait_s(demand.organisation, now)

    def on_platform_done(self, signal, now):
        """Take the end of a call for slices."""
        yield from self.slices.on_platform_done(signal, now)
        yield from self._follow_slices(now)

    def on_platform_failed(self, signal, now):
        """Take the failure of a call for slices."""
        yield from self.slices.on_platform_failed(signal, now)
        yield from self._follow_slices(now)

    def on_members_changed(self, signal, now):
        """Balance the slices."""
        yield from super().on_members_changed(signal, now)
        yield from self.slices.on_members_changed(now)

    def on_self_leaving(self, signal, now):
        """Give the slices back."""
        self._leaving = True
        yield from super().on_self_leaving(signal, now)
        yield from self.slices.release_all(now)
        yield from self._follow_slices(now)

    def on_config_changed(self, signal, now):
        """Follow changes of rates and bursts."""
        self.own.update(signal.new.organisations, now)
        yield from super().on_config_changed(signal, now)

    def next_due(self):
        """Return when the next timer is due."""
        times = (super().next_due(), self.slices.next_due())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Run the timers of slices and calls."""
        yield from self.slices.tick(now)
        yield from self._follow_slices(now)
        yield from super().tick(now)

    def _follow_slices(self, now):
        if self.own.has_changed(now):
            self.own.update(self.view.config.organisations, now)
            yield SlicesChanged(self.slices.owned(now), self.slices.status())

    def status(self):
        """Return the slices and loans beside the calls that wait."""
        return {
            **super().status(),
            "slices": self.slices.status(),
            "loans": self.own.status(),
        }
