"""A caller that sends a second request and closes its connection before the first response."""

import socket
import time

import pytest

from masticgate import Millis, SystemClock
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket

from .test_buffers import connect_pair

WAIT_MS = 400.0


@pytest.mark.parametrize("half_closed", [False, True])
class TestPipelinedDisconnect:
    # Guards against a task that polls without pause until the response is there, because the caller
    # left and its second request is still unread.
    def test_task_does_not_spin_after_caller_left(self, half_closed):
        near, far = connect_pair()
        clock = SystemClock()
        wakeable_socket = WakeableSocket(near, clock)
        inbox = RequestInbox(wakeable_socket)
        far.sendall(b"GET /next")
        if half_closed:
            far.shutdown(socket.SHUT_WR)
        else:
            far.close()
        cpu_started_at = time.thread_time()
        inbox.wait(Millis(clock.now() + WAIT_MS))
        cpu_ms = (time.thread_time() - cpu_started_at) * 1_000.0
        wakeable_socket.close()
        far.close()
        assert cpu_ms < WAIT_MS / 8
