"""Reads the requests of one caller of an entry host, and bounds the size of their heads."""

from http.client import LineTooLong
from io import BufferedIOBase

MAX_HEAD_BYTES = 65_536
"""The maximum size of the header lines of a request; that of its first line is the same."""


class IncompleteRequestError(ConnectionError):
    """The connection ended within a request."""


class RequestReader:
    """The part of a file's interface by which ``http.server`` reads requests from ``stream``.

    The connection may end only between two requests: ``http.server`` takes the end of the input
    for that of the head, and would serve a request whose head is incomplete.
    """

    def __init__(self, stream: BufferedIOBase) -> None:
        self.stream = stream
        self.line_count = 0
        self.head_bytes = 0

    def start_request(self) -> None:
        """Begin the head of the next request."""
        self.line_count = 0
        self.head_bytes = 0

    def readline(self, limit: int) -> bytes:
        """Return the next line of a head, or ``limit`` bytes of a longer one.

        :raises IncompleteRequestError: the connection ended within the head.
        :raises LineTooLong: the head is larger than ``MAX_HEAD_BYTES``.
        """
        line = self.stream.readline(limit)
        is_first = self.line_count == 0
        if not line.endswith(b"\n") and len(line) < limit and (line or not is_first):
            raise IncompleteRequestError("the connection ended within the head of a request")
        self.line_count += 1
        if not is_first:
            self.head_bytes += len(line)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise LineTooLong("head")
        return line

    def read(self, size: int) -> bytes:
        """Return the next ``size`` bytes of a body, or fewer if the connection ends before."""
        return self.stream.read(size)

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()
