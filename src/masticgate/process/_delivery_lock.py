"""The lock of a service pool, and the delivery of results after the lock is released.

A delivery may send the result to another host. If the lock were held during that time, all tasks
that use the pool would have to wait.
"""

from threading import Lock

from ._work import QueueEntry, Result


class DeliveryLock:
    """A context manager that holds ``lock``, and delivers results after it has released it.

    Code that holds the lock appends each settled queue entry and its result to ``undelivered``.
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.undelivered: list[tuple[QueueEntry, Result]] = []

    def __enter__(self) -> None:
        self.lock.acquire()

    def __exit__(self, *_: object) -> None:
        undelivered, self.undelivered = self.undelivered, []
        self.lock.release()
        for entry, result in undelivered:
            entry.deliver(result)
