"""Command-line interface of ``monsoon-load``."""

import sys
from json import dumps
from pathlib import Path

from absl import logging

from monsoonmill.errors import SettingsError
from monsoonmill.load.driver import run_load
from monsoonmill.load.plan import LoadPlan
from monsoonmill.load.plot import plot_result
from monsoonmill.program import run_service


def monsoon_load(
    *,
    config=None,
    addresses=None,
    duration_s=None,
    callers=None,
    random_seed=None,
    output=None,
    plot=None,
    log_level=None,
):
    """Send calls at fixed mean rates, independent of responses, and measure them.

    Parameters
    ----------
    config : str
        TOML file that overrides the shipped defaults and lists the streams.
    addresses : str
        Comma-separated call addresses of nodes.
    duration_s : float
        Duration of the run in seconds.
    callers : int
        Maximum number of concurrent attempts.
    random_seed : int
        Seed of arrival times, retry delays and the choice of addresses.
    output : str
        JSON result file; standard output if empty.
    plot : str
        Image file for a plot of the run over time; none if empty.
    log_level : str
        One of debug, info, warning and error.
    """
    if isinstance(addresses, str):
        addresses = addresses.split(",")
    return LoadPlan.from_file(
        config,
        addresses=addresses,
        duration_s=duration_s,
        callers=callers,
        random_seed=random_seed,
        output=output,
        plot=plot,
        log_level=log_level,
    )


def run(plan: LoadPlan) -> int:
    """Run the plan, write the result and return the exit status."""
    logging.set_verbosity(plan.log_level)
    if plan.output:
        # Fails before the run, not after it, if the path is not writable.
        _write(plan.output, "")
    result = run_load(plan)
    text = dumps(result.as_document(), indent=2) + "\n"
    if plan.output:
        _write(plan.output, text)
    else:
        sys.stdout.write(text)
    if plan.plot:
        plot_result(result, plan.plot)
    return 0


def _write(path, text):
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as exc:
        raise SettingsError(path, "load.output", exc.strerror) from exc


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    return run_service(monsoon_load, run, argv)


if __name__ == "__main__":
    sys.exit(main())
