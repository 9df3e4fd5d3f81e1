"""The time that a link between hosts waits for a peer that stops reading or sends too slowly."""

import socket
import struct
from threading import Event, Thread
from time import monotonic

import pytest

from masticgate import Millis, Revision
from masticgate.connection._frames import encode_message
from masticgate.connection._socket import FrameSocket
from masticgate.request import Cancel
from masticgate.version import TextPush

LONG_TIMEOUT = Millis(3_000.0)
SHORT_TIMEOUT = Millis(300.0)
BYTE_INTERVAL_S = 0.006
MAX_WAIT_S = 5.0


@pytest.fixture
def connection_pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
    frame_socket = FrameSocket(near)
    yield far, frame_socket
    far.close()
    frame_socket.release()


def frame(message) -> bytes:
    data = encode_message(message)
    return struct.pack("!I", len(data)) + data


class SlowSender:
    """Sends ``data`` byte by byte, until all is sent or the other side closes."""

    def __init__(self, connection: socket.socket, data: bytes) -> None:
        self.connection = connection
        self.data = data
        self.stopped = Event()
        Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        for index in range(len(self.data)):
            try:
                self.connection.sendall(self.data[index : index + 1])
            except OSError:
                break
            if self.stopped.wait(BYTE_INTERVAL_S):
                break


class TestSend:
    # Guards against a read timeout that applies to sends too: each send then waited 3 s for a
    # peer that had stopped reading.
    @pytest.mark.parametrize("timeout", [None, LONG_TIMEOUT])
    def test_closes_link_soon_if_peer_stops_reading(self, connection_pair, timeout):
        _, frame_socket = connection_pair
        if timeout is not None:
            frame_socket.set_timeout(timeout)
        push = TextPush(Revision(1), "x" * 500_000)
        started_at = monotonic()
        while frame_socket.send(push):
            assert monotonic() - started_at < MAX_WAIT_S
        assert monotonic() - started_at < 1.0


class TestRead:
    def test_times_out_if_nothing_arrives(self, connection_pair):
        _, frame_socket = connection_pair
        frame_socket.set_timeout(SHORT_TIMEOUT)
        started_at = monotonic()
        with pytest.raises(TimeoutError):
            next(frame_socket.read_messages())
        assert SHORT_TIMEOUT / 1_000 <= monotonic() - started_at < MAX_WAIT_S

    # Guards against a timeout for each byte: a peer that sent a byte now and then kept a link open
    # although it no longer replied to anything.
    def test_times_out_on_message_that_arrives_too_slowly(self, connection_pair):
        far, frame_socket = connection_pair
        frame_socket.set_timeout(SHORT_TIMEOUT)
        sender = SlowSender(far, struct.pack("!I", 1_000_000) + bytes(1_000))
        started_at = monotonic()
        with pytest.raises(TimeoutError):
            next(frame_socket.read_messages())
        assert monotonic() - started_at < 2.0
        sender.stopped.set()

    def test_applies_timeout_to_each_message(self, connection_pair):
        far, frame_socket = connection_pair
        frame_socket.set_timeout(Millis(1_000.0))
        SlowSender(far, 6 * frame(Cancel("q1")))
        messages = frame_socket.read_messages()
        assert [next(messages) for _ in range(6)] == 6 * [Cancel("q1")]

    def test_ends_normally_if_another_task_closes_link(self, connection_pair):
        _, frame_socket = connection_pair
        frame_socket.set_timeout(LONG_TIMEOUT)
        Thread(target=frame_socket.close, daemon=True).start()
        assert list(frame_socket.read_messages()) == []
