"""Faulty quotas that the oracle must detect; each scenario passes without a fault."""

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


class LoanTermCountedFromReceipt(EscrowQuota):
    def _use_loan(self, entry, node, lender, message, now):
        lender.sent_at = now + self.cfg.grant_term_ms / 1000
        super()._use_loan(entry, node, lender, message, now)


class ImmediateSliceTable(SliceTable):
    def start(self, now):
        yield from super().start(now)
        self.previous_loans_end = now


class RestartedOwnerDoesNotWait(EscrowQuota):
    def __init__(self, dependencies):
        super().__init__(dependencies)
        self.slices = ImmediateSliceTable(self.cfg, self.members, self.rng)
        self.owned_rates = OwnedRates(self.cfg, self.slices)


class ClaimedSlicesAreFull(EscrowQuota):
    def _update_rates(self, now):
        has_changed = self.owned_rates.has_changed(now)
        yield from super()._update_rates(now)
        if has_changed:
            for name in self.view.config.organisations:
                bucket = self.owned_rates.find(name).bucket
                bucket.level = bucket.capacity


class GrantTermCountedFromReceipt(EscrowQuota):
    def on_peer_grant(self, signal, now):
        demand = self.find_demand(signal.message.organisation)
        if demand is not None:
            demand.sent_at = now
        yield from super().on_peer_grant(signal, now)


class TokensInFlightAreIgnored(EscrowQuota):
    def on_peer_request(self, signal, now):
        yield from super().on_peer_request(signal, now)
        for entry in self.holder_entries.values():
            entry.tokens.bucket.reserved = 0.0


class LateLeaseSliceTable(SliceTable):
    def on_platform_done(self, signal, now):
        yield from super().on_platform_done(evolve(signal, sent_at=now + 60), now)


class LeaseCountedTooLong(EscrowQuota):
    def __init__(self, dependencies):
        super().__init__(dependencies)
        self.slices = LateLeaseSliceTable(self.cfg, self.members, self.rng)
        self.owned_rates = OwnedRates(self.cfg, self.slices)


def overload(fleet, seconds, nodes=None):
    """Request tokens at four times the rate."""
    nodes = nodes or list(fleet.nodes.values())
    rate = 4 * fleet.config.organisations["branch"].rate
    fleet.drive(seconds, rate, lambda now: fleet.rng.choice(nodes))


def make_fleet(rate, burst):
    fleet, nodes = make_quota_fleet(rate=rate, burst=burst)
    holder = fleet.nodes[nodes[0].core.quota.holder("branch")]
    return fleet, holder, [node for node in nodes if node is not holder]


def overload_all_nodes():
    fleet, _, _ = make_fleet(20.0, 4.0)
    overload(fleet, 5)


def isolate_holder_from_slow_lenders():
    for overload_s in (2.0, 2.3, 2.6, 2.9, 3.2):
        fleet, holder, _ = make_fleet(40.0, 4.0)
        overload(fleet, 2)
        fleet.latency_s = 0.275
        overload(fleet, overload_s, [holder])
        fleet.isolate(holder)
        fleet.latency_s = 0.001
        overload(fleet, 3)


def restart_lenders():
    fleet, holder, others = make_fleet(20.0, 4.0)
    overload(fleet, 3)
    for node in others:
        fleet.restart(node)
    fleet.isolate(holder)
    overload(fleet, 3)


def restart_all():
    fleet, holder, others = make_fleet(5.0, 40.0)
    fleet.advance(10)
    overload(fleet, 5)
    for node in (holder, *others):
        fleet.restart(node)
    overload(fleet, 5)


def spend_grant_late(latency_s, spent_after_s):
    fleet, holder, others = make_fleet(20.0, 4.0)
    fleet.request_tokens(holder, calls=8)
    fleet.advance(1.2)
    fleet.latency_s = latency_s
    # These calls expire before the grant arrives, and its tokens stay unspent.
    fleet.request_tokens(others[0], calls=4)
    fleet.advance(spent_after_s)
    fleet.latency_s = 0.001
    fleet.request_tokens(holder, calls=4)
    fleet.request_tokens(others[0], calls=4)
    fleet.advance(0.02)


def spend_expired_grant():
    spend_grant_late(0.19, 0.75)


def spend_unexpired_grant():
    spend_grant_late(0.14, 0.385)


def pause_owner_beyond_lease():
    fleet, _, others = make_fleet(20.0, 4.0)
    fleet.pause(others[0])
    fleet.advance(22)
    fleet.advance_until(lambda: fleet.owned_count() == 8, limit_s=60)
    fleet.resume(others[0])
    overload(fleet, 5)


MUTANTS = (
    (OwnerSpendsWhileLent, overload_all_nodes),
    (LoanTermCountedFromReceipt, isolate_holder_from_slow_lenders),
    (RestartedOwnerDoesNotWait, restart_lenders),
    (ClaimedSlicesAreFull, restart_all),
    (GrantTermCountedFromReceipt, spend_expired_grant),
    (TokensInFlightAreIgnored, spend_unexpired_grant),
    (LeaseCountedTooLong, pause_owner_beyond_lease),
)


@mark.parametrize("mutant, scenario", MUTANTS)
def test_oracle_detects_mutant(mutant, scenario, monkeypatch):
    scenario()
    monkeypatch.setattr(quota_escrow, "EscrowQuota", mutant)
    with raises(OverRateError):
        scenario()
