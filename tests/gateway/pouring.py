"""Servers whose answers do not end, and the answers."""

import socket
from contextlib import suppress
from dataclasses import dataclass
from threading import Event
from time import monotonic, sleep

from .loopback import StandInSearcher

POURED_BYTES = 64_000_000
POURED_S = 10.0
"""A server stops by itself after so many bytes and seconds, which a test takes as a failure."""

BLOCK_BYTES = 16_384


@dataclass(frozen=True)
class Flow:
    """The bytes ``opening``, and then ``unit`` without end."""

    opening: bytes
    unit: bytes

    @property
    def block(self) -> bytes:
        return self.unit * (BLOCK_BYTES // len(self.unit))


OWN = b"HTTP/1.1 200 OK\r\nx-id: q1\r\nx-stamp: s\r\n"
OTHERS = b"HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s\r\nContent-Length: "
CHUNKED = OWN + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS_HEADS = {
    "empty_lines": Flow(b"", b"\r\n"),
    "status_line": Flow(b"HTTP/1.1 200 ", b"x"),
    "header_name": Flow(OWN, b"x"),
    "header_value": Flow(OWN + b"x-fill: ", b"x"),
    "headers": Flow(OWN, b"x-fill: x\r\n"),
    "interim_answers": Flow(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim_answers_with_headers": Flow(b"", b"HTTP/1.1 103 Hints\r\nx-fill: x\r\n\r\n"),
}

ENDLESS_BODIES = {
    "body_with_length": Flow(OWN + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
    "body_without_length": Flow(OWN + b"\r\n", b"x"),
    "chunks": Flow(CHUNKED, b"400\r\n" + b"x" * 1_024 + b"\r\n"),
    "tiny_chunks": Flow(CHUNKED, b"1\r\nx\r\n"),
    "chunk_extension": Flow(CHUNKED + b"1;", b"x"),
    "chunk_extensions": Flow(CHUNKED, b"1;" + b"x" * 1_024 + b"\r\nx\r\n"),
    "trailer_value": Flow(CHUNKED + b"0\r\nx-fill: ", b"x"),
    "trailers": Flow(CHUNKED + b"0\r\n", b"x-fill: x\r\n"),
}

ENDLESS_ANSWERS = {
    "empty_answers_to_others": Flow(b"", OTHERS + b"0\r\n\r\n"),
    "answers_to_others": Flow(b"", OTHERS + b"1000\r\n\r\n" + b"x" * 1_000),
}

ENDLESS = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_ANSWERS


class PouringServer(StandInSearcher):
    """Answers one request of each connection with ``flow``, in blocks or a unit at a time.

    It notes when the other side closed, and closes itself only at its bounds.
    """

    def __init__(self, flow: Flow, pause_s: float | None = None) -> None:
        self.flow = flow
        self.pause_s = pause_s
        self.written = 0
        self.closed = Event()
        super().__init__(lambda head: None)

    def stop(self) -> None:
        self.listener.close()

    def _serve(self, connection: socket.socket) -> None:
        with connection, suppress(OSError):
            if not connection.recv(65_536):
                return
            connection.settimeout(POURED_S)
            try:
                self._pour(connection)
            except ConnectionError:
                self.closed.set()

    def _pour(self, connection: socket.socket) -> None:
        ends = monotonic() + POURED_S
        connection.sendall(self.flow.opening)
        data = self.flow.block if self.pause_s is None else self.flow.unit
        while self.written < POURED_BYTES and monotonic() < ends:
            connection.sendall(data)
            self.written += len(data)
            if self.pause_s is not None:
                sleep(self.pause_s)
