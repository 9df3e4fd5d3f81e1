"""Measures the memory of the process, plans with it, and gives free memory back to the system."""

import os
from contextlib import suppress
from pathlib import Path

from ...connection.gateway import Use
from ._allocator import trim_heap
from ._memory_budget import ProcessMemory
from ._memory_plan import IdleMemory, MemoryPlan, plan_memory
from ._metrics import Metrics
from ._settings import HostCapacity

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1

DEFAULT_IDLE_BYTES = 25_000_000
"""The bytes that an idle process needs, where they cannot be measured."""

TRIM_BYTES = 8_000_000
"""Free memory is given back if the process has this much more than its connections account for."""


def read_resident_bytes() -> int | None:
    """Return the resident bytes of this process, or ``None`` if they cannot be read."""
    with suppress(OSError, ValueError, IndexError):
        pages = int(STATM.read_text(encoding="ascii").split()[RESIDENT_FIELD])
        return pages * os.sysconf("SC_PAGE_SIZE")
    return None


class MemoryKeeper:
    """Keeps the plan of ``memory`` up to date; :meth:`maintain` is called regularly.

    ``after_trim`` is the least measure of the idle process since the heap was last trimmed.
    """

    def __init__(self, memory: ProcessMemory, capacity: HostCapacity, metrics: Metrics) -> None:
        self.memory = memory
        self.metrics = metrics
        resident = read_resident_bytes() or DEFAULT_IDLE_BYTES
        self.idle = IdleMemory(resident, resident)
        self.after_trim = resident
        self.apply(capacity)

    def apply(self, capacity: HostCapacity) -> None:
        """Plan with the limits of ``capacity`` from now on."""
        self.capacity = capacity
        self.memory.plan = plan_memory(capacity, self.idle.now)

    def maintain(self) -> None:
        """Measure the process, trim its heap if much of it is free, and update the gauges."""
        self._measure()
        if self.idle.now > self.after_trim + TRIM_BYTES:
            trim_heap()
            self._measure()
            self.after_trim = self.idle.now
        self.after_trim = min(self.after_trim, self.idle.now)
        self.apply(self.capacity)
        self._set_gauges(self.memory.plan)

    def _measure(self) -> None:
        resident = read_resident_bytes()
        if resident is not None:
            self.idle = self.idle.measure(resident, self.memory.used)

    def _set_gauges(self, plan: MemoryPlan) -> None:
        self.metrics.set_gauge("memory_limit_bytes", plan.limit)
        self.metrics.set_gauge("memory_room_bytes", plan.room)
        self.metrics.set_gauge("memory_accounted_bytes", self.memory.total)
        used = self.memory.used
        self.metrics.set_gauge("memory_callers_bytes", used[Use.CALLERS])
        self.metrics.set_gauge("memory_searchers_bytes", used[Use.SEARCHERS])
        self.metrics.set_gauge("memory_kernel_bytes", used[Use.KERNEL])
        self.metrics.set_gauge("memory_requests_bytes", used[Use.REQUESTS])
        self.metrics.set_gauge("memory_answers_bytes", used[Use.ANSWERS])
