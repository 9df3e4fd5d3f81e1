"""What stays in force for a while although the platform no longer lists it."""

from collections.abc import Hashable
from typing import Generic, TypeVar

from ..._ids import Millis

Key = TypeVar("Key", bound=Hashable)


class Holds(Generic[Key]):
    """Maps what is held to the time until which it is; only one task uses it."""

    def __init__(self) -> None:
        self.until: dict[Key, Millis] = {}

    def hold(self, key: Key, until: Millis) -> None:
        """Hold ``key`` until a time."""
        self.until[key] = until

    def release(self, key: Key) -> None:
        """Hold ``key`` no longer, since it is listed again or removed."""
        self.until.pop(key, None)

    def extend(self, outage: Millis) -> None:
        """Hold everything longer by a time in which nothing could be listed again."""
        self.until = {key: Millis(until + outage) for key, until in self.until.items()}

    def take_overdue(self, now: Millis) -> list[Key]:
        """Return what was held until now, and hold it no longer."""
        overdue = [key for key, until in self.until.items() if now >= until]
        for key in overdue:
            del self.until[key]
        return overdue
