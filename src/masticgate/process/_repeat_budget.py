"""The budget for the parts of searches that a host repeats while their owner is silent.

The owner of a service is the host that queues its work. A repeat is sent to another host, while
the silent owner may be slow or paused rather than lost.
"""

from threading import Lock

EARNED_PER_PART = 0.005
"""What the budget earns for each part of a search that is sent to an owner, in parts.

Each part of a search is answered by one service.
"""

MAX_PARTS = 64.0
"""The largest budget in parts, enough for the searches in flight when one owner pauses."""


class RepeatBudget:
    """Limits the extra load of repeats, since many silent owners answer after all."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.parts = MAX_PARTS

    def earn(self, parts: int) -> None:
        """Add what ``parts`` parts of a search earn, when they are sent to an owner."""
        with self.lock:
            self.parts = min(MAX_PARTS, self.parts + parts * EARNED_PER_PART)

    def spend(self, parts: int) -> bool:
        """Spend the budget for ``parts`` repeated parts; return ``False`` if it is too small."""
        with self.lock:
            if self.parts < parts:
                return False
            self.parts -= parts
            return True
