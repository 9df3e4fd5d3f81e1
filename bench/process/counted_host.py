"""An entry host that counts its work, run with the arguments ``SETTINGS COUNTS``.

Every half second the host writes to the file ``COUNTS`` the processor seconds that it used and the
bytes that it sent to other hosts, by kind of message or task. The kinds tell requests from control
work, which is all that a host does besides requests. A counted section that runs inside another
counts only for the outer one. Each thread is timed by its own processor clock, so the time that it
waits is not counted.
"""

import json
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from threading import Event
from typing import Any

from bench.connection import resident_bytes
from masticgate.connection import FrameSocket, _socket, encode_message
from masticgate.process import Settings, read_settings
from masticgate.process._heartbeats import Heartbeats
from masticgate.process._peer_service import PeerService
from masticgate.process._pressure import PressureReporter
from masticgate.process._watch import HostListWatch, KeyWatch
from masticgate.process.server import Host

WRITE_SECONDS = 0.5
"""The interval at which the counts are written."""

REQUEST_MESSAGES = {"Ask", "Reply", "Cancel", "Book", "BookReply", "Forward", "ForwardReply"}
"""The kinds of messages that belong to requests; all others are control work."""

LENGTH_PREFIX_BYTES = 4
"""The bytes before each message that give its length."""


class Counts:
    """Processor seconds and sent bytes, by kind of message or task."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.seconds: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.local = threading.local()

    def run_timed(self, kind: str, run: Callable[[], Any]) -> Any:
        """Call ``run`` and add its processor time to ``kind``, unless inside a counted section."""
        if getattr(self.local, "inside", False):
            return run()
        self.local.inside = True
        started = time.thread_time()
        try:
            return run()
        finally:
            self.local.inside = False
            with self.lock:
                self.seconds[kind] += time.thread_time() - started

    def add_sent(self, kind: str, size: int) -> None:
        """Add the bytes of one sent message."""
        with self.lock:
            self.sent[kind] += size

    def fields(self) -> dict[str, Any]:
        """Return the counts and what the process used so far, as JSON values."""
        with self.lock:
            return {
                "at": time.monotonic(),
                "cpu": time.process_time(),
                "resident": resident_bytes(),
                "threads": threading.active_count(),
                "seconds": dict(self.seconds),
                "sent": dict(self.sent),
            }


def install_counters(counts: Counts) -> None:
    """Wrap the functions that send, decode and handle messages, and the periodic tasks."""
    send, decode, handle_message = (
        FrameSocket.send,
        _socket.decode_message,
        PeerService.handle_message,
    )

    def counted_send(self: FrameSocket, message: Any) -> bool:
        return counts.run_timed(type(message).__name__, lambda: send(self, message))

    def counted_encode(message: Any) -> bytes:
        data = encode_message(message)
        counts.add_sent(type(message).__name__, len(data) + LENGTH_PREFIX_BYTES)
        return data

    def counted_decode(data: bytes) -> Any:
        started = time.thread_time()
        message = decode(data)
        with counts.lock:
            counts.seconds[type(message).__name__] += time.thread_time() - started
        return message

    def counted_handle_message(self: PeerService, peer: Any, message: Any, send_reply: Any) -> None:
        counts.run_timed(
            type(message).__name__, lambda: handle_message(self, peer, message, send_reply)
        )

    FrameSocket.send = counted_send  # type: ignore[method-assign]
    _socket.encode_message = counted_encode
    _socket.decode_message = counted_decode
    PeerService.handle_message = counted_handle_message  # type: ignore[method-assign]
    for timed_class, name in (
        (Heartbeats, "beat"),
        (PressureReporter, "run_once"),
        (KeyWatch, "read_once"),
        (HostListWatch, "read_once"),
        (Host, "after_heartbeat"),
    ):
        _time_method(counts, timed_class, name)


def _time_method(counts: Counts, timed_class: type, name: str) -> None:
    original = getattr(timed_class, name)

    def counted(self: Any, *arguments: Any) -> Any:
        return counts.run_timed(
            f"{timed_class.__name__}.{name}", lambda: original(self, *arguments)
        )

    setattr(timed_class, name, counted)


def write_counts(counts: Counts, path: Path, stopping: Event) -> None:
    """Write the counts to ``path`` at each interval until ``stopping`` is set.

    Each file replaces the previous one atomically, so that a reader never sees an incomplete one.
    """
    while not stopping.wait(WRITE_SECONDS):
        temporary = path.with_suffix(".part")
        temporary.write_text(json.dumps(counts.fields()))
        temporary.replace(path)


def main(settings_path: str, counts_path: str) -> None:
    """Run the host until the process receives SIGTERM."""
    settings = read_settings(Path(settings_path))
    assert isinstance(settings, Settings), settings
    counts, stopping = Counts(), Event()
    install_counters(counts)
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    host = Host(settings)
    host.start()
    write_counts(counts, Path(counts_path), stopping)
    host.stop()


if __name__ == "__main__":
    main(*sys.argv[1:])
