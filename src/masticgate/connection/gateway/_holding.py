"""Counts the bytes that connections hold for their requests and answers.

All connections of a process take them from one budget, so that they stay below the memory of the
host together.
"""

from enum import Enum
from threading import Lock
from typing import Protocol


class Use(Enum):
    """What the memory of a gateway is used for, beyond the memory of the idle process.

    ``CALLERS`` are the connections that the gateway accepted, each with its task and the ordinary
    part of a request and a reply, and ``SEARCHERS`` those that it opened. ``SOCKETS`` are the
    kernel's buffers of both, which are no part of the resident memory. ``REQUESTS`` are the heads
    and bodies of larger requests, and ``ANSWERS`` larger answers until their caller has taken them.
    """

    CALLERS = "callers"
    SEARCHERS = "searchers"
    SOCKETS = "sockets"
    REQUESTS = "requests"
    ANSWERS = "answers"


class MemoryBudget(Protocol):
    """The bytes that the connections of a process may hold; any task may call it."""

    def take(self, use: Use, count: int) -> bool:
        """Take ``count`` bytes until :meth:`release`, or return ``False`` and take none."""
        ...

    def add(self, use: Use, count: int) -> None:
        """Take ``count`` bytes that are held already, even if there are not enough."""
        ...

    def release(self, use: Use, count: int) -> None:
        """Return ``count`` bytes."""
        ...

    def is_short(self) -> bool:
        """Return whether little is left, so that answers that nobody takes have to be given up."""
        ...


class UnlimitedMemory:
    """A budget that refuses nothing and counts nothing."""

    def take(self, use: Use, count: int) -> bool:
        """Return ``True``."""
        return True

    def add(self, use: Use, count: int) -> None:
        """Do nothing."""

    def release(self, use: Use, count: int) -> None:
        """Do nothing."""

    def is_short(self) -> bool:
        """Return ``False``."""
        return False


UNLIMITED_MEMORY = UnlimitedMemory()


class Holding:
    """The bytes that one owner holds for one use, until :meth:`close`; any task may call it.

    The first ``allowance`` bytes are not taken from the budget. After :meth:`close`, nothing is
    taken any more.
    """

    __slots__ = ("allowance", "budget", "closed", "lock", "size", "use")

    def __init__(self, budget: MemoryBudget, use: Use, allowance: int) -> None:
        self.budget = budget
        self.use = use
        self.allowance = allowance
        self.lock = Lock()
        self.size = 0
        self.closed = False

    @property
    def taken(self) -> int:
        """The number of bytes that are taken from the budget."""
        return max(0, self.size - self.allowance)

    def grow(self, count: int) -> bool:
        """Hold ``count`` more bytes, or return ``False`` if the budget does not have them."""
        with self.lock:
            excess = max(0, self.size + count - self.allowance) - self.taken
            if excess and not self.closed and not self.budget.take(self.use, excess):
                return False
            self._change(count)
            return True

    def add(self, count: int) -> None:
        """Hold ``count`` more bytes, which exist already, even if the budget is exceeded."""
        with self.lock:
            excess = max(0, self.size + count - self.allowance) - self.taken
            if excess and not self.closed:
                self.budget.add(self.use, excess)
            self._change(count)

    def shrink(self, count: int) -> None:
        """Hold ``count`` bytes less."""
        with self.lock:
            before = self.taken
            self._change(-count)
            if before != self.taken:
                self.budget.release(self.use, before - self.taken)

    def close(self) -> None:
        """Return all bytes; later calls take none."""
        with self.lock:
            taken = self.taken
            self.closed, self.size = True, 0
            if taken:
                self.budget.release(self.use, taken)

    def _change(self, count: int) -> None:
        if not self.closed:
            self.size += count
