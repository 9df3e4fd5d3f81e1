"""Bursts of callers that send or hold as much as the configuration allows.

A burst runs in a process of its own, ``python -m tests.gateway.soak_bursts``, so that it does not
take the processor from the stand-ins of a soak run.
"""

import json
import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from .heads import head_value

MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
SEND_BUFFER_BYTES = 65_536
CHUNK_BYTES = 16_000
OPENED_AT_ONCE = 50
OPEN_INTERVAL_S = 0.02
"""The callers of a burst open this many connections at a time, so that none is dropped."""

BODY = memoryview(bytes(MAX_BODY_BYTES))


class BurstKind(Enum):
    """What each caller of a burst does.

    ``UNFINISHED_BODIES`` and ``UNFINISHED_CHUNKS`` lack the last byte, and ``UNFINISHED_HEADS`` the
    last line. ``WHOLE_BODIES`` and ``WHOLE_CHUNKS`` go to a slow searcher. ``UNREAD_ANSWERS`` asks
    for large answers and reads none.
    """

    UNFINISHED_BODIES = "unfinished_bodies"
    UNFINISHED_CHUNKS = "unfinished_chunks"
    UNFINISHED_HEADS = "unfinished_heads"
    WHOLE_BODIES = "whole_bodies"
    WHOLE_CHUNKS = "whole_chunks"
    UNREAD_ANSWERS = "unread_answers"

    @property
    def is_whole(self) -> bool:
        return self in (BurstKind.WHOLE_BODIES, BurstKind.WHOLE_CHUNKS)


def request_parts(kind: BurstKind, host: str, request: str) -> list[memoryview]:
    """Return the bytes that a caller of a burst sends for one request."""
    method = "GET" if kind is BurstKind.UNREAD_ANSWERS else "POST"
    head = (
        f"{method} /{'large' if method == 'GET' else 'slow'}/x HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Masticgate-Request-Id: {request}\r\nX-Masticgate-Deadline-Ms: 8000\r\n"
    ).encode()
    length = b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    match kind:
        case BurstKind.UNFINISHED_BODIES:
            return [memoryview(head + length), BODY[:-1]]
        case BurstKind.WHOLE_BODIES:
            return [memoryview(head + length), BODY]
        case BurstKind.UNFINISHED_CHUNKS:
            return [memoryview(head + chunked), *chunks(), memoryview(b"0\r\n\r")]
        case BurstKind.WHOLE_CHUNKS:
            return [memoryview(head + chunked), *chunks(), memoryview(b"0\r\n\r\n")]
        case BurstKind.UNFINISHED_HEADS:
            filler = b"x" * (MAX_HEADER_BYTES - len(head) - 100)
            return [memoryview(head + b"X-Filler: " + filler)]
        case BurstKind.UNREAD_ANSWERS:
            return [memoryview(head + b"\r\n")]


def chunks() -> Iterator[memoryview]:
    """Return a body of the maximum size in chunks, without the last one, which is empty."""
    for at in range(0, MAX_BODY_BYTES, CHUNK_BYTES):
        chunk = BODY[at : at + CHUNK_BYTES]
        yield from (memoryview(b"%x\r\n" % len(chunk)), chunk, memoryview(b"\r\n"))


@dataclass
class BurstReply:
    """One reply to a request of a burst."""

    request: str
    head: bytes
    body: bytes

    @property
    def status(self) -> int:
        return int(self.head.split(b" ")[1])


@dataclass(eq=False)
class BurstCaller:
    """One connection of a burst; it sends the same request again after each whole reply."""

    name: str
    kind: BurstKind
    host: str
    socket: socket.socket
    count: int = 0
    pending: list[memoryview] = field(default_factory=list)
    received: bytes = b""

    def begin_request(self) -> None:
        self.count += 1
        self.pending = request_parts(self.kind, self.host, self.request)

    @property
    def request(self) -> str:
        return f"{self.name}-{self.count}"

    def send(self) -> None:
        """Send what the connection takes now."""
        while self.pending:
            sent = self.socket.send(self.pending[0])
            self.pending[0] = self.pending[0][sent:]
            if not self.pending[0]:
                self.pending.pop(0)

    def receive(self) -> BurstReply | None:
        """Return the next reply if it is whole.

        :raises ConnectionError: the gateway closed the connection.
        """
        data = self.socket.recv(65_536)
        if not data:
            raise ConnectionError
        self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        length = int(head_value(head, b"content-length") or 0)
        if not separator or len(body) < length:
            return None
        self.received = body[length:]
        return BurstReply(self.request, head, body[:length])


