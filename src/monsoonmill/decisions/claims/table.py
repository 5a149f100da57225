"""Claims that a node holds, in partitions, with bounds on all of them."""

from collections.abc import Iterator
from itertools import count

from attrs import define

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.claim_records import ClaimCopy, ClaimState
from monsoonmill.counters import Counters
from monsoonmill.decisions.timers import Timers
from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Outcome
from monsoonmill.settings import ClaimSettings

OVERDUE_GRACE_S = 5.0
"""A call's end may be told this long after its time is up."""
RELEASED_KEPT_S = 30.0
"""Repeats of an ask whose call never ran are recognised this long."""
BACKUP_FACTOR = 2
"""A node takes copies of others' claims until it holds this many times its limit."""
NO_CLAIM = 0

EVENTS = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not_run",
    Outcome.UNKNOWN: "unknown",
}
"""Events of the claim chart by the outcome of the call."""


@define(eq=False)
class ClaimEntry:
    """The claim on one key; owner of its claim chart."""

    partition: int
    organisation: str
    key: str
    claim: str
    fingerprint: int
    timeout_ms: int
    table: "ClaimTable"
    number: int = NO_CLAIM
    due: float = 0.0
    response: HttpResponse | None = None
    chart: ChartInstance | None = None

    @property
    def name(self) -> tuple[int, str, str]:
        """Where the table keeps the entry."""
        return self.partition, self.organisation, self.key

    @property
    def state(self) -> ClaimState:
        """State of the claim."""
        return ClaimState(self.chart.state)

    def keep_answer(self, response):
        """Keep the answer if there is room for it."""
        self.table.keep_answer(self, response)

    def change_owner(self, req):
        """Let another ask own a claim that never ran."""
        self.claim = req.claim
        self.fingerprint = req.fingerprint
        self.timeout_ms = req.timeout_ms

    def copy(self, now: float) -> ClaimCopy:
        """Return the entry as it travels."""
        return ClaimCopy(
            self.organisation,
            self.key,
            self.claim,
            self.fingerprint,
            self.state,
            self.timeout_ms,
            max(int((self.due - now) * 1000), 0),
            self.number,
            self.response,
        )


CLAIM_CHART = bind_methods("claim", ClaimEntry)


class ClaimTable:
    """Entries of all partitions that a node holds a copy of."""

    def __init__(self, cfg: ClaimSettings, counters: Counters):
        self._cfg = cfg
        self._counters = counters
        self._partitions: dict[int, dict[tuple[str, str], ClaimEntry]] = {}
        self._timers = Timers()
        self._size = 0
        self._answer_bytes = 0
        self._last_number = NO_CLAIM
        self.transfers = count(1)

    def __len__(self):
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether no new claim can be made here."""
        return self._size >= self._cfg.max_entries

    @property
    def answer_bytes(self) -> int:
        """Bytes of all kept answers."""
        return self._answer_bytes

    def has_room(self, copies: int) -> bool:
        """Return whether so many copies of others' claims can be taken."""
        return self._size + copies <= BACKUP_FACTOR * self._cfg.max_entries

    def find(self, partition: int, organisation: str, key: str) -> ClaimEntry | None:
        """Return the entry of a key, if there is one."""
        return self._partitions.get(partition, {}).get((organisation, key))

    def entries(self, partition: int) -> Iterator[ClaimEntry]:
        """Yield the entries of a partition."""
        yield from self._partitions.get(partition, {}).values()

    def add(self, req, now: float) -> ClaimEntry:
        """Make a running claim of a request."""
        entry = ClaimEntry(
            req.partition,
            req.organisation,
            req.key,
            req.claim,
            req.fingerprint,
            req.timeout_ms,
            self,
        )
        entry.chart = CLAIM_CHART.start(entry)
        self._put(entry)
        self._changed(entry, now)
        return entry

    def send(self, entry: ClaimEntry, event: str, arg: object, now: float) -> bool:
        """Handle an event of an entry; return whether it changed."""
        if not entry.chart.send(event, arg):
            return False
        self._changed(entry, now)
        return True

    def take_copy(self, partition: int, copy: ClaimCopy, now: float) -> None:
        """Store a copy of another node's entry unless a newer one is here."""
        entry = self.find(partition, copy.organisation, copy.key)
        if entry is None:
            entry = ClaimEntry(
                partition,
                copy.organisation,
                copy.key,
                copy.claim,
                copy.fingerprint,
                copy.timeout_ms,
                self,
            )
            entry.chart = CLAIM_CHART.start(entry)
            self._put(entry)
        elif entry.number >= copy.number:
            return
        entry.change_owner(copy)
        entry.number = copy.number
        self._last_number = max(self._last_number, copy.number)
        entry.chart.state = copy.state.value
        self.keep_answer(entry, copy.response)
        self._set_due(entry, now + copy.remaining_ms / 1000)

    def keep_answer(self, entry: ClaimEntry, response: HttpResponse | None) -> None:
        """Replace an entry's answer, within the bounds of one and of all."""
        self._answer_bytes -= _size_of(entry.response)
        entry.response = None
        size = _size_of(response)
        is_small = size <= self._cfg.max_answer_bytes
        fits = self._answer_bytes + size <= self._cfg.max_answers_bytes
        if response is not None and is_small and fits:
            entry.response = response
            self._answer_bytes += size
        elif response is not None:
            self._counters.add("claim-answers-dropped")

    def drop_partition(self, partition: int) -> None:
        """Forget all entries of a partition."""
        for entry in list(self.entries(partition)):
            self.remove(entry)
        self._partitions.pop(partition, None)

    def next_due(self) -> float | None:
        """Return when the next entry is overdue or can be forgotten."""
        return self._timers.next_due()

    def pop_due(self, now: float) -> Iterator[ClaimEntry]:
        """Yield the running entries that are overdue; forget ended ones."""
        for name in list(self._timers.pop_due(now)):
            partition, organisation, key = name
            entry = self.find(partition, organisation, key)
            if entry.state is ClaimState.RUNNING:
                yield entry
            else:
                self.remove(entry)

    def postpone(self, entry: ClaimEntry, due: float) -> None:
        """Look at an entry again later."""
        self._set_due(entry, due)

    def _put(self, entry):
        partition = self._partitions.setdefault(entry.partition, {})
        partition[entry.organisation, entry.key] = entry
        self._size += 1

    def remove(self, entry: ClaimEntry) -> None:
        """Forget an entry, unless that has been done."""
        if self.find(*entry.name) is not entry:
            return
        self.keep_answer(entry, None)
        self._timers.cancel(entry.name)
        del self._partitions[entry.partition][entry.organisation, entry.key]
        self._size -= 1

    def _changed(self, entry, now):
        self._last_number += 1
        entry.number = self._last_number
        self._set_due(entry, now + self._kept_s(entry))

    def _kept_s(self, entry):
        if entry.state is ClaimState.RUNNING:
            return entry.timeout_ms / 1000 + OVERDUE_GRACE_S
        if entry.state is ClaimState.RELEASED:
            return RELEASED_KEPT_S
        return self._cfg.retention_s

    def _set_due(self, entry, due):
        entry.due = due
        self._timers.set(entry.name, due)

    def status(self) -> dict:
        """Return the sizes of the table."""
        return {"entries": self._size, "answer_bytes": self._answer_bytes}


def _size_of(response):
    if response is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return len(response.body) + headers
