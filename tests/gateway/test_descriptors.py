"""Tasks that end beside others: no byte and no request may go astray."""

import os
import socket
import threading

import pytest

from masticgate import Address, ManualClock, Millis, SearcherId, ServiceId, SystemClock
from masticgate.connection.gateway import CallerSettings, HttpClient, SearcherTask
from masticgate.connection.gateway._caller import CallerConnection
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket
from masticgate.request.gateway import Call, CallerDisconnected, LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES, make_request, make_route
from .test_buffers import Mailbox, Owner, connect_pair

ORDERS = ServiceId("orders")
CLOCK = ManualClock()


def make_call(request=None) -> Call:
    return Call(request or make_request(), make_route(), ORDERS, Millis(400.0), Mailbox())


@pytest.fixture
def reused():
    """Return a way to take all free descriptor numbers up to one; they are pipes."""
    opened: list[int] = []

    def take(number: int) -> list[int]:
        while not opened or max(opened) < number:
            opened.extend(os.pipe())
        return opened[::2]

    yield take
    for descriptor in opened:
        os.close(descriptor)


def readable(descriptors: list[int]) -> list[int]:
    for descriptor in descriptors:
        os.set_blocking(descriptor, False)
    found = []
    for descriptor in descriptors:
        try:
            found += [descriptor] if os.read(descriptor, 1) else []
        except BlockingIOError:
            continue
    return found


class TestLateWake:
    def test_a_call_that_ends_after_its_caller_writes_to_no_other_descriptor(self, reused):
        near, far = connect_pair()
        wakeable_socket = WakeableSocket(near, CLOCK)
        inbox = RequestInbox(wakeable_socket)
        far.close()
        assert inbox.wait(Millis(CLOCK.now() + 1_000.0)) == CallerDisconnected()
        number = wakeable_socket.wake_writer
        wakeable_socket.close()
        descriptors = reused(number)
        inbox.put(make_call())
        assert readable(descriptors) == []


class TestStopReading:
    def test_a_request_that_was_read_just_before_is_still_answered(self):
        near, far = connect_pair()
        outcomes = []

        def handle(request, inbox):
            caller.stop_reading()
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


class TestLateSend:
    def test_nothing_is_sent_once_the_connection_is_closed(self):
        near, far = connect_pair()
        client = HttpClient(Address("127.0.0.1:9"), CLOCK)
        client.socket = near
        client.close()
        with pytest.raises(OSError):
            client.send_nowait(memoryview(b"GET"))
        assert far.recv(1) == b""

    def test_a_connection_that_closed_meanwhile_is_not_waited_for(self):
        near, far = connect_pair()
        task = SearcherTask(SearcherId("s1"), Address("127.0.0.1:9"), Owner(), HEADER_NAMES, CLOCK)
        task.client.socket = near
        near.close()
        assert not task._wait_writable(Millis(CLOCK.now() + 1_000.0))
        far.close()

    def test_a_request_waits_for_the_rest_of_the_one_before(self):
        near, far = connect_pair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        task = SearcherTask(SearcherId("s1"), Address("127.0.0.1:9"), Owner(), HEADER_NAMES, CLOCK)
        task.client.socket = near
        large = make_request()
        large = type(large)(
            large.id, b"POST", large.target, large.host, (), b"x" * 4_000_000, None, Millis(0.0)
        )
        first = threading.Thread(target=task.dispatch, args=(make_call(large),), daemon=True)
        first.start()
        received = far.recv(65_536)
        task.current_call = None
        second = threading.Thread(target=task.dispatch, args=(make_call(),), daemon=True)
        second.start()
        while not received.endswith(b"\r\n\r\n") or received.count(b"HTTP/1.1") < 2:
            received += far.recv(65_536)
        head, _, rest = received.partition(b"\r\n\r\n")
        assert head.startswith(b"POST") and rest[: len(large.body)] == large.body
        assert rest[len(large.body) :].startswith(b"GET")


class CancelledAsItStarts(Call):
    """A call that another task cancels right after it was found not to be cancelled."""

    @property
    def cancelled(self) -> bool:
        found = self.is_cancelled
        if self.other is not None:
            other, self.other = self.other, None
            other.start()
            other.join(0.3)
        return found

    @cancelled.setter
    def cancelled(self, value: bool) -> None:
        self.is_cancelled = value


class TestCancel:
    def test_a_call_that_is_cancelled_as_it_starts_is_unsent_or_known_as_started(self):
        near, far = connect_pair()
        CancelledAsItStarts.other = None
        call = CancelledAsItStarts(
            make_request(), make_route(), ORDERS, Millis(400.0), Mailbox(), None
        )
        task = SearcherTask(
            SearcherId("s1"), Address("127.0.0.1:9"), Owner(), HEADER_NAMES, CLOCK, call
        )
        task.client.socket = near
        seen = []

        def cancel():
            task.cancel(call)
            seen.append(call.started)

        call.other = other = threading.Thread(target=cancel)
        task._send_initial_call()
        other.join(5)
        near.close()
        assert seen == [True] or far.recv(65_536) == b""
