"""Structured log lines on standard output, one JSON object on each line.

Lines are queued, and a separate task writes them, so that a full pipe does not block requests. The
length of the queue and the rate of lines for each event are bounded. Dropped lines are counted, and
the counts are logged.
"""

import json
import os
import select
from collections import Counter, deque
from enum import Enum
from threading import Condition, Lock
from typing import Any

from ..._clock import MILLIS_PER_SECOND, Clock, remaining_seconds
from ..._ids import HostId, Millis

STANDARD_OUTPUT = 1
MAX_QUEUED_LINES = 2_000
MAX_VALUE_LENGTH = 2_000
"""A longer text in a field is cut; a caller may send an id of many kilobytes."""

MAX_LINES_PER_SECOND = 40
"""The limit for the lines of each event in one second; a busy host writes a tenth of that."""

BATCH_INTERVAL_S = 0.2
"""How long the writing task waits for more lines before it writes a batch."""

MAX_CHUNK_BYTES = 4_096
"""A pipe that can be written to accepts this many bytes at once."""

RATE_WINDOW = Millis(MILLIS_PER_SECOND)
"""The window in which the lines for each event are counted."""


class LogEvent(Enum):
    """The event that a line reports, as written in its ``event`` field."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    SETTINGS_UNUSABLE = "settings_unusable"
    LISTEN_FAILED = "listen_failed"
    LISTENING = "listening"
    PAUSED = "paused"
    LIMIT_NEAR = "limit_near"
    LIMIT_CLEARED = "limit_cleared"
    READY = "ready"
    CONFIGURATION = "configuration"
    CONFIGURATION_IGNORED = "configuration_ignored"
    PLATFORM_LOST = "platform_lost"
    PLATFORM_BACK = "platform_back"
    PLATFORM_REREAD = "platform_reread"
    STORE_ERA = "store_era"
    UNREADABLE = "unreadable"
    DOMAIN_EVACUATED = "domain_evacuated"
    EVACUATION_ENDED = "evacuation_ended"
    SEARCHER_LISTED = "searcher_listed"
    SEARCHER_IGNORED = "searcher_ignored"
    SEARCHER_LEAVING = "searcher_leaving"
    SEARCHER_HELD = "searcher_held"
    SEARCHER_PAUSED = "searcher_paused"
    SEARCHER_EJECTED = "searcher_ejected"
    SEARCHER_BACK = "searcher_back"
    SEARCHER_SLOW = "searcher_slow"
    SEARCHER_RECOVERED = "searcher_recovered"
    SOURCE = "source"
    PREVIOUS_END = "previous_end"
    RESTART_UNANNOUNCED = "restart_unannounced"
    GATHERING = "gathering"
    GATHERER_FOUND = "gatherer_found"
    GATHERER_LOST = "gatherer_lost"
    HEARTBEAT_IGNORED = "heartbeat_ignored"
    TASK_REFUSED = "task_refused"
    TASK_FAILED = "task_failed"
    THREAD_FAILED = "thread_failed"
    PROCESS_FAILED = "process_failed"
    ERROR_IGNORED = "error_ignored"
    ANSWER_SKIPPED = "answer_skipped"
    ANSWER_OVERSIZED = "answer_oversized"
    BYTES_UNREQUESTED = "bytes_unrequested"
    BYTES_TRAILING = "bytes_trailing"
    REQUEST = "request"
    REQUEST_FAILED = "request_failed"
    MEMORY_REFUSED = "memory_refused"
    MEMORY_YIELDED = "memory_yielded"
    DROPPED = "dropped"


class EventLog:
    """Queues log lines; :meth:`run` is the task that writes them to ``descriptor``.

    ``line_counts`` counts the lines of each event in the present window, including dropped ones.
    """

    def __init__(self, host: HostId, clock: Clock, descriptor: int = STANDARD_OUTPUT) -> None:
        self.host = host
        self.clock = clock
        self.descriptor = descriptor
        self.ready = Condition()
        self.output_lock = Lock()
        self.queue: deque[str] = deque()
        self.window_started_at = clock.now()
        self.line_counts: Counter[LogEvent] = Counter()
        self.dropped: Counter[LogEvent] = Counter()
        self.stopping = False

    def write(self, event: LogEvent, **fields: Any) -> None:
        """Queue one line with ``fields``, or drop it if a limit is reached.

        Never wait for the output. The line is written after the next call of :meth:`wake` at the
        latest.
        """
        with self.ready:
            self._roll_window()
            self.line_counts[event] += 1
            full = len(self.queue) >= MAX_QUEUED_LINES
            if full or self.line_counts[event] > MAX_LINES_PER_SECOND:
                self.dropped[event] += 1
                return
            self.queue.append(self._format_line(event, fields))

    def run(self) -> None:
        """Write queued lines until :meth:`stop` is called."""
        while True:
            with self.ready:
                if not self.stopping:
                    self.ready.wait(BATCH_INTERVAL_S if self.queue else None)
                ended = self.stopping
            with self.output_lock:
                self._write_lines(self._take_lines())
            if ended:
                return

    def wake(self) -> None:
        """Wake the writing task, so that it writes the queued lines."""
        with self.ready:
            self.ready.notify()

    def stop(self) -> None:
        """Make the writing task write the queued lines and return."""
        with self.ready:
            self.stopping = True
            self.ready.notify()

    def flush(self, timeout: Millis) -> None:
        """Write the queued lines in the calling task, as far as possible within ``timeout``.

        For a process that is about to end; what the output does not accept in that time is lost.
        """
        deadline = Millis(self.clock.now() + timeout)
        if not self.output_lock.acquire(timeout=remaining_seconds(deadline, self.clock)):
            return
        try:
            data = "".join(f"{line}\n" for line in self._take_lines()).encode()
            while data and self._wait_writable(deadline):
                data = data[os.write(self.descriptor, data[:MAX_CHUNK_BYTES]) :]
        except OSError:
            return
        finally:
            self.output_lock.release()

    def _take_lines(self) -> list[str]:
        with self.ready:
            lines = list(self.queue)
            self.queue.clear()
        return lines

    def _format_line(self, event: LogEvent, fields: dict[str, Any]) -> str:
        head = {"wall_ms": round(self.clock.wall()), "host": self.host, "event": event.value}
        values = {name: _shorten(value) for name, value in fields.items()}
        return json.dumps(head | values, separators=(",", ":"), default=str)

    def _roll_window(self) -> None:
        now = self.clock.now()
        if now - self.window_started_at < RATE_WINDOW:
            return
        if self.dropped:
            counts = {event.value: count for event, count in self.dropped.items()}
            self.queue.append(self._format_line(LogEvent.DROPPED, counts))
        self.window_started_at = now
        self.line_counts.clear()
        self.dropped.clear()

    def _write_lines(self, lines: list[str]) -> None:
        data = "".join(f"{line}\n" for line in lines).encode()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                self._wait_writable()
            except OSError:
                return

    def _wait_writable(self, deadline: Millis | None = None) -> bool:
        """Wait until the output accepts bytes; return ``False`` at ``deadline``."""
        poller = select.poll()
        poller.register(self.descriptor, select.POLLOUT)
        timeout_ms = None if deadline is None else max(0.0, deadline - self.clock.now())
        return bool(poller.poll(timeout_ms))


def _shorten(value: object) -> object:
    """Return ``value``, or its beginning if it is a text that is too long."""
    if isinstance(value, str) and len(value) > MAX_VALUE_LENGTH:
        return f"{value[:MAX_VALUE_LENGTH]}..."
    return value
