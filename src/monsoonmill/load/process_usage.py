"""CPU time and memory of a process, read from ``/proc``."""

from os import sysconf
from pathlib import Path

from attrs import frozen

USER_TICKS_FIELD = 13
SYSTEM_TICKS_FIELD = 14
"""Fields of ``/proc/PID/stat``, counted from 0."""
RESIDENT_PAGES_FIELD = 1
"""Field of ``/proc/PID/statm``, counted from 0."""
MEBIBYTE = 1 << 20


@frozen
class ProcessUsage:
    """CPU time and memory that a process has used.

    Attributes
    ----------
    cpu_s : float
        User and system CPU time since the process started, in seconds.
    resident_mib : float
        Resident memory in MiB.
    """

    cpu_s: float
    resident_mib: float

    @classmethod
    def of(cls, pid: int) -> "ProcessUsage":
        """Return the current usage of a running process."""
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        # Field indexes count from the process id, which was cut off with the name.
        ticks = int(stat[USER_TICKS_FIELD - 2]) + int(stat[SYSTEM_TICKS_FIELD - 2])
        statm = Path(f"/proc/{pid}/statm").read_text().split()
        resident = int(statm[RESIDENT_PAGES_FIELD]) * sysconf("SC_PAGE_SIZE")
        return cls(ticks / sysconf("SC_CLK_TCK"), resident / MEBIBYTE)
