"""The budget for resends.

A search has one part for each service. A resend sends a part to another owner if the one to which
it was last sent is silent. An owner is a host that queues the work of a service. It is silent if it
has no link, or has left a heartbeat unanswered for too long; it may be slow or paused rather than
lost.
"""

from threading import Lock

RESENDS_PER_PART = 0.005
"""The number of resends that the budget earns for each part that is sent to an owner."""

MAX_RESENDS = 64.0
"""The largest number of resends, enough for the searches in flight when one owner pauses."""


class ResendBudget:
    """Limits the extra load of resends; many silent owners do answer, so a part may run twice."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.resends = MAX_RESENDS

    def earn(self, parts: int) -> None:
        """Add what ``parts`` parts earn; a resent part or one whose send fails earns too."""
        with self.lock:
            self.resends = min(MAX_RESENDS, self.resends + parts * RESENDS_PER_PART)

    def spend(self, parts: int) -> bool:
        """Spend one resend for each of ``parts`` parts; return ``False`` if too few are left."""
        with self.lock:
            if self.resends < parts:
                return False
            self.resends -= parts
            return True
