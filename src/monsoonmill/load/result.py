"""Results of a load run."""

from attrs import asdict, frozen


@frozen
class Latency:
    """Latencies of whole answers, from the time that a call was due.

    Attributes
    ----------
    histogram : str
        HDR's own encoding, microseconds.
    """

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    histogram: str


@frozen
class StreamResult:
    """What became of the calls of a stream.

    Attributes
    ----------
    verdicts : dict
        Calls by the verdict of their last attempt.
    """

    organisation: str
    importance: str
    offered: int
    verdicts: dict[str, int]
    latency: Latency


@frozen
class OrganisationResult:
    """How an organisation was served.

    Attributes
    ----------
    owed : int
        Calls that its rate and burst cover; all if the plan names no rate.
    share : float
        Whole answers over owed ones, 1 at most.
    unjust_refusals : int
        Refused calls that made the whole answers fewer than those owed.
    """

    offered: int
    owed: int
    whole: int
    refused: int
    share: float
    unjust_refusals: int


@frozen
class Second:
    """Calls that ended in one second of the run."""

    at_s: int
    whole: int = 0
    refused: int = 0
    failed: int = 0


@frozen
class LoadResult:
    """Everything that a load run measured.

    Attributes
    ----------
    outcomes, reasons : dict
        Attempts by ``Monsoon-Outcome`` and ``Monsoon-Reason``.
    goodput_per_s : float
        Whole verified answers a second of the run.
    late_starts : int
        Attempts that started later than the plan allows.
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
        """Return the result as plain data."""
        return asdict(self)
