"""A caller that sends a second request and leaves before the first one's answer."""

import socket
import time

import pytest

from masticgate import Millis, SystemClock
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket

from .test_buffers import connect_pair

WAIT = 400.0


@pytest.mark.parametrize("half", [False, True])
class TestLeaver:
    # Guards against a task that spins until its answer comes, on a caller that left bytes unread.
    def test_its_task_does_not_spin(self, half):
        near, far = connect_pair()
        clock = SystemClock()
        wakeable_socket = WakeableSocket(near, clock)
        inbox = RequestInbox(wakeable_socket)
        far.sendall(b"GET /next")
        if half:
            far.shutdown(socket.SHUT_WR)
        else:
            far.close()
        began = time.thread_time()
        inbox.wait(Millis(clock.now() + WAIT))
        spent = (time.thread_time() - began) * 1_000.0
        wakeable_socket.close()
        far.close()
        assert spent < WAIT / 8
