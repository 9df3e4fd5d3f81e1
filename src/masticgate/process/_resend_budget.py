"""The budget for sending parts of searches to another owner while their first owner is silent.

The owner of a service is the host that queues its work. It is silent if it has no link, or has left
a heartbeat unanswered for too long; it may be slow or paused rather than lost.
"""

from threading import Lock

RESENDS_PER_PART = 0.005
"""What the budget earns for each part of a search that is sent to an owner, in parts.

Each part of a search is answered by one service.
"""

MAX_RESENDS = 64.0
"""The largest budget in parts, enough for the searches in flight when one owner pauses."""


class ResendBudget:
    """Limits the extra load of parts that are sent again, since many silent owners do answer."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.resends = MAX_RESENDS

    def earn(self, parts: int) -> None:
        """Add what ``parts`` parts of a search earn, when they are sent to an owner."""
        with self.lock:
            self.resends = min(MAX_RESENDS, self.resends + parts * RESENDS_PER_PART)

    def spend(self, parts: int) -> bool:
        """Spend the budget for ``parts`` repeated parts; return ``False`` if it is too small."""
        with self.lock:
            if self.resends < parts:
                return False
            self.resends -= parts
            return True
