"""Configuration of the process's log output."""

import logging as standard_logging
import sys

from absl import flags, logging

ABSL_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logging(level: str, json_lines: bool = False) -> None:
    """Configure absl logging.

    Parameters
    ----------
    level : str
        Lowest level to log.
    json_lines : bool
        Log to standard output, one JSON object per line. Otherwise, log to
        standard error with absl's prefix.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    if json_lines:
        handler = logging.get_absl_handler().python_handler
        handler.stream = sys.stdout
        handler.setFormatter(standard_logging.Formatter("%(message)s"))
    logging.set_verbosity(ABSL_LEVELS[level])
    # absl also writes messages of this level and above to standard error.
    logging.set_stderrthreshold(logging.FATAL if json_lines else ABSL_LEVELS[level])
