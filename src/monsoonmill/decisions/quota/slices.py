"""Ownership of slices, coordinated through the platform.

The rate and burst of every organisation are cut into equal slices. A slice has one
owner: its key in the platform is changed by compare-and-swap only and is bound to
the owner's lease. By the owner's clock its ownership ends before the lease can
expire.
"""

from itertools import count
from math import ceil
from random import Random

from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.quota.slice_state import (
    KEY_PREFIX,
    RETRY_DELAY_S,
    SLICE_CHART,
    Slice,
    SliceRecord,
)
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformList,
    PlatformSwap,
    StoredValue,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import PlatformConflictError
from monsoonmill.model import MemberState
from monsoonmill.settings import QuotaSettings

CLOCK_RATE_MARGIN = 0.01
"""Upper bound of the clock drift between two nodes, as a share of a term."""
LEASE = "slice-lease"
LIST = "slice-list"
INITIAL_LIST_DELAY_S = (0.05, 0.15)
"""Range of the random delay of the first listing after the start."""
SHORT_LIST_DELAY_S = (2.0, 5.0)
"""Range of the random delay of a listing after the fair share has changed or a
platform call for a slice has failed; doubled while this node owns too few slices."""
MAX_CLAIMS_PER_LIST = 16
"""Most slices without an owner that are claimed after one listing. The first node of
a fleet must not claim all slices before it knows the others."""
NEXT_CLAIMS_DELAY_S = (0.5, 1.0)
"""Range of the random delay of the next listing if this limit was reached."""
MIN_LIST_DELAY_S = 30.0
"""Lower bound of the mean delay between two listings of a node that owns its share."""
LIST_DELAY_PER_NODE_S = 8.0
"""The same per node of the fleet, so that the nodes together list the slices about
once in this time."""


