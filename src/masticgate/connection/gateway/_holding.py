"""Counts the bytes that connections hold for their requests and answers.

All connections of a process take them from one budget, so that they stay below the memory of the
host together.
"""

from enum import Enum
from threading import Lock
from typing import Protocol


class MemoryUse(Enum):
    """What the memory of a gateway is used for, beyond the memory of the idle process.

    ``CALLERS`` are the connections that the gateway accepted, each with its task and the ordinary
    part of a request and a reply, and ``SEARCHERS`` those that it opened. ``KERNEL`` is what the
    kernel keeps for both, which is no part of the resident memory: the stacks of their tasks and
    received bytes. ``REQUESTS`` are the heads and bodies of larger requests, and ``ANSWERS`` larger
    answers until their caller has taken them.
    """

    CALLERS = "callers"
    SEARCHERS = "searchers"
    KERNEL = "kernel"
    REQUESTS = "requests"
    ANSWERS = "answers"


class MemoryBudget(Protocol):
    """The bytes that the connections of a process may hold; any task may call it."""

    def take(self, use: MemoryUse, count: int, held: int = 0) -> bool:
        """Take ``count`` bytes until :meth:`release`, or return ``False`` and take none.

        ``held`` is what the owner will hold then: one that holds more may have to give way.
        """
        ...

    def add(self, use: MemoryUse, count: int) -> None:
        """Take ``count`` bytes that are held already, even if there are not enough."""
        ...

    def release(self, use: MemoryUse, count: int) -> None:
        """Return ``count`` bytes."""
        ...

    def is_short(self) -> bool:
        """Return whether little is left, so that answers that nobody takes have to be given up."""
        ...


class UnlimitedMemory:
    """A budget that refuses nothing and counts nothing."""

    def take(self, use: MemoryUse, count: int, held: int = 0) -> bool:
        """Return ``True``."""
        return True

    def add(self, use: MemoryUse, count: int) -> None:
        """Do nothing."""

    def release(self, use: MemoryUse, count: int) -> None:
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

    def __init__(self, budget: MemoryBudget, use: MemoryUse, allowance: int) -> None:
        self.budget = budget
        self.use = use
        self.allowance = allowance
        self.lock = Lock()
        self.size = 0
        self.closed = False

    def grow(self, count: int) -> bool:
        """Hold ``count`` more bytes, or return ``False`` if the budget does not have them."""
        with self.lock:
            size = self.size + count
            if (
                size > self.allowance
                and not self.closed
                and not self.budget.take(self.use, self._excess(size), size)
            ):
                return False
            self.size = size
            return True

    def add(self, count: int) -> None:
        """Hold ``count`` more bytes, which exist already, even if the budget is exceeded."""
        with self.lock:
            size = self.size + count
            if size > self.allowance and not self.closed:
                self.budget.add(self.use, self._excess(size))
            self.size = size

    def shrink(self, count: int) -> None:
        """Hold ``count`` bytes less."""
        with self.lock:
            before, self.size = self.size, self.size - count
            if before > self.allowance and not self.closed:
                self.budget.release(self.use, before - max(self.size, self.allowance))

    def close(self) -> None:
        """Return all bytes; later calls take none."""
        with self.lock:
            if self.size > self.allowance and not self.closed:
                self.budget.release(self.use, self.size - self.allowance)
            self.closed = True

    @property
    def held(self) -> int:
        """The bytes that are held, or 0 after :meth:`close`."""
        return 0 if self.closed else self.size

    def _excess(self, size: int) -> int:
        """Return how much more has to be taken for ``size`` bytes, which exceed the allowance."""
        return size - max(self.size, self.allowance)
