"""Result of a load run; field names are keys of the JSON document."""

from attrs import asdict, frozen


@frozen
class Latency:
    """Latencies of valid responses, measured from the arrival time of the call.

    Attributes
    ----------
    histogram : str
        Encoded HDR histogram, in microseconds.
    """

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    histogram: str


@frozen
class StreamResult:
    """Verdicts and latencies of the calls of a stream.

    Attributes
    ----------
    verdicts : dict
        Number of calls by the verdict of their last attempt.
    """

    organisation: str
    importance: str
    offered: int
    verdicts: dict[str, int]
    latency: Latency


@frozen
class OrganisationResult:
    """Calls of an organisation, compared with its rate and burst.

    Attributes
    ----------
    owed : int
        Calls within its rate and burst; all calls if the plan has no rate for it.
    whole : int
        Calls with a valid response.
    share : float
        Ratio of ``whole`` to ``owed``, at most 1.
    unjust_refusals : int
        Refusals that kept the organisation below its rate and burst: the lesser
        of ``refused`` and ``owed`` minus ``whole``.
    """

    offered: int
    owed: int
    whole: int
    refused: int
    share: float
    unjust_refusals: int


@frozen
class Second:
    """Calls that ended in one second of the run.

    Attributes
    ----------
    whole : int
        Calls with a valid response.
    """

    at_s: int
    whole: int = 0
    refused: int = 0
    failed: int = 0


@frozen
class LoadResult:
    """Measurements of a load run.

    Attributes
    ----------
    offered : int
        Calls that arrived in the run, whether or not they succeeded.
    outcomes, reasons : dict
        Number of attempts by ``Monsoon-Outcome`` and ``Monsoon-Reason``.
    goodput_per_s : float
        Valid responses per second of the run.
    late_starts : int
        Attempts that started more than ``late_ms`` after they were due.
    worst_organisation, worst_share : str, float
        Organisation with the lowest ``share``, and that share.
    """

    duration_s: float
    offered: int
    attempts: int
    late_starts: int
    goodput_per_s: float
    verdicts: dict[str, int]
    outcomes: dict[str, int]
    reasons: dict[str, int]
    streams: dict[str, StreamResult]
    organisations: dict[str, OrganisationResult]
    worst_organisation: str
    worst_share: float
    timeline: tuple[Second, ...]

    def as_document(self) -> dict:
        """Return the result as a JSON-serializable dictionary."""
        return asdict(self)
