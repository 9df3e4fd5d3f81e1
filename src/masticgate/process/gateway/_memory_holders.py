"""Finds the connection that holds most memory, over all listeners, and makes it give way."""

from collections.abc import Sequence

from ...connection.gateway import Listener, choose_largest
from ._log import EventLog, LogEvent
from ._metrics import Metrics


class MemoryHolders:
    """The connections of all ``listeners``, by what they hold; any task may call it."""

    def __init__(self, listeners: Sequence[Listener], log: EventLog, metrics: Metrics) -> None:
        self.listeners = listeners
        self.log = log
        self.metrics = metrics

    def end_larger(self, held: int) -> bool:
        """End the connection that holds most, or return ``False`` if none has over ``held``."""
        occupants = [o for listener in self.listeners for o in listener.describe_connections()]
        largest = choose_largest(occupants, held)
        if largest is None:
            return False
        occupant, closing = largest
        occupant.connection.end(closing)
        self.metrics.count("memory_yielded")
        self.log.write(
            LogEvent.MEMORY_YIELDED,
            state=occupant.state.value,
            bytes=occupant.held_bytes,
            lasting_ms=round(occupant.lasting),
        )
        return True

    def ending_bytes(self) -> int:
        """Return the bytes that connections which are about to end still hold."""
        return sum(listener.sum_ending_bytes() for listener in self.listeners)
