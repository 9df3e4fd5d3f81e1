"""Crowds of clients that hold what a gateway gives them, and a gateway that serves long answers."""

import os
import select
import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from pathlib import Path
from threading import Event, Thread
from time import monotonic

from tests.gateway.heads import head_value
from tests.gateway.loopback import StandInSearcher

from .program import GatewayProgram
from .test_items import CONFIG, ENTRY
from .test_store import http, stored

CALLERS = 150
"""The connections of one crowd: the callers' port admits them all, the gateways' port most."""

MEMORY_MEGABYTES = 60
MEMORY_BYTES = MEMORY_MEGABYTES * 1_000_000
DESCRIPTORS = 1_500
LIMITS = f"""
[limits]
memoryMb = {MEMORY_MEGABYTES}
maxFds = {DESCRIPTORS}
"""
"""Of the memory, an idle gateway needs about 25 MB."""

SENDERS = 32
SEND_TIMEOUT_S = 30
REPLY_TIMEOUT_S = 60.0
"""Only a reply that never comes takes this long; a busy machine delays it by seconds."""

HEAD_BYTES = 16_384
BODY_BYTES = 1_048_576
"""The largest head and body that the configuration allows."""

REQUEST_TIMEOUT_MS = 30_000
"""So long that a busy machine has read the whole crowd before its first request times out."""

LISTINGS = 1_500
"""The searchers that the store lists, so that the catalogue at the gateways' port is long."""

LONG_ANSWER = bytes(1_000_000)
REQUEST_LINE = b"POST /z/ HTTP/1.1\r\n"
HOST_LINES = b"Host: a.example\r\nX-Masticgate-Request-Id: q\r\n"
ORDINARY = b"GET /z/ HTTP/1.1\r\n" + HOST_LINES + b"\r\n"
LONG = b"GET /long/ HTTP/1.1\r\n" + HOST_LINES + b"\r\n"
CATALOGUE = b"GET / HTTP/1.1\r\nHost: catalogue.gateway\r\n\r\n"

SETTLE_INTERVAL_S = 0.5
SETTLED_SHARE = 0.1
SETTLE_TIMEOUT_S = 15.0

SLOW_READ_BYTES = 512
SLOW_READ_PAUSE_S = 0.1
SLOW_RECEIVE_BUFFER = 4_096

MakeRequest = Callable[[int], bytes]
"""Returns the bytes that the client with a number sends."""


def answer_as_searcher(request: bytes) -> bytes:
    """Answer with 1 MB to a request for ``/long/``, and shortly to any other one."""
    body = LONG_ANSWER if request.startswith(b"GET /long/") else b"ok"
    request_id = head_value(request.partition(b"\r\n\r\n")[0], b"x-masticgate-request-id")
    return (
        b"HTTP/1.1 200 OK\r\nX-Masticgate-Request-Id: %s\r\nX-Masticgate-Server-Stamp: s\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (request_id, len(body), body)
    )


