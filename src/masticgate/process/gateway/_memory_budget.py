"""The bytes that all connections of one gateway process hold, as one sum."""

from threading import Condition, Lock
from typing import Protocol

from ..._clock import MILLIS_PER_SECOND
from ..._ids import Millis
from ...connection.gateway import MemoryUse
from ._log import EventLog, LogEvent
from ._memory_plan import MemoryPlan
from ._metrics import Metrics

RELEASE_WAIT = Millis(100.0)
"""An answer waits this long for the memory of a connection that has to give way to it."""


class LargestHolders(Protocol):
    """Makes connections give way that hold more than others need; any task may call it."""

    def end_larger(self, held: int) -> bool:
        """End the connection that holds most, or return ``False`` if none has over ``held``."""
        ...

    def ending_bytes(self) -> int:
        """Return the bytes that connections which are about to end still hold."""
        ...


class ProcessMemory:
    """Counts the bytes of each use, and refuses those that ``plan`` does not allow.

    Before it refuses any, the connection that holds most of ``holders`` gives way. Any task may
    call it.
    """

    def __init__(self, plan: MemoryPlan, log: EventLog, metrics: Metrics) -> None:
        self.plan = plan
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.released = Condition(self.lock)
        self.waiting = 0
        self.holders: LargestHolders | None = None
        self.used = dict.fromkeys(MemoryUse, 0)

    def take(self, use: MemoryUse, count: int, held: int = 0) -> bool:
        """Take ``count`` bytes until :meth:`release`, or return ``False`` and take none.

        ``held`` is what the owner will hold then: one that holds more may have to give way.
        """
        with self.lock:
            allowed = self._take(use, count)
        allowed = allowed or self._take_from_larger(use, count, held)
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
            if self.waiting:
                self.released.notify_all()

    def is_short(self) -> bool:
        """Return whether little is left, so that answers that nobody takes have to be given up."""
        return self.plan.is_short(self.used)

    def _take(self, use: MemoryUse, count: int, ending: int = 0) -> bool:
        """Take bytes if the plan allows it; ``ending`` of those in use are about to be released."""
        allowed = self.plan.allows(use, count, self.used, ending)
        if allowed:
            self.used[use] += count
        return allowed

    def _take_from_larger(self, use: MemoryUse, count: int, held: int) -> bool:
        """Take bytes that the connections holding most are made to release.

        A request takes them at once, out of what is kept for answers. An answer waits for them.
        """
        if self.holders is None:
            return False
        while True:
            ending = self.holders.ending_bytes()
            with self.lock:
                if self._take(use, count, ending if use is MemoryUse.REQUESTS else 0):
                    return True
                shortage = self.plan.shortage(use, count, self.used)
            if shortage <= ending:
                return use is MemoryUse.ANSWERS and self._wait_for_release(use, count)
            if not self.holders.end_larger(held):
                return False

    def _wait_for_release(self, use: MemoryUse, count: int) -> bool:
        with self.released:
            self.waiting += 1
            try:
                return self.released.wait_for(
                    lambda: self._take(use, count), RELEASE_WAIT / MILLIS_PER_SECOND
                )
            finally:
                self.waiting -= 1

    @property
    def total(self) -> int:
        """The bytes of all uses together."""
        return sum(self.used.values())
