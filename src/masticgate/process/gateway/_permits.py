"""Bounds the queries that a gateway gathers although gatherers should do so."""

from threading import BoundedSemaphore

from ._metrics import Metrics

MAX_OWN_GATHERINGS = 3
"""The number of queries that a gateway gathers at the same time although it is no gatherer.

Each needs connections to many shards, so that more would take hundreds of tasks on every host.
"""


class NoPermits:
    """Allows no query to be gathered here, while the gateway knows no searchers."""

    def acquire(self) -> bool:
        """Return ``False``."""
        return False

    def release(self) -> None:
        """Do nothing, as no permit is ever taken."""

    def record_part(self, *, again: bool) -> None:
        """Do nothing, as no part is gathered here."""


class OwnGatherings:
    """The permits for such queries; several tasks use them."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.semaphore = BoundedSemaphore(MAX_OWN_GATHERINGS)

    def acquire(self) -> bool:
        """Take a permit for one query, until :meth:`release`; return ``False`` if there is none."""
        return self.semaphore.acquire(blocking=False)

    def release(self) -> None:
        """Return one permit."""
        self.semaphore.release()

    def record_part(self, *, again: bool) -> None:
        """Count a part that is gathered here, ``again`` if its gatherer was lost on the way."""
        if again:
            self.metrics.count("gathered_again")
        else:
            self.metrics.count("gathered_without_peer")
