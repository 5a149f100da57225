"""How many calls an organisation's rate and burst cover."""

from collections.abc import Iterable

from monsoonmill.load.plan import OwedRate


def count_owed(arrivals_s: Iterable[float], owed: OwedRate | None) -> int:
    """Count the arrivals that a token bucket admits.

    Parameters
    ----------
    arrivals_s : iterable of float
        Times of arrival in seconds.
    owed : OwedRate or None
        Rate and burst; None admits all.
    """
    times = sorted(arrivals_s)
    if owed is None:
        return len(times)
    level, filled_s, admitted = owed.burst, 0.0, 0
    for at_s in times:
        level = min(owed.burst, level + (at_s - filled_s) * owed.rate)
        filled_s = at_s
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted
