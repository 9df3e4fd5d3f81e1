"""Responses that never end, and a server that sends them.

Tests use them to check that a client bounds the bytes and the time that it spends on a response.
"""

import socket
from contextlib import suppress
from dataclasses import dataclass
from threading import Event
from time import monotonic, sleep

from .loopback import StandInSearcher

MAX_SENT_BYTES = 64_000_000
MAX_SENDING_S = 10.0
"""The bytes and seconds after which a server stops by itself; a test that reaches them fails."""

BLOCK_BYTES = 16_384


@dataclass(frozen=True)
class EndlessResponse:
    """The bytes ``start``, followed by ``repeated`` again and again.

    ``block`` has several repetitions, about ``BLOCK_BYTES`` in all.
    """

    start: bytes
    repeated: bytes

    @property
    def block(self) -> bytes:
        return self.repeated * (BLOCK_BYTES // len(self.repeated))


RESPONSE_START = b"HTTP/1.1 200 OK\r\nx-id: q1\r\nx-stamp: s\r\n"
"""The start of the response to the request that the tests send."""

OTHER_RESPONSE_START = b"HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s\r\nContent-Length: "
"""The start of a response to another request."""

CHUNKED_HEAD = RESPONSE_START + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS_HEADS = {
    "empty_lines": EndlessResponse(b"", b"\r\n"),
    "status_line": EndlessResponse(b"HTTP/1.1 200 ", b"x"),
    "header_name": EndlessResponse(RESPONSE_START, b"x"),
    "header_value": EndlessResponse(RESPONSE_START + b"x-fill: ", b"x"),
    "headers": EndlessResponse(RESPONSE_START, b"x-fill: x\r\n"),
    "interim_responses": EndlessResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim_responses_with_headers": EndlessResponse(
        b"", b"HTTP/1.1 103 Hints\r\nx-fill: x\r\n\r\n"
    ),
}

ENDLESS_BODIES = {
    "body_with_length": EndlessResponse(
        RESPONSE_START + b"Content-Length: 1000000000000\r\n\r\n", b"x"
    ),
    "body_without_length": EndlessResponse(RESPONSE_START + b"\r\n", b"x"),
    "chunks": EndlessResponse(CHUNKED_HEAD, b"400\r\n" + b"x" * 1_024 + b"\r\n"),
    "tiny_chunks": EndlessResponse(CHUNKED_HEAD, b"1\r\nx\r\n"),
    "chunk_extension": EndlessResponse(CHUNKED_HEAD + b"1;", b"x"),
    "chunk_extensions": EndlessResponse(CHUNKED_HEAD, b"1;" + b"x" * 1_024 + b"\r\nx\r\n"),
    "trailer_value": EndlessResponse(CHUNKED_HEAD + b"0\r\nx-fill: ", b"x"),
    "trailers": EndlessResponse(CHUNKED_HEAD + b"0\r\n", b"x-fill: x\r\n"),
}

ENDLESS_SEQUENCES = {
    "empty_responses_to_others": EndlessResponse(b"", OTHER_RESPONSE_START + b"0\r\n\r\n"),
    "responses_to_others": EndlessResponse(
        b"", OTHER_RESPONSE_START + b"1000\r\n\r\n" + b"x" * 1_000
    ),
}
"""Endless sequences of complete responses to other requests."""

ENDLESS = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_SEQUENCES


class EndlessServer(StandInSearcher):
    """A server that sends ``response`` to the first request of each connection.

    It sends blocks without a pause, or single repetitions with a pause of ``pause_s``. It sets
    ``closed`` when the client closes the connection, and closes it itself only at
    ``MAX_SENT_BYTES`` or ``MAX_SENDING_S``.
    """

    def __init__(self, response: EndlessResponse, pause_s: float | None = None) -> None:
        self.response = response
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.closed = Event()
        super().__init__(lambda head: None)

    def stop(self) -> None:
        self.listener.close()

    def _serve(self, connection: socket.socket) -> None:
        with connection, suppress(OSError):
            if not connection.recv(65_536):
                return
            connection.settimeout(MAX_SENDING_S)
            try:
                self._send_endlessly(connection)
            except ConnectionError:
                self.closed.set()

    def _send_endlessly(self, connection: socket.socket) -> None:
        deadline = monotonic() + MAX_SENDING_S
        connection.sendall(self.response.start)
        data = self.response.block if self.pause_s is None else self.response.repeated
        while self.sent_bytes < MAX_SENT_BYTES and monotonic() < deadline:
            connection.sendall(data)
            self.sent_bytes += len(data)
            if self.pause_s is not None:
                sleep(self.pause_s)
