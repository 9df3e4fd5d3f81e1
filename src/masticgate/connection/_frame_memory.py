"""The memory for frames that links between hosts have received in part or are decoding."""

from threading import Lock
from typing import Protocol

MAX_HELD_BYTES = 12_000_000
"""The bytes that all links together may hold: three of the largest frames."""

FREE_BYTES = 65_536
"""A link that holds no more than this is not counted; ordinary messages are smaller."""


class FrameHolder(Protocol):
    """A link that can be made to give up what it holds."""

    def drop(self) -> None:
        """Drop what has been received of a frame, and close the link."""
        ...


class FrameMemory:
    """Counts what the links hold, and closes the one that holds most if all hold too much.

    Any task may call it.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self.max_bytes = max_bytes
        self.lock = Lock()
        self.held: dict[FrameHolder, int] = {}

    def hold(self, link: FrameHolder, size: int) -> bool:
        """Record that ``link`` holds ``size`` bytes; return ``False`` if it is closed for that."""
        if size <= FREE_BYTES:
            return True
        with self.lock:
            self.held[link] = size
            if sum(self.held.values()) <= self.max_bytes:
                return True
            # It holds at least as much as this link has grown by, so that one is enough.
            largest = max(self.held, key=self.held.__getitem__)
            del self.held[largest]
        largest.drop()
        return largest is not link

    def release(self, link: FrameHolder) -> None:
        """Record that ``link`` holds nothing any more."""
        with self.lock:
            self.held.pop(link, None)
