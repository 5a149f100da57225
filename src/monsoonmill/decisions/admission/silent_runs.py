"""Detection of runs that the backend server will never answer.

Some backend servers neither refuse nor answer a request that they cannot queue. It
holds none of their slots, so that its slot here can be given to another request long
before its deadline. Its answer is still awaited: a slow run looks the same at first,
and a request that may have run must not be reported as not run.
"""

from collections.abc import Iterator

from attrs import define

SILENT_FACTOR = 4.0
"""Multiple of its route's latency after which a run can count as silent."""
MIN_OVERTAKEN = 16
"""Answers to later runs of the route until a run counts as silent. Backend servers
start requests in the order of their arrival."""
MAX_SILENT_DIVISOR = 4
"""At most one in this many slots is given away, at least one. If all of these runs
are only slow, the others wait in the backend server's own queue."""


@define
class OutstandingRun:
    """A run without an answer.

    Attributes
    ----------
    overtaken : int
        Answers to runs of the same route that started later.
    """

    route: str
    started_at: float
    overtaken: int = 0


class SilentRuns:
    """Finds the runs that were overtaken by many later ones.

    Parameters
    ----------
    min_elapsed_s : float
        Time after its start from which a run can count as silent; 0 to find none.
    """

    def __init__(self, min_elapsed_s: float):
        self._min_elapsed_s = min_elapsed_s
        self._outstanding: dict[str, OutstandingRun] = {}
        self._silent: set[str] = set()

    def __len__(self):
        return len(self._silent)

    def add(self, attempt: str, route: str, now: float) -> None:
        """Record the start of a run."""
        if self._min_elapsed_s > 0:
            self._outstanding[attempt] = OutstandingRun(route, now)

    def remove(self, attempt: str) -> bool:
        """Record the end of a run; return whether it counted as silent."""
        self._outstanding.pop(attempt, None)
        is_silent = attempt in self._silent
        self._silent.discard(attempt)
        return is_silent

    def record_answer(
        self, attempt: str, latency_s: float, limit: int, now: float
    ) -> Iterator[str]:
        """Record an answer; yield the runs that count as silent from now on.

        Parameters
        ----------
        latency_s : float
            Current latency of the run's route; 0 if it is unknown.
        limit : int
            Number of runs that may be in progress.
        """
        answered = self._outstanding.get(attempt)
        if answered is None:
            return
        min_elapsed_s = max(self._min_elapsed_s, SILENT_FACTOR * latency_s)
        # Runs are in the order of their start.
        for name, run in list(self._outstanding.items()):
            if run is answered:
                return
            if run.route != answered.route or name in self._silent:
                continue
            run.overtaken += 1
            is_overdue = now - run.started_at >= min_elapsed_s
            may_give_away = len(self._silent) < max(limit // MAX_SILENT_DIVISOR, 1)
            if is_overdue and may_give_away and run.overtaken >= MIN_OVERTAKEN:
                self._silent.add(name)
                yield name
