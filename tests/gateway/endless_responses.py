"""Servers whose answers do not end, and the answers."""

import socket
from contextlib import suppress
from dataclasses import dataclass
from threading import Event
from time import monotonic, sleep

from .loopback import StandInSearcher

MAX_SENT_BYTES = 64_000_000
MAX_SENDING_S = 10.0
"""A server stops by itself after so many bytes and seconds, which a test takes as a failure."""

BLOCK_BYTES = 16_384


@dataclass(frozen=True)
class EndlessResponse:
    """The bytes ``opening``, and then ``unit`` without end."""

    start: bytes
    repeated: bytes

    @property
    def block(self) -> bytes:
        return self.repeated * (BLOCK_BYTES // len(self.repeated))


RESPONSE_START = b"HTTP/1.1 200 OK\r\nx-id: q1\r\nx-stamp: s\r\n"
OTHER_RESPONSE_START = b"HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s\r\nContent-Length: "
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

ENDLESS = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_SEQUENCES


class EndlessServer(StandInSearcher):
    """Answers one request of each connection with ``flow``, in blocks or a unit at a time.

    It notes when the other side closed, and closes itself only at its bounds.
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
