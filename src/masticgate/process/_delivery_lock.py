"""The lock of a service pool, which delivers results once it is released."""

from threading import Lock

from ._work import Entry, Result


class DeliveryLock:
    """A context manager that holds ``lock``, and delivers what was settled after its release."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.settled: list[tuple[Entry, Result]] = []

    def __enter__(self) -> None:
        self.lock.acquire()

    def __exit__(self, *_: object) -> None:
        settled, self.settled = self.settled, []
        self.lock.release()
        for entry, result in settled:
            entry.deliver(result)
