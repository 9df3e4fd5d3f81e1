"""Processor time of running processes, to see when the machine is the limit."""

import os
from pathlib import Path

from tests.standins.fleet import Fleet

from ._load import Load

TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
USER_TICKS, SYSTEM_TICKS = 11, 12
"""Places in ``/proc/PID/stat`` after the command's closing bracket."""

KINDS = {"host": "h", "searchers": "searchers", "platform": "platform", "load": "load"}
"""Kinds of processes, by the beginning of their names."""


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used, 0 where it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = stat.rpartition(")")[2].split()
    return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_A_SECOND


def cpu_by_process(fleet: Fleet, load: Load) -> dict[str, float]:
    """Return the processor seconds of each process so far."""
    used = {name: cpu_seconds(process.pid) for name, process in fleet.processes.items()}
    for number, process in enumerate(load.processes):
        used[f"load-{number}"] = cpu_seconds(process.pid)
    return used


def busiest(before: dict[str, float], after: dict[str, float], seconds: float) -> dict[str, float]:
    """Return the largest use of each kind of process, in cores."""

    def use(name: str) -> float:
        return max(0.0, after[name] - before[name]) / seconds

    return {
        kind: round(max(use(name) for name in before if name.startswith(beginning)), 2)
        for kind, beginning in KINDS.items()
    }