class SliceTable:
    """The slices owned by this node.

    Attributes
    ----------
    owned_until : float
        Time at which the ownership ends unless the lease is renewed.
    previous_loans_end : float
        Time from which no loan of a previous process at this address is in force.
    loan_wait_s : float
        Duration of a loan by the clock of any node, at the longest.
    """

    def __init__(self, cfg: QuotaSettings, members: Membership, rng: Random):
        self.cfg = cfg
        self.rng = rng
        self.timers = Timers()
        self.outbox = []
        self.owned_until = float("-inf")
        self.previous_loans_end = float("-inf")
        self.loan_wait_s = cfg.loan_term_ms / 1000 * (1 + CLOCK_RATE_MARGIN)
        self._members = members
        own = members.own
        self.own_record = SliceRecord(str(own.address), own.incarnation)
        self._lease = f"nodes/{own.address}/{own.incarnation}"
        self._request_numbers = count(1)
        self._slices = [Slice(number, self) for number in range(cfg.slices)]
        for slice_ in self._slices:
            slice_.chart = SLICE_CHART.start(slice_)
        self._requests: dict[str, Slice] = {}
        self._leaving = False
        self._owner_count = 0
        self._wants_more = False

    # Reading.
    def owned_count(self, now: float) -> int:
        """Return the number of slices that may be spent or lent now."""
        if now >= self.owned_until:
            return 0
        return self._count("owned")

    def _count(self, *states):
        return sum(slice_.chart.state in states for slice_ in self._slices)

    @property
    def unreleased_count(self) -> int:
        """Number of slices that are owned, being claimed or being released."""
        return len(self._slices) - self._count("free")

    def may_lend(self, now: float) -> bool:
        """Return whether a loan would end before the ownership does."""
        return now + self.loan_wait_s < self.owned_until

    # Signals.
    def start(self, now: float):
        """Request a lease and schedule the first listing of the slices.

        A previous process at this address has ended, since this one has its port.
        """
        self.previous_loans_end = now + self.loan_wait_s
        yield self._lease_renewal()
        self.timers.set(LIST, now + self.rng.uniform(*INITIAL_LIST_DELAY_S))

    def _lease_renewal(self):
        return PlatformLease(LEASE, self._lease, float(self.cfg.slice_lease_s))

    def release_all(self, now: float):
        """Release all slices because the node is leaving."""
        self._leaving = True
        self._release(self.unreleased_count, now)
        yield from self._flush()

    def on_members_changed(self, now: float):
        """Schedule a listing of the slices if the fair share has changed."""
        owned = self._count("owned")
        alive = self._alive_count()
        if not self.cfg.slices // alive <= owned <= self._fair_share():
            self._schedule_early_list(now)
        yield from ()

    def _schedule_early_list(self, now):
        if not self.timers.is_due_before(LIST, now + SHORT_LIST_DELAY_S[1]):
            self.timers.set(LIST, now + self.rng.uniform(*SHORT_LIST_DELAY_S))

    def on_platform_done(self, signal: PlatformDone, now: float):
        """Process the result of one of this table's platform calls."""
        self.expire(now)
        if signal.request == LEASE:
            term_s = self.cfg.slice_lease_s * (1 - CLOCK_RATE_MARGIN)
            self.owned_until = max(self.owned_until, signal.sent_at + term_s)
            self.timers.set(LEASE, now + self.cfg.slice_lease_s / 3)
        elif signal.request == LIST:
            self._on_list(signal.values, now)
        elif (slice_ := self._requests.pop(signal.request, None)) is not None:
            if slice_.request == signal.request:
                self._on_answer(slice_, signal.values[0], now)
        yield from self._flush()

    def _on_answer(self, slice_, stored, now):
        if slice_.chart.is_in("claiming"):
            slice_.version = stored.version
            slice_.chart.send("done", now)
            slice_.record = self.own_record
            return
        slice_.update_from_store(stored)
        slice_.chart.send("done", now)

    def on_platform_failed(self, signal: PlatformFailed, now: float):
        """Schedule a retry, or a read to find out whether a write took effect."""
        self.expire(now)
        if signal.request in (LEASE, LIST):
            self.timers.set(signal.request, now + self.rng.uniform(*RETRY_DELAY_S))
        elif (slice_ := self._requests.pop(signal.request, None)) is not None:
            if slice_.request == signal.request:
                is_conflict = isinstance(signal.error, PlatformConflictError)
                slice_.chart.send("conflict" if is_conflict else "failed", now)
                self._schedule_early_list(now)
        yield from self._flush()

    def next_due(self) -> float | None:
        """Return when the next timer is due; None if no timer is set."""
        return self.timers.next_due()

    def tick(self, now: float):
        """Run the timers of the lease, the listings and the slices."""
        self.expire(now)
        for key in self.timers.pop_due(now):
            if key == LEASE:
                yield self._lease_renewal()
            elif key == LIST:
                yield from self._list(now)
            else:
                self._slices[key].chart.send("timer_due", now)
        yield from self._flush()

    def _list(self, now):
        if self._leaving:
            return
        if now < self.owned_until:
            yield PlatformList(LIST, KEY_PREFIX)
        else:
            self.timers.set(LIST, now + self.rng.uniform(*RETRY_DELAY_S))

    def expire(self, now: float) -> None:
        """Drop all slices if the lease was not renewed in time."""
        if now >= self.owned_until and self._count("free") < len(self._slices):
            for slice_ in self._slices:
                slice_.chart.send("lease_lost", now)
            self._requests.clear()

    # Platform calls of slices.
    def new_request(self, slice_: Slice) -> str:
        """Return the name of a new platform call for a slice."""
        request = f"{slice_.key}/{next(self._request_numbers)}"
        self._requests[request] = slice_
        return request

    def swap(self, slice_: Slice, value: bytes | None) -> None:
        """Write or remove a slice's key if its version is unchanged."""
        slice_.request = self.new_request(slice_)
        lease = "" if value is None else self._lease
        swap = PlatformSwap(slice_.request, slice_.key, slice_.version, value, lease)
        self.outbox.append(swap)

    def _flush(self):
        outbox, self.outbox = self.outbox, []
        yield from outbox

    # Balance.
    def _alive_count(self):
        states = (member.state for member in self._members.live())
        return max(sum(state is MemberState.ALIVE for state in states), 1)

    def _fair_share(self):
        return ceil(self.cfg.slices / max(self._alive_count(), self._owner_count))

    def _on_list(self, values, now):
        stored = {value.key: value for value in values}
        for slice_ in self._slices:
            if slice_.chart.is_in("free"):
                slice_.update_from_store(
                    stored.get(slice_.key, StoredValue(slice_.key, 0, None))
                )
        if self._leaving:
            return
        records = [SliceRecord.from_bytes(value.value) for value in values]
        owners = {record.address for record in records}
        self._owner_count = len(owners | {self.own_record.address})
        self._claim(now)
        self._release(self._count("owned") - self._fair_share(), now)
        self._schedule_list(now)

    def _claim(self, now):
        free = [slice_ for slice_ in self._slices if slice_.chart.is_in("free")]
        inherited = [slice_ for slice_ in free if self.is_own_address(slice_.record)]
        unowned = [slice_ for slice_ in free if slice_.record is None]
        wanted = max(self._fair_share() - self.unreleased_count - len(inherited), 0)
        wanted = min(wanted, len(unowned))
        chosen = self.rng.sample(unowned, min(wanted, MAX_CLAIMS_PER_LIST))
        self._wants_more = wanted > len(chosen)
        for slice_ in (*inherited, *chosen):
            slice_.chart.send("claim", now)

    def is_own_address(self, record: SliceRecord | None) -> bool:
        """Return whether the registered owner has the address of this node."""
        return record is not None and record.address == self.own_record.address

    def _release(self, surplus, now):
        for slice_ in self._slices:
            if surplus > 0 and slice_.chart.send("release", now):
                surplus -= 1

    def _schedule_list(self, now):
        alive = self._alive_count()
        if self._wants_more:
            wait_s = self.rng.uniform(*NEXT_CLAIMS_DELAY_S)
        elif self._count("owned", "claiming", "waiting") < self.cfg.slices // alive:
            wait_s = self.rng.uniform(*SHORT_LIST_DELAY_S) * 2
        else:
            wait_s = max(MIN_LIST_DELAY_S, LIST_DELAY_PER_NODE_S * alive)
            wait_s *= self.rng.uniform(0.5, 1.5)
        self.timers.set(LIST, now + wait_s)

    def status(self) -> dict:
        """Return lists of slice numbers by state; free slices are left out."""
        states = {}
        for slice_ in self._slices:
            states.setdefault(slice_.chart.state, []).append(slice_.number)
        states.pop("free", None)
        return states
