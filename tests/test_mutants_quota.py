"""Mistakes that the oracle has to find; each scenario also runs without one."""

from attrs import evolve
from pytest import mark, raises

from monsoonmill.decisions.quota import escrow as quota_escrow
from monsoonmill.decisions.quota.escrow import EscrowQuota
from monsoonmill.decisions.quota.loans import OwnedRates
from monsoonmill.decisions.quota.slices import SliceTable
from tests.quota_fleet import OverRateError, make_quota_fleet


class OwnerSpendsWhileLent(EscrowQuota):
    def take_token(self, demand, now):
        rate = self.owned_rates.find(demand.organisation)
        if rate is not None and not rate.is_kept(now) and rate.bucket.take(1.0, now):
            return True
        return super().take_token(demand, now)


class LoanTermFromReceipt(EscrowQuota):
    def _use_loan(self, entry, node, lender, message, now):
        lender.sent_at = now + self.cfg.grant_term_ms / 1000
        super()._use_loan(entry, node, lender, message, now)


class EagerSlices(SliceTable):
    def start(self, now):
        yield from super().start(now)
        self.previous_loans_end = now


class SuccessorDoesNotWait(EscrowQuota):
    def __init__(self, dependencies):
        super().__init__(dependencies)
        self.slices = EagerSlices(self.cfg, self.members, self.rng)
        self.owned_rates = OwnedRates(self.cfg, self.slices)


class FreshSlicesAreFull(EscrowQuota):
    def _update_rates(self, now):
        has_changed = self.owned_rates.has_changed(now)
        yield from super()._update_rates(now)
        if has_changed:
            for name in self.view.config.organisations:
                bucket = self.owned_rates.find(name).bucket
                bucket.level = bucket.capacity


class GrantTermFromReceipt(EscrowQuota):
    def on_peer_grant(self, signal, now):
        demand = self.find_demand(signal.message.organisation)
        if demand is not None:
            demand.sent_at = now
        yield from super().on_peer_grant(signal, now)


class TokensInFlightAreForgotten(EscrowQuota):
    def on_peer_request(self, signal, now):
        yield from super().on_peer_request(signal, now)
        for entry in self.holder_entries.values():
            entry.tokens.bucket.reserved = 0.0


class LateLeaseCounts(SliceTable):
    def on_platform_done(self, signal, now):
        yield from super().on_platform_done(evolve(signal, sent_at=now + 60), now)


class LeaseCountsTooLong(EscrowQuota):
    def __init__(self, dependencies):
        super().__init__(dependencies)
        self.slices = LateLeaseCounts(self.cfg, self.members, self.rng)
        self.owned_rates = OwnedRates(self.cfg, self.slices)


def flood(fleet, seconds, nodes=None):
    """Send four times the rate."""
    nodes = nodes or list(fleet.nodes.values())
    rate = 4 * fleet.config.organisations["branch"].rate
    fleet.drive(seconds, rate, lambda now: fleet.rng.choice(nodes))


def make(rate, burst):
    fleet, nodes = make_quota_fleet(rate=rate, burst=burst)
    holder = fleet.nodes[nodes[0].core.quota.holder("branch")]
    return fleet, holder, [node for node in nodes if node is not holder]


def flood_everywhere():
    fleet, _, _ = make(20.0, 4.0)
    flood(fleet, 5)


def cut_a_holder_off_from_its_slow_lenders():
    for flooded_s in (2.0, 2.3, 2.6, 2.9, 3.2):
        fleet, holder, _ = make(40.0, 4.0)
        flood(fleet, 2)
        fleet.latency_s = 0.275
        flood(fleet, flooded_s, [holder])
        fleet.cut_off(holder)
        fleet.latency_s = 0.001
        flood(fleet, 3)


def restart_lenders():
    fleet, holder, others = make(20.0, 4.0)
    flood(fleet, 3)
    for node in others:
        fleet.restart(node)
    fleet.cut_off(holder)
    flood(fleet, 3)


def restart_all():
    fleet, holder, others = make(5.0, 40.0)
    fleet.advance(10)
    flood(fleet, 5)
    for node in (holder, *others):
        fleet.restart(node)
    flood(fleet, 5)


def spend_a_grant_late(latency_s, spent_after_s):
    fleet, holder, others = make(20.0, 4.0)
    fleet.want(holder, calls=8)
    fleet.advance(1.2)
    fleet.latency_s = latency_s
    # These calls give up before the answer comes; its tokens are kept.
    fleet.want(others[0], calls=4)
    fleet.advance(spent_after_s)
    fleet.latency_s = 0.001
    fleet.want(holder, calls=4)
    fleet.want(others[0], calls=4)
    fleet.advance(0.02)


def spend_a_lapsed_grant():
    spend_a_grant_late(0.19, 0.75)


def spend_a_live_grant():
    spend_a_grant_late(0.14, 0.385)


def pause_an_owner_over_its_lease():
    fleet, _, others = make(20.0, 4.0)
    fleet.pause(others[0])
    fleet.advance(22)
    fleet.advance_until(lambda: fleet.owned() == 8, limit_s=60)
    fleet.resume(others[0])
    flood(fleet, 5)


MUTANTS = (
    (OwnerSpendsWhileLent, flood_everywhere),
    (LoanTermFromReceipt, cut_a_holder_off_from_its_slow_lenders),
    (SuccessorDoesNotWait, restart_lenders),
    (FreshSlicesAreFull, restart_all),
    (GrantTermFromReceipt, spend_a_lapsed_grant),
    (TokensInFlightAreForgotten, spend_a_live_grant),
    (LeaseCountsTooLong, pause_an_owner_over_its_lease),
)


@mark.parametrize("mutant, scenario", MUTANTS)
def test_oracle_finds_mutant(mutant, scenario, monkeypatch):
    scenario()
    monkeypatch.setattr(quota_escrow, "EscrowQuota", mutant)
    with raises(OverRateError):
        scenario()
