"""What an entry host may ask of a second owner while the first is only silent."""

from threading import Lock

EARNED_PER_PART = 0.005
"""Earned by each part of a search that is asked of an owner."""

MAX_PARTS = 64.0
"""Enough for the searches in flight when one owner pauses."""


class RepeatBudget:
    """Bounds the extra load of leaving silent owners, many of which answer after all."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.parts = MAX_PARTS

    def earn(self, parts: int) -> None:
        """Count parts asked for the first time."""
        with self.lock:
            self.parts = min(MAX_PARTS, self.parts + parts * EARNED_PER_PART)

    def spend(self, parts: int) -> bool:
        """Take ``parts``; return ``False`` where the budget does not cover them."""
        with self.lock:
            if self.parts < parts:
                return False
            self.parts -= parts
            return True
