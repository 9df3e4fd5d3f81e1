"""Races between two tasks, one of which closes a connection, cancels its call or sends on it.

No byte may be sent to another connection, and no request may be lost.
"""

import os
import socket
import threading

import pytest

from masticgate import Address, ManualClock, Millis, SearcherId, ServiceId, SystemClock
from masticgate.connection.gateway import CallerSettings, HttpClient, SearcherTask
from masticgate.connection.gateway._caller import CallerConnection
from masticgate.connection.gateway._closing_order import Closing
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket
from masticgate.connection.gateway._request_sending import RequestSending
from masticgate.request.gateway import Call, CallerDisconnected, LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES, make_request, make_route
from .loopback import reply_to
from .test_buffers import TaskHandler, UnreadInbox, connect_pair

ORDERS = ServiceId("orders")
CLOCK = ManualClock()

EVENT_BYTES = 8
"""The size of the value that is read from an event."""


def make_call(request=None) -> Call:
    return Call(request or make_request(), make_route(), ORDERS, Millis(400.0), UnreadInbox())


@pytest.fixture
def reuse_descriptors():
    """Return a function that opens events until all descriptors up to a number are in use.

    It returns their descriptors; what is written to one of them can be read from it.
    """
    opened: list[int] = []

    def open_events(number: int) -> list[int]:
        while not opened or max(opened) < number:
            opened.append(os.eventfd(0))
        return opened

    yield open_events
    for descriptor in opened:
        os.close(descriptor)


def find_readable(descriptors: list[int]) -> list[int]:
    for descriptor in descriptors:
        os.set_blocking(descriptor, False)
    readable = []
    for descriptor in descriptors:
        try:
            readable += [descriptor] if os.read(descriptor, EVENT_BYTES) else []
        except BlockingIOError:
            continue
    return readable


class TestLateWake:
    def test_does_not_write_to_reused_descriptor(self, reuse_descriptors):
        near, far = connect_pair()
        wakeable_socket = WakeableSocket(near, CLOCK)
        inbox = RequestInbox(wakeable_socket)
        far.close()
        assert inbox.wait(Millis(CLOCK.now() + 1_000.0)) == CallerDisconnected()
        number = wakeable_socket.event
        wakeable_socket.close()
        descriptors = reuse_descriptors(number)
        inbox.put(make_call())
        assert find_readable(descriptors) == []


class TestStopReading:
    def test_serves_request_that_was_read_just_before(self):
        near, far = connect_pair()
        outcomes = []

        def handle(request, inbox):
            caller.end(Closing.INPUT)
            outcomes.append(inbox.wait(Millis(clock.now() + 100.0)))
            return LocalPage(200, b"served")

        clock = SystemClock()
        settings = CallerSettings(handle, HEADER_NAMES, clock, Limits, lambda: True)
        caller = CallerConnection(near, settings)
        threading.Thread(target=caller.run, daemon=True).start()
        far.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nx-id: q\r\n\r\n")
        far.settimeout(5)
        received = b""
        while data := far.recv(65_536):
            received += data
        assert outcomes == [None]
        assert received.endswith(b"served")


class ReuseRecorder(TaskHandler):
    """Records for each finished call whether its connection can be used again."""

    def __init__(self) -> None:
        super().__init__()
        self.reusable: list[bool] = []

    def handle_outcome(self, task, call, load, *, reusable):
        self.reusable.append(reusable)


class TestSend:
    def test_sends_nothing_on_closed_connection(self):
        near, far = connect_pair()
        client = HttpClient(Address("127.0.0.1:9"), CLOCK)
        client.socket = near
        client.close()
        with pytest.raises(OSError):
            client.send_nowait(memoryview(b"GET"))
        assert far.recv(1) == b""

    def test_does_not_wait_for_closed_connection(self):
        near, far = connect_pair()
        client = HttpClient(Address("127.0.0.1:9"), CLOCK)
        client.socket = near
        near.close()
        sending = RequestSending(client, (b"GET",))
        assert sending.fileno() == -1
        assert not sending.advance() and not sending.is_complete
        assert client.aborted
        far.close()

    def test_sends_no_next_request_before_rest_of_previous_one(self):
        near, far = connect_pair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        handler = ReuseRecorder()
        task = SearcherTask(SearcherId("s1"), Address("127.0.0.1:9"), handler, HEADER_NAMES, CLOCK)
        task.client.socket = near
        large = make_request()
        large = type(large)(
            large.id, b"POST", large.target, large.host, (), b"x" * 4_000_000, None, Millis(0.0)
        )
        assert task.dispatch(make_call(large))
        reader = threading.Thread(
            target=lambda: task._finish(task._receive_responses(), connected=True), daemon=True
        )
        reader.start()
        received = far.recv(65_536)
        far.sendall(reply_to(b"POST / HTTP/1.1\r\nx-id: q1"))
        reader.join(5)
        assert handler.reusable == [False]
        assert not task.dispatch(make_call())
        while chunk := far.recv(65_536):
            received += chunk
        head, _, rest = received.partition(b"\r\n\r\n")
        assert head.startswith(b"POST") and large.body.startswith(rest)


class CallCancelledAtStart(Call):
    """A call that another task cancels right after ``cancelled`` was read as ``False``."""

    @property
    def cancelled(self) -> bool:
        was_cancelled = self.is_cancelled
        if self.canceller is not None:
            canceller, self.canceller = self.canceller, None
            canceller.start()
            canceller.join(0.3)
        return was_cancelled

    @cancelled.setter
    def cancelled(self, value: bool) -> None:
        self.is_cancelled = value


class TestCancel:
    def test_call_cancelled_at_start_is_unsent_or_marked_as_started(self):
        near, far = connect_pair()
        CallCancelledAtStart.canceller = None
        call = CallCancelledAtStart(
            make_request(), make_route(), ORDERS, Millis(400.0), UnreadInbox(), None
        )
        task = SearcherTask(
            SearcherId("s1"), Address("127.0.0.1:9"), TaskHandler(), HEADER_NAMES, CLOCK, call
        )
        task.client.socket = near
        started_flags = []

        def cancel():
            task.cancel(call)
            started_flags.append(call.started)

        call.canceller = canceller = threading.Thread(target=cancel)
        task._send_initial_call()
        canceller.join(5)
        near.close()
        assert started_flags == [True] or far.recv(65_536) == b""
