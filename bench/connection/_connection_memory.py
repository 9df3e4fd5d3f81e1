"""Resident memory of connections and their tasks; each function wants a fresh process."""

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
SETTLE_SECONDS = 0.5
MESSAGES = 5
CALL_TIMEOUT = Millis(5000.0)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def resident_bytes(pid: str = "self") -> float:
    """Return the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(float(line.split()[1]) * 1024 for line in lines if line.startswith("VmRSS"))


def measure_growth(add: Callable[[], None]) -> list[float]:
    """Return the resident memory at each of :data:`COUNTS` calls of ``add``."""
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
    """Grow by peer connections with a reading task at each of the two ends."""
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
    """Grow by connections to a searcher, each used once, with a task that waits for work."""
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