@dataclass
class Burst:
    """``count`` callers of one kind at one address.

    ``replies`` has the whole replies that they read, and ``closed_count`` counts the connections
    that the gateway closed or refused.
    """

    name: str
    kind: BurstKind
    host: str
    address: tuple[str, int]
    count: int
    replies: list[BurstReply] = field(default_factory=list)
    closed_count: int = 0
    unread_sockets: list[socket.socket] = field(default_factory=list)

    def __str__(self) -> str:
        port, closed = self.address[1], self.closed_count
        return f"{self.name}, {self.count} of {self.kind.value} at {port}, {closed} closed"

    def run(self, seconds: float) -> None:
        """Run the burst in another process for some seconds, and take over what it reports."""
        ip, port = self.address
        arguments = [self.name, self.kind.value, self.host, ip, port, self.count, seconds]
        result = subprocess.run(
            [sys.executable, "-m", __name__, *map(str, arguments)],
            cwd=Path(__file__).resolve().parents[2],
            stdout=subprocess.PIPE,
            check=True,
        )
        report = json.loads(result.stdout)
        self.closed_count = report["closed_count"]
        self.replies = [
            BurstReply(request, head.encode("latin-1"), body.encode("latin-1"))
            for request, head, body in report["replies"]
        ]

    def run_here(self, seconds: float) -> None:
        """Open the connections, use them for some seconds and close them."""
        deadline = time.monotonic() + seconds
        with selectors.DefaultSelector() as selector:
            opened = 0
            while (left := deadline - time.monotonic()) > 0:
                for number in range(opened, min(opened + OPENED_AT_ONCE, self.count)):
                    self._open(selector, number)
                    opened += 1
                for key, events in selector.select(min(left, OPEN_INTERVAL_S)):
                    self._use(selector, key.data, events)
            for connection in [*(key.fileobj for key in selector.get_map().values())]:
                connection.close()
        for connection in self.unread_sockets:
            connection.close()

    def _open(self, selector: selectors.BaseSelector, number: int) -> None:
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.connect_ex(self.address)
        caller = BurstCaller(f"{self.name}-{number}", self.kind, self.host, connection)
        caller.begin_request()
        reads = 0 if self.kind is BurstKind.UNREAD_ANSWERS else selectors.EVENT_READ
        selector.register(connection, reads | selectors.EVENT_WRITE, caller)

    def _use(self, selector: selectors.BaseSelector, caller: BurstCaller, events: int) -> None:
        """Send or receive what a connection is ready for, and close it once it has ended."""
        ended = False
        try:
            if events & selectors.EVENT_READ and (reply := caller.receive()) is not None:
                self.replies.append(reply)
                ended = not self._may_repeat(caller, reply)
                caller.begin_request()
            if not ended and events & selectors.EVENT_WRITE:
                caller.send()
        except BlockingIOError:
            pass
        except OSError:
            self.closed_count += 1
            ended = True
        if ended:
            selector.unregister(caller.socket)
            caller.socket.close()
            return
        if self.kind is BurstKind.UNREAD_ANSWERS and not caller.pending:
            selector.unregister(caller.socket)
            self.unread_sockets.append(caller.socket)
            return
        reads = 0 if self.kind is BurstKind.UNREAD_ANSWERS else selectors.EVENT_READ
        writes = selectors.EVENT_WRITE if caller.pending else 0
        selector.modify(caller.socket, reads | writes, caller)

    def _may_repeat(self, caller: BurstCaller, reply: BurstReply) -> bool:
        """Return whether the connection takes another request after this reply."""
        is_closing = head_value(reply.head, b"connection").lower() == b"close"
        return self.kind.is_whole and not caller.pending and not is_closing


def main() -> None:
    """Run the burst that the arguments describe, and print its replies as JSON."""
    name, kind, host, ip, port, count, seconds = sys.argv[1:]
    burst = Burst(name, BurstKind(kind), host, (ip, int(port)), int(count))
    burst.run_here(float(seconds))
    replies = [
        (reply.request, reply.head.decode("latin-1"), reply.body.decode("latin-1"))
        for reply in burst.replies
    ]
    print(json.dumps({"closed_count": burst.closed_count, "replies": replies}))


if __name__ == "__main__":
    main()
