"""The bytes that all connections of one gateway process hold, as one sum."""

from threading import Lock

from ...connection.gateway import MemoryUse
from ._log import EventLog, LogEvent
from ._memory_plan import MemoryPlan
from ._metrics import Metrics


class ProcessMemory:
    """Counts the bytes of each use, and refuses those that ``plan`` does not allow.

    Any task may call it.
    """

    def __init__(self, plan: MemoryPlan, log: EventLog, metrics: Metrics) -> None:
        self.plan = plan
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.used = dict.fromkeys(MemoryUse, 0)

    def take(self, use: MemoryUse, count: int) -> bool:
        """Take ``count`` bytes until :meth:`release`, or return ``False`` and take none."""
        with self.lock:
            allowed = self.plan.allows(use, count, self.used)
            if allowed:
                self.used[use] += count
        if not allowed:
            self.metrics.count("memory_refused")
            self.log.write(
                LogEvent.MEMORY_REFUSED,
                use=use.value,
                bytes=count,
                accounted_bytes=self.total,
                room_bytes=self.plan.room,
            )
        return allowed

    def add(self, use: MemoryUse, count: int) -> None:
        """Take ``count`` bytes that are held already, even if there are not enough."""
        with self.lock:
            self.used[use] += count

    def release(self, use: MemoryUse, count: int) -> None:
        """Return ``count`` bytes."""
        with self.lock:
            self.used[use] -= count

    def is_short(self) -> bool:
        """Return whether little is left, so that answers that nobody takes have to be given up."""
        return self.plan.is_short(self.used)

    @property
    def total(self) -> int:
        """The bytes of all uses together."""
        return sum(self.used.values())
