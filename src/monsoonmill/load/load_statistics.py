"""Aggregates ended calls and attempts into the result of a load run."""

from collections import Counter

from attrs import define, field

from monsoonmill.counters import LatencyHistogram
from monsoonmill.load.load_call import LoadCall
from monsoonmill.load.messages import AttemptEnded, Verdict
from monsoonmill.load.plan import LoadPlan, StreamPlan
from monsoonmill.load.result import (
    Latency,
    LoadResult,
    OrganisationResult,
    Second,
    StreamResult,
)
from monsoonmill.load.token_bucket import count_conforming


@define
class StreamStatistics:
    """Verdicts and latencies of one stream."""

    stream: StreamPlan
    verdicts: Counter = field(factory=Counter)
    histogram: LatencyHistogram = field(factory=LatencyHistogram)

    def result(self) -> StreamResult:
        """Return the result of the stream."""
        return StreamResult(
            organisation=self.stream.organisation,
            importance=self.stream.importance,
            offered=self.verdicts.total(),
            verdicts=_count_by_value(self.verdicts),
            latency=_summarise_latency(self.histogram),
        )


@define
class OrganisationStatistics:
    """Arrivals and verdicts of one organisation."""

    arrivals_s: list[float] = field(factory=list)
    verdicts: Counter = field(factory=Counter)

    def result(self, rate_limit) -> OrganisationResult:
        """Return the result of the organisation."""
        conforming = count_conforming(self.arrivals_s, rate_limit)
        valid = self.verdicts[Verdict.VALID]
        refused = self.verdicts[Verdict.REFUSED]
        return OrganisationResult(
            offered=len(self.arrivals_s),
            owed=conforming,
            whole=valid,
            refused=refused,
            share=min(1.0, valid / conforming) if conforming else 1.0,
            unjust_refusals=min(refused, max(0, conforming - valid)),
        )


class LoadStatistics:
    """Statistics of a load run."""

    def __init__(self, plan: LoadPlan):
        self._plan = plan
        self._streams = {
            stream.name: StreamStatistics(stream) for stream in plan.streams
        }
        self._organisations: dict[str, OrganisationStatistics] = {}
        self._seconds: dict[int, Counter] = {}
        self._attempts = 0
        self._late_starts = 0
        self._outcomes = Counter()
        self._reasons = Counter()

    def add_attempt(self, ended: AttemptEnded) -> None:
        """Count the end of an attempt."""
        self._attempts += 1
        self._late_starts += ended.start_delay_s * 1000 > self._plan.late_ms
        if ended.outcome:
            self._outcomes[ended.outcome] += 1
        if ended.reason:
            self._reasons[ended.reason] += 1

    def add_call(self, call: LoadCall) -> None:
        """Count a call that has ended, or was unfinished at the end of the run."""
        arrival, verdict = call.arrival, call.verdict
        stream = self._streams[arrival.stream.name]
        stream.verdicts[verdict] += 1
        name = arrival.stream.organisation
        organisation = self._organisations.setdefault(name, OrganisationStatistics())
        organisation.arrivals_s.append(arrival.at_s)
        organisation.verdicts[verdict] += 1
        if verdict is Verdict.UNFINISHED:
            return
        latency_s = call.last_attempt.ended_at - call.arrived_at
        if verdict is Verdict.VALID:
            stream.histogram.record(latency_s)
        second = int(arrival.at_s + latency_s)
        self._seconds.setdefault(second, Counter())[verdict] += 1

    def result(self) -> LoadResult:
        """Return the result of the run."""
        verdicts = sum(
            (stream.verdicts for stream in self._streams.values()), Counter()
        )
        organisations = self._organisation_results()
        worst = min(
            organisations, key=lambda name: organisations[name].share, default=""
        )
        return LoadResult(
            duration_s=self._plan.duration_s,
            offered=verdicts.total(),
            attempts=self._attempts,
            late_starts=self._late_starts,
            goodput_per_s=verdicts[Verdict.VALID] / self._plan.duration_s,
            verdicts=_count_by_value(verdicts),
            outcomes=dict(sorted(self._outcomes.items())),
            reasons=dict(sorted(self._reasons.items())),
            streams={name: stream.result() for name, stream in self._streams.items()},
            organisations=organisations,
            worst_organisation=worst,
            worst_share=organisations[worst].share if organisations else 1.0,
            timeline=tuple(self._timeline()),
        )

    def _organisation_results(self):
        rate_limits = {limit.name: limit for limit in self._plan.organisations}
        return {
            name: organisation.result(rate_limits.get(name))
            for name, organisation in sorted(self._organisations.items())
        }

    def _timeline(self):
        for at_s in range(max(self._seconds, default=-1) + 1):
            counts = self._seconds.get(at_s, Counter())
            valid = counts[Verdict.VALID]
            refused = counts[Verdict.REFUSED]
            yield Second(at_s, valid, refused, counts.total() - valid - refused)


def _count_by_value(verdicts):
    return {
        verdict.value: count
        for verdict, count in sorted(verdicts.items(), key=lambda item: item[0].value)
    }


def _summarise_latency(histogram):
    return Latency(
        count=histogram.count,
        p50_ms=histogram.percentile_ms(50),
        p90_ms=histogram.percentile_ms(90),
        p99_ms=histogram.percentile_ms(99),
        p999_ms=histogram.percentile_ms(99.9),
        histogram=histogram.encode().decode(),
    )
