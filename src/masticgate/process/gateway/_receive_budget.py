"""The bound on the bytes of unfinished answers that one gateway process holds."""

from threading import Lock

MAX_PENDING_BYTES = 24_000_000
"""The most bytes of unfinished answers, beyond the ordinary size of each, of all connections."""


class ReceiveBudget:
    """Counts the bytes of unfinished answers; the tasks of all connections use it."""

    def __init__(self, limit: int = MAX_PENDING_BYTES) -> None:
        self.limit = limit
        self.lock = Lock()
        self.used = 0

    def take(self, count: int) -> bool:
        """Take ``count`` bytes until :meth:`release`, or return ``False`` if there are not enough.

        A part is never taken.
        """
        with self.lock:
            if self.used + count > self.limit:
                return False
            self.used += count
            return True

    def release(self, count: int) -> None:
        """Return ``count`` bytes."""
        with self.lock:
            self.used -= count
