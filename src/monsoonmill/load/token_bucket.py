"""Counts the calls that conform to a rate and burst, with a token bucket."""

from collections.abc import Iterable

from monsoonmill.load.plan import OrganisationRate


def count_conforming(
    arrivals_s: Iterable[float], rate_limit: OrganisationRate | None
) -> int:
    """Count the arrivals that a token bucket admits.

    Parameters
    ----------
    arrivals_s : iterable of float
        Arrival times in seconds since the start of the run.
    rate_limit : OrganisationRate or None
        Rate and burst; None admits all arrivals.
    """
    times = sorted(arrivals_s)
    if rate_limit is None:
        return len(times)
    tokens, refilled_s, admitted = rate_limit.burst, 0.0, 0
    for at_s in times:
        tokens = min(rate_limit.burst, tokens + (at_s - refilled_s) * rate_limit.rate)
        refilled_s = at_s
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted
