"""The lock of a service pool, which delivers results once it is released."""

from threading import Lock

from ._work import QueueEntry, Result


class DeliveryLock:
    """A context manager that holds ``lock``, and delivers what was settled after its release."""

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
