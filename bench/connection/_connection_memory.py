"""Measures the resident memory of connections and their tasks.

Each measurement needs a new process, since a process keeps memory that it used before.
"""

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

from masticgate import Address, FailureDomainId, Millis, Rank, SearcherId, ServiceId, SystemClock
from masticgate.connection import FrameSocket, HttpConnection
from masticgate.process import OWNER_POLICY, ServicePool
from masticgate.version import Searcher

from ._message_costs import heartbeat

COUNTS = [50, 100, 200]
"""Numbers of connections at which the memory is measured."""

SETTLE_SECONDS = 0.5
"""The wait before each measurement, in which the new tasks start."""

MESSAGES = 5
"""The number of messages that each end of a link sends."""

CALL_TIMEOUT = Millis(5000.0)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def resident_bytes(pid: str = "self") -> float:
    """Return the resident memory of a process in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(float(line.split()[1]) * 1024 for line in lines if line.startswith("VmRSS"))


def measure_growth(add: Callable[[], None]) -> list[float]:
    """Return the resident bytes of this process after each number of calls of ``add``.

    The numbers are :data:`COUNTS`.
    """
    sizes = []
    done = 0
    for count in COUNTS:
        for _ in range(count - done):
            add()
        done = count
        time.sleep(SETTLE_SECONDS)
        sizes.append(resident_bytes())
    return sizes


def link_memory() -> list[float]:
    """Return the resident bytes of this process at growing numbers of links between hosts.

    The numbers are :data:`COUNTS`. Each link has a reading task at both of its ends, which are
    both in this process.
    """
    tasks = ThreadPoolExecutor(2 * max(COUNTS))
    listener = socket.create_server(("127.0.0.1", 0))
    ends: list[FrameSocket] = []

    def read(frames: FrameSocket) -> None:
        with suppress(OSError):
            for _ in frames.read_messages():
                pass

    def add() -> None:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        pair = FrameSocket(client), FrameSocket(server)
        ends.extend(pair)
        for frames in pair:
            tasks.submit(read, frames)
        for _ in range(MESSAGES):
            for frames in pair:
                frames.send(heartbeat(5))

    sizes = measure_growth(add)
    for frames in ends:
        frames.close()
    tasks.shutdown()
    return sizes


def searcher_connection_memory() -> list[float]:
    """Return the resident bytes of this process at growing numbers of connections to a searcher.

    The numbers are :data:`COUNTS`. Each connection is used once, and then its task waits for work.
    """
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
    accepted: list[socket.socket] = []
    threading.Thread(target=_respond, args=(listener, accepted), daemon=True).start()
    clock = SystemClock()
    searcher = Searcher(SearcherId("s"), address, FailureDomainId("north"), 2, max(COUNTS))
    pool = ServicePool(
        ServiceId("s"),
        [(searcher, max(COUNTS))],
        dict.fromkeys(Rank, 0.1),
        OWNER_POLICY,
        clock,
        lambda *_: None,
    )
    tasks = ThreadPoolExecutor(max(COUNTS))
    connections: list[HttpConnection] = []

    def serve() -> None:
        connection = HttpConnection(address)
        connections.append(connection)
        connection.get("/", CALL_TIMEOUT)
        pool.wait_for_work(searcher)

    sizes = measure_growth(lambda: tasks.submit(serve) and None)
    pool.stop()
    tasks.shutdown()
    for connection in connections:
        connection.close()
    return sizes


def _respond(listener: socket.socket, accepted: list[socket.socket]) -> None:
    while True:
        connection, _ = listener.accept()
        connection.recv(4096)
        connection.sendall(RESPONSE)
        accepted.append(connection)
