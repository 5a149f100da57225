"""Processor time and memory of a process, from the kernel's files."""

from os import sysconf
from pathlib import Path

from attrs import frozen

USER_TICKS_FIELD = 13
SYSTEM_TICKS_FIELD = 14
RESIDENT_PAGES_FIELD = 1
MEBIBYTE = 1 << 20


@frozen
class Usage:
    """What a process has used.

    Attributes
    ----------
    processor_s : float
        Processor time since its start, in seconds.
    resident_mib : float
        Resident memory in MiB.
    """

    processor_s: float
    resident_mib: float

    @classmethod
    def of(cls, pid: int) -> "Usage":
        """Return the usage of a process that is up."""
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        # The fields are numbered from the process's name, which is cut off.
        ticks = int(stat[USER_TICKS_FIELD - 2]) + int(stat[SYSTEM_TICKS_FIELD - 2])
        statm = Path(f"/proc/{pid}/statm").read_text().split()
        resident = int(statm[RESIDENT_PAGES_FIELD]) * sysconf("SC_PAGE_SIZE")
        return cls(ticks / sysconf("SC_CLK_TCK"), resident / MEBIBYTE)
