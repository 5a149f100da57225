"""Set-up of the process's logs."""

import logging as standard_logging
import sys

from absl import flags, logging

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logging(level: str, json_lines: bool = False) -> None:
    """Write logs of a level and above.

    Parameters
    ----------
    json_lines : bool
        Write nothing but one JSON object a line, to standard output; else
        with absl's prefix to standard error.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    if json_lines:
        handler = logging.get_absl_handler().python_handler
        handler.stream = sys.stdout
        handler.setFormatter(standard_logging.Formatter("%(message)s"))
    logging.set_verbosity(LEVELS[level])
    # absl writes lines from this level on to standard error as well.
    logging.set_stderrthreshold(logging.FATAL if json_lines else LEVELS[level])
