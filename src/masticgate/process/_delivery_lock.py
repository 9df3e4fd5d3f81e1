"""The lock of a service pool, which delivers results after it is released.

Delivering a result may send it to another host, which would hold up all users of the pool if the
lock were held meanwhile.
"""

from threading import Lock

from ._work import QueueEntry, Result


class DeliveryLock:
    """A context manager that holds ``lock``, releases it and then delivers the settled results.

    Code that holds the lock appends each settled entry and its result to ``undelivered``.
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
