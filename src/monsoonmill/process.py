"""The end of a program's process."""

import os
import sys
from typing import NoReturn


def exit_process(status: int) -> NoReturn:
    """End the process without finalizing the interpreter.

    Finalization takes tenths of a second, in which threads are stopped wherever they
    are. It resets the signal handlers, and aborts the process if a stopped thread holds
    the lock of standard output.
    """
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except (OSError, ValueError):
            # Nobody reads the output any more.
            pass
    os._exit(status)
