"""Lets the task of a caller's connection wait for several events at once.

The task waits until calls to searchers finish, the caller closes its connection, or a deadline
passes. Meanwhile it sends what the connections to the searchers have not accepted at once.
"""

import os
import select
import socket
from collections import deque
from collections.abc import Collection
from contextlib import suppress
from threading import Lock

from ..._clock import Clock, remaining_poll_time
from ..._ids import Millis
from ...request.gateway import (
    Answered,
    Call,
    CallerDisconnected,
    Event,
    GatewayStopping,
    RoomGranted,
    Sending,
)
from ._holding import UNLIMITED_MEMORY, Holding, MemoryBudget, MemoryUse

ORDINARY_ANSWER_BYTES = 16_384
"""The bytes of the answers to one request that are part of the memory of its connection."""

CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class WakeableSocket:
    """The connection of one caller and an event that wakes the task that polls both.

    A call may finish after the connection and the event were closed. The number of the event's
    descriptor may then belong to another file; the lock keeps :meth:`wake` from writing to that.
    """

    def __init__(self, connection: socket.socket, clock: Clock) -> None:
        self.connection = connection
        self.clock = clock
        self.event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.lock = Lock()
        self.waiting = False
        self.closed = False
        self.reading_stopped = False
        self.ending = False
        self.poller = select.poll()
        self.poller.register(self.event, select.POLLIN)

    def watch_for_close(self) -> None:
        """Include the caller's connection in the next polls, to detect that it is closed."""
        self.poller.register(self.connection, select.POLLIN | CLOSE_EVENTS)

    def wake(self) -> None:
        """Wake the task if it is waiting; any task may call this."""
        with self.lock:
            if not self.waiting or self.closed:
                return
            self.waiting = False
            with suppress(BlockingIOError):
                os.eventfd_write(self.event, 1)

    def end_wait(self) -> None:
        """End the wait of the task, and each later one; any task may call this."""
        self.ending = True
        self.wake()

    def poll(self, deadline: Millis, unsent: Collection[int] = frozenset()) -> bool:
        """Wait until woken or until ``deadline``; return whether the caller closed its connection.

        The wait also ends, with ``False``, when the caller sends more bytes, or when one of the
        ``unsent`` descriptors can be written to or is closed.
        """
        for descriptor in unsent:
            self.poller.register(descriptor, select.POLLOUT)
        try:
            ready = self.poller.poll(remaining_poll_time(deadline, self.clock))
        finally:
            for descriptor in unsent:
                self.poller.unregister(descriptor)
        for descriptor, events in ready:
            if descriptor == self.event:
                with suppress(BlockingIOError):
                    os.eventfd_read(self.event)
            elif descriptor not in unsent and self._is_closed_by_caller(events):
                return True
        return False

    def close(self) -> None:
        """Close the connection and the event."""
        with self.lock:
            self.closed = True
            os.close(self.event)
            with suppress(OSError):
                self.connection.close()

    def stop_reading(self) -> None:
        """End the input of the connection, also for a read in progress; any task may call this.

        A request that was read just before is still served, because the end of the input is then
        not taken as the caller closing its connection.
        """
        with self.lock:
            self.reading_stopped = True
            if not self.closed:
                with suppress(OSError):
                    self.connection.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """End the connection in both directions, also for a send in progress; as above."""
        with self.lock:
            self.reading_stopped = True
            if not self.closed:
                with suppress(OSError):
                    self.connection.shutdown(socket.SHUT_RDWR)

    def wait_for_input(self, wait: Millis) -> bool:
        """Wait until bytes or the end of the input can be read; only the task itself may call this.

        Return ``False`` if there are none within ``wait``.
        """
        poller = select.poll()
        poller.register(self.connection, select.POLLIN | select.POLLRDHUP)
        return bool(poller.poll(wait))

    def has_input(self) -> bool:
        """Return whether received bytes wait to be read; any task may call this."""
        with self.lock:
            if self.closed:
                return False
            poller = select.poll()
            poller.register(self.connection, select.POLLIN | select.POLLRDHUP)
            return any(events == select.POLLIN for _, events in poller.poll(0))

    def _is_closed_by_caller(self, events: int) -> bool:
        if self.reading_stopped:
            self.poller.unregister(self.connection)
            return False
        if events & CLOSE_EVENTS:
            return True
        try:
            if self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        self.poller.modify(self.connection, CLOSE_EVENTS)
        return False


