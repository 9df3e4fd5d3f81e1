"""Measures the memory of the process, plans with it, and gives free memory back to the system."""

from ...connection.gateway import MemoryUse
from .._allocator import trim_heap
from ._memory_budget import ProcessMemory
from ._memory_plan import IdleMemory, MemoryPlan, plan_memory
from ._metrics import Metrics
from ._process_files import read_resident_bytes
from ._settings import HostCapacity

DEFAULT_IDLE_BYTES = 25_000_000
"""The bytes that an idle process needs, where they cannot be measured."""

TRIM_BYTES = 8_000_000
"""Free memory is given back if the process has this much more than its connections account for."""


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
        self.metrics.set_gauge("memory_room_bytes", plan.room)
        self.metrics.set_gauge("memory_accounted_bytes", self.memory.total)
        used = self.memory.used
        self.metrics.set_gauge("memory_callers_bytes", used[MemoryUse.CALLERS])
        self.metrics.set_gauge("memory_searchers_bytes", used[MemoryUse.SEARCHERS])
        self.metrics.set_gauge("memory_kernel_bytes", used[MemoryUse.KERNEL])
        self.metrics.set_gauge("memory_requests_bytes", used[MemoryUse.REQUESTS])
        self.metrics.set_gauge("memory_answers_bytes", used[MemoryUse.ANSWERS])
