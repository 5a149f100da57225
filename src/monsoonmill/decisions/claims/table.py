"""Table of the claims that a node holds, by partition, with limits on its size."""

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
"""Time after a call's deadline in which its outcome may still be reported."""
RELEASED_RETENTION_S = 30.0
"""Time for which the claim of a call that never ran is kept.

Late repeats of its request are recognised meanwhile.
"""
COPY_LIMIT_FACTOR = 2
"""Copies from other nodes are accepted up to this multiple of ``max_entries``."""
UNNUMBERED = 0

OUTCOME_EVENTS = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not_run",
    Outcome.UNKNOWN: "unknown",
}
"""Event of the claim chart for each outcome of a call."""


@define(eq=False)
class ClaimEntry:
    """The claim on one key; owner of a claim chart.

    Attributes
    ----------
    claim : str
        Identifier of the request that owns the claim.
    number : int
        Number of the last change, increasing within the partition.
    due : float
        Time at which a running claim is overdue and an ended one is removed.
    """

    partition: int
    organisation: str
    key: str
    claim: str
    fingerprint: int
    timeout_ms: int
    table: "ClaimTable"
    number: int = UNNUMBERED
    due: float = 0.0
    response: HttpResponse | None = None
    chart: ChartInstance | None = None

    @property
    def table_key(self) -> tuple[int, str, str]:
        """Key of the entry in the table."""
        return self.partition, self.organisation, self.key

    @property
    def state(self) -> ClaimState:
        """State of the claim."""
        return ClaimState(self.chart.state)

    def store_response(self, response):
        """Store the response of the call if there is room for it."""
        self.table.store_response(self, response)

    def assign_to_request(self, req):
        """Assign the claim of a call that never ran to another request."""
        self.claim = req.claim
        self.fingerprint = req.fingerprint
        self.timeout_ms = req.timeout_ms

    def to_copy(self, now: float) -> ClaimCopy:
        """Return the entry in the form that is sent to other nodes."""
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
    """Entries of all partitions that a node holds a replica of."""

    def __init__(self, cfg: ClaimSettings, counters: Counters):
        self._cfg = cfg
        self._counters = counters
        self._partitions: dict[int, dict[tuple[str, str], ClaimEntry]] = {}
        self._timers = Timers()
        self._size = 0
        self._answer_bytes = 0
        self._last_number = UNNUMBERED
        self.transfer_numbers = count(1)

    def __len__(self):
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether no new claim can be added."""
        return self._size >= self._cfg.max_entries

    @property
    def answer_bytes(self) -> int:
        """Total size of the stored responses."""
        return self._answer_bytes

    def has_room(self, copies: int) -> bool:
        """Return whether this many copies from other nodes can be stored."""
        return self._size + copies <= COPY_LIMIT_FACTOR * self._cfg.max_entries

    def find(self, partition: int, organisation: str, key: str) -> ClaimEntry | None:
        """Return the entry of a key, if there is one."""
        return self._partitions.get(partition, {}).get((organisation, key))

    def entries(self, partition: int) -> Iterator[ClaimEntry]:
        """Yield the entries of a partition."""
        yield from self._partitions.get(partition, {}).values()

    def add(self, req, now: float) -> ClaimEntry:
        """Add a running claim for a request."""
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
        self._insert(entry)
        self._record_change(entry, now)
        return entry

    def send_event(
        self, entry: ClaimEntry, event: str, arg: object, now: float
    ) -> bool:
        """Send an event to an entry's chart; return whether the entry changed."""
        if not entry.chart.send(event, arg):
            return False
        self._record_change(entry, now)
        return True

    def store_copy(self, partition: int, copy: ClaimCopy, now: float) -> None:
        """Store a copy of another node's entry unless a newer one is present."""
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
            self._insert(entry)
        elif entry.number >= copy.number:
            return
        entry.assign_to_request(copy)
        entry.number = copy.number
        self._last_number = max(self._last_number, copy.number)
        entry.chart.state = copy.state.value
        self.store_response(entry, copy.response)
        self._set_due(entry, now + copy.remaining_ms / 1000)

    def store_response(self, entry: ClaimEntry, response: HttpResponse | None) -> None:
        """Replace an entry's response, within the limits for one and for all."""
        self._answer_bytes -= _response_size(entry.response)
        entry.response = None
        size = _response_size(response)
        is_small = size <= self._cfg.max_answer_bytes
        fits = self._answer_bytes + size <= self._cfg.max_answers_bytes
        if response is not None and is_small and fits:
            entry.response = response
            self._answer_bytes += size
        elif response is not None:
            self._counters.add("claim-answers-dropped")

    def drop_partition(self, partition: int) -> None:
        """Remove all entries of a partition."""
        for entry in list(self.entries(partition)):
            self.remove(entry)
        self._partitions.pop(partition, None)

    def next_due(self) -> float | None:
        """Return when the next entry is overdue or can be removed."""
        return self._timers.next_due()

    def pop_due(self, now: float) -> Iterator[ClaimEntry]:
        """Yield the overdue running entries; remove the ended ones that are due."""
        for table_key in list(self._timers.pop_due(now)):
            partition, organisation, key = table_key
            entry = self.find(partition, organisation, key)
            if entry.state is ClaimState.RUNNING:
                yield entry
            else:
                self.remove(entry)

    def postpone(self, entry: ClaimEntry, due: float) -> None:
        """Check an entry again at a later time."""
        self._set_due(entry, due)

    def _insert(self, entry):
        partition = self._partitions.setdefault(entry.partition, {})
        partition[entry.organisation, entry.key] = entry
        self._size += 1

    def remove(self, entry: ClaimEntry) -> None:
        """Remove an entry if it is still in the table."""
        if self.find(*entry.table_key) is not entry:
            return
        self.store_response(entry, None)
        self._timers.cancel(entry.table_key)
        del self._partitions[entry.partition][entry.organisation, entry.key]
        self._size -= 1

    def _record_change(self, entry, now):
        self._last_number += 1
        entry.number = self._last_number
        self._set_due(entry, now + self._retention_s(entry))

    def _retention_s(self, entry):
        if entry.state is ClaimState.RUNNING:
            return entry.timeout_ms / 1000 + OVERDUE_GRACE_S
        if entry.state is ClaimState.RELEASED:
            return RELEASED_RETENTION_S
        return self._cfg.retention_s

    def _set_due(self, entry, due):
        entry.due = due
        self._timers.set(entry.table_key, due)

    def status(self) -> dict:
        """Return the sizes of the table."""
        return {"entries": self._size, "answer_bytes": self._answer_bytes}


def _response_size(response):
    if response is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return len(response.body) + headers