class RequestInbox:
    """The finished calls of one request, in the order in which they finished.

    The task of the request waits for them. It is woken once a batch of calls has finished, or as
    soon as a call finishes without success. ``answers`` holds the bytes of the answers until
    :meth:`close`. ``sendings`` are the requests that have not been sent completely.
    """

    def __init__(
        self, wakeable_socket: WakeableSocket, memory: MemoryBudget = UNLIMITED_MEMORY
    ) -> None:
        self.wakeable_socket = wakeable_socket
        self.answers = Holding(memory, MemoryUse.ANSWERS, ORDINARY_ANSWER_BYTES)
        self.finished: deque[Call] = deque()
        self.granted: deque[RoomGranted] = deque()
        self.sendings: deque[tuple[Call, Sending]] = deque()
        self.batch_size = 1
        wakeable_socket.watch_for_close()

    def put(self, call: Call) -> None:
        """Add a finished call, which is dropped after :meth:`close`; any task may call this."""
        if isinstance(call.outcome, Answered):
            self.answers.add(len(call.outcome.body))
        self.finished.append(call)
        if self.answers.closed:
            # A call refers to its inbox; together they would be kept for long.
            self.finished.clear()
        if len(self.finished) >= self.batch_size or not _is_success(call):
            self.wakeable_socket.wake()

    def grant(self, granted: RoomGranted) -> None:
        """Wake the task, because there is room for a call of it; any task may call this."""
        self.granted.append(granted)
        if self.answers.closed:
            self.granted.clear()
        self.wakeable_socket.wake()

    def finish_sending(self, call: Call, sending: Sending) -> None:
        """Send the rest of the request of ``call`` in the task that waits; any task may call this.

        After :meth:`close`, the call is cancelled instead.
        """
        self.sendings.append((call, sending))
        if self.answers.closed:
            self._cancel_sendings()
        self.wakeable_socket.wake()

    def close(self) -> None:
        """Drop the answers and return their bytes; their caller has taken them, or never will.

        Calls whose requests were not sent completely are cancelled.
        """
        self.answers.close()
        self.finished.clear()
        self.granted.clear()
        self._cancel_sendings()

    def set_batch_size(self, number: int) -> None:
        """Wake the task only once ``number`` calls have finished, or one without success."""
        self.batch_size = number

    def wait(self, deadline: Millis) -> Event | None:
        """Return the next finished call or granted room, or ``None`` if there is none in time.

        If the caller closes its connection first, the result is ``CallerDisconnected``, and after
        :meth:`WakeableSocket.end_wait` it is ``GatewayStopping``.
        """
        while True:
            self.wakeable_socket.waiting = True
            if self.finished:
                self.wakeable_socket.waiting = False
                return self.finished.popleft()
            if self.granted:
                self.wakeable_socket.waiting = False
                return self.granted.popleft()
            if self.wakeable_socket.ending:
                self.wakeable_socket.waiting = False
                return GatewayStopping()
            if self.wakeable_socket.clock.now() >= deadline:
                self.wakeable_socket.waiting = False
                return None
            if self.wakeable_socket.poll(deadline, self._unsent_descriptors()):
                return CallerDisconnected()
            self._advance_sendings()

    def _unsent_descriptors(self) -> set[int]:
        """Return the descriptors of the connections that have to accept more of a request.

        One that is closed meanwhile ends the wait; its number may also belong to another file,
        which nothing is written to.
        """
        return {sending.fileno() for _, sending in tuple(self.sendings)} - {-1}

    def _advance_sendings(self) -> None:
        for _ in range(len(self.sendings)):
            call, sending = self.sendings.popleft()
            if sending.advance():
                self.sendings.append((call, sending))

    def _cancel_sendings(self) -> None:
        """End the connections of requests that were not sent completely.

        That is no failure of their searchers.
        """
        while self.sendings:
            call, sending = self.sendings.popleft()
            call.cancelled = True
            sending.abort()


def _is_success(call: Call) -> bool:
    return isinstance(call.outcome, Answered) and call.outcome.is_success
