"""Command line of the soak test: ``python -m tests.soak --first=1 --count=50``."""

import sys
from pathlib import Path
from tempfile import mkdtemp

import fire

from tests.soak.run import SoakRun
from tests.soak.schedule import make_schedule

DEFAULT_LENGTH_S = 20.0


def soak(first: int = 1, count: int = 1, length_s: float = DEFAULT_LENGTH_S) -> None:
    """Run seeds one after another; exit with status 1 if an invariant was violated.

    Parameters
    ----------
    first, count : int
        First seed and number of seeds.
    length_s : float
        Length of the period in which faults begin, in seconds.
    """
    failed = []
    for seed in range(first, first + count):
        directory = Path(mkdtemp(prefix=f"soak-{seed}-"))
        run = SoakRun(directory, seed, length_s)
        violations = run.execute()
        changes = len(run.accepted_changes)
        print(
            f"seed {seed}: {len(run.injected)} faults, {changes} accepted changes",
            flush=True,
        )
        if violations:
            failed.append(seed)
            print(*violations, f"logs: {directory}", sep="\n", flush=True)
            print(*make_schedule(seed, length_s, 4), sep="\n", flush=True)
    print(f"{count} seeds, violations at seeds: {failed or 'none'}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
