"""Each connection keeps one receive buffer.

A new buffer for each receive, shrunk to the received bytes, would fragment the heap.
"""

import socket
import threading
from dataclasses import replace

from masticgate import Address, ManualClock, Millis, SearcherId, ServiceId
from masticgate.connection.gateway import CallerSettings, SearcherTask
from masticgate.connection.gateway._caller import CallerConnection
from masticgate.request.gateway import Answered, Call, LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES, make_request, make_route
from .loopback import reply_to

MESSAGE_COUNT = 12


def connect_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    return near, far


class RecordingSocket(socket.socket):
    """Records the buffer of each receive, and fails a receive that creates a new one."""

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(fileno=connection.detach())
        self.buffers: list[memoryview] = []

    def recv(self, size, flags=0):
        raise AssertionError("the receive creates a new buffer")

    def recv_into(self, buffer, size=0, flags=0):
        self.buffers.append(buffer)
        return super().recv_into(buffer, size, flags)

    @property
    def buffer_objects(self) -> set[int]:
        return {id(buffer.obj) for buffer in self.buffers}


class TaskHandler:
    """Counts the finished calls of one task, and ignores its other events."""

    def __init__(self) -> None:
        self.finished = threading.Semaphore(0)

    def handle_open(self, task):
        pass

    def handle_outcome(self, task, call, load, *, reusable):
        self.finished.release()

    def handle_close(self, task, *, connected):
        pass

    def handle_notice(self, task, notice):
        pass

    def record_violation(self, task, violation):
        pass


class UnreadInbox:
    """An inbox that ignores finished calls and returns none."""

    def put(self, call):
        pass

    def finish_sending(self, call, sending):
        pass

    def set_batch_size(self, number):
        pass

    def wait(self, deadline):
        return None


class TestSearcherConnection:
    def test_keeps_one_buffer_for_responses_of_all_sizes(self):
        near, far = connect_pair()
        recorded = RecordingSocket(near)
        task = SearcherTask(
            SearcherId("s1"),
            Address("127.0.0.1:9"),
            handler := TaskHandler(),
            HEADER_NAMES,
            ManualClock(),
        )
        task.client.socket = recorded
        threading.Thread(target=task._receive_responses, daemon=True).start()
        for number in range(MESSAGE_COUNT):
            call = self.make_call(f"q{number}")
            assert task.dispatch(call)
            far.sendall(reply_to(far.recv(65_536), bytes(37 * number)))
            assert handler.finished.acquire(timeout=5)
            assert isinstance(call.outcome, Answered)
            assert len(call.outcome.body) == 37 * number
        assert len(recorded.buffer_objects) == 1
        far.close()

    def test_receives_response_larger_than_buffer(self):
        near, far = connect_pair()
        task = SearcherTask(
            SearcherId("s1"),
            Address("127.0.0.1:9"),
            handler := TaskHandler(),
            HEADER_NAMES,
            ManualClock(),
        )
        task.client.socket = near
        threading.Thread(target=task._receive_responses, daemon=True).start()
        call = self.make_call("q1")
        assert task.dispatch(call)
        body = bytes(range(256)) * 100
        far.sendall(reply_to(far.recv(65_536), body))
        assert handler.finished.acquire(timeout=5)
        assert isinstance(call.outcome, Answered)
        assert call.outcome.body == body
        far.close()

    def make_call(self, request_id: str) -> Call:
        request = replace(make_request(request_id), headers=((b"x-id", request_id.encode()),))
        return Call(request, make_route(), ServiceId("orders"), Millis(400.0), UnreadInbox())


class TestCallerConnection:
    def test_keeps_one_buffer_for_requests_of_all_sizes(self):
        near, far = connect_pair()
        recorded = RecordingSocket(near)
        settings = CallerSettings(
            lambda request, inbox: LocalPage(200, request.body),
            HEADER_NAMES,
            ManualClock(),
            Limits,
            lambda: False,
        )
        threading.Thread(target=CallerConnection(recorded, settings).run, daemon=True).start()
        for number in range(MESSAGE_COUNT):
            body = b"x" * (1 + 700 * number)
            head = b"POST / HTTP/1.1\r\nHost: h\r\nx-id: q\r\nContent-Length: %d\r\n\r\n"
            far.sendall(head % len(body) + body)
            received = b""
            while not received.endswith(body):
                received += far.recv(65_536)
        assert len(recorded.buffer_objects) == 1
        far.close()
