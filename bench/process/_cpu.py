"""Processor time of running processes, which shows when the machine limits a trial."""

import os
from pathlib import Path

from tests.standins.fleet import Fleet

from ._load import Load

MACHINE = "machine"
STOLEN = "stolen"
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
"""The number of ticks per second; the figures in ``/proc`` are in ticks."""

USER_TICKS, SYSTEM_TICKS = 11, 12
"""Indices of fields in ``/proc/PID/stat``, counted after the bracket that closes the command."""

IDLE_TICKS = slice(3, 5)
STOLEN_TICKS = 7
ALL_TICKS = 8
"""Indices of fields in the first line of ``/proc/stat``; ``ALL_TICKS`` is the end of the sum.

The fields after it are the ticks of guests, which the fields before it already include.
"""

KINDS = {"host": "h", "searchers": "searchers", "platform": "platform", "load": "load"}
"""Maps each kind of process to the prefix of the names of its processes."""


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used, or 0 if it no longer exists."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = stat.rpartition(")")[2].split()
    return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_A_SECOND


def machine_seconds() -> dict[str, float]:
    """Return the processor seconds that this machine used, and those that were stolen from it.

    Time is stolen when this virtual machine is ready to run while its hypervisor runs others.
    """
    ticks = [int(value) for value in Path("/proc/stat").read_text().splitlines()[0].split()[1:]]
    stolen = ticks[STOLEN_TICKS]
    busy = sum(ticks[:ALL_TICKS]) - sum(ticks[IDLE_TICKS]) - stolen
    return {MACHINE: busy / TICKS_A_SECOND, STOLEN: stolen / TICKS_A_SECOND}


def cpu_by_process(fleet: Fleet, load: Load) -> dict[str, float]:
    """Return the processor seconds so far of each process of a trial, and of the whole machine."""
    used = machine_seconds()
    used |= {name: cpu_seconds(process.pid) for name, process in fleet.processes.items()}
    for number, process in enumerate(load.processes):
        used[f"load-{number}"] = cpu_seconds(process.pid)
    return used


def busiest(before: dict[str, float], after: dict[str, float], seconds: float) -> dict[str, float]:
    """Return the use of the busiest process of each kind, and the totals, in cores.

    ``before`` and ``after`` are results of :func:`cpu_by_process`, taken ``seconds`` apart. If the
    totals reach the number of the machine's cores, or cores were stolen, the machine limited the
    trial.
    """

    def use(name: str) -> float:
        return max(0.0, after[name] - before[name]) / seconds

    largest = {
        kind: max(use(name) for name in before if name.startswith(prefix))
        for kind, prefix in KINDS.items()
    }
    own = sum(use(name) for name in before if name not in (MACHINE, STOLEN))
    totals = {
        "all of the trial": own,
        "other programs": max(0.0, use(MACHINE) - own),
        "stolen": use(STOLEN),
    }
    return {kind: round(cores, 2) for kind, cores in (largest | totals).items()}
