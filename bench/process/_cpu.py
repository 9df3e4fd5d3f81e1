"""Processor time of running processes, to see when the machine is the limit."""

import os
from pathlib import Path

TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
USER_TICKS, SYSTEM_TICKS = 11, 12
"""Places in ``/proc/PID/stat`` after the command's closing bracket."""


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used, 0 where it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = stat.rpartition(")")[2].split()
    return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_A_SECOND