class ServingProgram(GatewayProgram):
    """A gateway program with one searcher; the store lists it, and many more that get nothing."""

    def __init__(self, folder: Path, memory_megabytes: int = MEMORY_MEGABYTES) -> None:
        super().__init__(folder)
        self.searcher = StandInSearcher(answer_as_searcher)
        self.store.answer = self._answer_as_store
        limits = LIMITS.replace(str(MEMORY_MEGABYTES), str(memory_megabytes), 1)
        self.write_settings(more=limits)

    def _answer_as_store(self, head: bytes) -> bytes:
        if b"kv-watch" in head.split(b" ")[1]:
            Event().wait(0.2)
            return http(200, {"events": [], "currentRev": 7})
        if b"op%2F" in head.split(b" ")[1] or b"op/" in head.split(b" ")[1]:
            items = [stored("op/config", self._configuration())]
        else:
            own = ENTRY | {"service": "s3", "address": self.searcher.address, "slots": 64}
            items = [stored("op/config", self._configuration()), stored("servers/i-1", own)]
            items += [
                stored(f"servers/other-{number}", ENTRY | {"service": "s9"})
                for number in range(LISTINGS)
            ]
        return http(200, {"items": items, "currentRev": 7})

    def _configuration(self) -> dict:
        routes = [
            {
                "name": prefix,
                "hostname": "a.example",
                "prefix": f"/{prefix}/",
                "type": "idempotent",
                "timeoutMs": 30_000,
                "targetLatencyMs": 20_000,
                "service": "s3",
            }
            for prefix in ("z", "long")
        ]
        limits = {
            "maxHeaderBytes": HEAD_BYTES,
            "maxBodyBytes": BODY_BYTES,
            "headerTimeoutMs": REQUEST_TIMEOUT_MS,
        }
        return CONFIG | {"routes": routes, "services": [{"name": "s3"}], "limits": limits}

    def ask(self, request: bytes = ORDINARY, port: str = "front") -> bytes:
        """Return the reply to one more request, or as much of it as arrives at first."""
        address = ("127.0.0.1", self.ports[port])
        with socket.create_connection(address, timeout=REPLY_TIMEOUT_S) as caller:
            with suppress(ConnectionResetError, BrokenPipeError):
                caller.sendall(request)
            with suppress(ConnectionResetError):
                return caller.recv(4_096)
        return b""

    def count_descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def wait_until_settled(self) -> None:
        """Wait until the process has read what it was sent, so that it hardly uses a processor.

        Clients that keep it busy for good are not waited for.
        """
        deadline = monotonic() + SETTLE_TIMEOUT_S
        used_s = self._read_processor_time()
        while monotonic() < deadline:
            Event().wait(SETTLE_INTERVAL_S)
            before_s, used_s = used_s, self._read_processor_time()
            if used_s - before_s <= SETTLE_INTERVAL_S * SETTLED_SHARE:
                return

    def _read_processor_time(self) -> float:
        assert self.process is not None
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def is_alive(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def close(self) -> None:
        """End the process, the store and the searcher."""
        super().close()
        self.searcher.listener.close()


class Crowd:
    """Clients that each send bytes, and then keep their connection open until :meth:`close`."""

    def __init__(self, program: GatewayProgram, port: str, request: MakeRequest) -> None:
        self.address = ("127.0.0.1", program.ports[port])
        self.request = request
        self.stack = ExitStack()
        with ThreadPoolExecutor(SENDERS) as senders:
            self.connections = list(filter(None, senders.map(self._send, range(CALLERS))))

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()

    def _send(self, number: int) -> socket.socket | None:
        connection = self._open()
        if connection is not None:
            with suppress(OSError):
                connection.sendall(self.request(number))
        return connection

    def _open(self) -> socket.socket | None:
        connection = self._make_socket()
        connection.settimeout(SEND_TIMEOUT_S)
        try:
            connection.connect(self.address)
        except OSError:
            connection.close()
            return None
        return connection

    def _make_socket(self) -> socket.socket:
        return socket.socket()


class SlowCrowd(Crowd):
    """Clients that read the replies a few bytes at a time, so slowly that none gets to its end."""

    def __init__(self, program: GatewayProgram, port: str, request: MakeRequest) -> None:
        super().__init__(program, port, request)
        self.stopped = Event()
        self.reader = Thread(target=self._read, daemon=True)
        self.reader.start()

    def close(self) -> None:
        """Stop reading and close all connections."""
        self.stopped.set()
        self.reader.join()
        super().close()

    def _make_socket(self) -> socket.socket:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER)
        return connection

    def _read(self) -> None:
        while not self.stopped.wait(SLOW_READ_PAUSE_S):
            readable, _, _ = select.select(self.connections, [], [], 0)
            for connection in readable:
                with suppress(OSError):
                    connection.recv(SLOW_READ_BYTES)


class LeavingCrowd(Crowd):
    """Clients that close their connection as soon as they have sent their bytes, several times."""

    ROUNDS = 20

    def _send(self, number: int) -> socket.socket | None:
        for _ in range(self.ROUNDS):
            connection = super()._send(number)
            if connection is not None:
                connection.close()
        return None
