"""Open-loop arrival times of calls, drawn from Poisson processes."""

from collections.abc import Iterator
from heapq import merge
from random import Random

from attrs import frozen

from monsoonmill.load.plan import LoadPlan, StreamPlan


@frozen
class Arrival:
    """Scheduled start of a call.

    Attributes
    ----------
    at_s : float
        Time since the start of the run, in seconds.
    id : str
        Request id, unique in the run.
    """

    at_s: float
    stream: StreamPlan
    id: str


def stream_arrivals(plan: LoadPlan, stream: StreamPlan) -> Iterator[Arrival]:
    """Yield the arrivals of one stream, sorted by time."""
    rng = Random(f"{plan.random_seed}/{stream.name}")
    end_s = stream.end_s(plan.duration_s)
    at_s = stream.start_s
    sequence_number = 0
    while True:
        at_s += rng.expovariate(stream.rate_per_s)
        if at_s >= end_s:
            return
        yield Arrival(at_s, stream, f"{plan.run}{stream.name}-{sequence_number}")
        sequence_number += 1


def all_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the arrivals of all streams, sorted by time."""
    streams = (stream_arrivals(plan, stream) for stream in plan.streams)
    return merge(*streams, key=lambda arrival: arrival.at_s)
