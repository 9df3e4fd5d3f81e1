"""Sends one request to a searcher, as far as its connection accepts it without waiting."""

from threading import Lock

from ._client import HttpClient

LONG_REQUEST_BYTES = 16_384
"""A searcher may reject a request of more bytes before it has read it."""


class RequestSending:
    """A request of which a part may not be sent yet.

    A searcher may read a long request slowly, or answer before it has read it. No task waits for
    that: the task that waits for the answer also sends the rest, whenever the connection accepts
    more. The lock makes :attr:`is_complete` wait while another task passes bytes to the kernel,
    which takes no time that depends on the searcher.
    """

    def __init__(self, client: HttpClient, blocks: tuple[bytes, ...]) -> None:
        self.client = client
        self.unsent = [memoryview(block) for block in blocks]
        self.size = sum(map(len, blocks))
        self.lock = Lock()

    @property
    def is_complete(self) -> bool:
        """Return whether the connection has accepted all of the request; any task may call this."""
        with self.lock:
            return not self.unsent

    def was_read(self, *, is_success: bool) -> bool:
        """Return whether the searcher that has just answered the request has read all of it.

        The kernel tells how much the searcher's host has received, which is more than the searcher
        has read. So a long request that it did not serve counts as not read.
        """
        if self.size <= LONG_REQUEST_BYTES:
            return self.is_complete
        return is_success and self.is_complete and self.client.is_acknowledged()

    def advance(self) -> bool:
        """Send what the connection accepts; return whether it has to be called again.

        If the connection has failed, it is shut down, so that the task that reads notices.
        """
        with self.lock:
            try:
                while self.unsent and self.client.socket is not None:
                    sent = self.client.send_nowait(self.unsent[0])
                    self.unsent[0] = self.unsent[0][sent:]
                    if not self.unsent[0]:
                        del self.unsent[0]
            except BlockingIOError:
                return True
            except OSError:
                self.client.abort()
        return False

    def fileno(self) -> int:
        """Return the descriptor of the connection, or -1 if it is closed."""
        return self.client.fileno()

    def abort(self) -> None:
        """End the connection, since the rest will not be sent; any task may call this."""
        self.client.abort()
