"""Command line: plays deployments with random disruptions."""

import sys

from fire import Fire

from tests.deployment.run import LENGTH_S, run
from tests.deployment.sites import SITES

MOST_SHOWN = 20


def play(site: str, first: int = 1, count: int = 1, length_s: float = LENGTH_S) -> None:
    """Play seeds one after the other; end with status 1 if a rule was broken.

    Parameters
    ----------
    site : str
        Name of the deployment.
    first : int
        First seed; odd seeds have planned work only.
    count : int
        Number of seeds.
    length_s : float
        Time in seconds in which disruptions start.
    """
    is_broken = False
    for seed in range(first, first + count):
        result = run(SITES[site], seed, length_s)
        print(result.summary(), flush=True)
        for violation in result.violations[:MOST_SHOWN]:
            print(f"  {violation.rule}: {violation.detail}", flush=True)
        is_broken |= bool(result.violations)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    Fire(play)
