"""A peer that takes no more, or whose message does not end, holds a link up for a short time."""

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

LONG = Millis(3_000.0)
SHORT = Millis(300.0)
STEP_S = 0.006
SOON_S = 5.0


@pytest.fixture
def ends():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        left = socket.create_connection(listener.getsockname())
        right, _ = listener.accept()
    frames = FrameSocket(right)
    yield left, frames
    left.close()
    frames.release()


def frame(message) -> bytes:
    data = encode_message(message)
    return struct.pack("!I", len(data)) + data


class Trickle:
    """Sends ``data`` byte by byte, until it is over or the other side closes."""

    def __init__(self, connection: socket.socket, data: bytes) -> None:
        self.connection = connection
        self.data = data
        self.ended = Event()
        Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        for place in range(len(self.data)):
            try:
                self.connection.sendall(self.data[place : place + 1])
            except OSError:
                break
            if self.ended.wait(STEP_S):
                break


class TestSend:
    # The timeout of reads applied to sends too: each waited 3 s for a peer that takes no more.
    @pytest.mark.parametrize("timeout", [None, LONG])
    def test_waits_shortly_for_a_peer_that_takes_no_more(self, ends, timeout):
        _, frames = ends
        if timeout is not None:
            frames.set_timeout(timeout)
        push = TextPush(Revision(1), "x" * 500_000)
        began = monotonic()
        while frames.send(push):
            assert monotonic() - began < SOON_S
        assert monotonic() - began < 1.0


class TestRead:
    def test_ends_where_nothing_arrives(self, ends):
        _, frames = ends
        frames.set_timeout(SHORT)
        began = monotonic()
        with pytest.raises(TimeoutError):
            next(frames.read_messages())
        assert SHORT / 1_000 <= monotonic() - began < SOON_S

    # A byte now and then kept a link open whose peer answered nothing any more.
    def test_an_endless_message_ends_at_the_timeout(self, ends):
        left, frames = ends
        frames.set_timeout(SHORT)
        trickle = Trickle(left, struct.pack("!I", 1_000_000) + bytes(1_000))
        began = monotonic()
        with pytest.raises(TimeoutError):
            next(frames.read_messages())
        assert monotonic() - began < 2.0
        trickle.ended.set()

    def test_messages_that_come_slowly_each_have_the_timeout(self, ends):
        left, frames = ends
        frames.set_timeout(Millis(1_000.0))
        Trickle(left, 6 * frame(Cancel("q1")))
        messages = frames.read_messages()
        assert [next(messages) for _ in range(6)] == 6 * [Cancel("q1")]

    def test_a_link_closed_by_another_task_is_read_to_its_end(self, ends):
        _, frames = ends
        frames.set_timeout(LONG)
        Thread(target=frames.close, daemon=True).start()
        assert list(frames.read_messages()) == []
