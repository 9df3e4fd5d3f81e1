"""Processor time of running processes, to see when the machine is the limit."""

import os
from pathlib import Path

from tests.standins.fleet import Fleet

from ._load import Load

MACHINE = "machine"
STOLEN = "stolen"
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
USER_TICKS, SYSTEM_TICKS = 11, 12
"""Places in ``/proc/PID/stat`` after the command's closing bracket."""

IDLE_TICKS = slice(3, 5)
STOLEN_TICKS = 7
ALL_TICKS = 8
"""Places in the first line of ``/proc/stat``; guests' ticks after them are counted twice there."""

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


def machine_seconds() -> dict[str, float]:
    """Return the core seconds that the machine was busy, and those that it asked for in vain.

    The latter went to other virtual machines of the same computer.
    """
    ticks = [int(value) for value in Path("/proc/stat").read_text().splitlines()[0].split()[1:]]
    stolen = ticks[STOLEN_TICKS]
    busy = sum(ticks[:ALL_TICKS]) - sum(ticks[IDLE_TICKS]) - stolen
    return {MACHINE: busy / TICKS_A_SECOND, STOLEN: stolen / TICKS_A_SECOND}


def cpu_by_process(fleet: Fleet, load: Load) -> dict[str, float]:
    """Return the processor seconds of each process so far, and of the whole machine."""
    used = machine_seconds()
    used |= {name: cpu_seconds(process.pid) for name, process in fleet.processes.items()}
    for number, process in enumerate(load.processes):
        used[f"load-{number}"] = cpu_seconds(process.pid)
    return used


def busiest(before: dict[str, float], after: dict[str, float], seconds: float) -> dict[str, float]:
    """Return the largest use of each kind of process, and what the rest used, in cores.

    Where all together need more than the machine's cores, or cores are stolen, the machine is the
    limit.
    """

    def use(name: str) -> float:
        return max(0.0, after[name] - before[name]) / seconds

    largest = {
        kind: max(use(name) for name in before if name.startswith(beginning))
        for kind, beginning in KINDS.items()
    }
    own = sum(use(name) for name in before if name not in (MACHINE, STOLEN))
    totals = {
        "all of the trial": own,
        "other programs": max(0.0, use(MACHINE) - own),
        "stolen": use(STOLEN),
    }
    return {kind: round(cores, 2) for kind, cores in (largest | totals).items()}
