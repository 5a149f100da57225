"""Bounded queue ordered by standing, then fairly by organisation, then by age.

The standing is the importance and, within it, the rank of the call's chain. Among
attempts of equal standing, organisations with waiting calls get equal numbers of slots,
by start-time fair queueing in which every call costs one unit.
"""

from bisect import bisect_left, insort
from collections import OrderedDict

from attrs import define, field

from monsoonmill.decisions.admission.chain_admission import RANKS
from monsoonmill.reasons import Importance


@define(eq=False)
class QueuedCall:
    """An attempt that waits for a slot.

    Attributes
    ----------
    importance : Importance
        Class in which the attempt is queued.
    rank : int
        Rank within the class; 0 where chains have no ranks.
    """

    attempt: str
    route: str
    organisation: str
    importance: Importance
    deadline: float
    queued_at: float
    rank: int = 0

    @property
    def standing(self) -> int:
        """Position in the order of admission; the highest is first."""
        return self.importance * RANKS + self.rank


@define
class ClassQueue:
    """Waiting attempts of one standing.

    Attributes
    ----------
    finish_tags : dict
        Virtual finish time of each organisation's last slot; tags that the
        virtual time has passed are removed.
    """

    waiting: dict[str, OrderedDict[str, QueuedCall]] = field(factory=dict)
    finish_tags: dict[str, float] = field(factory=dict)
    virtual_time: float = 0.0

    def push(self, call: QueuedCall) -> None:
        """Append an attempt."""
        queue = self.waiting.setdefault(call.organisation, OrderedDict())
        queue[call.attempt] = call

    def remove(self, call: QueuedCall) -> None:
        """Remove an attempt."""
        queue = self.waiting[call.organisation]
        del queue[call.attempt]
        if not queue:
            del self.waiting[call.organisation]

    def first(self) -> QueuedCall | None:
        """Return the oldest attempt of the organisation with the lowest start tag."""
        if not self.waiting:
            return None
        heads = (next(iter(queue.values())) for queue in self.waiting.values())
        return min(heads, key=self._sort_key)

    def _sort_key(self, call):
        return self._start_tag(call.organisation), call.queued_at

    def _start_tag(self, organisation):
        return max(self.finish_tags.get(organisation, 0.0), self.virtual_time)

    def charge(self, organisation: str) -> None:
        """Charge an organisation for a slot."""
        self.virtual_time = self._start_tag(organisation)
        self.finish_tags[organisation] = self.virtual_time + 1
        self.finish_tags = {
            name: tag
            for name, tag in self.finish_tags.items()
            if tag > self.virtual_time
        }

    def newest_of_longest(self) -> QueuedCall:
        """Return the newest attempt of the organisation with the most attempts."""
        longest = max(self.waiting.values(), key=len)
        return next(reversed(longest.values()))

    def count_waiting(self, organisation: str) -> int:
        """Return how many attempts of an organisation wait."""
        return len(self.waiting.get(organisation, ()))


class FairQueue:
    """Attempts that wait for a slot.

    Parameters
    ----------
    max_length : int
        Maximum number of waiting attempts.
    """

    def __init__(self, max_length: int):
        self._max_length = max_length
        self._classes: dict[int, ClassQueue] = {}
        self._standings: list[int] = []
        self._calls: dict[str, QueuedCall] = {}

    def __len__(self):
        return len(self._calls)

    def __contains__(self, attempt):
        return attempt in self._calls

    def offer(self, call: QueuedCall) -> QueuedCall | None:
        """Append an attempt; return the one that was rejected or evicted, if any."""
        if len(self._calls) < self._max_length:
            self._push(call)
            return None
        victim = self._select_victim(call)
        if victim is not call:
            self.remove(victim.attempt)
            self._push(call)
        return victim

    def _class(self, standing):
        queue = self._classes.get(standing)
        if queue is None:
            queue = self._classes[standing] = ClassQueue()
        return queue

    def _push(self, call):
        self._calls[call.attempt] = call
        queue = self._class(call.standing)
        if not queue.waiting:
            insort(self._standings, call.standing)
        queue.push(call)

    def _select_victim(self, call):
        """Return the attempt to reject or evict when the queue is full."""
        if not self._standings or call.standing < self._standings[0]:
            return call
        lowest = self._standings[0]
        queue = self._classes[lowest]
        victim = queue.newest_of_longest()
        if call.standing > lowest:
            return victim
        is_shorter = queue.count_waiting(call.organisation) + 1 < queue.count_waiting(
            victim.organisation
        )
        return victim if is_shorter else call

    def remove(self, attempt: str) -> QueuedCall | None:
        """Remove an attempt; return it, or None if it does not wait."""
        call = self._calls.pop(attempt, None)
        if call is not None:
            queue = self._classes[call.standing]
            queue.remove(call)
            if not queue.waiting:
                del self._standings[bisect_left(self._standings, call.standing)]
        return call

    def evict(self) -> QueuedCall | None:
        """Remove and return the newest attempt of the lowest standing."""
        if not self._standings:
            return None
        queue = self._classes[self._standings[0]]
        return self.remove(queue.newest_of_longest().attempt)

    def attempts(self) -> list[str]:
        """Return the attempts that wait."""
        return list(self._calls)

    def pop(self, lowest: Importance) -> QueuedCall | None:
        """Remove and return the next attempt of at least a given importance."""
        if not self._standings or self._standings[-1] < lowest * RANKS:
            return None
        call = self._classes[self._standings[-1]].first()
        return self.remove(call.attempt)

    def charge(self, call: QueuedCall) -> None:
        """Charge an attempt's organisation for a slot."""
        self._class(call.standing).charge(call.organisation)

    def has_waiting(self, importance: Importance) -> bool:
        """Return whether any attempt of a class waits."""
        first = importance * RANKS
        index = bisect_left(self._standings, first)
        return index < len(self._standings) and self._standings[index] < first + RANKS
