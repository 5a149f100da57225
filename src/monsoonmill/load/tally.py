"""Counts the ends of calls and attempts and builds the result."""

from collections import Counter

from attrs import define, field

from monsoonmill.counters import LatencyHistogram
from monsoonmill.load.call_run import CallRun
from monsoonmill.load.messages import AttemptEnded, Verdict
from monsoonmill.load.owed import count_owed
from monsoonmill.load.plan import LoadPlan, StreamPlan
from monsoonmill.load.result import (
    Latency,
    LoadResult,
    OrganisationResult,
    Second,
    StreamResult,
)


@define
class StreamTally:
    """Counts of one stream."""

    stream: StreamPlan
    verdicts: Counter = field(factory=Counter)
    histogram: LatencyHistogram = field(factory=LatencyHistogram)

    def result(self) -> StreamResult:
        """Return the stream's result."""
        return StreamResult(
            organisation=self.stream.organisation,
            importance=self.stream.importance,
            offered=self.verdicts.total(),
            verdicts=_by_name(self.verdicts),
            latency=_summarise(self.histogram),
        )


@define
class OrganisationTally:
    """Counts of one organisation."""

    arrivals_s: list[float] = field(factory=list)
    verdicts: Counter = field(factory=Counter)

    def result(self, owed_rate) -> OrganisationResult:
        """Return how the organisation was served."""
        owed = count_owed(self.arrivals_s, owed_rate)
        whole = self.verdicts[Verdict.WHOLE]
        refused = self.verdicts[Verdict.REFUSED]
        return OrganisationResult(
            offered=len(self.arrivals_s),
            owed=owed,
            whole=whole,
            refused=refused,
            share=min(1.0, whole / owed) if owed else 1.0,
            unjust_refusals=min(refused, max(0, owed - whole)),
        )


class Tally:
    """Counts of a whole run."""

    def __init__(self, plan: LoadPlan):
        self._plan = plan
        self._streams = {stream.name: StreamTally(stream) for stream in plan.streams}
        self._organisations: dict[str, OrganisationTally] = {}
        self._seconds: dict[int, Counter] = {}
        self._attempts = 0
        self._late_starts = 0
        self._outcomes = Counter()
        self._reasons = Counter()

    def add_attempt(self, ended: AttemptEnded) -> None:
        """Count the end of an attempt."""
        self._attempts += 1
        self._late_starts += ended.late_s * 1000 > self._plan.late_ms
        if ended.outcome:
            self._outcomes[ended.outcome] += 1
        if ended.reason:
            self._reasons[ended.reason] += 1

    def add_call(self, run: CallRun) -> None:
        """Count a call that has ended, or that the run did not wait for."""
        arrival, verdict = run.arrival, run.verdict
        stream = self._streams[arrival.stream.name]
        stream.verdicts[verdict] += 1
        name = arrival.stream.organisation
        organisation = self._organisations.setdefault(name, OrganisationTally())
        organisation.arrivals_s.append(arrival.at_s)
        organisation.verdicts[verdict] += 1
        if verdict is Verdict.UNFINISHED:
            return
        latency_s = run.last.ended - run.arrived
        if verdict is Verdict.WHOLE:
            stream.histogram.record(latency_s)
        second = int(arrival.at_s + latency_s)
        self._seconds.setdefault(second, Counter())[verdict] += 1

    def result(self) -> LoadResult:
        """Return the result of the run."""
        verdicts = sum((t.verdicts for t in self._streams.values()), Counter())
        organisations = self._organisation_results()
        worst = min(
            organisations, key=lambda name: organisations[name].share, default=""
        )
        return LoadResult(
            duration_s=self._plan.duration_s,
            offered=verdicts.total(),
            attempts=self._attempts,
            late_starts=self._late_starts,
            goodput_per_s=verdicts[Verdict.WHOLE] / self._plan.duration_s,
            verdicts=_by_name(verdicts),
            outcomes=dict(sorted(self._outcomes.items())),
            reasons=dict(sorted(self._reasons.items())),
            streams={name: tally.result() for name, tally in self._streams.items()},
            organisations=organisations,
            worst_organisation=worst,
            worst_share=organisations[worst].share if organisations else 1.0,
            timeline=tuple(self._timeline()),
        )

    def _organisation_results(self):
        rates = {owed.name: owed for owed in self._plan.organisations}
        return {
            name: tally.result(rates.get(name))
            for name, tally in sorted(self._organisations.items())
        }

    def _timeline(self):
        for at_s in range(max(self._seconds, default=-1) + 1):
            counts = self._seconds.get(at_s, Counter())
            whole = counts[Verdict.WHOLE]
            refused = counts[Verdict.REFUSED]
            yield Second(at_s, whole, refused, counts.total() - whole - refused)


def _by_name(verdicts):
    return {
        verdict.value: count
        for verdict, count in sorted(verdicts.items(), key=lambda item: item[0].value)
    }


def _summarise(histogram):
    return Latency(
        count=histogram.count,
        p50_ms=histogram.percentile_ms(50),
        p90_ms=histogram.percentile_ms(90),
        p99_ms=histogram.percentile_ms(99),
        p999_ms=histogram.percentile_ms(99.9),
        histogram=histogram.encode().decode(),
    )
