"""Ownership of slices, agreed on through the platform.

The rate and burst of every organisation are cut into equal slices. A slice has
one owner: a key of the platform that only compare-and-swap changes, bound to
the owner's lease. The owner's own clock ends its ownership before the lease
can lapse.
"""

from itertools import count
from math import ceil
from random import Random

from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.quota.slice_state import (
    PREFIX,
    RETRY_S,
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
"""Clocks of two nodes drift apart by less than this share of a term."""
LEASE = "slice-lease"
LIST = "slice-list"
FIRST_LIST_S = (0.05, 0.15)
SOON_LIST_S = (2.0, 5.0)
MAX_CLAIMS_PER_LIST = 16
"""The first node of a fleet must not claim all before it knows the others."""
NEXT_CLAIMS_S = (0.5, 1.0)
LEAST_LIST_S = 30.0
LIST_PER_NODE_S = 8.0
"""All nodes together list the slices about once in this time."""


class SliceTable:
    """The slices that this node owns.

    Attributes
    ----------
    owned_until : float
        Time at which the ownership ends unless the lease is renewed.
    """

    def __init__(self, cfg: QuotaSettings, members: Membership, rng: Random):
        self.cfg = cfg
        self.rng = rng
        self.timers = Timers()
        self.out = []
        self.owned_until = float("-inf")
        self.former_loans_end = float("-inf")
        self.loan_wait_s = cfg.loan_term_ms / 1000 * (1 + CLOCK_RATE_MARGIN)
        self._members = members
        own = members.own
        self.own_record = SliceRecord(str(own.address), own.incarnation)
        self._lease = f"nodes/{own.address}/{own.incarnation}"
        self._numbers = count(1)
        self._slices = [Slice(number, self) for number in range(cfg.slices)]
        for one in self._slices:
            one.chart = SLICE_CHART.start(one)
        self._requests: dict[str, Slice] = {}
        self._leaving = False
        self._owners = 0
        self._wants_more = False

    # Reading.
    def owned(self, now: float) -> int:
        """Return the number of slices that may be spent or lent now."""
        if now >= self.owned_until:
            return 0
        return self._count("owned")

    def _count(self, *states):
        return sum(one.chart.state in states for one in self._slices)

    @property
    def held(self) -> int:
        """Number of slices that are owned, on the way or not yet given back."""
        return len(self._slices) - self._count("free")

    def may_lend(self, now: float) -> bool:
        """Return whether a loan would end before the ownership does."""
        return now + self.loan_wait_s < self.owned_until

    # Signals.
    def start(self, now: float):
        """Get a lease and look which slices are free.

        A former process at this address is dead, for this one has its port.
        """
        self.former_loans_end = now + self.loan_wait_s
        yield self._renewal()
        self.timers.set(LIST, now + self.rng.uniform(*FIRST_LIST_S))

    def _renewal(self):
        return PlatformLease(LEASE, self._lease, float(self.cfg.slice_lease_s))

    def release_all(self, now: float):
        """Give all slices back, for the node leaves."""
        self._leaving = True
        self._release(self.held, now)
        yield from self._flush()

    def on_members_changed(self, now: float):
        """Look soon at the slices if the fair share has changed."""
        owned = self._count("owned")
        alive = self._alive()
        if not self.cfg.slices // alive <= owned <= self._share():
            self._list_soon(now)
        yield from ()

    def _list_soon(self, now):
        if not self.timers.is_due_before(LIST, now + SOON_LIST_S[1]):
            self.timers.set(LIST, now + self.rng.uniform(*SOON_LIST_S))

    def on_platform_done(self, signal: PlatformDone, now: float):
        """Take the end of a call of this table."""
        self.lapse(now)
        if signal.request == LEASE:
            term_s = self.cfg.slice_lease_s * (1 - CLOCK_RATE_MARGIN)
            self.owned_until = max(self.owned_until, signal.sent_at + term_s)
            self.timers.set(LEASE, now + self.cfg.slice_lease_s / 3)
        elif signal.request == LIST:
            self._on_list(signal.values, now)
        elif (one := self._requests.pop(signal.request, None)) is not None:
            if one.request == signal.request:
                self._on_answer(one, signal.values[0], now)
        yield from self._flush()

    def _on_answer(self, one, stored, now):
        if one.chart.is_in("claiming"):
            one.version = stored.version
            one.chart.send("done", now)
            one.record = self.own_record
            return
        one.note_stored(stored)
        one.chart.send("done", now)

    def on_platform_failed(self, signal: PlatformFailed, now: float):
        """Try again later, or find out whether a write took effect."""
        self.lapse(now)
        if signal.request in (LEASE, LIST):
            self.timers.set(signal.request, now + self.rng.uniform(*RETRY_S))
        elif (one := self._requests.pop(signal.request, None)) is not None:
            if one.request == signal.request:
                is_conflict = isinstance(signal.error, PlatformConflictError)
                one.chart.send("conflict" if is_conflict else "failed", now)
                self._list_soon(now)
        yield from self._flush()

    def next_due(self) -> float | None:
        """Return when ``tick`` has something to do."""
        return self.timers.next_due()

    def tick(self, now: float):
        """Renew, list, or go on with a slice."""
        self.lapse(now)
        for key in self.timers.pop_due(now):
            if key == LEASE:
                yield self._renewal()
            elif key == LIST:
                yield from self._list(now)
            else:
                self._slices[key].chart.send("due", now)
        yield from self._flush()

    def _list(self, now):
        if self._leaving:
            return
        if now < self.owned_until:
            yield PlatformList(LIST, PREFIX)
        else:
            self.timers.set(LIST, now + self.rng.uniform(*RETRY_S))

    def lapse(self, now: float) -> None:
        """Give up all slices if the lease was not renewed in time."""
        if now >= self.owned_until and self._count("free") < len(self._slices):
            for one in self._slices:
                one.chart.send("lost", now)
            self._requests.clear()

    # Platform calls of slices.
    def new_request(self, one: Slice) -> str:
        """Return the name of a new call for a slice."""
        request = f"{one.key}/{next(self._numbers)}"
        self._requests[request] = one
        return request

    def swap(self, one: Slice, value: bytes | None) -> None:
        """Write or remove a slice's key if it is unchanged."""
        one.request = self.new_request(one)
        lease = "" if value is None else self._lease
        swap = PlatformSwap(one.request, one.key, one.version, value, lease)
        self.out.append(swap)

    def _flush(self):
        out, self.out = self.out, []
        yield from out

    # Balance.
    def _alive(self):
        states = (one.state for one in self._members.live())
        return max(sum(state is MemberState.ALIVE for state in states), 1)

    def _share(self):
        return ceil(self.cfg.slices / max(self._alive(), self._owners))

    def _on_list(self, values, now):
        stored = {value.key: value for value in values}
        for one in self._slices:
            if one.chart.is_in("free"):
                one.note_stored(stored.get(one.key, StoredValue(one.key, 0, None)))
        if self._leaving:
            return
        records = [SliceRecord.from_bytes(value.value) for value in values]
        owners = {record.address for record in records}
        self._owners = len(owners | {self.own_record.address})
        self._claim(now)
        self._release(self._count("owned") - self._share(), now)
        self._schedule_list(now)

    def _claim(self, now):
        free = [one for one in self._slices if one.chart.is_in("free")]
        former = [one for one in free if self.is_former(one.record)]
        unowned = [one for one in free if one.record is None]
        wanted = max(self._share() - self.held - len(former), 0)
        wanted = min(wanted, len(unowned))
        chosen = self.rng.sample(unowned, min(wanted, MAX_CLAIMS_PER_LIST))
        self._wants_more = wanted > len(chosen)
        for one in (*former, *chosen):
            one.chart.send("claim", now)

    def is_former(self, record: SliceRecord | None) -> bool:
        """Return whether a process at this address is the registered owner."""
        return record is not None and record.address == self.own_record.address

    def _release(self, surplus, now):
        for one in self._slices:
            if surplus > 0 and one.chart.send("release", now):
                surplus -= 1

    def _schedule_list(self, now):
        alive = self._alive()
        if self._wants_more:
            wait_s = self.rng.uniform(*NEXT_CLAIMS_S)
        elif self._count("owned", "claiming", "waiting") < self.cfg.slices // alive:
            wait_s = self.rng.uniform(*SOON_LIST_S) * 2
        else:
            wait_s = max(LEAST_LIST_S, LIST_PER_NODE_S * alive)
            wait_s *= self.rng.uniform(0.5, 1.5)
        self.timers.set(LIST, now + wait_s)

    def status(self) -> dict:
        """Return the numbers of the slices by state, but for the free ones."""
        states = {}
        for one in self._slices:
            states.setdefault(one.chart.state, []).append(one.number)
        states.pop("free", None)
        return states
