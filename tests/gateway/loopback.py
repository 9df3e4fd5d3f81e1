"""A whole gateway on loopback, with searchers whose answers the test determines."""

import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from enum import Enum
from threading import Event

from masticgate import Address, Revision
from masticgate.process.gateway import Changes, Contents, PublishedConfiguration, SearcherListed
from masticgate.process.gateway._gateway import Gateway

from .fakes import HEADER_NAMES, make_entry, make_settings, make_table
from .heads import head_value

AnswerFunction = Callable[[bytes], bytes | None]
"""Returns the bytes to send for a request, or ``None`` to close the connection."""

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""The value of ``SO_LINGER`` with which closing a socket resets its connection."""


class ConnectionEnd(Enum):
    """What a searcher does with its connection after an answer.

    It keeps it open, closes it normally, or resets it.
    """

    OPEN = "open"
    CLOSED_NORMALLY = "closed_normally"
    RESET = "reset"


def reply_to(head: bytes, body: bytes = b"ok", status: int = 200, extra: bytes = b"") -> bytes:
    """Return a response to the request with ``head``; it has the request's id and a stamp."""
    request_id = head_value(head, b"x-id")
    return b"HTTP/1.1 %d X\r\nx-id: %s\r\nx-stamp: s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        request_id,
        extra,
        len(body),
        body,
    )


class StandInSearcher:
    """A searcher that serves each connection in a thread, and records the requests.

    ``answer`` gets a request, head and body, and returns the bytes to send, or ``None`` to close
    the connection. ``requests`` has the requests received, in the same form; the subclasses that
    replace ``_serve`` leave it empty.
    """

    def __init__(self, answer: AnswerFunction) -> None:
        self.answer = answer
        self.requests: list[bytes] = []
        self.closes_after_answer = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(f"127.0.0.1:{self.listener.getsockname()[1]}")
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while head := self._read(connection):
                self.requests.append(head)
                data = self.answer(head)
                if data is None:
                    return
                with suppress(OSError):
                    connection.sendall(data)
                if self.closes_after_answer:
                    return

    def _read(self, connection: socket.socket) -> bytes:
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                chunk = connection.recv(65536)
                if not chunk:
                    return b""
                data += chunk
            head, _, body = data.partition(b"\r\n\r\n")
            length = int(head_value(head, b"content-length") or 0)
            while len(body) < length:
                chunk = connection.recv(65536)
                if not chunk:
                    return b""
                body += chunk
        except OSError:
            return b""
        return head + b"\r\n\r\n" + body


class RepeatingSearcher(StandInSearcher):
    """A searcher that sends each answer a second time, right before the next one."""

    def _serve(self, connection: socket.socket) -> None:
        before = b""
        with connection:
            while head := self._read(connection):
                answer = self.answer(head) or b""
                with suppress(OSError):
                    connection.sendall(before + answer)
                before = answer


class BreakingSearcher(StandInSearcher):
    """A searcher that ends the connection before the end of every second answer.

    The number of bytes that it sends before that varies. ``resets`` says whether it resets the
    connection instead of closing it normally.
    """

    def __init__(self, answer: AnswerFunction, *, resets: bool) -> None:
        self.resets = resets
        self.request_count = 0
        self.broken_count = 0
        super().__init__(answer)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while head := self._read(connection):
                answer = self.answer(head) or b""
                self.request_count += 1
                if self.request_count % 2:
                    connection.sendall(answer)
                    continue
                self.broken_count += 1
                connection.sendall(answer[: self.broken_count * 7 % len(answer)])
                if self.resets:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                return


class HangingSearcher(StandInSearcher):
    """A searcher that never answers.

    ``request_received`` is set when it has received a request, and ``connection_closed`` when the
    gateway has then closed the connection, or after 5 s.
    """

    def __init__(self) -> None:
        self.request_received = Event()
        self.connection_closed = Event()
        super().__init__(lambda head: None)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            if not self._read(connection):
                return
            self.request_received.set()
            connection.settimeout(5)
            with suppress(OSError):
                connection.recv(1)
            self.connection_closed.set()


class FixedSource:
    """A catalogue source with one configuration and some searchers, which never change."""

    def __init__(self, table, entries) -> None:
        self.contents = Contents(
            (PublishedConfiguration(table), *(SearcherListed(entry) for entry in entries)),
            Revision(1),
        )

    def read_table(self):
        return self.contents.changes[0]

    def read(self):
        return self.contents

    def watch(self, after, wait):
        Event().wait(0.2)
        return Changes((), Revision(1))


@contextmanager
def running_gateway(
    routes,
    searchers: dict[str, list[StandInSearcher]],
    *,
    version: int = 1,
    make_source=FixedSource,
    **settings,
) -> Iterator[Gateway]:
    """Run a gateway in threads of this process, and yield it.

    ``searchers`` maps each service to its searchers, ``version`` is the version of the
    configuration, ``make_source`` makes the source of the catalogue from the configuration and the
    listings, and ``settings`` replaces fields of the gateway's settings.
    """
    entries = [
        replace(make_entry(f"{service}-{number}", service), address=searcher.address)
        for service, group in searchers.items()
        for number, searcher in enumerate(group)
    ]
    source = make_source(make_table(*routes, version=version), entries)
    gateway = Gateway(replace(make_settings(), **settings), HEADER_NAMES, source)
    gateway.log.descriptor = -1
    # The slack for repeats grows from zero over the first 10 s, the window of the repeat budgets.
    # Tests need all of it at once, so the gateway starts as if it had run for a whole window.
    gateway.fleet.budgets.started_at -= 10_000.0
    gateway.start()
    pause = Event()
    while gateway.follower.table is None and not pause.wait(0.01):
        pass
    pause.wait(0.1)
    try:
        yield gateway
    finally:
        gateway.stopping.set()
        gateway.ended.set()
        gateway.follower.stop()
        gateway.log.stop()
        for task in list(gateway.fleet.tasks):
            task.close()
        gateway.pool.close()
        for listener in gateway.listeners:
            listener.stop()
        for group in searchers.values():
            for searcher in group:
                searcher.listener.close()


class RawCaller:
    """A caller that writes and reads the bytes of its connection itself."""

    def __init__(self, gateway: Gateway) -> None:
        self.socket = socket.create_connection(gateway.callers.socket.getsockname(), timeout=10)
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def get(
        self,
        path: str = "/a/x",
        request_id: str = "q1",
        extra: bytes = b"",
        *,
        caller_timeout: int = 400,
    ) -> "RawCaller":
        """Send a GET request; ``extra`` is further header lines."""
        self.send(
            b"GET %s HTTP/1.1\r\nHost: host.example\r\nX-Id: %s\r\nX-Caller-Timeout: %d\r\n%s\r\n"
            % (path.encode(), request_id.encode(), caller_timeout, extra)
        )
        return self

    def read(self) -> tuple[int, bytes, bytes]:
        """Return status, head and body of the next reply; status 0 if the connection ends first.

        :raises ConnectionError: the connection ends within the body.
        """
        while b"\r\n\r\n" not in self.buffer:
            chunk = self.socket.recv(65536)
            if not chunk:
                return 0, b"", b""
            self.buffer += chunk
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        length = int(head_value(head, b"content-length") or 0)
        while len(rest) < length:
            chunk = self.socket.recv(65536)
            if not chunk:
                raise ConnectionError("the connection ended within a body")
            rest += chunk
        self.buffer = rest[length:]
        return int(head.split(b" ")[1]), head, rest[:length]

    def close(self) -> None:
        self.socket.close()
