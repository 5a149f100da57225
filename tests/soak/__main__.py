"""Command line of the soak: ``python -m tests.soak --first=1 --count=50``."""

import sys
from pathlib import Path
from tempfile import mkdtemp

import fire

from tests.soak.run import SoakRun
from tests.soak.schedule import make_schedule

LENGTH_S = 20.0


def soak(first: int = 1, count: int = 1, length_s: float = LENGTH_S) -> None:
    """Play seeds one after the other; status 1 if a promise was broken.

    Parameters
    ----------
    first, count : int
        The seeds to play.
    length_s : float
        Seconds in which faults begin.
    """
    failed = []
    for seed in range(first, first + count):
        directory = Path(mkdtemp(prefix=f"soak-{seed}-"))
        run = SoakRun(directory, seed, length_s)
        broken = run.play()
        ends = len(run.accepted)
        print(f"seed {seed}: {len(run.steps)} faults, {ends} changes", flush=True)
        if broken:
            failed.append(seed)
            print(*broken, f"logs: {directory}", sep="\n", flush=True)
            print(*make_schedule(seed, length_s, 4), sep="\n", flush=True)
    print(f"{count} seeds, broken: {failed or 'none'}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
